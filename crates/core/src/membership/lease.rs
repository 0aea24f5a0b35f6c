//! The lease of this host, on its own monotonic clock.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Heartbeats whose sending time is remembered. Older ones can't renew a lease any more.
const SENT_MAX: usize = 64;

/// When this host may act.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    length: Duration,
    sent: VecDeque<(u64, Instant)>,
    seq: u64,
    /// Invariant: `since <= until`.
    held: Option<HeldPeriod>,
}

/// A time without a gap in which the lease holds.
#[derive(Clone, Copy, Debug)]
struct HeldPeriod {
    since: Instant,
    until: Instant,
}

impl Lease {
    pub fn new(length: Duration) -> Self {
        Self { length, sent: VecDeque::new(), seq: 0, held: None }
    }

    /// Counts a heartbeat that is sent now.
    pub fn record_sent(&mut self, now: Instant) -> u64 {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.seq
    }

    /// Renews the lease from when the heartbeat was sent, which is earlier than any other host
    /// can have heard of it. Returns that time, or `None` for one that is too old.
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

    /// Gives the lease up for good.
    pub fn relinquish(&mut self) {
        self.held = None;
        self.sent.clear();
    }

    /// Returns since when the lease has held without a gap, if it holds now.
    pub fn held_since(&self, now: Instant) -> Option<Instant> {
        self.held.filter(|held| now < held.until).map(|held| held.since)
    }

    /// Returns the end of the lease.
    pub fn until(&self) -> Option<Instant> {
        self.held.map(|held| held.until)
    }
}
