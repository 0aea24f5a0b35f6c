//! The flags of `trefoilring serve`. Each has a corresponding environment variable.

/// Definition of one flag.
pub(super) struct Flag {
    /// Name without leading dashes.
    pub name: &'static str,
    /// Placeholder of the value in the help text.
    pub value_name: &'static str,
    /// Default value. For a flag without one, the method of `Checker` that parses it decides
    /// whether it is required.
    pub default: Option<&'static str>,
    /// Help text, one sentence.
    pub help: &'static str,
}

/// Returns the name of a flag's environment variable.
pub(super) fn env_variable(flag: &str) -> String {
    format!("TREFOILRING_{}", flag.to_uppercase().replace('-', "_"))
}

const fn flag(
    name: &'static str,
    value_name: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> Flag {
    Flag { name, value_name, default, help }
}

/// All flags, in the order of the help text.
pub(super) const FLAGS: &[Flag] = &[
    flag("host", "NAME", None, "This host's name, unique among live hosts [required]"),
    flag("domain", "NAME", None, "The failure domain in which this host runs [required]"),
    flag("listen", "IP:PORT", Some("0.0.0.0:8080"), "Address to listen on for callers"),
    flag("peer-listen", "IP:PORT", Some("0.0.0.0:8081"), "Address to listen on for other hosts"),
    flag(
        "advertise",
        "IP:PORT",
        None,
        "Address that other hosts connect to [default: --peer-listen]",
    ),
    flag("object-api", "IP:PORT", None, "The platform's Object API [required]"),
    flag("host-list", "IP:PORT", None, "The platform's host list [required]"),
    flag("data-dir", "FOLDER", None, "Existing directory for bulk data; checked, but not used yet"),
    flag("traffic-threads", "N", Some("2"), "Number of threads that serve traffic"),
    flag("heartbeat-ms", "MS", Some("1000"), "Interval between two heartbeats"),
    flag("lease-ms", "MS", Some("5000"), "Duration of a lease; at least three heartbeat intervals"),
    flag("log-level", "LEVEL", Some("info"), "Least severe level that is logged"),
    flag("event-log", "FILE", None, "File to which events are appended as JSON lines"),
    flag(
        "store-write-spacing-ms",
        "MS",
        Some("0"),
        "Minimum time between two writes of one journal; increases with the number of hosts",
    ),
    flag(
        "metrics-interval-ms",
        "MS",
        Some("10000"),
        "Interval at which the process samples its own metrics",
    ),
    flag(
        "drain-timeout-ms",
        "MS",
        Some("600000"),
        "Maximum time that a planned stop waits for requests in flight",
    ),
    flag("max-body-bytes", "BYTES", Some("8388608"), "Maximum size of a request body"),
    flag(
        "max-bodies-bytes",
        "BYTES",
        Some("268435456"),
        "Maximum size of all request bodies together",
    ),
    flag("max-headers", "N", Some("64"), "Maximum number of headers in a request"),
    flag(
        "max-head-bytes",
        "BYTES",
        Some("8191"),
        "Maximum size of the request line and headers together",
    ),
    flag("max-connections", "N", Some("4096"), "Maximum number of open connections from callers"),
    flag("head-timeout-ms", "MS", Some("5000"), "Maximum time to receive a request's head"),
    flag("body-timeout-ms", "MS", Some("30000"), "Maximum time to receive a request's body"),
    flag("idle-timeout-ms", "MS", Some("60000"), "Maximum idle time of a connection"),
    flag("write-timeout-ms", "MS", Some("30000"), "Maximum time that a write may stall"),
    flag("metrics", "open|off", Some("open"), "Whether /metrics is served without a key"),
];
