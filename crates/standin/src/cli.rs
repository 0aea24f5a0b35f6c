//! Command line of `trefoil-standin`, which runs one stand-in as a separate process.
//!
//! Prints the listening address as one line on stdout once it accepts connections.

use {
    crate::{
        engine,
        faults::Faults,
        hosts, objects,
        server::{RunningStandin, ServerOptions},
        tool,
    },
    clap::{Arg, ArgAction, ArgMatches, Command, builder::ValueParser, error::ErrorKind},
    error_stack::{Report, ResultExt},
    std::{ffi::OsString, future::pending, io::Write, net::SocketAddr, time::Duration},
    trefoilring_clients::UpstreamRecord,
};

/// Exit code for invalid flags or environment variables.
const USAGE_EXIT_CODE: i32 = 2;
/// The longest duration that a flag accepts.
const MAX_DURATION_MS: u64 = 86_400_000;

/// The stand-in could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("could not start the stand-in")]
pub struct StartError;

/// Parses the process's arguments and runs the stand-in until the process ends.
pub fn main() {
    let matches = command().try_get_matches().unwrap_or_else(|error| error.exit());
    match smol::block_on(run(&matches)) {
        Ok(()) => (),
        Err(report) => {
            eprintln!("error: {report:?}");
            std::process::exit(1);
        }
    }
}

/// Parses arguments without starting a stand-in.
///
/// # Errors
///
/// Returns the error with the text and exit code that the process would end with.
pub fn validate_arguments(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<(), clap::Error> {
    command().try_get_matches_from(arguments).map(drop)
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("trefoil-standin")
        .about("Runs a stand-in for the platform or an upstream, with fault injection")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_common_flags("engine", "A model engine").args(engine_flags()))
        .subcommand(with_common_flags("objects", "The Object API").args(objects_flags()))
        .subcommand(with_common_flags("hosts", "The host list").arg(upstream_flag()))
        .subcommand(with_common_flags("tool", "A tool or plain service").arg(run_time_flag()))
}

fn with_common_flags(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            flag(
                "listen",
                "STANDIN_LISTEN",
                "IP:PORT",
                "Listening address; port 0 selects a free port",
            )
            .value_parser(parse_listen_address)
            .default_value("127.0.0.1:0"),
        )
        .arg(
            flag("faults", "STANDIN_FAULTS", "JSON", "Initial faults, as for POST /standin/faults")
                .value_parser(|text: &str| Faults::default().with_patch(text.as_bytes()))
                .default_value("{}"),
        )
}

fn flag(name: &'static str, env: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(env).value_name(value).help(help)
}

fn engine_flags() -> [Arg; 5] {
    let defaults = engine::Options::default();
    [
        flag(
            "model",
            "STANDIN_MODEL",
            "NAME",
            "Model loaded at the start; if none is given, every model name is accepted",
        )
        .value_delimiter(',')
        .action(ArgAction::Append),
        flag("time-scale", "STANDIN_TIME_SCALE", "FACTOR", "Speed-up over real time")
            .value_parser(positive_number)
            .default_value("1"),
        flag("kv-tokens", "STANDIN_KV_TOKENS", "COUNT", "Capacity of the cache in tokens")
            .value_parser(integer_in(1, u64::from(u32::MAX)))
            .default_value(defaults.kv_capacity_tokens.to_string()),
        flag("max-batch", "STANDIN_MAX_BATCH", "COUNT", "Maximum number of turns in one batch")
            .value_parser(integer_in(1, 65_536))
            .default_value(defaults.max_batch.to_string()),
        flag(
            "load-ms",
            "STANDIN_LOAD_MS",
            "MS",
            "Time to load a model, before division by --time-scale",
        )
        .value_parser(integer_in(0, MAX_DURATION_MS))
        .default_value("0"),
    ]
}

fn objects_flags() -> [Arg; 2] {
    [
        flag("reads-per-s", "STANDIN_READS_PER_S", "COUNT", "Reads per second; 0 for no limit")
            .value_parser(integer_in(0, u64::from(u32::MAX)))
            .default_value("0"),
        flag("writes-per-s", "STANDIN_WRITES_PER_S", "COUNT", "Writes per second; 0 for no limit")
            .value_parser(integer_in(0, u64::from(u32::MAX)))
            .default_value("0"),
    ]
}

fn upstream_flag() -> Arg {
    flag(
        "upstream",
        "STANDIN_UPSTREAM",
        "NAME,SERVICE,IP:PORT,DOMAIN[,MODEL…]",
        "Upstream to list as live; separate several with semicolons",
    )
    .value_delimiter(';')
    .action(ArgAction::Append)
    .value_parser(parse_upstream)
}

