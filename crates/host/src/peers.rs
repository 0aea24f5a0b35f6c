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

    /// Closes links to removed peers: those in `before` but not in `now`. Keeps links to addresses
    /// that were never in the view, such as those of joining hosts.
    pub(crate) fn close_removed(&self, before: &[SocketAddr], now: &[SocketAddr]) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for removed in before.iter().filter(|peer| !now.contains(peer)) {
            if let Some(link) = links.remove(removed) {
                link.close();
            }
        }
    }
}

/// Converts a link error into a refusal. `sent` is the verdict for a call that was sent: only the
/// caller of this function knows whether a lost reply may mean an effect.
pub(crate) fn refusal(error: &LinkError, sent: Verdict) -> Refusal {
    let verdict = match error {
        LinkError::Unreachable { .. } => Verdict::NotRun,
        LinkError::Failed { .. } | LinkError::Closed { .. } => sent,
    };
    let detail = error.to_string();
    Refusal { verdict, reason: Reason::HomeUnavailable, detail, retry_after: None }
}
