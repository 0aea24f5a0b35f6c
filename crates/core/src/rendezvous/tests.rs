use super::{Point, in_other_domains, rank};

#[test]
fn shares_are_even_and_a_lost_candidate_moves_only_its_own_keys() {
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
fn equal_names_weigh_the_same_and_others_differ() {
    let key = Point::new("key");
    assert_eq!(key.weight(Point::new("a")), key.weight(Point::new("a")));
    assert_ne!(key.weight(Point::new("a")), key.weight(Point::new("b")));
}

#[test]
fn other_domains_are_distinct_and_avoid_the_given_one() {
    let hosts = [("a1", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")];
    let selected = in_other_domains(&hosts, |host| host.1, "a", 2);
    assert_eq!(selected, [&("b1", "b"), &("c1", "c")]);
    assert_eq!(in_other_domains(&hosts[..3], |host| host.1, "a", 2).len(), 1);
}
