//! Membership on a small group of hosts, under faults from a table.

mod sizes;
mod world;

use {
    super::{Event, HostState, Options, options::Rule},
    std::time::Duration,
    world::{HEARTBEAT, STEP, World},
};

fn options() -> Options {
    Options::scaled(HEARTBEAT)
}

fn without(rule: Rule) -> Options {
    Options { disabled: Some(rule), ..options() }
}

fn beats(count: u32) -> Duration {
    HEARTBEAT * count
}

fn settled(options: Options) -> World {
    let mut world = World::with_hosts(options, 2);
    world.run(beats(25));
    assert_eq!(world.leased().len(), 6, "all hosts have leases after the start");
    assert_eq!(world.vacant(), 0, "all roles are held after the start");
    world
}

/// Faults of the platform, the network and hosts. Each may come at any moment, together or twice.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause(&'static str),
    Kill(&'static str),
    Restart(&'static str),
    RestartWhilePaused(&'static str),
    Drain(&'static str),
    Join(&'static str),
    StoreDown,
    StoreSlow,
    AnswersLost,
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
    Fault::RestartWhilePaused("a2"),
    Fault::RestartWhilePaused("c1"),
    Fault::Drain("a1"),
    Fault::Join("b0"),
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::AnswersLost,
    Fault::CutFromStore("a1"),
    Fault::CutPair("a1", "a2"),
    Fault::CutDomain("c", false),
    Fault::CutDomain("c", true),
    Fault::CutDomain("a", true),
    Fault::DelegatesCutFromStore,
];

impl Fault {
    fn strike(self, world: &mut World) {
        match self {
            Self::Pause(host) => pause(world, host),
            Self::Kill(host) => world.kill(host),
            Self::Restart(host) => {
                world.kill(host);
                world.launch(host, 1.0);
            }
            Self::RestartWhilePaused(host) => {
                pause(world, host);
                world.launch(host, 1.0);
            }
            Self::Drain(host) => world.event(host, Event::Drain),
            Self::Join(host) => {
                world.launch(host, 1.0);
            }
            Self::StoreDown => world.is_store_up = false,
            Self::StoreSlow => world.store_latency = HEARTBEAT * 4 / 10,
            Self::AnswersLost => world.loses_answers = true,
            Self::CutFromStore(host) => {
                world.cut_from_store.insert(host.into());
            }
            Self::CutPair(a, b) => world.cut(a, b),
            Self::CutDomain(domain, from_store) => world.cut_domain(domain, from_store),
            Self::DelegatesCutFromStore => {
                for host in ["a1", "b1", "c1"] {
                    world.cut_from_store.insert(host.into());
                }
            }
        }
    }
}

fn pause(world: &mut World, host: &str) {
    if let Some(member) = world.member(host) {
        world.processes.get_mut(&member).expect("known").is_paused = true;
    }
}

fn assert_exact(world: &World, case: &str) {
    assert_eq!(world.doubles, 0, "two hosts held one role: {case}");
    assert_eq!(world.overshoot, 0, "a team got more than its allowance: {case}");
}

/// Strikes with some faults one after the other, heals, and looks at the end.
fn try_faults(start: &World, faults: &[Fault]) {
    let case = format!("{faults:?}");
    let mut world = start.clone();
    for fault in faults {
        fault.strike(&mut world);
        world.run(beats(7));
    }
    world.run(beats(15));
    assert_exact(&world, &case);
    world.heal();
    world.run(beats(45));
    assert_exact(&world, &case);
    assert_recovered(&world, &case);
}

fn assert_recovered(world: &World, case: &str) {
    // Of two processes with one name, one has the lease: the former if it never lost it.
    let mut leased: Vec<_> = world.leased().into_iter().map(|member| member.host).collect();
    let mut hosts: Vec<_> = world.processes.keys().map(|member| member.host.clone()).collect();
    hosts.dedup();
    leased.sort();
    assert_eq!(leased, hosts, "{case}");
    assert_eq!(world.vacant(), 0, "{case}");
}

#[test]
fn each_fault_alone_and_twice() {
    let start = settled(options());
    for fault in FAULTS {
        try_faults(&start, &[*fault]);
        try_faults(&start, &[*fault, *fault]);
    }
}

/// A third of all pairs, so that the thirds run side by side.
fn try_pairs(third: usize) {
    let start = settled(options());
    for first in FAULTS.iter().skip(third).step_by(3) {
        for second in FAULTS {
            try_faults(&start, &[*first, *second]);
        }
    }
}

#[test]
fn pairs_of_faults_first_third() {
    try_pairs(0);
}

#[test]
fn pairs_of_faults_second_third() {
    try_pairs(1);
}

#[test]
fn pairs_of_faults_last_third() {
    try_pairs(2);
}

#[test]
fn first_host_of_an_empty_site_is_live_at_once() {
    let mut world = World::new(options());
    world.launch("a1", 1.0);
    world.run(beats(2));
    assert_eq!(world.leased().len(), 1);
    assert_eq!(world.machine("a1").state(), HostState::Live);
    assert_eq!(world.vacant(), 0);
}

#[test]
fn store_down_for_long_freezes_the_view_and_serves_on() {
    let mut world = settled(options());
    world.is_store_up = false;
    world.run(beats(300));
    assert_eq!(world.leased().len(), 6, "leases go on");
    assert_eq!(world.vacant(), 0, "limiters stay where they are");
    let age = world.manifest_age("a2").expect("seen");
    assert!(age < beats(5), "no change can have been accepted: {age:?}");
    // A host that isn't a delegate dies: the others go on, and nobody takes its limiters over.
    world.kill("b2");
    world.run(beats(100));
    assert_eq!(world.leased().len(), 5);
    assert_exact(&world, "store down");
    // A delegate dies: it might be alive behind a cut, with the store. All leases end.
    world.kill("c1");
    world.run(beats(20));
    assert_eq!(world.leased(), []);
    world.is_store_up = true;
    world.run(beats(60));
    assert_eq!(world.leased().len(), 4);
    assert_eq!(world.vacant(), 0);
    assert_exact(&world, "store back");
}

/// Whatever the phases of the delegates' rounds, no lease ends when the store goes down.
#[test]
fn store_going_down_ends_no_lease() {
    for phase in 0..10 {
        let mut world = World::new(options());
        for (number, host) in ["a1", "b1", "c1", "a2", "b2", "c2"].iter().enumerate() {
            world.launch(host, 1.0);
            world.run(STEP * (number as u32 * phase % 10));
        }
        world.run(beats(25));
        world.run(STEP * phase);
        world.is_store_up = false;
        for _ in 0..100 {
            world.run(STEP);
            assert_eq!(world.leased().len(), 6, "phase {phase}");
        }
        assert_eq!(world.vacant(), 0);
    }
}

#[test]
fn delegate_without_the_store_writes_through_another() {
    let mut world = settled(options());
    world.cut_from_store.insert("a1".into());
    world.run(beats(100));
    assert_eq!(world.leased().len(), 6);
    assert!(world.machine("a1").is_delegate());
    assert_eq!(world.vacant(), 0);
    let age = world.manifest_age("a2").expect("seen");
    assert!(age < beats(5), "{age:?}");
}

/// A row of the table of region cuts: which domain is cut off, whether it loses the store, whether
/// the others do, and the hosts that have leases while it lasts.
const REGION_CUTS: &[(&str, bool, bool, usize)] = &[
    // The cut domain has the store too: everybody goes on.
    ("c", false, false, 6),
    // It hasn't: it stops, and the others take over.
    ("c", true, false, 4),
    // Only it has: it takes nothing over, for nobody else's guards release; the others stop.
    ("c", false, true, 2),
    // Nobody has: each side can't tell whether the other has.
    ("c", true, true, 0),
];

#[test]
fn regions_cut_for_long() {
    for case in REGION_CUTS {
        let (domain, cut_side, other_side, leased) = *case;
        let mut world = settled(options());
        world.cut_domain(domain, cut_side);
        if other_side {
            world.cut_from_store.extend(["a1", "a2", "b1", "b2"].map(Into::into));
        }
        world.run(beats(400));
        assert_eq!(world.leased().len(), leased, "{case:?}");
        assert_exact(&world, &format!("{case:?}"));
        world.heal();
        world.run(beats(60));
        assert_exact(&world, &format!("{case:?}"));
        assert_recovered(&world, &format!("{case:?}"));
    }
}

#[test]
fn drained_host_gives_up_roles_at_once_and_leaves() {
    let mut world = settled(options());
    world.event("a1", Event::Drain);
    let member = world.member("a1").expect("known");
    assert!(world.leased().contains(&member), "it ends what it has");
    world.run(beats(4));
    assert_eq!(world.vacant(), 0, "no wait for a lease to end");
    assert_ne!(world.machine("a2").delegate().map(|host| &**host), Some("a1"));
    world.event("a1", Event::Leave);
    world.run(beats(3));
    assert!(world.machine("b1").host("a1").is_none());
    assert_exact(&world, "drain");
}

#[test]
fn paused_host_finds_its_lease_lapsed() {
    for (options, may_act) in [(options(), false), (without(Rule::Lease), true)] {
        let mut world = settled(options);
        pause(&mut world, "a2");
        world.run(beats(5));
        let member = world.member("a2").expect("known");
        let machine = &world.processes[&member].machine;
        assert_eq!(machine.may_act(world.local(&member)), may_act);
    }
}

/// New hosts come before settled ones for some roles, while those no longer hear from their
/// delegate and still have leases.
#[test]
fn settling_keeps_a_new_host_from_acting_too_early() {
    for (options, is_exact) in [(options(), true), (without(Rule::Settling), false)] {
        let mut world = settled(options);
        for domain in ["a", "b", "c"] {
            let delegate = world.member(&format!("{domain}1")).expect("known");
            world.mute(&delegate, &format!("{domain}2"));
            for number in 3..7 {
                world.launch(&format!("{domain}{number}"), 1.0);
            }
        }
        world.run(beats(20));
        assert_eq!(world.doubles == 0, is_exact);
        assert_eq!(world.vacant(), 0);
    }
}

/// A host of a frozen domain reaches the store while its delegate doesn't, and can't reach it.
#[test]
fn frozen_hosts_are_not_removed_without_a_release() {
    for (options, is_exact) in [(options(), true), (without(Rule::Release), false)] {
        let mut world = settled(options);
        world.cut_from_store.extend(["a1", "b1", "b2", "c1", "c2"].map(Into::into));
        for other in ["a1", "b1", "b2", "c1", "c2"] {
            world.cut("a2", other);
        }
        world.run(beats(60));
        assert!(world.machine("a2").is_delegate(), "it writes the roster");
        assert!(world.leased().len() >= 5, "the others go on");
        assert_eq!(world.doubles == 0, is_exact);
        assert_eq!(world.overshoot == 0, is_exact);
    }
}

/// A process behind a cut is replaced by another with its name, which then drains.
#[test]
fn new_incarnation_waits_for_the_lease_of_the_former_one() {
    for (options, is_exact) in [(options(), true), (without(Rule::Incarnation), false)] {
        let mut doubles = 0;
        for host in ["a2", "b2", "c2"] {
            let mut world = settled(options.clone());
            let delegate = format!("{}1", &host[..1]);
            world.run(STEP * 3);
            world.launch(host, 1.0);
            let former = world.processes.keys().find(|m| &*m.host == host).cloned();
            world.mute(&former.expect("known"), &delegate);
            world.run(HEARTBEAT);
            world.event(host, Event::Drain);
            world.run(beats(20));
            doubles += world.doubles;
        }
        assert_eq!(doubles == 0, is_exact);
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Default::default()
    })]

    /// Faults at random times, lost messages and clocks that differ by up to 1%.
    #[test]
    fn random_faults_and_drift(
        faults in proptest::collection::vec((0..FAULTS.len(), 0_u32..120), 1..6),
        rates in proptest::collection::vec(0.99_f64..1.0, 6),
        loses_one_in in proptest::sample::select(vec![0_u64, 5, 20]),
    ) {
        let mut world = World::new(options());
        for (host, rate) in ["a1", "a2", "b1", "b2", "c1", "c2"].iter().zip(&rates) {
            world.launch(host, *rate);
        }
        world.run(beats(25));
        world.loses_one_in = loses_one_in;
        for (fault, steps) in &faults {
            FAULTS[*fault].strike(&mut world);
            world.run(STEP * *steps);
        }
        world.heal();
        world.run(beats(60));
        let case = format!("{faults:?} {rates:?} {loses_one_in}");
        assert_exact(&world, &case);
        assert_recovered(&world, &case);
    }
}
