use super::{NameHash, rank, select_distinct_domains};

#[test]
fn keys_are_spread_evenly_and_removing_a_candidate_reassigns_only_its_keys() {
    let hosts: Vec<String> = (0..7).map(|host| format!("host-{host}")).collect();
    let mut counts = [0_u32; 7];
    for key in 0..7_000 {
        let key = format!("team-{key}");
        let all = rank(&key, &hosts);
        let rest = rank(&key, hosts.iter().filter(|host| *host != all[0]));
        assert_eq!(all[1..], rest[..], "the order of the other candidates is unchanged");
        counts[hosts.iter().position(|host| host == all[0]).expect("a candidate")] += 1;
    }
    assert!(counts.iter().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

#[test]
fn weight_is_deterministic_and_differs_between_candidates() {
    let key = NameHash::new("key");
    assert_eq!(key.weight(NameHash::new("a")), key.weight(NameHash::new("a")));
    assert_ne!(key.weight(NameHash::new("a")), key.weight(NameHash::new("b")));
}

#[test]
fn selects_distinct_domains_except_the_excluded_one() {
    let hosts = [("a1", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")];
    let selected = select_distinct_domains(&hosts, |host| host.1, "a", 2);
    assert_eq!(selected, [&("b1", "b"), &("c1", "c")]);
    assert_eq!(select_distinct_domains(&hosts[..3], |host| host.1, "a", 2).len(), 1);
}
