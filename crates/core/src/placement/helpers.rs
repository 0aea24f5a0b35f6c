//! Chooses the host through which a stranded host sends a request.
//!
//! Load pattern: up to all hosts of a failure domain are stranded at once, and the others carry
//! their requests besides their own. Each stranded host spreads its requests evenly, because it
//! can't see what the others send, and avoids hosts that have just rejected one. Where most hosts are
//! stranded, a host that asks at random finds none that can help: those that have rejected a request
//! come last until they have helped.

use {
    crate::ids::HostId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long a host that rejected a request is avoided. Shorter than most cuts, so that a host that
/// has just lost its own paths, or that was full, is asked again soon.
const AVOIDED_DURATION: Duration = Duration::from_millis(500);
/// How long a host that rejected a request is chosen only if all others have rejected one as well. As
/// long as a short cut.
const LAST_CHOICE_DURATION: Duration = Duration::from_secs(5);

/// The hosts that may help, as seen by this host.
#[derive(Debug, Default)]
pub struct Helpers {
    requests_open: HashMap<HostId, u32>,
    /// When hosts last rejected a request, if they have not helped since. Invariant: none is older than
    /// [`LAST_CHOICE_DURATION`] at the last rejection.
    rejected_at: HashMap<HostId, Instant>,
}

impl Helpers {
    /// Chooses the host with the fewest open requests of this host, a random one among several. Those
    /// that have rejected a request in the last [`LAST_CHOICE_DURATION`] come after the others.
    /// `candidates` are the other hosts, with whether each counts as out of reach. One that does is
    /// chosen only if there is no other: one slow connection is enough to count as out of reach, and
    /// the alternative is to refuse the request. Returns `None` if all have rejected a request lately.
    pub fn choose<'a>(
        &self,
        now: Instant,
        candidates: impl IntoIterator<Item = (&'a HostId, bool)>,
        mut random: impl FnMut() -> u64,
    ) -> Option<&'a HostId> {
        let has_rejected_within = |host: &HostId, period: Duration| {
            let rejected_at = self.rejected_at.get(host);
            rejected_at.is_some_and(|at| now.saturating_duration_since(*at) < period)
        };
        let open = |host: &HostId| self.requests_open.get(host).copied().unwrap_or(0);
        let usable =
            candidates.into_iter().filter(|(host, _)| !has_rejected_within(host, AVOIDED_DURATION));
        let chosen = usable.min_by_key(|(host, is_out_of_reach)| {
            let is_last_choice = has_rejected_within(host, LAST_CHOICE_DURATION);
            (*is_out_of_reach, is_last_choice, open(host), random())
        });
        chosen.map(|(host, _)| host)
    }

    /// Records that a request is sent through a host.
    pub fn record_sent(&mut self, host: &HostId) {
        *self.requests_open.entry(host.clone()).or_default() += 1;
    }

    /// Records that a request that was sent through a host has ended.
    pub fn record_end(&mut self, host: &HostId) {
        if let Some(open) = self.requests_open.get_mut(host) {
            *open -= 1;
            if *open == 0 {
                self.requests_open.remove(host);
            }
        }
    }

    /// Records that a host rejected a request or could not be reached.
    pub fn record_rejected(&mut self, now: Instant, host: &HostId) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < LAST_CHOICE_DURATION;
        self.rejected_at.retain(|_, at| is_recent(at));
        self.rejected_at.insert(host.clone(), now);
    }

    /// Records that a host has passed a request on.
    pub fn record_helped(&mut self, host: &HostId) {
        self.rejected_at.remove(host);
    }
}

#[cfg(test)]
mod tests;
