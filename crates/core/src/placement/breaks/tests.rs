use super::*;

#[test]
fn request_leaves_an_upstream_after_four_breaks_in_a_row_and_gives_up_after_two_upstreams() {
    use AfterBreak::{Again, Elsewhere, GiveUp};
    let mut breaks = Breaks::default();
    let followed: Vec<AfterBreak> = (0..8).map(|_| breaks.broke_off()).collect();
    assert_eq!(followed, [Again, Again, Again, Elsewhere, Again, Again, Again, GiveUp]);
}
