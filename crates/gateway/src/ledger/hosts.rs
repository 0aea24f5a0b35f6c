//! Ranks the hosts that may own a ledger.

use {
    crate::gateway::Gateway,
    std::net::SocketAddr,
    trefoilring_core::{ids::HostId, rendezvous::rank},
};

/// Number of ledger hosts per ledger: the first-ranked host and those that can replace it. A majority
/// of them stores an outage note before an owner grants an overdraft.
pub(crate) const LEDGER_HOST_COUNT: usize = 3;

/// A host with its rank as owner of a ledger.
#[derive(Clone, Debug)]
pub(crate) struct RankedHost {
    pub(crate) host: HostId,
    /// Address of the host; `None` for this host.
    pub(crate) address: Option<SocketAddr>,
}

struct Candidate<'a> {
    host: &'a HostId,
    serves_callers: bool,
    address: Option<SocketAddr>,
}

impl AsRef<str> for Candidate<'_> {
    fn as_ref(&self) -> &str {
        self.host
    }
}

/// Returns all hosts, ordered by preference as owner of a ledger. Hosts that serve no callers come
/// first.
pub(crate) fn ranked_hosts(gateway: &Gateway, partition: usize) -> Vec<RankedHost> {
    let roster = gateway.roster.borrow();
    let peers = roster.peers().map(|(host, record)| Candidate {
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
    // The sort is stable, so the order by rank is preserved within both groups.
    ranked.sort_by_key(|candidate| candidate.serves_callers);
    let to_ranked_host = |candidate: &Candidate<'_>| RankedHost {
        host: candidate.host.clone(),
        address: candidate.address,
    };
    ranked.into_iter().map(to_ranked_host).collect()
}
