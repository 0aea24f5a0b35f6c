//! The buckets of the team halves that a host holds.
//!
//! Buckets are made on first use and dropped when full. A bucket that isn't there is one that was
//! at its lowest when the host began to hold the role and has filled since; for a full one that is at most
//! its true level, so dropping it gives nothing away.

use {
    super::{Allowance, Bucket, Level, WAIT_MAX},
    crate::{
        ids::{HostId, TeamId},
        membership::Standing,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The answer to a request for tokens.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Taken {
    /// The tokens are taken, and may be used after this time.
    Granted(Duration),
    /// Not granted; there may be tokens without a wait after this time. [`Duration::MAX`] means never.
    RetryAfter(Duration),
    /// Not granted, but the holder has just begun and may soon promise tokens: ask again. Without a
    /// wait there may be tokens after this time.
    AskAgain(Duration),
    /// This host doesn't hold the half, or not yet.
    NotHere,
}

/// What a limiter passes to its successor.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// The team.
    pub team: TeamId,
    /// The half.
    pub half: u8,
    /// The former holder.
    pub from: HostId,
    /// What is left, in units of 10^-18 token.
    pub level: Level,
    /// The rate and burst that the level is of.
    pub allowance: Allowance,
}

/// A bucket and how this host came to it.
#[derive(Clone, Debug)]
struct Slot {
    bucket: Bucket,
    origin: Origin,
}

/// Size of a bucket with its key.
#[cfg(test)]
pub(super) const SLOT_BYTES: usize = size_of::<((TeamId, u8), Slot)>();

/// How this host came to a bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// It holds the role alone.
    Own,
    /// The former holder handed it over before this host held the role by itself.
    Accepted,
    /// This host has handed it over.
    Given,
}

/// All buckets of one host.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    slots: BTreeMap<(TeamId, u8), Slot>,
}

impl Limiter {
    /// Returns the number of buckets in memory.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no bucket is in memory.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Takes whole tokens from a half, for a time at most `wait_max` from now. `allowance` is the half's, from the configuration in
    /// force here; `standing` is this host's for the half's role, asked just now.
    pub fn take(
        &mut self,
        now: Instant,
        (team, half): (&TeamId, u8),
        (count, wait_max): (u32, Duration),
        allowance: Allowance,
        standing: &Standing,
    ) -> Taken {
        let Some(slot) = self.slot(now, (team, half), allowance, standing) else {
            return Taken::NotHere;
        };
        match slot.bucket.take(now, count, wait_max) {
            Ok(wait) => Taken::Granted(wait),
            Err(wait) if wait < Duration::MAX && has_just_begun(now, standing) => {
                Taken::AskAgain(wait)
            }
            Err(wait) => Taken::RetryAfter(wait),
        }
    }

    /// Gives a half up to its next holder. `standing` is this host's own before it drains, or as
    /// if a new host weren't there ([`crate::membership::Membership::standing_excluding`]). Returns
    /// `None` if this host doesn't hold the half, or has given it up already: a handover is made
    /// once and must be sent at most once.
    pub fn hand_over(
        &mut self,
        now: Instant,
        from: &HostId,
        (team, half): (&TeamId, u8),
        allowance: Allowance,
        standing: &Standing,
    ) -> Option<Handover> {
        let slot = self.slot(now, (team, half), allowance, standing)?;
        let level = slot.bucket.give_up(now);
        slot.origin = Origin::Given;
        Some(Handover { team: team.clone(), half, from: from.clone(), level, allowance })
    }

    /// Takes a half over from its former holder: before this host holds the role by itself, or
    /// when it holds it because that one drained.
    pub fn accept(
        &mut self,
        now: Instant,
        handover: &Handover,
        allowance: Allowance,
        standing: &Standing,
    ) {
        let since = match standing {
            Standing::Settling { since } => since,
            Standing::Acting { since, former, .. } if former.as_ref() == Some(&handover.from) => {
                self.credit(now, *since, handover, allowance, standing);
                return;
            }
            _ => return,
        };
        let key = (handover.team.clone(), handover.half);
        let has_one = self.slots.get(&key).is_some_and(|slot| slot.bucket.at() >= *since);
        if !has_one {
            let mut bucket = Bucket::with_level(now, handover.allowance, handover.level);
            bucket.set_allowance(now, allowance);
            self.slots.insert(key, Slot { bucket, origin: Origin::Accepted });
        }
    }

    /// Begins a bucket anew with what a drained holder left, if nothing was taken from it yet. With
    /// promises under way a higher level would count what is added until they are used twice.
    fn credit(
        &mut self,
        now: Instant,
        since: Instant,
        handover: &Handover,
        allowance: Allowance,
        standing: &Standing,
    ) {
        let half = (&handover.team, handover.half);
        let Some(slot) = self.slot(now, half, allowance, standing) else { return };
        if slot.bucket.is_untouched(now, since) {
            slot.bucket = Bucket::with_level(since, handover.allowance, handover.level);
            slot.bucket.set_allowance(now, allowance);
        }
    }

    /// Drops buckets that are full. Call it now and then; the cost is that of all buckets.
    pub fn sweep(&mut self, now: Instant) {
        self.slots.retain(|_, slot| slot.origin != Origin::Own || !slot.bucket.is_full(now));
    }

    /// Returns the bucket if this host may use it now.
    fn slot(
        &mut self,
        now: Instant,
        (team, half): (&TeamId, u8),
        allowance: Allowance,
        standing: &Standing,
    ) -> Option<&mut Slot> {
        let key = (team.clone(), half);
        let known = self.slots.get(&key);
        let is_valid = known.is_some_and(|slot| slot.is_valid(standing));
        match standing {
            Standing::Acting { since, .. } if !is_valid => {
                let bucket = Bucket::empty(*since, allowance);
                self.slots.insert(key.clone(), Slot { bucket, origin: Origin::Own });
            }
            Standing::Acting { .. } | Standing::Settling { .. } if is_valid => {}
            _ => return None,
        }
        let slot = self.slots.get_mut(&key).filter(|slot| slot.origin != Origin::Given)?;
        slot.bucket.set_allowance(now, allowance);
        if matches!(standing, Standing::Acting { .. }) {
            slot.origin = Origin::Own;
        }
        Some(slot)
    }
}

/// Returns whether the holder's promises are still held back by those of the former one.
fn has_just_begun(now: Instant, standing: &Standing) -> bool {
    match standing {
        Standing::Acting { since, .. } => now.saturating_duration_since(*since) < WAIT_MAX,
        _ => false,
    }
}

impl Slot {
    /// Returns whether the bucket still counts: this host has held the role without a gap since
    /// the bucket was last used. Otherwise another host may have taken tokens in between.
    fn is_valid(&self, standing: &Standing) -> bool {
        let at = self.bucket.at();
        match (standing, self.origin) {
            (Standing::Acting { ranked_first_since, .. }, Origin::Accepted) => {
                at >= *ranked_first_since
            }
            (Standing::Acting { since, .. }, _) => at >= *since,
            (Standing::Settling { since }, Origin::Accepted) => at >= *since,
            _ => false,
        }
    }
}
