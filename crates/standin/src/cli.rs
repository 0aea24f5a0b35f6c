//! The program `trefoil-standin`: one stand-in as a process.
//!
//! It prints its address as one line on stdout once it serves.

use {
    crate::{
        engine,
        faults::Faults,
        hosts, objects,
        server::{Running, ServerOptions},
        tool,
    },
    clap::{Arg, ArgAction, ArgMatches, Command, builder::ValueParser, error::ErrorKind},
    error_stack::{Report, ResultExt},
    std::{ffi::OsString, future::pending, io::Write, net::SocketAddr, time::Duration},
    trefoilring_clients::UpstreamRecord,
};

/// Exit code for bad flags or environment variables.
const USAGE_EXIT_CODE: i32 = 2;
/// The longest duration that a flag takes.
const DAY_MS: u64 = 86_400_000;

/// A stand-in process that could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the stand-in can't start")]
pub struct StartError;

/// Runs the program with the process's arguments.
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

/// Checks arguments without running anything.
///
/// # Errors
///
/// Returns the error with its text and exit code, as the program would print it.
pub fn check(arguments: impl IntoIterator<Item = OsString>) -> Result<(), clap::Error> {
    command().try_get_matches_from(arguments).map(drop)
}

/// The command line.
pub fn command() -> Command {
    Command::new("trefoil-standin")
        .about("Stands in for the platform or an upstream, with fault switches")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(common("engine", "A model engine").args(engine_flags()))
        .subcommand(common("objects", "The Object API").args(objects_flags()))
        .subcommand(common("hosts", "The host list").arg(upstream_flag()))
        .subcommand(common("tool", "A tool or plain service").arg(run_time_flag()))
}

fn common(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            flag("listen", "STANDIN_LISTEN", "IP:PORT", "Address; port 0 takes a free one")
                .value_parser(listen_address)
                .default_value("127.0.0.1:0"),
        )
        .arg(
            flag(
                "faults",
                "STANDIN_FAULTS",
                "JSON",
                "Faults at the start, as for POST /standin/faults",
            )
            .value_parser(|text: &str| Faults::default().patched(text.as_bytes()))
            .default_value("{}"),
        )
}

fn flag(name: &'static str, env: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(env).value_name(value).help(help)
}

fn engine_flags() -> [Arg; 5] {
    let defaults = engine::Options::default();
    [
        flag("model", "STANDIN_MODEL", "NAME", "A model that is loaded; none serves every name")
            .value_delimiter(',')
            .action(ArgAction::Append),
        flag("time-scale", "STANDIN_TIME_SCALE", "FACTOR", "How much faster than life it runs")
            .value_parser(positive)
            .default_value("1"),
        flag("kv-tokens", "STANDIN_KV_TOKENS", "COUNT", "Tokens that the cache holds")
            .value_parser(whole(1, u64::from(u32::MAX)))
            .default_value(defaults.kv_capacity_tokens.to_string()),
        flag("max-batch", "STANDIN_MAX_BATCH", "COUNT", "Turns in one batch")
            .value_parser(whole(1, 65_536))
            .default_value(defaults.max_batch.to_string()),
        flag("load-ms", "STANDIN_LOAD_MS", "MS", "Time that loading a model takes, before scaling")
            .value_parser(whole(0, DAY_MS))
            .default_value("0"),
    ]
}

fn objects_flags() -> [Arg; 2] {
    [
        flag("reads-per-s", "STANDIN_READS_PER_S", "COUNT", "Reads a second; 0 for no limit")
            .value_parser(whole(0, u64::from(u32::MAX)))
            .default_value("0"),
        flag("writes-per-s", "STANDIN_WRITES_PER_S", "COUNT", "Writes a second; 0 for no limit")
            .value_parser(whole(0, u64::from(u32::MAX)))
            .default_value("0"),
    ]
}

fn upstream_flag() -> Arg {
    flag(
        "upstream",
        "STANDIN_UPSTREAM",
        "NAME,SERVICE,IP:PORT,DOMAIN[,MODEL…]",
        "A live upstream; in the environment variable separated by semicolons",
    )
    .value_delimiter(';')
    .action(ArgAction::Append)
    .value_parser(upstream)
}

fn run_time_flag() -> Arg {
    flag("run-ms", "STANDIN_RUN_MS", "MS", "Time that a run takes after its effect")
        .value_parser(whole(0, DAY_MS))
        .default_value("0")
}

fn listen_address(text: &str) -> Result<SocketAddr, String> {
    let address =
        text.parse().map_err(|_| String::from("expected IP:PORT, such as 127.0.0.1:0"))?;
    Ok(address)
}

/// Takes a whole number within bounds; the error names them.
fn whole(least: u64, most: u64) -> ValueParser {
    ValueParser::from(move |text: &str| -> Result<u64, String> {
        let number = text.parse().ok().filter(|number| (least..=most).contains(number));
        number.ok_or_else(|| format!("expected a whole number from {least} to {most}"))
    })
}

fn positive(text: &str) -> Result<f64, String> {
    let number = text.parse().ok().filter(|number: &f64| number.is_finite() && *number > 0.0);
    number.ok_or_else(|| "expected a number above 0".into())
}

fn upstream(text: &str) -> Result<UpstreamRecord, String> {
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
        // The command line has no other subcommand, and asks for one.
        _ => command().error(ErrorKind::MissingSubcommand, "expected a subcommand").exit(),
    }
}

async fn serve<S>(started: std::io::Result<Running<S>>) -> Result<(), Report<StartError>> {
    let running = started.change_context(StartError)?;
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{}", running.address()).change_context(StartError)?;
    stdout.flush().change_context(StartError)?;
    drop(stdout);
    pending().await
}

fn server_options(flags: &ArgMatches) -> ServerOptions {
    ServerOptions {
        address: value(flags, "listen"),
        faults: value(flags, "faults"),
        exits_on_crash: true,
    }
}

fn engine_options(flags: &ArgMatches) -> engine::Options {
    engine::Options {
        server: server_options(flags),
        models: flags.get_many("model").unwrap_or_default().cloned().collect(),
        time_scale: value(flags, "time-scale"),
        kv_capacity_tokens: value(flags, "kv-tokens"),
        max_batch: count(flags, "max-batch") as usize,
        load_time: Duration::from_millis(value(flags, "load-ms")),
    }
}

fn objects_options(flags: &ArgMatches) -> objects::Options {
    objects::Options {
        server: server_options(flags),
        reads_per_s: count(flags, "reads-per-s") as u32,
        writes_per_s: count(flags, "writes-per-s") as u32,
    }
}

fn hosts_options(flags: &ArgMatches) -> hosts::Options {
    let upstreams = flags.get_many("upstream").unwrap_or_default().cloned().collect();
    hosts::Options { server: server_options(flags), upstreams }
}

fn tool_options(flags: &ArgMatches) -> tool::Options {
    let run_time = Duration::from_millis(value(flags, "run-ms"));
    tool::Options { server: server_options(flags), run_time }
}

/// Returns a whole number. Those that are cast were checked to be at most `u32::MAX`.
fn count(flags: &ArgMatches, name: &str) -> u64 {
    value(flags, name)
}

/// Returns a flag's value. Every flag that is read so has a default and a parser of its type.
fn value<T: Clone + Send + Sync + 'static>(flags: &ArgMatches, name: &str) -> T {
    match flags.try_get_one::<T>(name) {
        Ok(Some(value)) => value.clone(),
        _ => {
            let error = command().error(ErrorKind::MissingRequiredArgument, format!("--{name}"));
            eprint!("{error}");
            std::process::exit(USAGE_EXIT_CODE)
        }
    }
}
