//! Decides who may occupy a host's memory, and who is dropped first when it runs out.
//!
//! Load pattern: callers that nobody controls send many large bodies at once, stop just short of the end
//! and keep their connections open; send bodies in chunks of a byte, or heads that do not end; open
//! connections without sending; or do not read their answers. A host that reads whatever comes is
//! ended by its machine, and with it the requests of all other callers.
//!
//! One [`Account`] covers all of them. A holder reserves bytes before it reads or keeps them. Each
//! class may fill the account up to a level of its own, higher for what is smaller or further on: new
//! large bodies stop first, answers of requests that have run come after them, and small requests
//! always find room. Connections have a part of their own, and use the rest of the memory only where
//! all of them are being answered or have just begun. Where a reservation does not fit, those that
//! hold much and make little progress are dropped, as long as that makes room. Without overload nobody
//! is dropped here, however slow; the timeouts of the configuration apply.

use {
    crate::ids::TeamId,
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

new_key_type! {
    /// Identifies one reservation.
    pub struct HolderKey;
}

/// Part of the account for connections: their buffers and tasks.
const CONNECTION_FRACTION: usize = 4;
/// Size up to which a reservation may fill the account completely. Most requests are smaller, and a
/// host can't have more of them than connections.
const SMALL_BYTES: usize = 4 * 1024;
/// Size up to which a body may fill all but an eighth of the account.
const MEDIUM_BYTES: usize = 64 * 1024;
/// Level, in eighths, up to which large bodies may fill the account.
const LARGE_BODY_EIGHTHS: usize = 5;
/// Level, in eighths, up to which medium bodies and all answers may fill the account.
const MEDIUM_EIGHTHS: usize = 7;
/// Part of the memory, in eighths, that answers may hold, so that callers who don't read theirs keep no
/// request out.
const ANSWER_EIGHTHS: usize = 4;
/// Part of the level of large bodies, in quarters, that one owner may hold.
const OWNER_QUARTERS: usize = 3;
/// Time without progress after which a holder may be dropped in favor of others. Longer than the
/// first retransmission of a lost packet, and shorter than most deadlines.
pub const STALL_MAX: Duration = Duration::from_secs(1);
/// Time after which a holder's rate counts.
const RATE_GRACE: Duration = Duration::from_secs(2);
/// Rate in bytes a second below which a holder may be dropped in favor of others. A body of 4 MiB at this
/// rate takes four minutes, longer than any deadline.
const RATE_MIN_PER_S: f64 = 16.0 * 1024.0;
/// Time after which an idle connection or a head that has not come completely may be dropped in favor of
/// others. Heads come in one or two packets.
const CONNECTION_STALL_MAX: Duration = Duration::from_millis(300);
/// How long reservations are assumed to last until some were observed.
const HOLD_DEFAULT: Duration = Duration::from_millis(500);
/// Weight of one reservation in the mean duration.
const HOLD_WEIGHT: f64 = 0.1;
/// Shortest `Retry-After` of a refusal for lack of memory.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);
/// Longest `Retry-After`. Callers honor it up to a third of the time that they have left.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(3);

/// What a reservation is for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// Buffers and tasks of a connection.
    Connection,
    /// Body of a request, from its first byte until the request has ended.
    Body,
    /// Answer to a request that has run.
    Answer,
}

/// Whether a holder depends on a peer's progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// A peer sends or reads, and could be too slow.
    Moving,
    /// The holder waits for this host or an upstream, and is never dropped.
    Working,
}

/// A reservation does not fit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Denied {
    /// Holders to drop. Once they are released, the reservation is likely to fit. Empty if dropping
    /// would not suffice.
    pub victims: Vec<HolderKey>,
    /// When a caller should try again: about when the present holders end.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Holder {
    class: Class,
    /// `None` if the bytes count for no team.
    owner: Option<TeamId>,
    bytes: usize,
    phase: Phase,
    /// Whether the holder was chosen to be dropped.
    is_victim: bool,
    reserved_at: Instant,
    /// Start of the present phase.
    began_at: Instant,
    progressed_at: Instant,
    /// Bytes that were moved in the present phase.
    moved_bytes: usize,
}

/// The memory of a host and its holders.
///
/// Invariant: the sums are those of the holders' bytes.
#[derive(Debug)]
pub struct Account {
    connection_bytes_max: usize,
    connections_max: usize,
    /// Memory for everything but connections.
    bytes_max: usize,
    connection_bytes: usize,
    connections: usize,
    bytes: usize,
    /// Part of `bytes` that answers hold.
    answer_bytes: usize,
    /// Part of `bytes` in reservations above [`MEDIUM_BYTES`].
    large_bytes: usize,
    /// The same by owner.
    by_owner: HashMap<TeamId, usize>,
    holders: SlotMap<HolderKey, Holder>,
    /// Mean duration of the reservations that were released.
    hold: Duration,
}

