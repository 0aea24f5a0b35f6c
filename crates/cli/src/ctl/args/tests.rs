#[test]
fn the_command_line_is_consistent() {
    super::command().debug_assert();
}
