mod cluster;
mod retirement;
mod search;
mod transfer_rate;

use {
    super::*,
    crate::ids::HostId,
    std::{
        collections::{BTreeMap, HashSet},
        time::Instant,
    },
};

const MINUTE: Duration = Duration::from_secs(60);

fn store_host(host: &str, domain: &str) -> StoreHost {
    StoreHost { host: host.into(), domain: domain.into(), is_leaving: false }
}

fn names(ranked: &[&StoreHost]) -> Vec<String> {
    ranked.iter().map(|host| host.host.to_string()).collect()
}

fn head(id: &str, previous: Option<&str>, tree: &str) -> TurnHead {
    TurnHead {
        id: id.into(),
        team: "malabar".into(),
        previous: previous.map(Into::into),
        tree: tree.into(),
        retention: MINUTE,
        upstream: None,
    }
}

#[test]
fn first_holders_are_in_different_domains() {
    let hosts = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("c1", "c")];
    let hosts = hosts.map(|(host, domain)| store_host(host, domain));
    for tree in 0..50 {
        let ranked = rank_holders(&tree.to_string(), &hosts);
        assert_eq!(ranked.len(), hosts.len());
        let domains: HashSet<_> = ranked[..3].iter().map(|host| &host.domain).collect();
        assert_eq!(domains.len(), 3);
    }
}

#[test]
fn leaving_hosts_come_last() {
    let mut hosts = [("a1", "a"), ("b1", "b"), ("c1", "c")].map(|(h, d)| store_host(h, d));
    hosts[1].is_leaving = true;
    for tree in 0..20 {
        assert_eq!(names(&rank_holders(&tree.to_string(), &hosts))[2], "b1");
    }
}

#[test]
fn lost_host_moves_only_its_own_trees() {
    let hosts: Vec<StoreHost> =
        (0..8).map(|host| store_host(&format!("s{host}"), &format!("d{host}"))).collect();
    for tree in 0..100 {
        let tree = tree.to_string();
        let before = names(&rank_holders(&tree, &hosts)[..2]);
        let after = names(&rank_holders(&tree, &hosts[1..])[..2]);
        if !before.contains(&"s0".to_string()) {
            assert_eq!(before, after);
        }
    }
}

#[test]
fn turn_is_durable_once_enough_hosts_have_synced_it() {
    let hosts = ["s0", "s1", "s2", "s3"].map(HostId::from);
    let (mut round, first) = WriteRound::begin(2, hosts.to_vec()).expect("enough hosts");
    assert_eq!(first, hosts[..2]);
    round.on_stored(&hosts[0]);
    assert!(!round.is_durable());
    round.on_stored(&hosts[0]);
    assert!(!round.is_durable(), "the same host twice is one copy");
    assert_eq!(round.on_failed(&hosts[1]), Some(hosts[2].clone()));
    assert_eq!(round.on_slow(), Some(hosts[3].clone()));
    round.on_stored(&hosts[3]);
    assert!(round.is_durable());
}

#[test]
fn round_is_hopeless_once_too_few_hosts_are_left() {
    let hosts = ["s0", "s1", "s2"].map(HostId::from);
    let (mut round, _) = WriteRound::begin(2, hosts.to_vec()).expect("enough hosts");
    assert_eq!(round.on_failed(&hosts[0]), Some(hosts[2].clone()));
    assert!(!round.is_hopeless());
    round.on_stored(&hosts[1]);
    assert_eq!(round.on_failed(&hosts[2]), None);
    assert!(round.is_hopeless());
    let too_few = WriteRound::begin(4, hosts.to_vec()).expect_err("three hosts");
    assert_eq!(too_few, TooFewHosts { copies: 4, hosts: 3 });
}

#[test]
fn absence_is_certain_only_if_all_listed_hosts_are_complete() {
    let listed = ["s0", "s1"].map(HostId::from);
    let absent = |is_complete| HolderReply::Absent { is_complete };
    let is_certain = |replies: &[(usize, HolderReply)]| {
        let replies = replies.iter().map(|(host, reply)| (listed[*host].clone(), *reply));
        is_certainly_absent(&listed, &replies.collect::<BTreeMap<_, _>>())
    };
    assert!(is_certain(&[(0, absent(true)), (1, absent(true))]));
    assert!(!is_certain(&[(0, absent(true))]), "one has not replied");
    assert!(!is_certain(&[(0, absent(true)), (1, absent(false))]), "one has lost its disk");
    assert!(!is_certain(&[(0, absent(true)), (1, HolderReply::Unknown)]));
    assert!(!is_certainly_absent(&[], &BTreeMap::new()), "no host is listed");
}

#[test]
fn chain_is_read_from_the_newest_turn_over_branches() {
    let (mut index, now) = (TurnIndex::default(), Instant::now());
    for (location, (id, previous)) in
        [("t1", None), ("t2", Some("t1")), ("t3", Some("t2")), ("u3", Some("t2"))]
            .into_iter()
            .enumerate()
    {
        index.insert(now, head(id, previous, "p"), location).expect("the previous turn is stored");
    }
    let locations = |id| index.chain(id).map(|(_, location)| location).collect::<Vec<_>>();
    assert_eq!(locations("t3"), [2, 1, 0]);
    assert_eq!(locations("u3"), [3, 1, 0]);
    assert!(locations("unknown").is_empty());
}

#[test]
fn turn_needs_the_one_that_it_continues() {
    let (mut index, now) = (TurnIndex::default(), Instant::now());
    let second = head("t2", Some("t1"), "p");
    assert_eq!(index.insert(now, second.clone(), 0), Err(InsertError::MissingPrevious));
    index.insert(now, head("t1", None, "p"), 1).expect("a first turn");
    index.insert(now, second.clone(), 2).expect("the previous turn is stored");
    assert_eq!(index.check(&second), Ok(false), "stored already");
    index.insert(now, second, 3).expect("the same turn again changes nothing");
    assert_eq!(index.get("t2").map(|(_, location)| location), Some(2));
    let other = TurnHead { team: "other".into(), ..head("t2", Some("t1"), "p") };
    assert_eq!(index.check(&other), Err(InsertError::Conflict));
}

