//! The lease of this host, measured on its own monotonic clock.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Maximum number of heartbeats whose send times are stored. Older heartbeats can no longer renew a
/// lease.
const SENT_MAX: usize = 64;

/// The lease, and the sent heartbeats that may still renew it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    length: Duration,
    sent: VecDeque<(u64, Instant)>,
    seq: u64,
    /// Invariant: `since <= until`.
    held: Option<HeldPeriod>,
}

/// An uninterrupted period in which the lease is valid.
#[derive(Clone, Copy, Debug)]
struct HeldPeriod {
    since: Instant,
    until: Instant,
}

impl Lease {
    pub fn new(length: Duration) -> Self {
        Self { length, sent: VecDeque::new(), seq: 0, held: None }
    }

    /// Records that a heartbeat is sent at `now` and returns its sequence number.
    pub fn record_sent(&mut self, now: Instant) -> u64 {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.seq
    }

    /// Renews the lease so that it runs from the time at which heartbeat `seq` was sent. No other
    /// host can have received the heartbeat before that time. Returns the send time, or `None` if
    /// that time is no longer stored.
    pub fn renew(&mut self, now: Instant, seq: u64) -> Option<Instant> {
        let sent = self.sent.iter().find(|(sent_seq, _)| *sent_seq == seq)?.1;
        self.sent.retain(|(sent_seq, _)| *sent_seq >= seq);
        let until = sent + self.length;
        if until <= now {
            return Some(sent);
        }
        let held = self.held.filter(|held| now < held.until);
        self.held = Some(match held {
            Some(held) => HeldPeriod { since: held.since, until: held.until.max(until) },
            None => HeldPeriod { since: now, until },
        });
        Some(sent)
    }

    /// Ends the lease; no heartbeat sent before this call can renew it.
    pub fn relinquish(&mut self) {
        self.held = None;
        self.sent.clear();
    }

    /// Returns the start of the current uninterrupted lease period, if the lease is valid now.
    pub fn held_since(&self, now: Instant) -> Option<Instant> {
        self.held.filter(|held| now < held.until).map(|held| held.since)
    }

    /// Returns when the lease ends unless it is renewed. The time may be in the past.
    pub fn until(&self) -> Option<Instant> {
        self.held.map(|held| held.until)
    }
}
