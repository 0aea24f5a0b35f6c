//! Programs of the pool: where their prefixes are cached and when they were last seen.
//!
//! The map of prefixes is a hint. It is updated from responses, which are reliable, and from cache
//! events of the engines, which arrive late and with gaps. The token counts of an engine's entries
//! that were recorded before a gap are halved.

use {
    super::upstream::UpstreamKey,
    crate::ids::ProgramId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// A program is removed if no request or event has mentioned it for this long.
const RETENTION: Duration = Duration::from_secs(1_800);

/// A prefix that an engine is believed to cache.
#[derive(Clone, Copy, Debug)]
pub(super) struct CachedPrefix {
    pub(super) upstream: UpstreamKey,
    pub(super) tokens: u64,
    /// Number of gaps in the engine's events when the entry was recorded.
    gaps: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Program {
    pub(super) prefixes: Vec<CachedPrefix>,
    pub(super) attained_tokens: u64,
    /// When the last call ended; `None` while a call runs.
    pub(super) paused_at: Option<Instant>,
    last_seen: Instant,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Programs {
    by_id: HashMap<ProgramId, Program>,
    gaps: HashMap<UpstreamKey, u64>,
}

impl Programs {
    pub(super) fn get(&self, id: &ProgramId) -> Option<&Program> {
        self.by_id.get(id)
    }

    /// Returns a program and updates `last_seen`; adds the program if it is new.
    pub(super) fn touch(&mut self, now: Instant, id: &ProgramId) -> &mut Program {
        if !self.by_id.contains_key(id) {
            let program = Program {
                prefixes: Vec::new(),
                attained_tokens: 0,
                paused_at: None,
                last_seen: now,
            };
            self.by_id.insert(id.clone(), program);
        }
        let program = self.by_id.get_mut(id).expect("inserted above");
        program.last_seen = now;
        program
    }

    /// Records the tokens that an engine caches for a program. Returns the change of tokens at that
    /// engine.
    pub(super) fn set_cached_tokens(
        &mut self,
        id: &ProgramId,
        upstream: UpstreamKey,
        tokens: u64,
    ) -> i64 {
        let gaps = self.gaps.get(&upstream).copied().unwrap_or(0);
        let Some(program) = self.by_id.get_mut(id) else {
            return 0;
        };
        let index = program.prefixes.iter().position(|prefix| prefix.upstream == upstream);
        let before = index.map_or(0, |index| program.prefixes.swap_remove(index).tokens);
        if tokens > 0 {
            program.prefixes.push(CachedPrefix { upstream, tokens, gaps });
        }
        tokens as i64 - before as i64
    }

    /// Returns the tokens of the program's prefix that the engine is believed to cache.
    pub(super) fn cached(&self, id: &ProgramId, upstream: UpstreamKey) -> u64 {
        let prefixes = self.by_id.get(id).map_or(&[][..], |program| &program.prefixes);
        let prefix = prefixes.iter().find(|prefix| prefix.upstream == upstream);
        prefix.map_or(0, |prefix| self.trusted_tokens(prefix))
    }

    /// Records that some of the engine's events were lost.
    pub(super) fn record_gap(&mut self, upstream: UpstreamKey) {
        *self.gaps.entry(upstream).or_default() += 1;
    }

    /// Removes a program. Returns the prefixes that engines are believed to cache for it.
    pub(super) fn remove(&mut self, id: &ProgramId) -> Vec<CachedPrefix> {
        self.by_id.remove(id).map_or_else(Vec::new, |program| program.prefixes)
    }

    /// Removes all prefixes of an engine that is no longer listed or whose cache was lost in a
    /// failure.
    pub(super) fn remove_upstream(&mut self, upstream: UpstreamKey) {
        for program in self.by_id.values_mut() {
            program.prefixes.retain(|prefix| prefix.upstream != upstream);
        }
    }

    /// Returns the programs that were not seen for longer than [`RETENTION`], sorted by id.
    pub(super) fn stale(&self, now: Instant) -> Vec<ProgramId> {
        let is_stale = |program: &Program| now.duration_since(program.last_seen) > RETENTION;
        let stale = self.by_id.iter().filter(|(_, program)| is_stale(program));
        let mut ids: Vec<ProgramId> = stale.map(|(id, _)| id.clone()).collect();
        ids.sort_unstable();
        ids
    }

    fn trusted_tokens(&self, prefix: &CachedPrefix) -> u64 {
        let gaps = self.gaps.get(&prefix.upstream).copied().unwrap_or(0);
        if gaps > prefix.gaps { prefix.tokens / 2 } else { prefix.tokens }
    }
}
