//! Random interleavings of owners, successors, backups and the store, checked against the journal's
//! guarantees.

mod journal_sim;

use {
    journal_sim::{Disabled, OwnershipState, Simulation},
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
fn run_action(sim: &mut Simulation, choice: u32) {
    let arg = (choice >> 6) as usize;
    let host = arg % 3;
    match choice % 64 {
        0..28 => sim.deliver(arg),
        28..32 => sim.fail(arg >> 1, arg & 1 == 0),
        32..40 => sim.advance_time(Duration::from_millis(10)),
        40..42 => sim.advance_time(Duration::from_millis(60)),
        42..45 => drop(sim.create(host)),
        45..56 => step(sim, host, arg / 3),
        56..58 => release(sim, host, arg / 3),
        58..60 => sim.take_over(host, arg / 3),
        60 => sim.is_store_down = true,
        61 => sim.is_store_down = false,
        62 if arg.is_multiple_of(4) => sim.restart_host(host),
        63 if arg.is_multiple_of(4) => sim.restart_backup(0),
        _ => {}
    }
}

fn step(sim: &mut Simulation, host: usize, arg: usize) {
    let programs: Vec<_> = sim.hosts[host].created.iter().cloned().collect();
    if let Some(program) = programs.get(arg % programs.len().max(1)) {
        sim.step(host, program, (arg / 16 % 4) as u32);
    }
}

fn release(sim: &mut Simulation, host: usize, arg: usize) {
    let programs: Vec<_> = sim.hosts[host].created.iter().cloned().collect();
    if let Some(program) = programs.get(arg % programs.len().max(1)) {
        sim.release(host, program);
    }
}

fn run(disabled: Disabled, choices: &[u32]) -> Simulation {
    let mut sim = Simulation::new(disabled);
    sim.take_over(0, 0);
    sim.run(5);
    for choice in choices {
        run_action(&mut sim, *choice);
    }
    if !sim.restore_and_take_over() {
        sim.violations.push("no host could take over at the end".into());
    }
    sim
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
        let sim = run(Disabled::Nothing, &choices);
        let mut totals = totals_cell.borrow_mut();
        let acked = sim.acked.len() as u64;
        let counts = [sim.takeovers, sim.adoptions, sim.deletions, sim.durable_by_backups, acked];
        totals.iter_mut().zip(counts).for_each(|(total, count)| *total += count);
        prop_assert!(sim.violations.is_empty(), "{:#?}", sim.violations);
        Ok(())
    });
    println!("takeovers, adoptions, deletions, durable by backups, acknowledged: {totals:?}");
    if let Err(error) = result {
        panic!("{error}");
    }
    // The histories must exercise each mechanism, or the test shows nothing about it. The bound is
    // the number of cases, so each mechanism is exercised more than once per case on average.
    assert!(totals.iter().all(|total| *total > 400), "{totals:?}");
}

/// Disables one mechanism of the store or the driver at a time. The model must then find a
/// violation. `Disabled::VerifyAfterOpening` is covered in `journal_cases.rs`.
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
    let mut sim = Simulation::new(Disabled::Nothing);
    sim.take_over(0, 0);
    sim.run(5);
    assert!(matches!(sim.hosts[0].ownership, OwnershipState::Owning(_)));
    let program = sim.create(0);
    sim.run(5);
    sim.step(0, &program, 1);
    sim.run(5);
    assert_eq!(sim.acked.len(), 2);
}
