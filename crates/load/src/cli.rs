//! Command line of `trefoil-load`.

use {
    crate::{
        capacity, charts,
        experiment::{Experiment, RunPhases},
        latency,
        measure::Measurements,
        plan::Plan,
        policy::POLICIES,
        summary::{SeedStatistics, Summary},
        workload::Workload,
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    error_stack::{Report, ResultExt},
    std::path::PathBuf,
};

/// Policy that the others are compared with.
const BASELINE: &str = "naive";

/// A command of `trefoil-load` failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the measurement failed")]
pub struct CliError;

/// Builds the command line definition.
pub fn command() -> Command {
    let policy = Command::new("policy")
        .about("Measures scheduling policies in virtual time, on one pool without hosts")
        .arg(
            Arg::new("workload")
                .long("workload")
                .default_value("kaalachakra")
                .help("kaalachakra, isiyol, or a workload file"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .action(ArgAction::Append)
                .value_parser(clap::builder::PossibleValuesParser::new(POLICIES))
                .default_value("trefoilring")
                .help("Policy to measure; may be repeated"),
        )
        .arg(value_arg("seed", "First seed").value_parser(value_parser!(u64)).default_value("1"))
        .arg(
            value_arg("seeds", "Number of consecutive seeds to run")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("1"),
        )
        .arg(
            value_arg("load", "Arrival rate as a fraction of the pool's capacity")
                .value_parser(parse_load)
                .default_value("0.85"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .default_value("steady")
                .help("A scenario of the workload file, or steady"),
        )
        .arg(flag("baseline", "Also run the naive policy on the same seeds and print ratios"))
        .arg(flag("json", "Print JSON, one object per run"))
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Write charts of the first seed to DIR/report.svg"),
        );
    Command::new("trefoil-load")
        .about("Measures scheduling policies")
        .subcommand_required(true)
        .subcommand(policy)
        .subcommand(latency_command())
        .subcommand(capacity::command())
}

fn latency_command() -> Command {
    let count_range = value_parser!(u64).range(1..=100_000);
    Command::new("latency")
        .about("Measures the latency that hosts add to a direct call to an engine")
        .arg(value_arg("hosts", "Number of hosts").value_parser(count_range).default_value("3"))
        .arg(
            value_arg("samples", "Number of pairs of turns")
                .value_parser(count_range)
                .default_value("1000"),
        )
        .arg(flag("json", "Print JSON"))
}

fn run_latency(matches: &ArgMatches) -> Result<(), Report<CliError>> {
    let count = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1) as usize;
    let measured = smol::block_on(latency::measure(count("hosts"), count("samples")));
    let measured = measured.change_context(CliError)?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&measured).change_context(CliError)?);
        return Ok(());
    }
    println!("{} pairs of turns, {} hosts", measured.samples, measured.hosts);
    println!("{:<8} {:>9} {:>9} {:>9}", "", "p50 us", "p99 us", "max us");
    let rows =
        [("direct", &measured.direct), ("through", &measured.through), ("added", &measured.added)];
    for (name, percentiles) in rows {
        println!(
            "{name:<8} {:>9} {:>9} {:>9}",
            percentiles.p50_us, percentiles.p99_us, percentiles.max_us
        );
    }
    Ok(())
}

/// Runs the subcommand of the parsed command line.
pub fn run(matches: &ArgMatches) -> Result<(), Report<CliError>> {
    match matches.subcommand() {
        Some(("policy", matches)) => run_policy(matches),
        Some(("latency", matches)) => run_latency(matches),
        Some(("capacity", matches)) => capacity::run(matches).change_context(CliError),
        _ => Err(Report::new(CliError).attach("no subcommand given")),
    }
}

fn value_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn parse_load(text: &str) -> Result<f64, String> {
    let load: f64 = text.parse().map_err(|_| format!("{text} is not a number"))?;
    let is_valid = (0.01..=10.0).contains(&load);
    is_valid.then_some(load).ok_or_else(|| "the load must be between 0.01 and 10".into())
}

/// Runs of one policy, one per seed.
struct PolicyRuns {
    policy: String,
    summaries: Vec<Summary>,
    first_seed: Option<Measurements>,
}

fn run_policy(matches: &ArgMatches) -> Result<(), Report<CliError>> {
    let name: &String = matches.get_one("workload").expect("the argument `workload` has a default");
    let workload = Workload::load(name).change_context(CliError)?;
    let experiment = Experiment {
        workload,
        scenario: matches
            .get_one::<String>("scenario")
            .expect("the argument `scenario` has a default")
            .clone(),
        load: *matches.get_one("load").expect("the argument `load` has a default"),
        seed: *matches.get_one("seed").expect("the argument `seed` has a default"),
        phases: RunPhases::default(),
    };
    let prints_json = matches.get_flag("json");
    if !prints_json {
        print_capacity(&experiment);
    }
    let requested =
        matches.get_many::<String>("policy").expect("the argument `policy` has a default");
    let mut policies: Vec<String> = requested.cloned().collect();
    let with_baseline = matches.get_flag("baseline");
    policies.retain(|policy| !with_baseline || policy != BASELINE);
    policies.extend(with_baseline.then(|| BASELINE.to_owned()));
    let seeds: u64 = *matches.get_one("seeds").expect("the argument `seeds` has a default");
    let mut all = Vec::new();
    for policy in &policies {
        all.push(run_seeds(&experiment, policy, seeds, prints_json)?);
    }
    if !prints_json {
        print_comparison(&all, with_baseline, seeds);
    }
    if let Some(dir) = matches.get_one::<PathBuf>("report") {
        let charted = all.into_iter().filter_map(|runs| Some((runs.policy, runs.first_seed?)));
        let charted: Vec<(String, Measurements)> = charted.collect();
        let path = charts::write(dir, &experiment.workload, &charted).change_context(CliError)?;
        eprintln!("report: {}", path.display());
    }
    Ok(())
}