impl Holder {
    fn new(now: Instant, class: Class, owner: Option<TeamId>, bytes: usize) -> Self {
        Self {
            class,
            owner,
            bytes,
            phase: Phase::Moving,
            is_victim: false,
            reserved_at: now,
            began_at: now,
            progressed_at: now,
            moved_bytes: 0,
        }
    }

    /// Returns for how long the holder has made too little progress, if it has.
    fn stalled_for(&self, now: Instant) -> Option<Duration> {
        if self.phase == Phase::Working || self.is_victim {
            return None;
        }
        let pause = now.saturating_duration_since(self.progressed_at);
        if self.class == Class::Connection {
            return (pause >= CONNECTION_STALL_MAX).then_some(pause);
        }
        let elapsed = now.saturating_duration_since(self.began_at);
        let is_slow = elapsed >= RATE_GRACE
            && (self.moved_bytes as f64) < RATE_MIN_PER_S * elapsed.as_secs_f64();
        (pause >= STALL_MAX || is_slow).then_some(if is_slow { elapsed } else { pause })
    }
}

impl Account {
    /// Creates the account of a host that may hold `bytes_max` and serve `connections_max` connections.
    pub fn new(bytes_max: usize, connections_max: usize) -> Self {
        let connection_bytes_max = bytes_max / CONNECTION_FRACTION;
        Self {
            connection_bytes_max,
            connections_max,
            bytes_max: bytes_max - connection_bytes_max,
            connection_bytes: 0,
            connections: 0,
            bytes: 0,
            answer_bytes: 0,
            large_bytes: 0,
            by_owner: HashMap::new(),
            holders: SlotMap::with_key(),
            hold: HOLD_DEFAULT,
        }
    }

    /// Returns the bytes that connections hold.
    pub fn connection_bytes(&self) -> usize {
        self.connection_bytes
    }

    /// Returns the bytes that bodies and answers hold.
    pub fn used_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes that answers hold.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Reserves memory.
    ///
    /// # Errors
    ///
    /// Fails if the class has no room.
    pub fn reserve(
        &mut self,
        now: Instant,
        class: Class,
        owner: Option<TeamId>,
        bytes: usize,
    ) -> Result<HolderKey, Denied> {
        self.check(now, class, owner.as_ref(), None, bytes)?;
        self.move_sums(class, owner.as_ref(), 0, bytes);
        if class == Class::Connection {
            self.connections += 1;
        }
        Ok(self.holders.insert(Holder::new(now, class, owner, bytes)))
    }

    /// Changes the size of a reservation. A smaller one always fits.
    ///
    /// # Errors
    ///
    /// Fails if the class has no room. The reservation stays as it was.
    pub fn resize(&mut self, now: Instant, key: HolderKey, bytes: usize) -> Result<(), Denied> {
        let Some(holder) = self.holders.get(key) else { return Ok(()) };
        let (class, owner, before) = (holder.class, holder.owner.clone(), holder.bytes);
        if bytes > before {
            self.check(now, class, owner.as_ref(), Some((key, before)), bytes)?;
        }
        self.move_sums(class, owner.as_ref(), before, bytes);
        self.holders[key].bytes = bytes;
        Ok(())
    }

    /// Ends a reservation.
    pub fn release(&mut self, now: Instant, key: HolderKey) {
        let Some(holder) = self.holders.remove(key) else { return };
        self.move_sums(holder.class, holder.owner.as_ref(), holder.bytes, 0);
        if holder.class == Class::Connection {
            self.connections -= 1;
        } else if holder.bytes > MEDIUM_BYTES {
            let duration = now.saturating_duration_since(holder.reserved_at);
            self.hold = self.hold.mul_f64(1.0 - HOLD_WEIGHT) + duration.mul_f64(HOLD_WEIGHT);
        }
    }

