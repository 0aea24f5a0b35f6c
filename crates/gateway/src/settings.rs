//! Validated settings of one gateway.

use {
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    trefoilring_core::ids::{DomainId, HostId},
};

/// Settings that the adapter or the command line provides.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this host. Unique among live hosts.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: DomainId,
    /// Address for callers. A host without one only serves other hosts.
    pub callers_listen: Option<SocketAddr>,
    /// Address for the platform's readiness checks.
    pub ready_listen: Option<SocketAddr>,
    /// Path of the readiness checks.
    pub ready_path: String,
    /// Address for other hosts.
    pub peers_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: SocketAddr,
    /// Peer addresses of some hosts, used while the store can't be reached and the roster has no
    /// other host. May be outdated.
    pub seeds: Vec<SocketAddr>,
    /// How long the store keeps the history from which a watch can continue.
    pub store_history: Duration,
    /// Folder for files that survive restarts; `None` if the host has no disk.
    pub data_folder: Option<PathBuf>,
    /// Whether the whole system starts for the first time, with an empty store.
    pub is_first_start: bool,
    /// Maximum duration of a graceful stop.
    pub stop_grace: Duration,
    /// Maximum memory of the process in bytes.
    pub memory_bytes_max: u64,
    /// Size of the disk of the data folder in bytes.
    pub disk_bytes_max: u64,
    /// Number of hosts with disks that may be lost at once, with their disks.
    pub losses_max: usize,
    /// Time from the acknowledgement of an evacuation until no request may reach the domain; `None`
    /// where there are no evacuations.
    pub evacuation_time_max: Option<Duration>,
    /// How long an upstream serves after it has reported that it is about to stop; `None` for the
    /// default.
    pub drain_time: Option<Duration>,
}
