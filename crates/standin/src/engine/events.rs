//! Cache events, which show late and with gaps, and load reports, which lag.

use {
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    trefoilring_clients::{CacheEvent, CacheEventKind, CacheEvents, Load},
    trefoilring_core::ids::ProgramId,
};

/// Events and reports that are kept.
const MAX_KEPT: usize = 16_384;
/// Reports are kept no closer than this.
const REPORT_SPACING: Duration = Duration::from_millis(2);

/// The events of one engine since its start.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl EventLog {
    pub(super) fn push(&mut self, kind: CacheEventKind, program: &ProgramId, tokens: u64) {
        self.sequence += 1;
        let (sequence, program) = (self.sequence, program.clone());
        if self.events.len() == MAX_KEPT {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), CacheEvent { sequence, kind, program, tokens }));
    }

    /// Returns the events from a sequence number on that are older than `delay`, without every n-th.
    pub(super) fn since(&self, since: u64, delay: Duration, lose_every: u32) -> CacheEvents {
        let is_lost =
            |sequence: u64| lose_every > 0 && sequence.is_multiple_of(u64::from(lose_every));
        let shown = self.events.iter().filter(|(at, _)| at.elapsed() >= delay);
        let shown = shown.map(|(_, event)| event).filter(|event| event.sequence >= since);
        let shown: Vec<_> = shown.collect();
        // A number above the engine's own is from before a restart: all is new.
        let next = shown.last().map_or(since.min(self.sequence + 1), |event| event.sequence + 1);
        let kept = shown.into_iter().filter(|event| !is_lost(event.sequence)).cloned();
        CacheEvents { next, events: kept.collect() }
    }
}

/// Past loads.
#[derive(Debug, Default)]
pub(super) struct Reports {
    reports: VecDeque<(Instant, Load)>,
}

impl Reports {
    pub(super) fn push(&mut self, load: Load) {
        let now = Instant::now();
        match self.reports.back_mut() {
            // The spacing is measured from the time at which the entry was made, so that a busy
            // engine makes new entries too.
            Some((at, last)) if now - *at < REPORT_SPACING => *last = load,
            _ => self.reports.push_back((now, load)),
        }
        if self.reports.len() > MAX_KEPT {
            self.reports.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn lagging(&self, lag: Duration) -> Load {
        let seen = self.reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let load = seen.map(|(_, load)| load.clone()).unwrap_or_default();
        Load { age_ms: lag.as_millis() as u64, ..load }
    }
}
