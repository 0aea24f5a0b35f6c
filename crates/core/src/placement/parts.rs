//! Decides which upstreams hold the prompt parts that requests have in common.
//!
//! Load pattern: a turn's prompt begins with one of a few shared parts of some 12,600 tokens, of very
//! uneven popularity, and an upstream that has not cached it needs 40 to 90 ms to read it. Every
//! upstream would read every part. Each part therefore has a few *holders*: the upstreams that rank
//! first for it by rendezvous hashing, as many as its share of the service's turns needs. Hosts
//! rank alike, and hosts that learn different widths agree on the holders that rank first.

use {
    super::decay::Decayed,
    crate::rendezvous::NameHash,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Holders of a part for each upstream that its share of the turns would fill. In the replay of
/// `tests/placement_replay.rs` with 76 hosts, factors of 1, 1.5, 2 and 3 gave 7%, 10%, 12% and 17% of
/// the tokens read again, and 360, 356, 351 and 352 ms of turn time at p95.
const WIDTH_FACTOR: f64 = 1.5;
/// Minimum number of holders, so that a part is cached elsewhere when a holder ends or is full.
const WIDTH_MIN: usize = 2;
/// Turns of other parts that are assumed before the first ones are seen, so that a host that has seen
/// few turns does not take the first part for the only one.
const PRIOR_TURNS: f64 = 16.0;
/// Half-life of the number of turns of a part.
const TURNS_HALF_LIFE: Duration = Duration::from_secs(20);
/// How long the holders of a part are used before its width is computed again.
const HOLDERS_TTL: Duration = Duration::from_millis(500);
/// Maximum number of parts of a service. Parts beyond it have no holders.
const PARTS_MAX: usize = 1024;

/// A part of a prompt that other requests may have in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part, the same in all requests that share it.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// The parts of a prompt up to the longest shared one. An upstream reads a part again unless it has
/// cached it together with all parts before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SharedPrefix {
    pub(super) hash: NameHash,
    pub(super) tokens: u64,
}

impl SharedPrefix {
    /// Returns the shared prefix of a prompt. Its last part belongs to the request or its session
    /// alone.
    pub(super) fn of(prompt: &[PromptPart]) -> Option<Self> {
        let (_, shared) = prompt.split_last()?;
        // The first of equally long parts.
        let longest = (0..shared.len()).rev().max_by_key(|index| shared[*index].tokens)?;
        let prefix = &shared[..=longest];
        let hash = NameHash::of_numbers(prefix.iter().map(|part| part.id));
        Some(Self { hash, tokens: total_tokens(prefix) })
    }
}

/// Returns the length of a prompt.
pub(super) fn total_tokens(prompt: &[PromptPart]) -> u64 {
    prompt.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
}

/// The shared parts of a service's prompts, with the share of each in the turns of this host.
#[derive(Debug, Default)]
pub(super) struct SharedParts {
    parts: HashMap<NameHash, Part>,
    turns: Decayed,
}

#[derive(Debug, Default)]
struct Part {
    turns: Decayed,
    /// Minimum weight of a holder, and until when it is used.
    holders: Option<(u64, Instant)>,
}

impl SharedParts {
    /// Records a turn, and returns the minimum weight of the holders of its prefix among `candidates`,
    /// the hashes of the upstreams that may hold parts. Returns `None` if the prefix has no holders.
    pub(super) fn record_turn(
        &mut self,
        now: Instant,
        prefix: SharedPrefix,
        candidates: impl Iterator<Item = NameHash>,
    ) -> Option<u64> {
        self.turns.add(now, TURNS_HALF_LIFE, 1.0);
        if self.parts.len() >= PARTS_MAX && !self.parts.contains_key(&prefix.hash) {
            self.parts.retain(|_, part| part.turns.value(now, TURNS_HALF_LIFE) > 0.5);
            if self.parts.len() >= PARTS_MAX {
                return None;
            }
        }
        let part = self.parts.entry(prefix.hash).or_default();
        part.turns.add(now, TURNS_HALF_LIFE, 1.0);
        if let Some((weight_min, _)) = part.holders.filter(|(_, until)| now < *until) {
            return Some(weight_min);
        }
        let turns = self.turns.value(now, TURNS_HALF_LIFE);
        let share = part.turns.value(now, TURNS_HALF_LIFE) / (turns + PRIOR_TURNS);
        let mut weights: Vec<u64> =
            candidates.map(|candidate| prefix.hash.weight(candidate)).collect();
        let width = (share * weights.len() as f64 * WIDTH_FACTOR).ceil() as usize;
        let width = width.max(WIDTH_MIN).min(weights.len());
        let last = width.checked_sub(1)?;
        let weight_min = *weights.select_nth_unstable_by(last, |a, b| b.cmp(a)).1;
        part.holders = Some((weight_min, now + HOLDERS_TTL));
        Some(weight_min)
    }
}
