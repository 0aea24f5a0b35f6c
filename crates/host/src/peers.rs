//! Links to other hosts, one per host, and the conversion of link errors into refusals.

use {
    smol::Executor,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
    trefoilring_core::verdict::{Reason, Refusal, Verdict},
    trefoilring_proto::{Link, LinkError},
};

/// The links of one host.
pub(crate) struct Peers {
    executor: Arc<Executor<'static>>,
    links: Mutex<BTreeMap<SocketAddr, Arc<Link>>>,
}

impl Peers {
    pub(crate) fn new(executor: Arc<Executor<'static>>) -> Self {
        Self { executor, links: Mutex::default() }
    }

    /// Returns the link to a peer. Creating a link opens no connection yet.
    pub(crate) fn link(&self, peer: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let make = || Arc::new(Link::new(peer, self.executor.clone()));
        links.entry(peer).or_insert_with(make).clone()
    }

    /// Closes links to removed peers: those in `previous` but not in `current`. Keeps links to
    /// addresses that were never in the view, such as those of joining hosts.
    pub(crate) fn close_removed(&self, previous: &[SocketAddr], current: &[SocketAddr]) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for removed in previous.iter().filter(|peer| !current.contains(peer)) {
            if let Some(link) = links.remove(removed) {
                link.close();
            }
        }
    }
}

/// Converts a link error into a refusal. `verdict_if_sent` is the verdict for a call that was sent:
/// the caller of this function decides whether a call whose reply was lost may have had an effect.
pub(crate) fn refusal(error: &LinkError, verdict_if_sent: Verdict) -> Refusal {
    let verdict = match error {
        LinkError::Unreachable { .. } => Verdict::NotRun,
        LinkError::Failed { .. } | LinkError::Closed { .. } => verdict_if_sent,
    };
    let detail = error.to_string();
    Refusal { verdict, reason: Reason::HomeUnavailable, detail, retry_after: None }
}
