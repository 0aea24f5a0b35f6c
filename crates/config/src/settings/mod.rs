//! Settings of `trefoilring serve`, parsed from flags and environment variables.
//!
//! Every flag `--some-flag` can also be set as `TREFOILRING_SOME_FLAG`. This module opens no files
//! or sockets and starts no threads. [`Settings`] implements `TryFrom<RawSettings>`. A diagnostic
//! states the flag, the value and what is accepted.

mod checks;
mod flags;
#[cfg(test)]
mod tests;

use {
    checks::Checker,
    clap::{Arg, ArgMatches, Command},
    derive_more::Display,
    std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration},
    trefoilring_core::ids::{DomainId, HostId},
};

/// Name of the flag that takes the path of the platform's settings file.
pub const PLATFORM_FLAG: &str = "platform";

/// Exit code of a process whose settings are invalid.
pub const EXIT_USAGE: i32 = 2;

/// Validated settings of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of this host, unique among live hosts.
    pub host: HostId,
    /// The failure domain in which this host runs.
    pub domain: DomainId,
    /// Address on which the host listens for callers.
    pub listen: SocketAddr,
    /// Address on which the host listens for other hosts.
    pub peer_listen: SocketAddr,
    /// Address that other hosts use to connect to this one. Invariant: the IP address is not
    /// unspecified. The port is zero only if the port of `peer_listen` is zero; the host then
    /// advertises the port that it bound.
    pub advertise: SocketAddr,
    /// Address of the platform's Object API.
    pub object_api: SocketAddr,
    /// Address of the platform's host list.
    pub host_list: SocketAddr,
    /// Directory for bulk data. Invariant: it existed when the settings were checked.
    pub data_dir: Option<PathBuf>,
    /// Number of threads that serve traffic, in addition to the control thread.
    pub traffic_threads: usize,
    /// Interval between two heartbeats.
    pub heartbeat: Duration,
    /// Time after a heartbeat until the lease expires. Invariant: at least three heartbeat
    /// intervals.
    pub lease: Duration,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// File to which the host appends events as JSON lines.
    pub event_log: Option<PathBuf>,
    /// Minimum time between two writes of one journal to the Object API. The writes are spaced
    /// evenly; the time between them increases with the number of hosts.
    pub store_write_spacing: Duration,
    /// Interval at which the process samples its own metrics.
    pub metrics_interval: Duration,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain_timeout: Duration,
    /// Limits for callers' requests and connections.
    pub callers: CallerLimits,
}

/// Limits for callers' requests and connections.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of all request bodies together.
    pub max_bodies_bytes: usize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum size of the request line and headers together.
    pub max_head_bytes: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum time to receive a request's head.
    pub head_timeout: Duration,
    /// Maximum time to receive a request's body.
    pub body_timeout: Duration,
    /// Maximum idle time of a connection between requests.
    pub idle_timeout: Duration,
    /// Maximum time that a write to a caller may stall.
    pub write_timeout: Duration,
    /// Whether `/metrics` is served without a key.
    pub are_metrics_public: bool,
}

/// Log levels, from least to most verbose.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[allow(missing_docs)] // The names are those of the `log` crate.
pub enum LogLevel {
    #[display("off")]
    Off,
    #[display("error")]
    Error,
    #[display("warn")]
    Warn,
    #[display("info")]
    Info,
    #[display("debug")]
    Debug,
    #[display("trace")]
    Trace,
}

/// Unparsed values by flag name, including defaults.
#[derive(Clone, Debug)]
pub struct RawSettings {
    values: BTreeMap<&'static str, String>,
}

/// One value that is missing or not accepted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("--{flag} ({}): {value}; accepted: {accepted}", flags::env_variable(flag))]
pub struct SettingDiagnostic {
    /// Name of the flag, without leading dashes.
    pub flag: &'static str,
    /// The rejected value, quoted, or that it is missing.
    pub value: String,
    /// Description of the accepted values.
    pub accepted: String,
}

/// All diagnostics of one set of settings.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{}", self.join_lines())]
pub struct SettingsError {
    /// The diagnostics, in the order of the flags. Invariant: not empty.
    pub diagnostics: Vec<SettingDiagnostic>,
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    fn join_lines(&self) -> String {
        let lines: Vec<_> =
            self.diagnostics.iter().map(|diagnostic| format!("error: {diagnostic}")).collect();
        lines.join("\n")
    }
}

/// Returns the `serve` command with all flags.
pub fn serve_command() -> Command {
    let command = Command::new("serve").about("Runs one host until it is stopped.");
    let platform = Arg::new(PLATFORM_FLAG)
        .long(PLATFORM_FLAG)
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("Runs as a gateway on the users' platform, which provides FILE; ignores other flags");
    flags::FLAGS
        .iter()
        .fold(command, |command, flag| command.arg(flag_argument(flag)))
        .arg(platform)
}

