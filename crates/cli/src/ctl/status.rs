//! The command `status`: shows hosts, upstreams, configuration and store.

use {
    super::{
        context::{Context, address_arg},
        error::CtlError,
        store::Store,
    },
    clap::ArgMatches,
    std::{
        fmt,
        time::{Duration, Instant},
    },
    trefoilring_clients::{HostList, UpstreamRecord},
    trefoilring_core::{
        ids::ConfigVersion,
        membership::{HostEntry, HostState, Roster},
    },
};

/// One host as listed in its roster.
#[derive(Debug, serde::Serialize)]
struct HostRow {
    host: String,
    domain: String,
    state: HostState,
    peer_address: String,
    config_version: ConfigVersion,
    journals: usize,
    is_delegate: bool,
}

/// One upstream as listed in the host list.
#[derive(Debug, serde::Serialize)]
struct UpstreamRow {
    upstream: String,
    service: String,
    domain: String,
    address: String,
    is_leaving: bool,
}

/// State of the system as recorded in the store.
#[derive(Debug, serde::Serialize)]
struct StatusReport {
    config_version: ConfigVersion,
    config_change: Option<String>,
    hosts: Vec<HostRow>,
    /// Number of hosts that do not have the current version in force.
    hosts_behind: usize,
    /// `None` without `--host-list`.
    #[serde(skip_serializing_if = "Option::is_none")]
    upstreams: Option<Vec<UpstreamRow>>,
    /// Duration of one read from the store.
    store_read_us: u128,
}

/// Prints hosts, upstreams, configuration and the duration of one read from the store.
pub(super) async fn status(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let host_list = address_arg(matches, "host-list")?;
    let store = context.store()?;
    let start = Instant::now();
    let (_, manifest) = store.manifest().await?;
    let store_read = start.elapsed();
    let hosts = host_rows(&store).await?;
    let config_version = manifest.as_ref().map_or(0, |manifest| manifest.version);
    let upstreams = match host_list {
        Some(address) => Some(upstream_rows(&HostList::new(address)).await?),
        None => None,
    };
    context.print(&StatusReport {
        config_version,
        config_change: manifest.map(|manifest| manifest.change),
        hosts_behind: hosts.iter().filter(|host| host.config_version < config_version).count(),
        hosts,
        upstreams,
        store_read_us: Duration::as_micros(&store_read),
    })
}

async fn host_rows(store: &Store) -> Result<Vec<HostRow>, CtlError> {
    let rosters = store.rosters().await?;
    let rows = rosters
        .iter()
        .flat_map(|roster| roster.hosts.values().map(move |entry| HostRow::new(roster, entry)));
    Ok(rows.collect())
}

impl HostRow {
    fn new(roster: &Roster, entry: &HostEntry) -> Self {
        Self {
            host: entry.member.host.to_string(),
            domain: entry.domain.to_string(),
            state: entry.state,
            peer_address: entry.address.clone(),
            config_version: entry.config,
            journals: entry.journals.len(),
            // The delegate is the member that writes the roster.
            is_delegate: roster.writer == entry.member,
        }
    }
}

async fn upstream_rows(list: &HostList) -> Result<Vec<UpstreamRow>, CtlError> {
    let records = list.upstreams().await;
    let records = records.map_err(|error| CtlError::Failed(format!("host list: {error}")))?;
    Ok(records.into_iter().map(UpstreamRow::from).collect())
}

impl From<UpstreamRecord> for UpstreamRow {
    fn from(record: UpstreamRecord) -> Self {
        Self {
            upstream: record.upstream.to_string(),
            service: record.service.to_string(),
            domain: record.domain.to_string(),
            address: record.address.to_string(),
            is_leaving: record.is_leaving,
        }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = self.config_change.as_deref().unwrap_or("no configuration applied yet");
        writeln!(f, "configuration: version {} ({change})", self.config_version)?;
        writeln!(f, "store: read in {:.1} ms", self.store_read_us as f64 / 1000.0)?;
        let (count, behind) = (self.hosts.len(), self.hosts_behind);
        writeln!(f, "hosts: {count}, of which {behind} do not have this version in force")?;
        if count > 0 {
            writeln!(
                f,
                "  {:<20} {:<14} {:<9} {:>7} {:>8}  peer address",
                "host", "domain", "state", "version", "journals"
            )?;
        }
        for row in &self.hosts {
            let state = format!("{:?}", row.state).to_lowercase();
            let delegate = if row.is_delegate { "  delegate" } else { "" };
            let HostRow { host, domain, peer_address, config_version, journals, .. } = row;
            writeln!(
                f,
                "  {host:<20} {domain:<14} {state:<9} {config_version:>7} {journals:>8}  \
                 {peer_address}{delegate}"
            )?;
        }
        for row in self.upstreams.iter().flatten() {
            let state = if row.is_leaving { "leaving" } else { "live" };
            let UpstreamRow { upstream, service, domain, address, .. } = row;
            writeln!(f, "  {upstream:<20} {domain:<14} {state:<9} {service:<16}  {address}")?;
        }
        Ok(())
    }
}
