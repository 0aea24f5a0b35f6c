use super::{Catalog, Key, Team};

fn key(id: &str, team: &str, is_withdrawn: bool) -> Key {
    Key { id: id.into(), team: team.into(), is_withdrawn }
}

#[test]
fn key_id_is_valid_if_one_of_its_hashes_is_not_withdrawn() {
    let mut catalog = Catalog::default();
    let team = Team { rate_per_s: 1.0, burst_requests: 1, classes: Vec::new() };
    catalog.teams.insert("north".into(), team);
    let keys = [
        ("hash-1", key("rotated", "north", true)),
        ("hash-2", key("rotated", "north", false)),
        ("hash-3", key("withdrawn", "north", true)),
        ("hash-4", key("of-no-team", "south", false)),
    ];
    catalog.keys.extend(keys.map(|(hash, key)| (hash.into(), key)));
    let valid: Vec<_> = catalog.valid_keys().into_iter().collect();
    assert_eq!(valid, [("rotated".into(), "north".into())]);
}
