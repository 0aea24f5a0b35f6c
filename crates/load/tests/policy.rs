//! Tests of the load tool: the engine model, the drawn programs, workload validation, and equal
//! results for equal seeds.

use trefoilring_load::{
    Experiment,
    engine::{Engine, SubmittedTurn},
    experiment::RunPhases,
    plan::Plan,
    summary::Summary,
    workload::Workload,
};

fn workload() -> Workload {
    Workload::load("kaalachakra").expect("the committed workload is valid")
}

fn submitted_turn(program: usize, prompt_tokens: u64) -> SubmittedTurn {
    SubmittedTurn { id: program as u64, program, prompt_tokens, output_tokens: 10, arrived_us: 0 }
}

/// Runs all submitted turns. Returns the cached tokens of each and the total time.
fn run(engine: &mut Engine) -> (Vec<u64>, u64) {
    let (mut cached, mut now_us) = (Vec::new(), 0);
    while let Some(duration_us) = engine.begin_step() {
        now_us += duration_us;
        cached.extend(engine.end_step(now_us).into_iter().map(|ended| ended.cached_tokens));
    }
    (cached, now_us)
}

#[test]
fn engine_caches_prefix_until_memory_is_needed() {
    let settings = workload().engine;
    let capacity = settings.kv_capacity_tokens;
    let mut engine = Engine::new(settings);
    let mut run_turn = |program, prompt_tokens| {
        engine.submit(submitted_turn(program, prompt_tokens));
        run(&mut engine).0[0]
    };
    assert_eq!(run_turn(1, 10_000), 0);
    assert_eq!(run_turn(1, 11_000), 10_010, "the history and the answer must be cached");
    run_turn(2, capacity - 1_000);
    assert!(run_turn(1, 12_000) < 1_000, "most of the prefix must have been evicted");
}

#[test]
fn engine_step_time_grows_with_batch() {
    let time = |count: usize| {
        let mut engine = Engine::new(workload().engine);
        (0..count).for_each(|program| engine.submit(submitted_turn(program, 2_000)));
        run(&mut engine).1
    };
    assert!(time(8) > time(1), "a batch of 8 must take longer than a batch of 1");
    assert!(time(8) < 8 * time(1), "a batch of 8 must take less time than 8 batches of 1");
}

#[test]
fn same_seed_gives_same_summary() {
    let phases = RunPhases { warm_up_s: 30.0, arrivals_s: 150.0, end_s: 300.0 };
    let experiment = |seed| Experiment {
        workload: workload(),
        scenario: "steady".into(),
        load: 0.5,
        seed,
        phases,
    };
    let summary_json = |seed| {
        println!("seed {seed}");
        let measurements = experiment(seed)
            .run("trefoilring")
            .expect("the experiment is valid")
            .expect("the policy is known");
        let summary = Summary::new(&experiment(seed), "trefoilring", &measurements);
        serde_json::to_string(&summary).expect("the summary serializes to JSON")
    };
    assert_eq!(summary_json(1), summary_json(1));
    assert_ne!(summary_json(1), summary_json(2));
}

#[test]
fn noisy_team_does_not_change_programs_of_others() {
    let workload = workload();
    let changes = workload.scenario("noisy").expect("the workload has a scenario `noisy`");
    let noisy = changes[0].noisy_team.clone().expect("the scenario `noisy` names a team");
    let programs_of_others = |plan: Plan| {
        let roots = plan.programs.into_iter().filter(|program| program.parent.is_none());
        let others = roots.filter(|program| workload.teams[program.team].name != noisy);
        others.map(|program| (program.arrival_us, program.turns.len())).collect::<Vec<_>>()
    };
    let steady_plan = Plan::draw(&workload, 3, 0.5, 1_000.0, &[]);
    let noisy_plan = Plan::draw(&workload, 3, 0.5, 1_000.0, &changes);
    assert!(noisy_plan.programs.len() > steady_plan.programs.len());
    assert_eq!(programs_of_others(steady_plan), programs_of_others(noisy_plan));
}

#[test]
fn built_in_workloads_have_expected_sizes() {
    for name in ["kaalachakra", "isiyol"] {
        let workload = Workload::load(name).expect("the built-in workload is valid");
        assert_eq!((workload.pool.workers, workload.teams.len()), (9, 8), "{name}");
        let plan = Plan::draw(&workload, 1, 1.0, 20_000.0, &[]);
        let turns = plan.programs.iter().map(|program| program.turns.len());
        assert!(turns.max() > Some(150), "{name} has programs of nearly 200 turns");
    }
}

#[test]
fn invalid_workload_is_rejected_with_reason() {
    let valid = include_str!("../workloads/isiyol.toml");
    let cases = [
        ("share = 0.55", "share = 0.5", "shares of the classes"),
        ("share = 0.26", "share = 0.3", "shares of the teams"),
        ("workers = 9", "workers = 0", "needs workers"),
        ("noisy_team = \"tuzgolu\"", "noisy_team = \"nobody\"", "the team nobody"),
        ("lose_workers = [4]", "lose_workers = [9]", "a worker that there isn't"),
        ("chunk_tokens = 1024", "chunk = 1024", "is not valid"),
    ];
    for (from, to, expected) in cases {
        assert!(valid.contains(from), "{from}");
        let rejected = Workload::parse("test", &valid.replace(from, to));
        let message = rejected.expect_err(to).to_string();
        assert!(message.contains(expected), "{message}");
    }
}
