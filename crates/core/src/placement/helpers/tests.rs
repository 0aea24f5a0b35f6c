use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|number| format!("host-{number}").into()).collect()
}

fn in_reach(hosts: &[HostId]) -> impl Iterator<Item = (&HostId, bool)> {
    hosts.iter().map(|host| (host, false))
}

#[test]
fn host_out_of_reach_is_asked_if_there_is_no_other() {
    let now = Instant::now();
    let hosts = hosts(2);
    let mut helpers = Helpers::default();
    let one_out_of_reach = || [(&hosts[0], true), (&hosts[1], false)];
    for _ in 0..10 {
        assert_eq!(helpers.choose(now, one_out_of_reach(), || 0), Some(&hosts[1]));
        helpers.record_sent(&hosts[1]);
    }
    helpers.record_rejected(now, &hosts[1]);
    assert_eq!(helpers.choose(now, one_out_of_reach(), || 0), Some(&hosts[0]));
    helpers.record_rejected(now, &hosts[0]);
    assert_eq!(helpers.choose(now, one_out_of_reach(), || 0), None, "both failed lately");
}

#[test]
fn host_that_rejected_a_request_is_avoided_for_a_while() {
    let now = Instant::now();
    let hosts = hosts(2);
    let mut helpers = Helpers::default();
    helpers.record_rejected(now, &hosts[0]);
    for _ in 0..10 {
        assert_eq!(helpers.choose(now, in_reach(&hosts), || 0), Some(&hosts[1]));
        helpers.record_sent(&hosts[1]);
    }
    helpers.record_rejected(now, &hosts[1]);
    assert_eq!(helpers.choose(now, in_reach(&hosts), || 0), None);
    let later = now + AVOIDED_DURATION;
    assert_eq!(
        helpers.choose(later, in_reach(&hosts), || 0),
        Some(&hosts[0]),
        "it has no open requests"
    );
}

/// Guards against a host that does not find the only helper, because it asks the hosts that have
/// rejected a request again as soon as they may be asked.
#[test]
fn host_that_has_helped_comes_before_those_that_have_rejected_a_request() {
    let now = Instant::now();
    let hosts = hosts(7);
    let mut random = StdRng::seed_from_u64(1);
    let mut helpers = Helpers::default();
    hosts[1..].iter().for_each(|host| helpers.record_rejected(now, host));
    let later = now + AVOIDED_DURATION;
    for _ in 0..20 {
        let chosen = helpers.choose(later, in_reach(&hosts), || random.random());
        assert_eq!(chosen, Some(&hosts[0]));
        helpers.record_sent(&hosts[0]);
    }
    helpers.record_helped(&hosts[1]);
    let chosen = helpers.choose(later, in_reach(&hosts), || random.random());
    assert_eq!(chosen, Some(&hosts[1]), "it has helped and has no open requests");
    helpers.record_rejected(later, &hosts[0]);
    helpers.record_rejected(later, &hosts[1]);
    assert!(helpers.choose(later, in_reach(&hosts), || random.random()).is_some());
}

/// Returns the most requests that one helper has open at the same time, if `stranded` hosts send
/// through `helper_count` others, each with this many requests open.
fn most_open(seed: u64, stranded: usize, helper_count: usize, open_each: usize) -> usize {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let hosts = hosts(helper_count);
    let mut open = vec![0_usize; helper_count];
    for _ in 0..stranded {
        let mut helpers = Helpers::default();
        for _ in 0..open_each {
            let chosen =
                helpers.choose(now, in_reach(&hosts), || random.random()).expect("a helper");
            helpers.record_sent(chosen);
            open[hosts.iter().position(|host| host == chosen).expect("a host")] += 1;
        }
    }
    open.into_iter().max().unwrap_or_default()
}

#[test]
fn requests_of_stranded_hosts_are_spread_over_the_others() {
    // Six of nine hosts, and 210 of 350, each with the requests that it has open at its peak.
    for (stranded, helper_count, open_each) in [(6, 3, 12), (210, 140, 12), (8, 1, 3)] {
        for seed in 0..20 {
            let most = most_open(seed, stranded, helper_count, open_each);
            let mean = stranded * open_each / helper_count;
            assert!(most <= 2 * mean, "{most} open requests at a helper, {mean} on average");
        }
    }
}
