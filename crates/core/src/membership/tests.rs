//! Tests of the membership protocol on a small simulated cluster, under injected faults.

mod cluster;
mod sizes;

use {
    super::{Event, HostState, Options, options::Rule},
    cluster::{Cluster, HEARTBEAT, STEP},
    std::time::Duration,
};

fn options() -> Options {
    Options::from_heartbeat(HEARTBEAT)
}

fn without(rule: Rule) -> Options {
    Options { disabled: Some(rule), ..options() }
}

fn heartbeat_intervals(count: u32) -> Duration {
    HEARTBEAT * count
}

fn settled_cluster(options: Options) -> Cluster {
    let mut cluster = Cluster::with_hosts(options, 2);
    cluster.run(heartbeat_intervals(25));
    assert_eq!(cluster.leased().len(), 6, "all hosts have leases after the start");
    assert_eq!(cluster.roles_without_holder(), 0, "all roles are held after the start");
    cluster
}

/// Faults of hosts, the network and the store. Each may occur at any time, repeatedly or combined
/// with others.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause(&'static str),
    Kill(&'static str),
    Restart(&'static str),
    RestartAll,
    RestartWhilePaused(&'static str),
    Drain(&'static str),
    Join(&'static str),
    StoreDown,
    StoreSlow,
    WriteAnswersLost,
    CutFromStore(&'static str),
    CutPair(&'static str, &'static str),
    CutDomain(&'static str, bool),
    DelegatesCutFromStore,
}

const FAULTS: &[Fault] = &[
    Fault::Pause("a1"),
    Fault::Pause("b2"),
    Fault::Kill("a1"),
    Fault::Kill("c2"),
    Fault::Restart("b1"),
    Fault::RestartAll,
    Fault::RestartWhilePaused("a2"),
    Fault::RestartWhilePaused("c1"),
    Fault::Drain("a1"),
    Fault::Join("b0"),
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::WriteAnswersLost,
    Fault::CutFromStore("a1"),
    Fault::CutPair("a1", "a2"),
    Fault::CutDomain("c", false),
    Fault::CutDomain("c", true),
    Fault::CutDomain("a", true),
    Fault::DelegatesCutFromStore,
];

impl Fault {
    fn inject(self, cluster: &mut Cluster) {
        match self {
            Self::Pause(host) => pause(cluster, host),
            Self::Kill(host) => cluster.kill(host),
            Self::Restart(host) => {
                cluster.kill(host);
                cluster.launch(host, 1.0);
            }
            Self::RestartAll => {
                let mut hosts: Vec<_> =
                    cluster.processes.keys().map(|member| member.host.clone()).collect();
                hosts.dedup();
                hosts.iter().for_each(|host| cluster.kill(host));
                for host in hosts {
                    cluster.launch(&host, 1.0);
                }
            }
            Self::RestartWhilePaused(host) => {
                pause(cluster, host);
                cluster.launch(host, 1.0);
            }
            Self::Drain(host) => cluster.inject_event(host, Event::Drain),
            Self::Join(host) => {
                cluster.launch(host, 1.0);
            }
            Self::StoreDown => cluster.is_store_up = false,
            Self::StoreSlow => cluster.store_latency = HEARTBEAT * 4 / 10,
            Self::WriteAnswersLost => cluster.loses_write_answers = true,
            Self::CutFromStore(host) => {
                cluster.cut_from_store.insert(host.into());
            }
            Self::CutPair(a, b) => cluster.cut(a, b),
            Self::CutDomain(domain, from_store) => cluster.cut_domain(domain, from_store),
            Self::DelegatesCutFromStore => {
                for host in ["a1", "b1", "c1"] {
                    cluster.cut_from_store.insert(host.into());
                }
            }
        }
    }
}

fn pause(cluster: &mut Cluster, host: &str) {
    if let Some(member) = cluster.member(host) {
        cluster.processes.get_mut(&member).expect("the member is part of the cluster").is_paused =
            true;
    }
}

fn assert_invariants(cluster: &Cluster, case: &str) {
    assert_eq!(cluster.double_holder_steps, 0, "two hosts held one role: {case}");
    assert_eq!(cluster.tokens_over_allowance, 0, "a team got more than its allowance: {case}");
}

/// Injects faults one after the other, then restores the cluster and checks that it recovers.
fn try_faults(start: &Cluster, faults: &[Fault]) {
    let case = format!("{faults:?}");
    let mut cluster = start.clone();
    for fault in faults {
        fault.inject(&mut cluster);
        cluster.run(heartbeat_intervals(7));
    }
    cluster.run(heartbeat_intervals(15));
    assert_invariants(&cluster, &case);
    cluster.restore();
    cluster.run(heartbeat_intervals(45));
    assert_invariants(&cluster, &case);
    assert_recovered(&cluster, &case);
}

fn assert_recovered(cluster: &Cluster, case: &str) {
    // If two incarnations of a host run, exactly one has a lease: the older one if it never lost
    // its lease.
    let mut leased: Vec<_> = cluster.leased().into_iter().map(|member| member.host).collect();
    let mut hosts: Vec<_> = cluster.processes.keys().map(|member| member.host.clone()).collect();
    hosts.dedup();
    leased.sort();
    assert_eq!(leased, hosts, "{case}");
    assert_eq!(cluster.roles_without_holder(), 0, "{case}");
}

#[test]
fn cluster_recovers_from_each_fault_alone_and_twice() {
    let start = settled_cluster(options());
    for fault in FAULTS {
        try_faults(&start, &[*fault]);
        try_faults(&start, &[*fault, *fault]);
    }
}

/// Tries one third of all pairs of faults. Three tests run the thirds in parallel.
fn try_pairs(third: usize) {
    let start = settled_cluster(options());
    for first in FAULTS.iter().skip(third).step_by(3) {
        for second in FAULTS {
            try_faults(&start, &[*first, *second]);
        }
    }
}

#[test]
fn cluster_recovers_from_pairs_of_faults_first_third() {
    try_pairs(0);
}

#[test]
fn cluster_recovers_from_pairs_of_faults_second_third() {
    try_pairs(1);
}

#[test]
fn cluster_recovers_from_pairs_of_faults_last_third() {
    try_pairs(2);
}

#[test]
fn first_host_of_an_empty_site_is_live_at_once() {
    let mut cluster = Cluster::new(options());
    cluster.launch("a1", 1.0);
    cluster.run(heartbeat_intervals(2));
    assert_eq!(cluster.leased().len(), 1);
    assert_eq!(cluster.machine("a1").state(), HostState::Live);
    assert_eq!(cluster.roles_without_holder(), 0);
}

#[test]
fn long_store_outage_freezes_the_view_and_keeps_leases() {
    let mut cluster = settled_cluster(options());
    cluster.is_store_up = false;
    cluster.run(heartbeat_intervals(300));
    assert_eq!(cluster.leased().len(), 6, "every host keeps its lease");
    assert_eq!(cluster.roles_without_holder(), 0, "every role has a holder");
    let age = cluster.manifest_age("a2").expect("the host has seen a manifest");
    assert!(age < heartbeat_intervals(5), "no change can have been accepted: {age:?}");
    // A host that isn't a delegate crashes. The others keep their leases, and no host takes over
    // its limiters.
    cluster.kill("b2");
    cluster.run(heartbeat_intervals(100));
    assert_eq!(cluster.leased().len(), 5);
    assert_invariants(&cluster, "store down");
    // A delegate crashes. The other hosts can't distinguish this from a network partition in which
    // the delegate still reaches the store, so all leases end.
    cluster.kill("c1");
    cluster.run(heartbeat_intervals(20));
    assert_eq!(cluster.leased(), []);
    cluster.is_store_up = true;
    cluster.run(heartbeat_intervals(60));
    assert_eq!(cluster.leased().len(), 4);
    assert_eq!(cluster.roles_without_holder(), 0);
    assert_invariants(&cluster, "store back");
}

/// No lease ends when the store becomes unavailable, whatever the phases of the delegates' rounds
/// at that time.
#[test]
fn store_outage_ends_no_lease() {
    for phase in 0..10 {
        let mut cluster = Cluster::new(options());
        for (number, host) in ["a1", "b1", "c1", "a2", "b2", "c2"].iter().enumerate() {
            cluster.launch(host, 1.0);
            cluster.run(STEP * (number as u32 * phase % 10));
        }
        cluster.run(heartbeat_intervals(25));
        cluster.run(STEP * phase);
        cluster.is_store_up = false;
        for _ in 0..100 {
            cluster.run(STEP);
            assert_eq!(cluster.leased().len(), 6, "phase {phase}");
        }
        assert_eq!(cluster.roles_without_holder(), 0);
    }
}

#[test]
fn delegate_without_the_store_writes_through_a_relay() {
    let mut cluster = settled_cluster(options());
    cluster.cut_from_store.insert("a1".into());
    cluster.run(heartbeat_intervals(100));
    assert_eq!(cluster.leased().len(), 6);
    assert!(cluster.machine("a1").is_delegate());
    assert_eq!(cluster.roles_without_holder(), 0);
    let age = cluster.manifest_age("a2").expect("the host has seen a manifest");
    assert!(age < heartbeat_intervals(5), "{age:?}");
}

/// Cases of a cut between one domain and the others: the domain, whether it loses the store,
/// whether the others lose the store, and the number of hosts with leases during the cut.
const DOMAIN_CUTS: &[(&str, bool, bool, usize)] = &[
    // Both sides reach the store: all hosts keep their leases.
    ("c", false, false, 6),
    // The cut domain doesn't reach the store: its leases end, and the others take over.
    ("c", true, false, 4),
    // Only the cut domain reaches the store: it takes over nothing, since it can't reach the guards
    // that could release the other domains. The leases of the others end.
    ("c", false, true, 2),
    // No side reaches the store, and neither side can determine whether the other does: all leases
    // end.
    ("c", true, true, 0),
];

#[test]
fn domain_cut_keeps_roles_exclusive_and_recovers() {
    for case in DOMAIN_CUTS {
        let (domain, cut_side, other_side, leased) = *case;
        let mut cluster = settled_cluster(options());
        cluster.cut_domain(domain, cut_side);
        if other_side {
            cluster.cut_from_store.extend(["a1", "a2", "b1", "b2"].map(Into::into));
        }
        cluster.run(heartbeat_intervals(400));
        assert_eq!(cluster.leased().len(), leased, "{case:?}");
        assert_invariants(&cluster, &format!("{case:?}"));
        cluster.restore();
        cluster.run(heartbeat_intervals(60));
        assert_invariants(&cluster, &format!("{case:?}"));
        assert_recovered(&cluster, &format!("{case:?}"));
    }
}

#[test]
fn draining_host_releases_roles_at_once_and_leaves() {
    let mut cluster = settled_cluster(options());
    cluster.inject_event("a1", Event::Drain);
    let member = cluster.member("a1").expect("the host has a process");
    assert!(cluster.leased().contains(&member), "a draining host keeps its lease until it leaves");
    cluster.run(heartbeat_intervals(4));
    assert_eq!(cluster.roles_without_holder(), 0, "the roles move before the lease ends");
    assert_ne!(cluster.machine("a2").delegate().map(|host| &**host), Some("a1"));
    cluster.inject_event("a1", Event::Leave);
    cluster.run(heartbeat_intervals(3));
    assert!(cluster.machine("b1").host("a1").is_none());
    assert_invariants(&cluster, "drain");
}

#[test]
fn paused_host_may_not_act_after_its_lease_expired() {
    for (options, may_act) in [(options(), false), (without(Rule::Lease), true)] {
        let mut cluster = settled_cluster(options);
        pause(&mut cluster, "a2");
        cluster.run(heartbeat_intervals(5));
        let member = cluster.member("a2").expect("the host has a process");
        let machine = &cluster.processes[&member].machine;
        assert_eq!(machine.may_act(cluster.local_time(&member)), may_act);
    }
}

/// New hosts rank above settled ones for some roles, while the settled hosts still have leases but
/// no longer receive messages from their delegate. Without settling, both would hold the roles.
#[test]
fn settling_keeps_a_new_host_from_acting_too_early() {
    for (options, expect_safe) in [(options(), true), (without(Rule::Settling), false)] {
        let mut cluster = settled_cluster(options);
        for domain in ["a", "b", "c"] {
            let delegate = cluster
                .member(&format!("{domain}1"))
                .expect("the domain's first host has a process");
            cluster.drop_messages(&delegate, &format!("{domain}2"));
            for number in 3..7 {
                cluster.launch(&format!("{domain}{number}"), 1.0);
            }
        }
        cluster.run(heartbeat_intervals(20));
        assert_eq!(cluster.double_holder_steps == 0, expect_safe);
        assert_eq!(cluster.roles_without_holder(), 0);
    }
}

/// A host of a frozen domain can't reach its delegate, but reaches the store, while the delegate
/// can't. If the host removed the frozen hosts without a release, roles would have two holders.
#[test]
fn frozen_hosts_are_not_removed_without_a_release() {
    for (options, expect_safe) in [(options(), true), (without(Rule::Release), false)] {
        let mut cluster = settled_cluster(options);
        cluster.cut_from_store.extend(["a1", "b1", "b2", "c1", "c2"].map(Into::into));
        for other in ["a1", "b1", "b2", "c1", "c2"] {
            cluster.cut("a2", other);
        }
        cluster.run(heartbeat_intervals(60));
        assert!(
            cluster.machine("a2").is_delegate(),
            "the host that reaches the store becomes the delegate"
        );
        assert!(cluster.leased().len() >= 5, "the other hosts keep their leases");
        assert_eq!(cluster.double_holder_steps == 0, expect_safe);
        assert_eq!(cluster.tokens_over_allowance == 0, expect_safe);
    }
}

/// While a process that is cut off from its delegate still runs, a new incarnation of its host
/// starts and drains. If the new incarnation replaced the entry at once, its draining would move
/// the roles to another host while the first process still holds them with a valid lease.
#[test]
fn new_incarnation_waits_for_the_lease_of_the_former_one() {
    for (options, expect_safe) in [(options(), true), (without(Rule::Incarnation), false)] {
        let mut double_holder_steps = 0;
        for host in ["a2", "b2", "c2"] {
            let mut cluster = settled_cluster(options.clone());
            let delegate = format!("{}1", &host[..1]);
            cluster.run(STEP * 3);
            cluster.launch(host, 1.0);
            let former = cluster.processes.keys().find(|m| &*m.host == host).cloned();
            cluster.drop_messages(&former.expect("the host has a former process"), &delegate);
            cluster.run(HEARTBEAT);
            cluster.inject_event(host, Event::Drain);
            cluster.run(heartbeat_intervals(20));
            double_holder_steps += cluster.double_holder_steps;
        }
        assert_eq!(double_holder_steps == 0, expect_safe);
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Default::default()
    })]

    /// Injects faults at random times, with lost messages and clock rates that differ by up to 1%.
    #[test]
    fn cluster_recovers_from_random_faults_and_drift(
        faults in proptest::collection::vec((0..FAULTS.len(), 0_u32..120), 1..6),
        rates in proptest::collection::vec(0.99_f64..1.0, 6),
        loss_interval in proptest::sample::select(vec![0_u64, 5, 20]),
    ) {
        let mut cluster = Cluster::new(options());
        for (host, rate) in ["a1", "a2", "b1", "b2", "c1", "c2"].iter().zip(&rates) {
            cluster.launch(host, *rate);
        }
        cluster.run(heartbeat_intervals(25));
        cluster.loss_interval = loss_interval;
        for (fault, steps) in &faults {
            FAULTS[*fault].inject(&mut cluster);
            cluster.run(STEP * *steps);
        }
        cluster.restore();
        cluster.run(heartbeat_intervals(60));
        let case = format!("{faults:?} {rates:?} {loss_interval}");
        assert_invariants(&cluster, &case);
        assert_recovered(&cluster, &case);
    }
}