fn print_capacity(experiment: &Experiment) {
    let capacity = Plan::capacity(&experiment.workload);
    println!(
        "virtual time; capacity {:.3} programs/s with every prefix cached and half of the KV \
         cache in use by the batch; mean history {:.0} tokens; arrivals {:.3} programs/s",
        capacity.programs_per_s,
        capacity.mean_context_tokens,
        experiment.programs_per_s()
    );
}

fn run_seeds(
    experiment: &Experiment,
    policy: &str,
    seeds: u64,
    prints_json: bool,
) -> Result<PolicyRuns, Report<CliError>> {
    let mut runs = PolicyRuns { policy: policy.into(), summaries: Vec::new(), first_seed: None };
    for seed in experiment.seed..experiment.seed.saturating_add(seeds) {
        let experiment = Experiment { seed, ..experiment.clone() };
        let measurements = experiment.run(policy).change_context(CliError)?;
        let measurements =
            measurements.ok_or_else(|| Report::new(CliError).attach("unknown policy"))?;
        let summary = Summary::new(&experiment, policy, &measurements);
        if prints_json {
            println!("{}", serde_json::to_string(&summary).change_context(CliError)?);
        } else if seeds == 1 {
            println!("{summary}");
        }
        runs.summaries.push(summary);
        runs.first_seed.get_or_insert(measurements);
    }
    Ok(runs)
}

fn print_comparison(all: &[PolicyRuns], with_baseline: bool, seeds: u64) {
    let baseline = all.last().filter(|_| with_baseline);
    for runs in all {
        if seeds > 1 {
            println!("{} over {seeds} seeds", runs.policy);
            seed_statistics(runs).iter().for_each(|statistics| println!("  {statistics}"));
        }
        let Some(baseline) = baseline.filter(|baseline| baseline.policy != runs.policy) else {
            continue;
        };
        let pairs = runs.summaries.iter().zip(&baseline.summaries);
        let ratios: Vec<_> = pairs.map(|(run, baseline_run)| run.ratios(baseline_run)).collect();
        if let ([ratio], 1) = (ratios.as_slice(), seeds) {
            println!("{}: {ratio}", runs.policy);
            continue;
        }
        let statistics =
            |name: &str, value: fn(&crate::summary::Ratios) -> f64, is_higher_better| {
                SeedStatistics::new(name, ratios.iter().map(value).collect(), is_higher_better)
            };
        println!("  {}", statistics("p50 over naive", |ratio| ratio.p50, false));
        println!("  {}", statistics("p95 over naive", |ratio| ratio.p95, false));
        println!("  {}", statistics("p99 over naive", |ratio| ratio.p99, false));
        println!(
            "  {}",
            statistics("wasted prefill over naive", |ratio| ratio.wasted_tokens, false)
        );
        println!("  {}", statistics("goodput over naive", |ratio| ratio.goodput, true));
    }
}

fn seed_statistics(runs: &PolicyRuns) -> Vec<SeedStatistics> {
    let statistics = |name: &str, value: &dyn Fn(&Summary) -> f64, is_higher_better| {
        SeedStatistics::new(name, runs.summaries.iter().map(value).collect(), is_higher_better)
    };
    let mut seed_statistics = vec![
        statistics("attainment", &|summary| summary.all.attainment, true),
        statistics("p50 s", &|summary| summary.all.p50_s, false),
        statistics("p95 s", &|summary| summary.all.p95_s, false),
        statistics("p99 s", &|summary| summary.all.p99_s, false),
        statistics(
            "wasted prefill, M tokens",
            &|summary| summary.wasted_tokens as f64 / 1e6,
            false,
        ),
        statistics("worst team over mean", &|summary| summary.worst_team, true),
        statistics("goodput, programs/s", &|summary| summary.goodput_per_s, true),
        statistics("given up", &|summary| summary.all.given_up as f64, false),
        statistics("refused first calls", &|summary| summary.refused_first as f64, false),
        statistics("refused later calls", &|summary| summary.refused_later as f64, false),
        statistics("unended", &|summary| summary.unended as f64, false),
    ];
    let first = &runs.summaries[0];
    for (index, class) in first.classes.iter().enumerate() {
        let name = format!("attainment of {}", class.name);
        seed_statistics.push(statistics(&name, &|summary| summary.classes[index].attainment, true));
    }
    seed_statistics
}
