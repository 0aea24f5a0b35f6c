//! The buckets of all halves that this host holds.
//!
//! A bucket is created on first use and dropped when it is full. A missing bucket starts at its
//! lowest level at the time when this host took the limiter role for the half, and is refilled from
//! then on. A bucket that is recreated never has a higher level than the dropped full one, so
//! dropping a bucket grants no extra tokens.

use {
    super::{Allowance, Bucket, Level, MAX_DEFERRAL},
    crate::{
        ids::{HostId, TeamId},
        membership::Standing,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The limiter's reply to a request for tokens.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Taken {
    /// The tokens are taken, and may be used after this delay.
    Granted(Duration),
    /// Not granted. A request may succeed without a wait after this delay; [`Duration::MAX`] means
    /// never.
    RetryAfter(Duration),
    /// Not granted, but the holder started recently and may soon be able to defer grants: request
    /// again. A request may succeed without a wait after this delay.
    AskAgain(Duration),
    /// This host does not hold the half, or does not hold it yet.
    NotHere,
}

/// The state of a bucket, sent by a half's holder to the next one.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Handover {
    /// The team that the allowance belongs to.
    pub team: TeamId,
    /// The index of the half, 0 or 1.
    pub half: u8,
    /// The former holder, which sends the handover.
    pub from: HostId,
    /// The remaining level, in units of 10^-18 token. It is negative if granted tokens were not
    /// refilled yet.
    pub level: Level,
    /// The rate and burst that `level` refers to.
    pub allowance: Allowance,
}

/// A bucket and its ownership state.
#[derive(Clone, Debug)]
struct HeldBucket {
    bucket: Bucket,
    state: BucketState,
}

/// Size of a bucket with its key.
#[cfg(test)]
pub(super) const HELD_BUCKET_BYTES: usize = size_of::<((TeamId, u8), HeldBucket)>();

/// The ownership state of a bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BucketState {
    /// This host is the only holder of the half.
    Owned,
    /// The former holder handed the bucket over before this host was the only holder of the half.
    Received,
    /// This host has handed the bucket over.
    HandedOver,
}

/// Grants tokens from the buckets of this host.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    buckets: BTreeMap<(TeamId, u8), HeldBucket>,
}

impl Limiter {
    /// Returns the number of buckets in memory.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether this host has no bucket in memory, as all buckets may be dropped when full.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Takes `count` tokens from a half, usable within `wait_max` from now. `allowance` is the
    /// half's allowance in this host's current configuration. `standing` is this host's standing
    /// for the half's role; read it immediately before the call.
    pub fn take(
        &mut self,
        now: Instant,
        (team, half): (&TeamId, u8),
        (count, wait_max): (u32, Duration),
        allowance: Allowance,
        standing: &Standing,
    ) -> Taken {
        let Some(held) = self.usable_bucket(now, (team, half), allowance, standing) else {
            return Taken::NotHere;
        };
        match held.bucket.take(now, count, wait_max) {
            Ok(wait) => Taken::Granted(wait),
            Err(wait) if wait < Duration::MAX && started_recently(now, standing) => {
                Taken::AskAgain(wait)
            }
            Err(wait) => Taken::RetryAfter(wait),
        }
    }

    /// Hands a half over to its next holder. `standing` is this host's own standing before it
    /// drains or, if a new host takes over the role, the standing it would have without that host
    /// ([`crate::membership::Membership::standing_excluding`]). Returns `None` if this host does not
    /// hold the half or has already handed it over. A handover is created once and must be sent at
    /// most once: sending it again could grant the same tokens twice.
    pub fn hand_over(
        &mut self,
        now: Instant,
        from: &HostId,
        (team, half): (&TeamId, u8),
        allowance: Allowance,
        standing: &Standing,
    ) -> Option<Handover> {
        let held = self.usable_bucket(now, (team, half), allowance, standing)?;
        let level = held.bucket.take_remaining(now);
        held.state = BucketState::HandedOver;
        Some(Handover { team: team.clone(), half, from: from.clone(), level, allowance })
    }

    /// Accepts a half from its former holder. The handover is ignored unless this host is still
    /// settling, or took over because the sender drained.
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
                self.accept_from_drained_holder(now, *since, handover, allowance, standing);
                return;
            }
            _ => return,
        };
        let key = (handover.team.clone(), handover.half);
        let is_updated_since_settling =
            self.buckets.get(&key).is_some_and(|held| held.bucket.updated_at() >= *since);
        if !is_updated_since_settling {
            let mut bucket = Bucket::with_level(now, handover.allowance, handover.level);
            bucket.set_allowance(now, allowance);
            self.buckets.insert(key, HeldBucket { bucket, state: BucketState::Received });
        }
    }

    /// Replaces a bucket by the one that a drained holder handed over, if nothing was taken from it
    /// yet. With deferred grants outstanding, raising the level would count twice the tokens that
    /// are refilled until those grants are usable.
    fn accept_from_drained_holder(
        &mut self,
        now: Instant,
        since: Instant,
        handover: &Handover,
        allowance: Allowance,
        standing: &Standing,
    ) {
        let half = (&handover.team, handover.half);
        let Some(held) = self.usable_bucket(now, half, allowance, standing) else { return };
        if held.bucket.is_unused_since(now, since) {
            held.bucket = Bucket::with_level(since, handover.allowance, handover.level);
            held.bucket.set_allowance(now, allowance);
        }
    }

    /// Drops full buckets. Call this periodically; the cost is linear in the number of buckets.
    pub fn sweep(&mut self, now: Instant) {
        self.buckets
            .retain(|_, held| held.state != BucketState::Owned || !held.bucket.is_full(now));
    }

    /// Returns the bucket if this host may use it now, creating it if it is missing.
    fn usable_bucket(
        &mut self,
        now: Instant,
        (team, half): (&TeamId, u8),
        allowance: Allowance,
        standing: &Standing,
    ) -> Option<&mut HeldBucket> {
        let key = (team.clone(), half);
        let existing = self.buckets.get(&key);
        let is_valid = existing.is_some_and(|held| held.is_valid(standing));
        match standing {
            Standing::Acting { since, .. } if !is_valid => {
                let bucket = Bucket::at_lowest(*since, allowance);
                self.buckets.insert(key.clone(), HeldBucket { bucket, state: BucketState::Owned });
            }
            Standing::Acting { .. } | Standing::Settling { .. } if is_valid => {}
            _ => return None,
        }
        let held =
            self.buckets.get_mut(&key).filter(|held| held.state != BucketState::HandedOver)?;
        held.bucket.set_allowance(now, allowance);
        if matches!(standing, Standing::Acting { .. }) {
            held.state = BucketState::Owned;
        }
        Some(held)
    }
}

/// Returns whether grants of the former holder may still reduce the maximum deferral that this host
/// can grant.
fn started_recently(now: Instant, standing: &Standing) -> bool {
    match standing {
        Standing::Acting { since, .. } => now.saturating_duration_since(*since) < MAX_DEFERRAL,
        _ => false,
    }
}

impl HeldBucket {
    /// Returns whether the bucket is still valid: this host has held the role without a gap since
    /// the bucket was last used. Otherwise another host may have taken tokens in between.
    fn is_valid(&self, standing: &Standing) -> bool {
        let updated_at = self.bucket.updated_at();
        match (standing, self.state) {
            (Standing::Acting { ranked_first_since, .. }, BucketState::Received) => {
                updated_at >= *ranked_first_since
            }
            (Standing::Acting { since, .. }, _) => updated_at >= *since,
            (Standing::Settling { since }, BucketState::Received) => updated_at >= *since,
            _ => false,
        }
    }
}
