//! Chooses the host through which a stranded host sends a request.
//!
//! Load pattern: up to all hosts of a failure domain are stranded at once, and the others carry
//! their requests besides their own. Each stranded host spreads its requests evenly, because it
//! can't see what the others send, and avoids hosts that have just rejected one.

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

/// The hosts that may help, as seen by this host.
#[derive(Debug, Default)]
pub struct Helpers {
    requests_open: HashMap<HostId, u32>,
    avoided_until: HashMap<HostId, Instant>,
}

impl Helpers {
    /// Chooses the host with the fewest open requests of this host, a random one among several.
    /// `candidates` are the other hosts, with whether each counts as out of reach. One that does is
    /// chosen only if there is no other: one slow connection is enough to count as out of reach, and
    /// the alternative is to refuse the request. Returns `None` if all have rejected a request lately.
    pub fn choose<'a>(
        &self,
        now: Instant,
        candidates: impl IntoIterator<Item = (&'a HostId, bool)>,
        mut random: impl FnMut() -> u64,
    ) -> Option<&'a HostId> {
        let is_avoided =
            |host: &HostId| self.avoided_until.get(host).is_some_and(|until| now < *until);
        let open = |host: &HostId| self.requests_open.get(host).copied().unwrap_or(0);
        let usable = candidates.into_iter().filter(|(host, _)| !is_avoided(host));
        let chosen =
            usable.min_by_key(|(host, is_out_of_reach)| (*is_out_of_reach, open(host), random()));
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
        self.avoided_until.retain(|_, until| now < *until);
        self.avoided_until.insert(host.clone(), now + AVOIDED_DURATION);
    }
}

#[cfg(test)]
mod tests;