    /// Records that a peer has sent or read bytes.
    pub fn record_progress(&mut self, now: Instant, key: HolderKey, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.progressed_at = now;
            holder.moved_bytes += bytes;
        }
    }

    /// Sets whether a holder depends on a peer from now on.
    pub fn set_phase(&mut self, now: Instant, key: HolderKey, phase: Phase) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.phase = phase;
            (holder.began_at, holder.progressed_at) = (now, now);
            holder.moved_bytes = 0;
        }
    }

    /// Checks that there is room for a reservation, or for one to grow that has the size `grown` names.
    fn check(
        &self,
        now: Instant,
        class: Class,
        owner: Option<&TeamId>,
        grown: Option<(HolderKey, usize)>,
        bytes: usize,
    ) -> Result<(), Denied> {
        let (key, before) = grown.unzip();
        let before = before.unwrap_or(0);
        let (missing, is_owners) = self.missing(class, owner, before, bytes);
        let is_new_connection = class == Class::Connection && before == 0;
        let has_too_many = is_new_connection && self.connections >= self.connections_max;
        if missing == 0 && !has_too_many {
            return Ok(());
        }
        let owner = owner.filter(|_| is_owners);
        let victims = self.victims(now, class, owner, key, missing.max(1));
        if class == Class::Connection && !has_too_many && victims.is_empty() {
            // All connections are being answered or have just begun: they may use what bodies leave.
            if self.bytes + missing <= self.bytes_max / 8 * MEDIUM_EIGHTHS {
                return Ok(());
            }
        }
        Err(Denied { victims, retry_after: self.hold.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) })
    }

    /// Returns how many bytes must be released, and whether they must be the owner's.
    fn missing(
        &self,
        class: Class,
        owner: Option<&TeamId>,
        before: usize,
        bytes: usize,
    ) -> (usize, bool) {
        if class == Class::Connection {
            let used = self.connection_bytes - before + bytes;
            return (used.saturating_sub(self.connection_bytes_max), false);
        }
        let eighths = match class {
            _ if bytes <= SMALL_BYTES => 8,
            Class::Body if bytes > MEDIUM_BYTES => LARGE_BODY_EIGHTHS,
            _ => MEDIUM_EIGHTHS,
        };
        let level = self.bytes_max / 8 * eighths;
        let used = self.bytes + self.connection_overflow() - before + bytes;
        let over_level = used.saturating_sub(level);
        if class == Class::Answer {
            let answers = self.answer_bytes - before + bytes;
            let over_answers = answers.saturating_sub(self.bytes_max / 8 * ANSWER_EIGHTHS);
            return (over_level.max(over_answers), false);
        }
        if bytes <= MEDIUM_BYTES {
            return (over_level, false);
        }
        // A large body that is alone may have all of the memory.
        let own_large = if before > MEDIUM_BYTES { before } else { 0 };
        if self.large_bytes == own_large {
            return (used.saturating_sub(self.bytes_max), false);
        }
        let owned = owner.and_then(|owner| self.by_owner.get(owner)).copied().unwrap_or(0);
        let owner_level = level / 4 * OWNER_QUARTERS;
        let over_owner =
            owner.map_or(0, |_| (owned - own_large + bytes).saturating_sub(owner_level));
        (over_level.max(over_owner), over_owner > over_level)
    }

    /// Returns the bytes that connections hold beyond their part.
    fn connection_overflow(&self) -> usize {
        self.connection_bytes.saturating_sub(self.connection_bytes_max)
    }

    /// Returns the holders whose end releases enough bytes, worst first. Returns none if all that may be
    /// dropped hold too little. One that grows does not make room for itself.
    fn victims(
        &self,
        now: Instant,
        class: Class,
        owner: Option<&TeamId>,
        grown: Option<HolderKey>,
        bytes: usize,
    ) -> Vec<HolderKey> {
        let is_connection = class == Class::Connection;
        let candidates = self.holders.iter().filter(|(key, holder)| {
            Some(*key) != grown
                && (holder.class == Class::Connection) == is_connection
                && (owner.is_none() || holder.owner.as_ref() == owner)
        });
        let mut stalled: Vec<_> = candidates
            .filter_map(|(key, holder)| {
                let weight = holder.bytes as f64 * holder.stalled_for(now)?.as_secs_f64();
                Some((weight, holder.bytes, key))
            })
            .collect();
        let worst = stalled.iter().max_by(|(one, ..), (other, ..)| one.total_cmp(other));
        if let Some((.., key)) = worst.filter(|(_, holds, _)| *holds >= bytes) {
            return vec![*key];
        }
        stalled.sort_by(|(one, ..), (other, ..)| other.total_cmp(one));
        let mut released = 0;
        let is_needed = |(_, holds, key): (f64, usize, HolderKey)| {
            (released < bytes).then(|| {
                released += holds;
                key
            })
        };
        let victims: Vec<HolderKey> = stalled.into_iter().map_while(is_needed).collect();
        if released < bytes { Vec::new() } else { victims }
    }

    /// Records that a holder is being dropped, so that it is not chosen again.
    pub fn mark_victim(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.is_victim = true;
        }
    }

    fn move_sums(&mut self, class: Class, owner: Option<&TeamId>, before: usize, after: usize) {
        if class == Class::Connection {
            self.connection_bytes = self.connection_bytes - before + after;
            return;
        }
        let large = |bytes: usize| if bytes > MEDIUM_BYTES { bytes } else { 0 };
        self.bytes = self.bytes - before + after;
        if class == Class::Answer {
            self.answer_bytes = self.answer_bytes - before + after;
        }
        self.large_bytes = self.large_bytes - large(before) + large(after);
        let Some(owner) = owner else { return };
        let owned = self.by_owner.entry(owner.clone()).or_default();
        *owned = *owned + large(after) - large(before);
        if *owned == 0 {
            self.by_owner.remove(owner);
        }
    }
}

#[cfg(test)]
mod tests;
