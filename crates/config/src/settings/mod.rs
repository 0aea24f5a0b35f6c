//! Settings of `trefoilring serve`: flags and environment variables to checked values.
//!
//! Every flag `--some-flag` can also be given as `TREFOILRING_SOME_FLAG`. Nothing is opened or
//! started here: [`Settings`] is made by `TryFrom` from [`RawSettings`], and a fault names the
//! flag, the value and what is accepted.

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

/// The argument that names the platform's settings file.
pub const PLATFORM: &str = "platform";

/// Exit code of a process whose settings are refused.
pub const EXIT_USAGE: i32 = 2;

/// Checked settings of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// This host's name, unique among live hosts.
    pub host: HostId,
    /// The failure domain in which this host runs.
    pub domain: DomainId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other hosts connect.
    pub peer_listen: SocketAddr,
    /// The address that other hosts are told. Invariant: its address is not unspecified; its port
    /// is zero only if that of `peer_listen` is, and then stands for the one that was bound.
    pub advertise: SocketAddr,
    /// The platform's Object API.
    pub object_api: SocketAddr,
    /// The platform's host list.
    pub host_list: SocketAddr,
    /// Folder for bulk data. Invariant: existed when the settings were checked.
    pub data_dir: Option<PathBuf>,
    /// Threads that serve traffic, beside the control thread.
    pub traffic_threads: usize,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// How long a lease holds after its heartbeat. Invariant: at least three heartbeats.
    pub lease: Duration,
    /// The least important level that is logged.
    pub log_level: LogLevel,
    /// File to which events are appended as JSON lines.
    pub event_log: Option<PathBuf>,
    /// Least time between two writes of one journal to the Object API.
    pub store_write_spacing: Duration,
    /// Time between two readings of the process's own metrics.
    pub metrics_interval: Duration,
    /// How long a planned stop waits for running requests.
    pub drain_timeout: Duration,
    /// Limits of the callers' interface.
    pub callers: CallerLimits,
}

/// Limits of the callers' interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The most headers of one request.
    pub max_headers: usize,
    /// The longest request line and headers together, in bytes.
    pub max_head_bytes: usize,
    /// Connections open at once.
    pub max_connections: usize,
    /// How long a request's head may take.
    pub head_timeout: Duration,
    /// How long a request's body may take.
    pub body_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// How long one write to a caller may make no progress.
    pub write_timeout: Duration,
    /// Whether `/metrics` is served without a key.
    pub has_open_metrics: bool,
}

/// Levels of the log, from none to all.
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

/// Values by flag name, as given, with the defaults filled in.
#[derive(Clone, Debug)]
pub struct RawSettings {
    values: BTreeMap<&'static str, String>,
}

/// One value that is not accepted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("--{flag} ({}): {value}; accepted: {accepted}", flags::variable(flag))]
pub struct SettingFault {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// The value as given, quoted, or that it is missing.
    pub value: String,
    /// What is accepted.
    pub accepted: String,
}

/// All faults of one set of settings. Invariant: not empty.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{}", self.joined())]
pub struct SettingsError {
    /// The faults, in the order of the flags.
    pub faults: Vec<SettingFault>,
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    fn joined(&self) -> String {
        let lines: Vec<_> = self.faults.iter().map(|fault| format!("error: {fault}")).collect();
        lines.join("\n")
    }
}

/// Returns the `serve` command with all flags.
pub fn serve_command() -> Command {
    let command = Command::new("serve").about("Runs one host until it is told to stop.");
    let platform = Arg::new(PLATFORM)
        .long(PLATFORM)
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help(
            "Runs as a gateway on the users' platform, which fills in FILE; other flags are unused",
        );
    flags::FLAGS.iter().fold(command, |command, flag| command.arg(argument(flag))).arg(platform)
}

/// Makes one flag. Whether it is required is checked later, so that all faults come in one pass.
fn argument(flag: &flags::Flag) -> Arg {
    let argument = Arg::new(flag.name)
        .long(flag.name)
        .env(flags::variable(flag.name))
        .value_name(flag.value_name)
        .help(flag.help);
    match flag.default {
        Some(default) => argument.default_value(default),
        None => argument,
    }
}

impl Default for RawSettings {
    /// Returns the defaults; the flags without one are missing.
    fn default() -> Self {
        let defaults = flags::FLAGS.iter().filter_map(|flag| Some((flag.name, flag.default?)));
        Self { values: defaults.map(|(name, value)| (name, value.to_owned())).collect() }
    }
}

impl From<&ArgMatches> for RawSettings {
    /// Takes the values out of the matches of [`serve_command`].
    fn from(matches: &ArgMatches) -> Self {
        let given = flags::FLAGS.iter().filter_map(|flag| {
            let value = matches.get_one::<String>(flag.name)?;
            Some((flag.name, value.clone()))
        });
        Self { values: given.collect() }
    }
}

impl RawSettings {
    /// Sets one flag. A name that is no flag has no effect.
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
        let mut check = Checker::new(&raw.values);
        let settings = read_host(&mut check);
        check.finish(settings)
    }
}

/// Reads all flags, in the order in which faults are reported.
fn read_host(check: &mut Checker<'_>) -> Option<Settings> {
    let host = check.name("host");
    let domain = check.name("domain");
    let listen = check.address("listen");
    let peer_listen = check.address("peer-listen");
    let advertise = check.advertise("advertise", peer_listen);
    let object_api = check.endpoint("object-api");
    let host_list = check.endpoint("host-list");
    let data_dir = check.folder("data-dir");
    let traffic_threads = check.count("traffic-threads", 1..=64);
    let heartbeat = check.duration_ms("heartbeat-ms", 50..=60_000);
    let lease = check.lease("lease-ms", heartbeat);
    let log_level = check.log_level("log-level");
    let event_log = check.file("event-log");
    let store_write_spacing = check.duration_ms("store-write-spacing-ms", 0..=10_000);
    let metrics_interval = check.duration_ms("metrics-interval-ms", 100..=600_000);
    let drain_timeout = check.duration_ms("drain-timeout-ms", 0..=3_600_000);
    let callers = read_callers(check);
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

fn read_callers(check: &mut Checker<'_>) -> Option<CallerLimits> {
    let max_body_bytes = check.count("max-body-bytes", 1024..=268_435_456);
    let max_headers = check.count("max-headers", 8..=128);
    let max_head_bytes = check.count("max-head-bytes", 512..=8191);
    let max_connections = check.count("max-connections", 1..=1_000_000);
    let head_timeout = check.duration_ms("head-timeout-ms", 10..=600_000);
    let body_timeout = check.duration_ms("body-timeout-ms", 10..=3_600_000);
    let idle_timeout = check.duration_ms("idle-timeout-ms", 10..=3_600_000);
    let write_timeout = check.duration_ms("write-timeout-ms", 10..=3_600_000);
    let metrics = check.choice("metrics", &[("open", true), ("off", false)]);
    Some(CallerLimits {
        max_body_bytes: max_body_bytes?,
        max_headers: max_headers?,
        max_head_bytes: max_head_bytes?,
        max_connections: max_connections?,
        head_timeout: head_timeout?,
        body_timeout: body_timeout?,
        idle_timeout: idle_timeout?,
        write_timeout: write_timeout?,
        has_open_metrics: metrics?,
    })
}