/// Guards against hosts of several builds taking a turn for a conflicting one, and against records
/// of the previous build that can't be read.
#[test]
fn head_without_its_upstream_is_that_of_the_same_turn() {
    let named = TurnHead { upstream: Some("i-1".into()), ..head("t1", None, "p") };
    let mut record = serde_json::to_value(&named).expect("serializable");
    record.as_object_mut().expect("an object").remove("upstream");
    let unnamed: TurnHead = serde_json::from_value(record).expect("a record of the previous build");
    assert_eq!(unnamed, head("t1", None, "p"));
    let now = Instant::now();
    for (first, second) in [(&named, &unnamed), (&unnamed, &named)] {
        let mut index = TurnIndex::default();
        index.insert(now, first.clone(), 0).expect("a first turn");
        assert_eq!(index.check(second), Ok(false), "the same turn");
    }
}

#[test]
fn tree_is_forgotten_whole_after_its_last_turn() {
    let (mut index, now) = (TurnIndex::default(), Instant::now());
    index.insert(now, head("t1", None, "p"), 0).expect("a first turn");
    index.insert(now, head("v1", None, "q"), 1).expect("a first turn");
    let later = now + MINUTE / 2;
    index.insert(later, head("t2", Some("t1"), "p"), 2).expect("the previous turn is stored");
    assert_eq!(index.expire(now + MINUTE), 1, "only the other tree");
    assert_eq!(index.chain("t2").count(), 2);
    assert_eq!(index.expire(later + MINUTE), 2);
    assert!(index.is_empty());
}

#[test]
fn damaged_turn_is_removed_with_those_that_continue_it() {
    let (mut index, now) = (TurnIndex::default(), Instant::now());
    for (id, previous) in [("t1", None), ("t2", Some("t1")), ("t3", Some("t2")), ("u2", Some("t1"))]
    {
        index.insert(now, head(id, previous, "p"), ()).expect("the previous turn is stored");
    }
    index.remove_damaged("t2");
    assert!(!index.contains("t2") && !index.contains("t3"));
    assert_eq!(index.tree("p"), ["t1".into(), "u2".into()]);
    index.insert(now, head("t2", Some("t1"), "p"), ()).expect("it may be stored again");
}

#[test]
fn host_asks_all_others_again_after_each_change() {
    let peer = |incarnation| PullPeer { incarnation, disk: 1, is_replaced: false };
    let (s1, s2) = (HostId::from("s1"), HostId::from("s2"));
    let peers = BTreeMap::from([(s1.clone(), peer(1)), (s2.clone(), peer(1))]);
    let mut round = PullRound::new(false);
    assert!(!round.is_settled(), "the other hosts are not known");
    round.set_peers(peers.clone());
    let first = round.number();
    assert!(!round.on_pulled(&s1, first));
    assert!(round.on_pulled(&s2, first), "now it has recovered");
    assert!(round.is_settled());
    round.set_peers(peers);
    assert!(round.is_settled(), "nothing has changed");
    round.set_peers(BTreeMap::from([(s1.clone(), peer(1)), (s2.clone(), peer(2))]));
    assert_eq!(round.unasked().count(), 2);
    round.on_pulled(&s1, first);
    round.on_pulled(&s2, first);
    assert_eq!(round.unasked().count(), 2, "asked before the change");
    assert!(round.has_recovered(), "its own disk was not lost");
    round.on_damage();
    assert!(!round.has_recovered());
}

#[test]
fn host_without_others_has_recovered() {
    let mut round = PullRound::new(false);
    round.set_peers(BTreeMap::new());
    assert!(round.is_settled());
}

/// Guards against turns with one copy less after a host has gone for good: a host that answers no
/// question keeps its place as a holder.
#[test]
fn host_that_does_not_answer_is_replaced_until_it_answers() {
    let peer = |incarnation| PullPeer { incarnation, disk: 1, is_replaced: false };
    let (s1, s2) = (HostId::from("s1"), HostId::from("s2"));
    let peers = BTreeMap::from([(s1.clone(), peer(1)), (s2.clone(), peer(1))]);
    let (mut round, start) = (PullRound::new(true), Instant::now());
    let at = |millis| start + Duration::from_millis(millis);
    round.set_peers(peers);
    let first = round.number();
    round.on_pulled(&s1, first);
    assert!(!round.on_unanswered(&s2, at(300)), "it may have paused, or this host");
    assert!(!round.on_unanswered(&s2, at(1000)));
    assert!(!round.is_replaced(&s2));
    assert!(round.on_unanswered(&s2, at(1300)));
    assert!(round.is_replaced(&s2));
    assert!(!round.on_unanswered(&s2, at(1600)), "it has been replaced already");
    assert_eq!(round.unasked().count(), 2, "its trees may be this host's now");
    round.on_pulled(&s1, first);
    assert_eq!(round.unasked().count(), 2, "asked before it was replaced");
    round.on_answered(&s2);
    assert!(!round.is_replaced(&s2));
    assert!(!round.on_unanswered(&s2, at(5300)), "the time begins anew");
    assert!(round.on_unanswered(&s2, at(6300)));
    round.set_peers(BTreeMap::from([(s1.clone(), peer(1)), (s2.clone(), peer(2))]));
    assert!(!round.is_replaced(&s2), "it has started again");
    assert!(!round.on_unanswered(&"unknown".into(), at(9000)));
}
