//! Prefixes that engines are believed to cache for programs.

use {
    super::{Dispatcher, SWEEP_INTERVAL},
    crate::{
        ids::ProgramId,
        sched::{CacheEvent, upstream::UpstreamKey},
    },
    std::time::Instant,
};

impl Dispatcher {
    /// Updates the cached prefix of a program. Ignores outdated events, and records a gap if a
    /// sequence number was skipped.
    pub(super) fn record_cache_event(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        event: &CacheEvent,
    ) {
        let last = self.upstreams[key].last_event_sequence;
        if last.is_some_and(|last| event.sequence <= last) {
            return;
        }
        if last.is_some_and(|last| event.sequence > last + 1) {
            self.programs.record_gap(key);
        }
        self.upstreams[key].last_event_sequence = Some(event.sequence);
        if event.tokens > 0 {
            self.programs.touch(now, &event.program);
        }
        self.set_cached_tokens(key, &event.program, event.tokens);
    }

    /// Records how many tokens an engine caches for a program.
    pub(super) fn set_cached_tokens(&mut self, key: UpstreamKey, program: &ProgramId, tokens: u64) {
        let change = self.programs.set_cached_tokens(program, key, tokens);
        self.modify_upstream(key, |upstream| upstream.resident_tokens += change);
    }

    /// Removes all cached prefixes of an engine whose cache was lost in a failure or that is no
    /// longer listed.
    pub(super) fn clear_prefixes(&mut self, key: UpstreamKey) {
        self.programs.remove_upstream(key);
        self.modify_upstream(key, |upstream| {
            upstream.resident_tokens = 0;
            upstream.last_event_sequence = None;
        });
    }

    /// Refreshes the mean usage of teams, and removes expired state once every [`SWEEP_INTERVAL`].
    pub(super) fn sweep(&mut self, now: Instant) {
        self.teams.refresh_mean(self.now_s(now));
        if self.last_sweep.is_some_and(|last| now.duration_since(last) < SWEEP_INTERVAL) {
            return;
        }
        self.last_sweep = Some(now);
        self.suspects.expire(now);
        self.retries.expire(now);
        for program in self.programs.stale(now) {
            self.remove_program(&program);
        }
    }
}
