//! Random interleavings of owners, successors, backups and the store, checked against the journal's
//! guarantees.

mod journal_world;

use {
    journal_world::{Disabled, Machine, World},
    proptest::{
        prelude::*,
        strategy::ValueTree,
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::time::Duration,
};

const SEED: u64 = 20_261_203;
/// Number of actions in one history.
const ACTIONS: usize = 700;

/// Runs the action that `choice` encodes. Histories are lists of numbers, so that proptest can
/// shrink them.
fn run_action(world: &mut World, choice: u32) {
    let arg = (choice >> 6) as usize;
    let host = arg % 3;
    match choice % 64 {
        0..28 => world.deliver(arg),
        28..32 => world.fail(arg >> 1, arg & 1 == 0),
        32..40 => world.advance_time(Duration::from_millis(10)),
        40..42 => world.advance_time(Duration::from_millis(60)),
        42..45 => drop(world.create(host)),
        45..56 => step(world, host, arg / 3),
        56..58 => release(world, host, arg / 3),
        58..60 => world.take_over(host, arg / 3),
        60 => world.is_store_down = true,
        61 => world.is_store_down = false,
        62 if arg.is_multiple_of(4) => world.kill(host),
        63 if arg.is_multiple_of(4) => world.restart_backup(0),
        _ => {}
    }
}

fn step(world: &mut World, host: usize, arg: usize) {
    let programs: Vec<_> = world.hosts[host].created.iter().cloned().collect();
    if let Some(program) = programs.get(arg % programs.len().max(1)) {
        world.step(host, program, (arg / 16 % 4) as u32);
    }
}

fn release(world: &mut World, host: usize, arg: usize) {
    let programs: Vec<_> = world.hosts[host].created.iter().cloned().collect();
    if let Some(program) = programs.get(arg % programs.len().max(1)) {
        world.release(host, program);
    }
}

fn run(disabled: Disabled, choices: &[u32]) -> World {
    let mut world = World::new(disabled);
    world.take_over(0, 0);
    world.run(5);
    for choice in choices {
        run_action(&mut world, *choice);
    }
    if !world.restore_and_take_over() {
        world.violations.push("no host could take over at the end".into());
    }
    world
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    })
}

#[test]
fn no_interleaving_violates_a_guarantee() {
    println!("seed {SEED}");
    let mut totals = [0; 5];
    let totals_cell = std::cell::RefCell::new(&mut totals);
    let histories = proptest::collection::vec(any::<u32>(), ACTIONS);
    let result = runner(400).run(&histories, |choices| {
        let world = run(Disabled::Nothing, &choices);
        let mut totals = totals_cell.borrow_mut();
        let acked = world.acked.len() as u64;
        let counts =
            [world.takeovers, world.adoptions, world.deletions, world.durable_by_backups, acked];
        totals.iter_mut().zip(counts).for_each(|(total, count)| *total += count);
        prop_assert!(world.violations.is_empty(), "{:#?}", world.violations);
        Ok(())
    });
    println!("takeovers, adoptions, deletions, durable by backups, acknowledged: {totals:?}");
    if let Err(error) = result {
        panic!("{error}");
    }
    // The histories must exercise each mechanism, or the test shows nothing about it.
    assert!(totals.iter().all(|total| *total > 400), "{totals:?}");
}

/// Disables one mechanism of the store or the driver at a time. The model must then find a
/// violation.
#[test]
fn each_disabled_mechanism_causes_a_violation() {
    println!("seed {SEED}");
    let mechanisms = [
        Disabled::CreateIfAbsent,
        Disabled::Claim,
        Disabled::ClaimRefusal,
        Disabled::ReadOnConflict,
    ];
    for disabled in mechanisms {
        let histories = proptest::collection::vec(any::<u32>(), ACTIONS);
        let mut runner = runner(400);
        let found = (0..400).any(|_| {
            let tree = histories.new_tree(&mut runner).expect("a history");
            !run(disabled, &tree.current()).violations.is_empty()
        });
        assert!(found, "no violation was found with {disabled:?}");
    }
}

#[test]
fn the_simulation_makes_progress() {
    let mut world = World::new(Disabled::Nothing);
    world.take_over(0, 0);
    world.run(5);
    assert!(matches!(world.hosts[0].machine, Machine::Owning(_)));
    let program = world.create(0);
    world.run(5);
    world.step(0, &program, 1);
    world.run(5);
    assert_eq!(world.acked.len(), 2);
}
