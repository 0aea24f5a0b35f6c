//! Which hosts keep a ledger, by rank.

use {crate::gateway::Gateway, std::net::SocketAddr, trefoilring_core::rendezvous::rank};

/// Hosts that keep a ledger in turn: the first by rank, and those that stand in for it. All of them
/// note an outage before charges go far beyond the record.
pub(crate) const LEDGER_HOST_COUNT: usize = 3;

/// A host that may keep a ledger.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LedgerHost {
    /// Where it is; `None` is this host.
    pub(crate) address: Option<SocketAddr>,
    /// Its place by rank, from zero, whoever can be reached.
    pub(crate) rank: usize,
}

/// A host to rank.
struct Candidate<'a> {
    host: &'a str,
    serves_callers: bool,
    address: Option<SocketAddr>,
}

impl AsRef<str> for Candidate<'_> {
    fn as_ref(&self) -> &str {
        self.host
    }
}

/// Returns the hosts that may keep a ledger, best first: hosts without callers before others.
pub(crate) fn ledger_hosts(gateway: &Gateway, partition: usize) -> Vec<LedgerHost> {
    let roster = gateway.roster.borrow();
    let peers = roster.others().map(|(host, record)| Candidate {
        host,
        serves_callers: record.serves_callers,
        address: Some(record.address),
    });
    let own = Candidate {
        host: &gateway.settings.host,
        serves_callers: gateway.settings.callers_listen.is_some(),
        address: None,
    };
    let candidates: Vec<Candidate<'_>> = peers.chain([own]).collect();
    let mut ranked = rank(&partition.to_string(), &candidates);
    // A stable sort: the order by rank stays within both groups.
    ranked.sort_by_key(|candidate| candidate.serves_callers);
    let addresses = ranked.into_iter().map(|candidate| candidate.address);
    addresses.enumerate().map(|(rank, address)| LedgerHost { address, rank }).collect()
}
