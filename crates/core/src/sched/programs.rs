//! What is known of programs: where their prefixes are, and when they were last seen.
//!
//! The map of prefixes is a hint. It is fed by answers, which are sure, and by the engines' cache
//! events, which come late and with gaps; after a gap, older entries of that engine count half.

use {
    super::upstream::UpstreamKey,
    crate::ids::ProgramId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Programs not heard of for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(1_800);

/// A prefix that an engine is believed to hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holding {
    pub(super) upstream: UpstreamKey,
    pub(super) tokens: u64,
    /// Gaps in the engine's events when the entry was made.
    gaps: u64,
}

/// One program.
#[derive(Clone, Debug)]
pub(super) struct Program {
    pub(super) holdings: Vec<Holding>,
    pub(super) attained_tokens: u64,
    /// When the last call ended, while none runs.
    pub(super) paused_at: Option<Instant>,
    seen: Instant,
}

/// All programs of the pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Programs {
    by_id: HashMap<ProgramId, Program>,
    gaps: HashMap<UpstreamKey, u64>,
}

impl Programs {
    /// Finds a program.
    pub(super) fn get(&self, id: &ProgramId) -> Option<&Program> {
        self.by_id.get(id)
    }

    /// Finds a program, adding it when it is new.
    pub(super) fn touch(&mut self, now: Instant, id: &ProgramId) -> &mut Program {
        if !self.by_id.contains_key(id) {
            let program =
                Program { holdings: Vec::new(), attained_tokens: 0, paused_at: None, seen: now };
            self.by_id.insert(id.clone(), program);
        }
        let program = self.by_id.get_mut(id).expect("inserted above");
        program.seen = now;
        program
    }

    /// Records what an engine holds. Returns the change of tokens at that engine.
    pub(super) fn hold(&mut self, id: &ProgramId, upstream: UpstreamKey, tokens: u64) -> i64 {
        let gaps = self.gaps.get(&upstream).copied().unwrap_or(0);
        let Some(program) = self.by_id.get_mut(id) else {
            return 0;
        };
        let place = program.holdings.iter().position(|holding| holding.upstream == upstream);
        let before = place.map_or(0, |place| program.holdings.swap_remove(place).tokens);
        if tokens > 0 {
            program.holdings.push(Holding { upstream, tokens, gaps });
        }
        tokens as i64 - before as i64
    }

    /// Tokens of the program's prefix that the engine is believed to hold.
    pub(super) fn cached(&self, id: &ProgramId, upstream: UpstreamKey) -> u64 {
        let holdings = self.by_id.get(id).map_or(&[][..], |program| &program.holdings);
        let holding = holdings.iter().find(|holding| holding.upstream == upstream);
        holding.map_or(0, |holding| self.trusted(holding))
    }

    /// Some of the engine's events were lost.
    pub(super) fn saw_gap(&mut self, upstream: UpstreamKey) {
        *self.gaps.entry(upstream).or_default() += 1;
    }

    /// Forgets a program. Returns what engines are believed to hold for it.
    pub(super) fn remove(&mut self, id: &ProgramId) -> Vec<Holding> {
        self.by_id.remove(id).map_or_else(Vec::new, |program| program.holdings)
    }

    /// Forgets what an engine held, because it is gone or has lost its memory.
    pub(super) fn forget_upstream(&mut self, upstream: UpstreamKey) {
        for program in self.by_id.values_mut() {
            program.holdings.retain(|holding| holding.upstream != upstream);
        }
    }

    /// Programs not heard of for long, in order of their ids.
    pub(super) fn stale(&self, now: Instant) -> Vec<ProgramId> {
        let is_stale = |program: &Program| now.duration_since(program.seen) > FORGET_AFTER;
        let stale = self.by_id.iter().filter(|(_, program)| is_stale(program));
        let mut ids: Vec<ProgramId> = stale.map(|(id, _)| id.clone()).collect();
        ids.sort_unstable();
        ids
    }

    fn trusted(&self, holding: &Holding) -> u64 {
        let gaps = self.gaps.get(&holding.upstream).copied().unwrap_or(0);
        if gaps > holding.gaps { holding.tokens / 2 } else { holding.tokens }
    }
}
