//! Decides whether this host has lost its paths to all upstreams.
//!
//! Load pattern: a part of the network fails between some hosts and all upstreams, while callers and
//! other hosts still reach these hosts. Connections to upstreams hang, are reset, or live on while
//! new ones are refused. A single upstream that crashed, or several, looks the same from one
//! connection. Only new connections count, because open ones may live on, and because an upstream
//! may be silent for seconds while it is healthy. A host that believes wrongly that it is stranded
//! sends its requests through another host, which costs one hop.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Number of upstreams to which connections must fail until others are tried. Two upstreams that
/// crash together are more frequent than a cut.
const SUSPECT_FAILURES_MIN: usize = 3;
/// Number of upstreams to which connections must fail, with those that were tried.
const STRANDED_FAILURES_MIN: usize = 6;
/// Time within which connections to these upstreams must fail, with none that succeeds. Exceeds the
/// time after which a connection attempt is given up.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// What follows from a connection that could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// Nothing is new.
    None,
    /// This host may be stranded: connections to other upstreams should be tried.
    Suspect,
    /// This host is stranded from now on.
    Stranded,
}

/// What the connections to upstreams show of the paths to them.
#[derive(Debug, Default)]
pub struct UpstreamReach {
    /// Time of the last failure by upstream, since a connection to any upstream succeeded.
    failed_at: HashMap<SocketAddr, Instant>,
    stranded_since: Option<Instant>,
}

impl UpstreamReach {
    /// Returns since when this host reaches no upstream, if so.
    pub fn stranded_since(&self) -> Option<Instant> {
        self.stranded_since
    }

    /// Records that a connection to an upstream was opened. Returns how long this host was stranded,
    /// if it was until now.
    pub fn record_connected(&mut self, now: Instant) -> Option<Duration> {
        self.failed_at.clear();
        Some(now.saturating_duration_since(self.stranded_since.take()?))
    }

    /// Records that no connection to an upstream could be opened. `upstream_count` is the number of
    /// known upstreams.
    pub fn record_failed(
        &mut self,
        now: Instant,
        upstream: SocketAddr,
        upstream_count: usize,
    ) -> ReachChange {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < FAILURE_WINDOW;
        self.failed_at.retain(|_, at| is_recent(at));
        self.failed_at.insert(upstream, now);
        let failed = self.failed_at.len();
        if self.stranded_since.is_some() || failed < SUSPECT_FAILURES_MIN.min(upstream_count) {
            return ReachChange::None;
        }
        if failed < STRANDED_FAILURES_MIN.min(upstream_count) {
            return ReachChange::Suspect;
        }
        self.stranded_since = Some(now);
        ReachChange::Stranded
    }

    /// Returns whether a connection to an upstream has failed since the last one to any succeeded.
    pub fn has_failed(&self, upstream: SocketAddr) -> bool {
        self.failed_at.contains_key(&upstream)
    }
}

#[cfg(test)]
mod tests;