/// Creates the argument of one flag. Required flags are checked later, so that one pass reports
/// all diagnostics.
fn flag_argument(flag: &flags::Flag) -> Arg {
    let argument = Arg::new(flag.name)
        .long(flag.name)
        .env(flags::env_variable(flag.name))
        .value_name(flag.value_name)
        .help(flag.help);
    match flag.default {
        Some(default) => argument.default_value(default),
        None => argument,
    }
}

impl Default for RawSettings {
    /// Returns the defaults. Flags without a default have no value.
    fn default() -> Self {
        let defaults = flags::FLAGS.iter().filter_map(|flag| Some((flag.name, flag.default?)));
        Self { values: defaults.map(|(name, value)| (name, value.to_owned())).collect() }
    }
}

impl From<&ArgMatches> for RawSettings {
    /// Extracts the values from the matches of [`serve_command`].
    fn from(matches: &ArgMatches) -> Self {
        let given = flags::FLAGS.iter().filter_map(|flag| {
            let value = matches.get_one::<String>(flag.name)?;
            Some((flag.name, value.clone()))
        });
        Self { values: given.collect() }
    }
}

impl RawSettings {
    /// Sets one flag. An unknown flag name has no effect.
    pub fn with(mut self, flag: &str, value: impl ToString) -> Self {
        if let Some(flag) = flags::FLAGS.iter().find(|known| known.name == flag) {
            self.values.insert(flag.name, value.to_string());
        }
        self
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let mut checker = Checker::new(&raw.values);
        let settings = read_settings(&mut checker);
        checker.finish(settings)
    }
}

/// Reads all flags, in the order in which diagnostics are reported.
fn read_settings(checker: &mut Checker<'_>) -> Option<Settings> {
    let host = checker.name("host");
    let domain = checker.name("domain");
    let listen = checker.listen_address("listen");
    let peer_listen = checker.listen_address("peer-listen");
    let advertise = checker.advertise_address("advertise", peer_listen);
    let object_api = checker.connect_address("object-api");
    let host_list = checker.connect_address("host-list");
    let data_dir = checker.directory("data-dir");
    let traffic_threads = checker.count("traffic-threads", 1..=64);
    let heartbeat = checker.duration_ms("heartbeat-ms", 50..=60_000);
    let lease = checker.lease("lease-ms", heartbeat);
    let log_level = checker.log_level("log-level");
    let event_log = checker.file("event-log");
    let store_write_spacing = checker.duration_ms("store-write-spacing-ms", 0..=10_000);
    let metrics_interval = checker.duration_ms("metrics-interval-ms", 100..=600_000);
    let drain_timeout = checker.duration_ms("drain-timeout-ms", 0..=3_600_000);
    let callers = read_caller_limits(checker);
    Some(Settings {
        host: host?,
        domain: domain?,
        listen: listen?,
        peer_listen: peer_listen?,
        advertise: advertise?,
        object_api: object_api?,
        host_list: host_list?,
        data_dir: data_dir?,
        traffic_threads: traffic_threads?,
        heartbeat: heartbeat?,
        lease: lease?,
        log_level: log_level?,
        event_log: event_log?,
        store_write_spacing: store_write_spacing?,
        metrics_interval: metrics_interval?,
        drain_timeout: drain_timeout?,
        callers: callers?,
    })
}

fn read_caller_limits(checker: &mut Checker<'_>) -> Option<CallerLimits> {
    let max_body_bytes = checker.count("max-body-bytes", 1024..=268_435_456);
    let max_bodies_bytes = checker.count("max-bodies-bytes", 1_048_576..=1_099_511_627_776);
    let max_headers = checker.count("max-headers", 8..=128);
    let max_head_bytes = checker.count("max-head-bytes", 512..=8191);
    let max_connections = checker.count("max-connections", 1..=1_000_000);
    let head_timeout = checker.duration_ms("head-timeout-ms", 10..=600_000);
    let body_timeout = checker.duration_ms("body-timeout-ms", 10..=3_600_000);
    let idle_timeout = checker.duration_ms("idle-timeout-ms", 10..=3_600_000);
    let write_timeout = checker.duration_ms("write-timeout-ms", 10..=3_600_000);
    let metrics = checker.choice("metrics", &[("open", true), ("off", false)]);
    Some(CallerLimits {
        max_body_bytes: max_body_bytes?,
        max_bodies_bytes: max_bodies_bytes?,
        max_headers: max_headers?,
        max_head_bytes: max_head_bytes?,
        max_connections: max_connections?,
        head_timeout: head_timeout?,
        body_timeout: body_timeout?,
        idle_timeout: idle_timeout?,
        write_timeout: write_timeout?,
        are_metrics_public: metrics?,
    })
}
