//! Membership on a small group of hosts, under faults from a table.

mod world;

use {
    super::{Event, HostState, Options, options::Rule},
    std::time::Duration,
    world::{HEARTBEAT, World},
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
fn try_faults(faults: &[Fault]) {
    let case = format!("{faults:?}");
    let mut world = settled(options());
    for fault in faults {
        fault.strike(&mut world);
        world.run(beats(7));
    }
    world.run(beats(15));
    assert_exact(&world, &case);
    world.heal();
    world.run(beats(60));
    assert_exact(&world, &case);
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
    for fault in FAULTS {
        try_faults(&[*fault]);
        try_faults(&[*fault, *fault]);
    }
}

#[test]
fn each_pair_of_faults() {
    for first in FAULTS {
        for second in FAULTS {
            try_faults(&[*first, *second]);
        }
    }
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
