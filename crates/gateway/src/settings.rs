//! Settings of one gateway, checked.

use {
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    trefoilring_core::ids::{DomainId, HostId},
};

/// What an adapter or a command line must say.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This host. Unique among live hosts.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers connect. A host without it only serves other hosts.
    pub callers_listen: Option<SocketAddr>,
    /// Where the platform asks whether the host is ready.
    pub ready_listen: Option<SocketAddr>,
    /// The path of that question.
    pub ready_path: String,
    /// Where other hosts connect.
    pub peers_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: SocketAddr,
    /// Peer addresses of some hosts, of use while the store can't be reached. May be stale.
    pub seeds: Vec<SocketAddr>,
    /// For how long the store keeps the history that a watch goes on from.
    pub store_history: Duration,
    /// Where this host may keep files over restarts; `None` if it has no disk.
    pub data_folder: Option<PathBuf>,
    /// Whether the whole system starts for the first time, with nothing in the store.
    pub is_first_start: bool,
    /// How long a planned stop may take.
    pub stop_grace: Duration,
    /// Memory that the process may use, in bytes.
    pub memory_bytes_max: u64,
}
