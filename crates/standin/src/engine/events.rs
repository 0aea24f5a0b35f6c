//! Cache events, which can be delayed and lossy, and load reports, which can lag.

use {
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    trefoilring_clients::{CacheEvent, CacheEventKind, CacheEvents, Load},
    trefoilring_core::ids::ProgramId,
};

/// Maximum number of events, and of load reports, that are kept.
const MAX_HISTORY: usize = 16_384;
/// Minimum time between two load reports that are kept.
const REPORT_SPACING: Duration = Duration::from_millis(2);

/// The most recent cache events of one engine.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl EventLog {
    pub(super) fn push(&mut self, kind: CacheEventKind, program: &ProgramId, tokens: u64) {
        self.sequence += 1;
        let (sequence, program) = (self.sequence, program.clone());
        if self.events.len() == MAX_HISTORY {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), CacheEvent { sequence, kind, program, tokens }));
    }

    /// Returns the events from sequence number `since` on that are at least `delay` old. Omits
    /// every `drop_interval`-th event; 0 omits none.
    pub(super) fn since(&self, since: u64, delay: Duration, drop_interval: u32) -> CacheEvents {
        let is_lost =
            |sequence: u64| drop_interval > 0 && sequence.is_multiple_of(u64::from(drop_interval));
        let visible = self.events.iter().filter(|(at, _)| at.elapsed() >= delay);
        let visible = visible.map(|(_, event)| event).filter(|event| event.sequence >= since);
        let visible: Vec<_> = visible.collect();
        // A `since` above the last sequence number was obtained before a restart. Then `next` is
        // the number after the last event, so that the caller receives all new events.
        let next = visible.last().map_or(since.min(self.sequence + 1), |event| event.sequence + 1);
        let remaining = visible.into_iter().filter(|event| !is_lost(event.sequence)).cloned();
        CacheEvents { next, events: remaining.collect() }
    }
}

/// Past load reports, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    loads: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    pub(super) fn push(&mut self, load: Load) {
        let now = Instant::now();
        match self.loads.back_mut() {
            // The spacing is measured from the entry's creation, not from its last update.
            // Otherwise a busy engine would never add a new entry.
            Some((at, last)) if now - *at < REPORT_SPACING => *last = load,
            _ => self.loads.push_back((now, load)),
        }
        if self.loads.len() > MAX_HISTORY {
            self.loads.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn lagged(&self, lag: Duration) -> Load {
        let past = self.loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let load = past.map(|(_, load)| load.clone()).unwrap_or_default();
        Load { age_ms: lag.as_millis() as u64, ..load }
    }
}
