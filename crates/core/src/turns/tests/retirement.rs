use {
    super::{super::*, store_host},
    crate::ids::{HostId, RequestId},
    std::{
        collections::{BTreeMap, HashMap},
        time::Instant,
    },
};

const COPIES: usize = 2;

fn trees(turns: &[&str]) -> HeldTrees {
    match turns {
        [] => Vec::new(),
        turns => vec![("p".into(), turns.iter().map(|turn| (*turn).into()).collect())],
    }
}

fn own(turns: &[&str], is_final: bool) -> OwnTurns {
    OwnTurns { trees: trees(turns), is_final }
}

fn held(lists: &[(&str, &[&str])]) -> HashMap<HostId, HeldTurns> {
    let turns = |turns: &[&str]| HeldTurns { trees: trees(turns), may_leave: false };
    lists.iter().map(|(host, list)| ((*host).into(), turns(list))).collect()
}

fn hosts() -> Vec<StoreHost> {
    let leaving = StoreHost { is_leaving: true, ..store_host("own", "d0") };
    vec![store_host("a", "d1"), store_host("b", "d2"), leaving]
}

fn sent(sent: &[(&str, &[&str])]) -> RetirementStep {
    let turns = |turns: &[&str]| turns.iter().map(|turn| RequestId::from(*turn)).collect();
    let sent = sent.iter().map(|(host, list)| (HostId::from(*host), turns(list)));
    RetirementStep::Send(sent.collect::<BTreeMap<_, _>>())
}

#[test]
fn host_that_leaves_waits_for_others_and_then_sends_what_they_lack() {
    let start = Instant::now();
    let mut retirement = Retirement::begin(start);
    let mut check = |after: Duration, turns: &[&str], lists: &[(&str, &[&str])]| {
        let now = start + after;
        retirement.on_checked(now, &own(turns, false), &hosts(), &held(lists), COPIES)
    };
    let ms = Duration::from_millis;
    let chain = ["t1", "t2", "t3"];
    assert_eq!(check(ms(400), &chain, &[("a", &[]), ("b", &[])]), RetirementStep::Wait);
    // Others fetch, as long as it takes.
    assert_eq!(check(ms(2900), &chain, &[("a", &["t1"]), ("b", &["t1"])]), RetirementStep::Wait);
    let list: &[(&str, &[&str])] = &[("a", &["t1", "t2"]), ("b", &["t1"])];
    assert_eq!(check(ms(5800), &chain, list), RetirementStep::Wait);
    let rest = sent(&[("a", &["t3"]), ("b", &["t2", "t3"])]);
    assert_eq!(check(ms(5900), &chain, list), rest, "each after the one that it continues");
    assert_eq!(check(ms(6300), &chain, list), RetirementStep::Wait, "they are on their way");
    // Another host that holds a turn is not enough if one that should hold it does not answer.
    assert_eq!(check(ms(9000), &chain, &[("a", &chain)]), RetirementStep::WaitForHosts);
    let all: &[(&str, &[&str])] = &[("a", &chain), ("b", &chain)];
    assert_eq!(check(ms(9400), &chain, all), RetirementStep::StopAccepting);
}

#[test]
fn host_is_done_once_no_turn_can_come() {
    let now = Instant::now();
    let mut retirement = Retirement::begin(now);
    let mut check = |is_final: bool, hosts: &[StoreHost], held: &HashMap<HostId, HeldTurns>| {
        retirement.on_checked(now, &own(&["t1"], is_final), hosts, held, COPIES)
    };
    let all = held(&[("a", &["t1"]), ("b", &["t1"])]);
    assert_eq!(check(false, &hosts(), &all), RetirementStep::StopAccepting);
    assert_eq!(check(true, &hosts(), &all), RetirementStep::Finish);
    // Copies at hosts that leave do not count, whether the list of hosts or they themselves say so.
    let mut leaving = all.clone();
    leaving.get_mut("b").expect("a list").may_leave = true;
    assert_eq!(check(true, &hosts(), &leaving), RetirementStep::Wait);
    let mut listed = hosts();
    listed[1].is_leaving = true;
    assert_eq!(check(true, &listed, &all), RetirementStep::Wait);
    assert_eq!(check(true, &hosts(), &held(&[("a", &["t1"])])), RetirementStep::Wait);
    assert_eq!(retirement.lacking_count(), 1);
}