fn run_time_flag() -> Arg {
    flag("run-ms", "STANDIN_RUN_MS", "MS", "Time between a run's effect and its response")
        .value_parser(integer_in(0, MAX_DURATION_MS))
        .default_value("0")
}

fn parse_listen_address(text: &str) -> Result<SocketAddr, String> {
    let address =
        text.parse().map_err(|_| String::from("expected IP:PORT, such as 127.0.0.1:0"))?;
    Ok(address)
}

/// Returns a parser for an integer within bounds; its error states them.
fn integer_in(min: u64, max: u64) -> ValueParser {
    ValueParser::from(move |text: &str| -> Result<u64, String> {
        let number = text.parse().ok().filter(|number| (min..=max).contains(number));
        number.ok_or_else(|| format!("expected a whole number from {min} to {max}"))
    })
}

fn positive_number(text: &str) -> Result<f64, String> {
    let number = text.parse().ok().filter(|number: &f64| number.is_finite() && *number > 0.0);
    number.ok_or_else(|| "expected a number above 0".into())
}

fn parse_upstream(text: &str) -> Result<UpstreamRecord, String> {
    let expected = || String::from("expected NAME,SERVICE,IP:PORT,DOMAIN and any models");
    let mut parts = text.split(',').map(str::trim);
    let mut next = || parts.next().filter(|part| !part.is_empty()).ok_or_else(expected);
    let (name, service, address, domain) = (next()?, next()?, next()?, next()?);
    Ok(UpstreamRecord {
        upstream: name.into(),
        service: service.into(),
        address: address.parse().map_err(|_| expected())?,
        domain: domain.into(),
        is_leaving: false,
        models: parts.map(str::to_owned).collect(),
    })
}

async fn run(matches: &ArgMatches) -> Result<(), Report<StartError>> {
    match matches.subcommand() {
        Some(("engine", flags)) => serve(engine::start(engine_options(flags))).await,
        Some(("objects", flags)) => serve(objects::start(objects_options(flags))).await,
        Some(("hosts", flags)) => serve(hosts::start(hosts_options(flags))).await,
        Some(("tool", flags)) => serve(tool::start(tool_options(flags))).await,
        // Unreachable: clap requires a subcommand and accepts no other.
        _ => command().error(ErrorKind::MissingSubcommand, "expected a subcommand").exit(),
    }
}

async fn serve<S>(started: std::io::Result<RunningStandin<S>>) -> Result<(), Report<StartError>> {
    let running = started.change_context(StartError)?;
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{}", running.address()).change_context(StartError)?;
    stdout.flush().change_context(StartError)?;
    drop(stdout);
    pending().await
}

fn server_options(flags: &ArgMatches) -> ServerOptions {
    ServerOptions {
        address: flag_value(flags, "listen"),
        faults: flag_value(flags, "faults"),
        exits_on_crash: true,
    }
}

fn engine_options(flags: &ArgMatches) -> engine::Options {
    engine::Options {
        server: server_options(flags),
        models: flags.get_many("model").unwrap_or_default().cloned().collect(),
        time_scale: flag_value(flags, "time-scale"),
        kv_capacity_tokens: flag_value(flags, "kv-tokens"),
        max_batch: integer_value(flags, "max-batch") as usize,
        load_time: Duration::from_millis(flag_value(flags, "load-ms")),
    }
}

fn objects_options(flags: &ArgMatches) -> objects::Options {
    objects::Options {
        server: server_options(flags),
        reads_per_s: integer_value(flags, "reads-per-s") as u32,
        writes_per_s: integer_value(flags, "writes-per-s") as u32,
    }
}

fn hosts_options(flags: &ArgMatches) -> hosts::Options {
    let upstreams = flags.get_many("upstream").unwrap_or_default().cloned().collect();
    hosts::Options { server: server_options(flags), upstreams }
}

fn tool_options(flags: &ArgMatches) -> tool::Options {
    let run_time = Duration::from_millis(flag_value(flags, "run-ms"));
    tool::Options { server: server_options(flags), run_time }
}

/// Returns the value of an integer flag. Flags whose values are cast to a narrower type have
/// parsers that accept at most `u32::MAX`.
fn integer_value(flags: &ArgMatches, name: &str) -> u64 {
    flag_value(flags, name)
}

/// Returns a flag's value. Requires that the flag has a default and a value parser of type `T`.
fn flag_value<T: Clone + Send + Sync + 'static>(flags: &ArgMatches, name: &str) -> T {
    match flags.try_get_one::<T>(name) {
        Ok(Some(value)) => value.clone(),
        _ => {
            let error = command().error(ErrorKind::MissingRequiredArgument, format!("--{name}"));
            eprint!("{error}");
            std::process::exit(USAGE_EXIT_CODE)
        }
    }
}
