//! Lets one host of each failure domain read the store's changes for the others.
//!
//! Load pattern: the store bills each call. Hundreds of hosts that each watch the configuration, the
//! upstreams and the hosts call it as often as there are hosts times changes, and all of them at
//! once after each change. A *reader* in each failure domain watches the store and keeps a
//! [`ChangeLog`]; its *followers* ask it for what has changed after the revision that they have.
//!
//! A follower is never worse off than a host that reads the store itself by more than a bound. A
//! reader answers only while the store has answered it within [`CONTACT_VALIDITY`], and a follower
//! that gets no answer in time reads the store itself, from the revision that it has reached. So a
//! follower learns of a change at most [`CONTACT_VALIDITY`] after it would have read it, whether the
//! reader is cut off from the store, frozen, killed or cut off from the follower.

mod change_log;

#[cfg(test)]
mod tests;

pub use change_log::{ChangeLog, ChangesAfter, ObjectChange};

use {
    crate::{ids::HostId, rendezvous::rank},
    std::time::{Duration, Instant},
};

/// Time after an answer of the store for which a reader answers its followers. Configurations and
/// upstreams that leave must be known within two seconds.
pub const CONTACT_VALIDITY: Duration = Duration::from_millis(1000);
/// Maximum wait of a reader's watch while it has followers, so that the store's answers show that it
/// is in contact.
pub const READER_WATCH_WAIT: Duration = Duration::from_millis(600);
/// Maximum time that a reader holds a follower's request while nothing changes.
pub const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Time beyond [`FOLLOW_WAIT`] in which the reader's answer must arrive.
pub const FOLLOW_MARGIN: Duration = Duration::from_millis(250);
/// Time for which a host counts as a reader after a follower's request.
pub const FOLLOWED_FOR: Duration = Duration::from_secs(5);

/// Minimum number of hosts with callers in a failure domain that have a reader. Fewer hosts save less
/// than a reader's own calls cost.
const FOLLOWERS_MIN: usize = 4;
/// Number of hosts of a failure domain that may become its reader. If none of them is in reach, each
/// host reads the store itself.
const CANDIDATES: usize = 3;
/// Time for which a host reads the store itself after the reader has not answered. Doubles with each
/// further failure in a row, up to [`DIRECT_MAX`].
const DIRECT_MIN: Duration = Duration::from_secs(1);
/// Maximum time for which a host reads the store itself before it asks a reader again.
const DIRECT_MAX: Duration = Duration::from_secs(16);

/// A host of this host's failure domain that can read the store for others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReaderCandidate {
    /// Id of the host.
    pub host: HostId,
    /// Whether callers connect to it.
    pub serves_callers: bool,
}

impl AsRef<str> for ReaderCandidate {
    fn as_ref(&self) -> &str {
        &self.host
    }
}

/// Returns the hosts that may read for a failure domain, by preference: first hosts without callers,
/// which have processor time to spare. Returns none if the domain is too small to share.
pub fn rank_readers<'a>(domain: &str, hosts: &'a [ReaderCandidate]) -> Vec<&'a HostId> {
    let followers = hosts.iter().filter(|candidate| candidate.serves_callers).count();
    if followers < FOLLOWERS_MIN {
        return Vec::new();
    }
    let mut ranked = rank(domain, hosts);
    ranked.sort_by_key(|candidate| candidate.serves_callers);
    ranked.into_iter().take(CANDIDATES).map(|candidate| &candidate.host).collect()
}

/// How a host gets the store's changes at present.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// It watches the store.
    Store {
        /// Time until which it does; `None` if it needs no reader or has none.
        until: Option<Instant>,
    },
    /// It asks this host.
    Reader(HostId),
}

/// A host's choice between the readers of its failure domain and the store.
#[derive(Debug, Default)]
pub struct Following {
    failures: u32,
    direct_until: Option<Instant>,
}

impl Following {
    /// Returns the source to use now. `ranked` are the hosts that may read for the domain, and
    /// `is_in_reach` tells whether another host has answered lately. `is_followed` tells whether
    /// other hosts use this one as their reader.
    pub fn source(
        &self,
        now: Instant,
        own: &str,
        ranked: &[HostId],
        is_followed: bool,
        is_in_reach: impl Fn(&HostId) -> bool,
    ) -> Source {
        let first = ranked.iter().find(|host| ***host == *own || is_in_reach(host));
        match (first, self.direct_until) {
            (_, Some(until)) if until > now => Source::Store { until: Some(until) },
            (Some(reader), _) if **reader != *own && !is_followed => Source::Reader(reader.clone()),
            _ => Source::Store { until: None },
        }
    }

    /// Records that a reader has answered.
    pub fn on_answer(&mut self) {
        *self = Self::default();
    }

    /// Records that a reader has not answered in time, or is in no contact with the store. `jitter`
    /// is a random number from 0 to 1 that desynchronizes the followers.
    pub fn on_failure(&mut self, now: Instant, jitter: f64) {
        let pause = (DIRECT_MIN * 2u32.saturating_pow(self.failures.min(8))).min(DIRECT_MAX);
        self.failures += 1;
        self.direct_until = Some(now + pause.mul_f64(0.5 + jitter / 2.0));
    }
}

/// Returns whether a reader may answer its followers: the store has answered it lately.
pub fn is_in_contact(now: Instant, last_answer: Option<Instant>) -> bool {
    last_answer.is_some_and(|at| now.saturating_duration_since(at) < CONTACT_VALIDITY)
}
