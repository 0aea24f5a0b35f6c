//! The flags of `trefoilring serve`, each also an environment variable.

/// One flag.
pub(super) struct Flag {
    /// Name without dashes.
    pub name: &'static str,
    /// What stands for its value in the help.
    pub value_name: &'static str,
    /// The value if none is given. Without one, the flag is required or optional by its check.
    pub default: Option<&'static str>,
    /// One sentence for the help.
    pub help: &'static str,
}

/// Returns the environment variable of a flag.
pub(super) fn variable(flag: &str) -> String {
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

/// All flags, in the order of the help.
pub(super) const FLAGS: &[Flag] = &[
    flag("host", "NAME", None, "This host's name, unique among live hosts [required]"),
    flag("domain", "NAME", None, "The failure domain in which this host runs [required]"),
    flag("listen", "IP:PORT", Some("0.0.0.0:8080"), "Where callers connect"),
    flag("peer-listen", "IP:PORT", Some("0.0.0.0:8081"), "Where other hosts connect"),
    flag("advertise", "IP:PORT", None, "Address told to other hosts [default: --peer-listen]"),
    flag("object-api", "IP:PORT", None, "The platform's Object API [required]"),
    flag("host-list", "IP:PORT", None, "The platform's host list [required]"),
    flag("data-dir", "FOLDER", None, "Existing folder for bulk data; checked, and not used yet"),
    flag("traffic-threads", "N", Some("2"), "Threads that serve traffic"),
    flag("heartbeat-ms", "MS", Some("1000"), "Time between two heartbeats"),
    flag("lease-ms", "MS", Some("5000"), "How long a lease holds; at least three heartbeats"),
    flag("log-level", "LEVEL", Some("info"), "Least important level that is logged"),
    flag("event-log", "FILE", None, "File to which events are appended as JSON lines"),
    flag(
        "store-write-spacing-ms",
        "MS",
        Some("0"),
        "Least even spacing of a journal's writes to the Object API; more hosts space them wider",
    ),
    flag("metrics-interval-ms", "MS", Some("10000"), "Time between two readings of own metrics"),
    flag(
        "drain-timeout-ms",
        "MS",
        Some("600000"),
        "How long a planned stop waits for running requests",
    ),
    flag("max-body-bytes", "BYTES", Some("8388608"), "Largest request body"),
    flag("max-headers", "N", Some("64"), "Most headers of one request"),
    flag("max-head-bytes", "BYTES", Some("8191"), "Longest request line and headers together"),
    flag("max-connections", "N", Some("4096"), "Callers' connections open at once"),
    flag("head-timeout-ms", "MS", Some("5000"), "How long a request's head may take"),
    flag("body-timeout-ms", "MS", Some("30000"), "How long a request's body may take"),
    flag("idle-timeout-ms", "MS", Some("60000"), "How long a connection may be idle"),
    flag("write-timeout-ms", "MS", Some("30000"), "How long a write may make no progress"),
    flag("metrics", "open|off", Some("open"), "Whether /metrics is served without a key"),
];
