//! Finds requests that crash every upstream that runs them, so that they are not sent again.
//!
//! Load pattern: a caller sends the same content again and again, under new request ids and to any
//! host, and each upstream that starts it crashes. Requests that run beside it break too, and are
//! retried. Upstreams may also crash in series for reasons of their own.
//!
//! Hosts report each attempt that ended with the crash of its upstream. Content is blamed only if
//! other explanations are unlikely:
//!
//! - It crashed several upstreams *in sequence*: each counted attempt was sent after the crash of
//!   the previous one. Requests in flight while many upstreams crash together count once.
//! - No other content that took part in as many crashes was running beside it.
//! - Crashes are so rare while it does not run that the sequence is not a coincidence.
//!
//! A single complete answer clears content, because content that crashes upstreams gets none. What
//! was cleared is not blamed again by the word of a host that has not heard of it.
//!
//! Hosts with disks keep the log as a [`CrashLogRecord`], so that it outlives all processes.

mod record;

#[cfg(test)]
mod tests;

pub use record::CrashLogRecord;

use {
    crate::ids::{ContentHash, ServiceId, UpstreamId},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// How long blamed content is refused.
const BLAME_DURATION: Duration = Duration::from_secs(600);
/// How long a crash is remembered.
const EVIDENCE_TTL: Duration = Duration::from_secs(120);
/// Number of crashes in sequence without which content is not blamed.
const CRASHES_MIN: usize = 3;
/// Number of crashes in sequence from which content is blamed even if the same other content ran
/// beside it each time. After its third crash, content may reach upstreams three more times.
const SHARED_CRASHES_MAX: usize = 6;
/// Maximum probability that innocent content takes part in that many crashes by coincidence.
const COINCIDENCE_MAX: f64 = 1e-6;
/// The same for content whose last crash was of an upstream that ran nothing else, after
/// [`CRASHES_MIN_ALONE`] crashes, and for content that took part in all crashes, after
/// [`SHARED_CRASHES_MAX`].
const COINCIDENCE_MAX_ALONE: f64 = 1e-4;
/// Number of crashes in sequence without which content that ran alone is not blamed.
const CRASHES_MIN_ALONE: usize = 2;
/// Times over which the crashes of other upstreams are averaged. The highest average counts, so that
/// a series that has just begun is not averaged with the calm before it.
const RATE_PERIODS: [Duration; 3] = [Duration::from_secs(1), Duration::from_secs(10), EVIDENCE_TTL];
/// Crashes for each upstream and second that go unseen because nothing ran there.
const UNSEEN_CRASHES_PER_S: f64 = 1.0 / 60.0;
/// Reports of crashes of one upstream within this time refer to the same crash. Shorter than the
/// restart of an upstream, which may keep its id.
const SAME_CRASH_MAX: Duration = Duration::from_secs(1);
/// Maximum number of crashes in memory.
const CRASHES_IN_MEMORY_MAX: usize = 512;
/// Maximum number of contents with crashes in memory.
const SUSPECTS_MAX: usize = 2048;
/// Maximum number of attempts in memory for each content.
const ATTEMPTS_PER_SUSPECT_MAX: usize = 16;
/// Maximum number of blamed contents.
const BLAMED_MAX: usize = 256;

/// An attempt that had no complete answer when its upstream crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashedAttempt {
    /// The content that was sent.
    pub content: ContentHash,
    /// When the request was sent to the upstream.
    pub sent_at: Instant,
    /// When its connection broke.
    pub broke_at: Instant,
}

/// The crash of an upstream, as one host saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamCrash {
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Number of upstreams of the service.
    pub upstream_count: usize,
    /// The host's attempts that the crash ended.
    pub attempts: Vec<CrashedAttempt>,
}

#[derive(Clone, Debug)]
struct Crash {
    number: CrashNumber,
    service: ServiceId,
    upstream: UpstreamId,
    upstream_count: usize,
    at: Instant,
}

/// Numbers the crashes in the order of their reports.
type CrashNumber = u64;

#[derive(Clone, Copy, Debug)]
struct SuspectAttempt {
    crash: CrashNumber,
    sent_at: Instant,
    broke_at: Instant,
}

/// Crashes of upstreams, and the contents that took part in them.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    /// Invariant: at most [`CRASHES_IN_MEMORY_MAX`], oldest report first.
    crashes: Vec<Crash>,
    next_number: CrashNumber,
    /// Attempts of each suspect, in the order in which they broke. Invariant: at most
    /// [`SUSPECTS_MAX`] contents with 1 to [`ATTEMPTS_PER_SUSPECT_MAX`] attempts each.
    suspects: HashMap<ContentHash, Vec<SuspectAttempt>>,
    /// Blamed contents, and when they may run again. Invariant: at most [`BLAMED_MAX`].
    blamed: HashMap<ContentHash, Instant>,
    /// Contents that were blamed until a complete answer cleared them, and when that was. Invariant:
    /// at most [`BLAMED_MAX`].
    cleared: HashMap<ContentHash, Instant>,
}

/// Hashes content from its parts. The same parts give the same hash at all hosts and versions.
pub fn hash_content(parts: &[&[u8]]) -> ContentHash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // The length separates the parts.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut prefix = [0; size_of::<ContentHash>()];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<ContentHash>()]);
    ContentHash::from_le_bytes(prefix)
}

impl CrashLog {
    /// Returns for how long this content must not be sent, or `None` if it may be sent.
    pub fn blamed_for(&self, now: Instant, content: ContentHash) -> Option<Duration> {
        let until = *self.blamed.get(&content)?;
        (until > now).then(|| until - now)
    }

    /// Returns whether this content took part in a crash and was not cleared since.
    pub fn is_suspect(&self, content: ContentHash) -> bool {
        self.suspects.contains_key(&content)
    }

    /// Returns whether no content is suspected or blamed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.blamed.is_empty()
    }

    /// Records the crash of an upstream. Call [`Self::judge`] for the contents that took part in
    /// it.
    pub fn record(&mut self, now: Instant, crash: &UpstreamCrash) {
        self.expire(now);
        let Some(at) = crash.attempts.iter().map(|attempt| attempt.broke_at).min() else { return };
        let number = self.crash_number(crash, at);
        for attempt in &crash.attempts {
            self.record_attempt(attempt, number);
        }
    }

    /// Decides whether to blame a content. Returns whether it is newly blamed.
    pub fn judge(&mut self, now: Instant, content: ContentHash) -> bool {
        let is_culprit = self.is_culprit(content, CRASHES_MIN, COINCIDENCE_MAX)
            || self.took_part_in_all_crashes(content);
        self.blame_if(now, content, is_culprit)
    }

    /// Like [`Self::judge`], for content that was alone at the upstream that crashed last.
    pub fn judge_alone(&mut self, now: Instant, content: ContentHash) -> bool {
        let is_culprit = self.is_culprit(content, CRASHES_MIN, COINCIDENCE_MAX)
            || self.is_culprit(content, CRASHES_MIN_ALONE, COINCIDENCE_MAX_ALONE)
            || self.is_only_crasher(content);
        self.blame_if(now, content, is_culprit)
    }

    fn blame_if(&mut self, now: Instant, content: ContentHash, is_culprit: bool) -> bool {
        if !is_culprit || self.blamed_for(now, content).is_some() {
            return false;
        }
        self.blame(content, now + BLAME_DURATION);
        true
    }

    /// Blames a content that another host has blamed, for the rest of that time, unless it was cleared
    /// since. Returns whether this host did not blame it before.
    pub fn adopt_blame(&mut self, now: Instant, content: ContentHash, rest: Duration) -> bool {
        let blamed_for = BLAME_DURATION.saturating_sub(rest);
        let is_cleared = |at: &Instant| now.saturating_duration_since(*at) <= blamed_for;
        if self.cleared.get(&content).is_some_and(is_cleared) {
            return false;
        }
        let was_blamed = self.blamed_for(now, content).is_some();
        if !was_blamed {
            self.blame(content, now + rest.min(BLAME_DURATION));
        }
        !was_blamed
    }

    /// Clears a content that got a complete answer. Returns whether it was suspected or blamed.
    pub fn clear(&mut self, content: ContentHash) -> bool {
        let was_suspected = self.suspects.remove(&content).is_some();
        self.blamed.remove(&content).is_some() || was_suspected
    }

    /// Remembers that blamed content was cleared, so that the blame is not adopted again from a host
    /// that has not heard of that.
    pub fn record_cleared(&mut self, now: Instant, content: ContentHash) {
        insert_bounded(&mut self.cleared, content, now);
    }

    /// Returns the blamed contents, each with the time for which it must not be sent.
    pub fn blamed(&self, now: Instant) -> Vec<(ContentHash, Duration)> {
        let left = |until: Instant| until.saturating_duration_since(now);
        let blamed = self.blamed.iter().map(|(content, until)| (*content, left(*until)));
        blamed.filter(|(_, left)| !left.is_zero()).collect()
    }

    /// Returns how many crashes in sequence the content took part in.
    pub fn crash_count(&self, content: ContentHash) -> usize {
        self.suspects.get(&content).map_or(0, |attempts| longest_sequence(attempts).len())
    }

    /// Drops what has aged out.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVIDENCE_TTL;
        self.crashes.retain(|crash| is_recent(crash.at));
        self.suspects.retain(|_, attempts| {
            attempts.retain(|attempt| is_recent(attempt.broke_at));
            !attempts.is_empty()
        });
        self.blamed.retain(|_, until| *until > now);
        self.cleared.retain(|_, at| now.saturating_duration_since(*at) < BLAME_DURATION);
    }

    fn crash_number(&mut self, crash: &UpstreamCrash, at: Instant) -> CrashNumber {
        let is_same = |known: &&Crash| {
            let (earlier, later) = (known.at.min(at), known.at.max(at));
            known.upstream == crash.upstream
                && known.service == crash.service
                && later - earlier < SAME_CRASH_MAX
        };
        if let Some(known) = self.crashes.iter().find(is_same) {
            return known.number;
        }
        if self.crashes.len() >= CRASHES_IN_MEMORY_MAX {
            self.crashes.remove(0);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.crashes.push(Crash {
            number,
            service: crash.service.clone(),
            upstream: crash.upstream.clone(),
            upstream_count: crash.upstream_count,
            at,
        });
        number
    }

    fn record_attempt(&mut self, attempt: &CrashedAttempt, crash: CrashNumber) {
        if !self.suspects.contains_key(&attempt.content) && !self.make_room() {
            return;
        }
        let attempts = self.suspects.entry(attempt.content).or_default();
        let recorded =
            SuspectAttempt { crash, sent_at: attempt.sent_at, broke_at: attempt.broke_at };
        // Reports of different hosts may arrive out of order.
        let index = attempts.partition_point(|known| known.broke_at <= attempt.broke_at);
        attempts.insert(index, recorded);
        if attempts.len() > ATTEMPTS_PER_SUSPECT_MAX {
            attempts.remove(0);
        }
    }

    /// Makes room for another suspect. Removes the one with a single attempt that broke first.
    /// Returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.suspects.len() < SUSPECTS_MAX {
            return true;
        }
        let oldest = self
            .suspects
            .iter()
            .filter(|(_, attempts)| attempts.len() == 1)
            .min_by_key(|(_, attempts)| attempts[0].broke_at)
            .map(|(content, _)| *content);
        oldest.is_some_and(|content| self.suspects.remove(&content).is_some())
    }

    fn blame(&mut self, content: ContentHash, until: Instant) {
        self.cleared.remove(&content);
        insert_bounded(&mut self.blamed, content, until);
    }

    fn is_culprit(&self, content: ContentHash, crashes_min: usize, coincidence_max: f64) -> bool {
        let Some(attempts) = self.suspects.get(&content) else { return false };
        let sequence = longest_sequence(attempts);
        let attributed = if sequence.len() >= SHARED_CRASHES_MAX {
            sequence
        } else {
            self.without_shared(content, sequence)
        };
        attributed.len() >= crashes_min
            && self.coincidence(attempts, &attributed) <= coincidence_max
    }

    /// Returns whether content took part in all recent crashes, and in more than one of them.
    fn is_only_crasher(&self, content: ContentHash) -> bool {
        let Some(attempts) = self.suspects.get(&content) else { return false };
        let took_part =
            |crash: &Crash| attempts.iter().any(|attempt| attempt.crash == crash.number);
        longest_sequence(attempts).len() >= CRASHES_MIN_ALONE && self.crashes.iter().all(took_part)
    }

    /// Returns whether content took part in all recent crashes of its service, in
    /// [`SHARED_CRASHES_MAX`] of them in sequence, and got no complete answer meanwhile. On a slow
    /// machine the content is in flight for most of that time, so that the crashes' own rate hides
    /// that no upstream crashed without it. The probability that each crash hits the upstream that
    /// runs the content does not depend on the rate.
    fn took_part_in_all_crashes(&self, content: ContentHash) -> bool {
        let Some(attempts) = self.suspects.get(&content) else { return false };
        let sequence = longest_sequence(attempts);
        let (Some(first), Some(last)) = (sequence.first(), sequence.last()) else { return false };
        let Some(crash) = self.crashes.iter().find(|crash| crash.number == last.crash) else {
            return false;
        };
        let took_part =
            |other: &Crash| attempts.iter().any(|attempt| attempt.crash == other.number);
        let is_only_crasher =
            self.crashes.iter().filter(|other| other.service == crash.service).all(took_part);
        if sequence.len() < SHARED_CRASHES_MAX || !is_only_crasher {
            return false;
        }
        let exposure_s: f64 = sequence.iter().map(|attempt| attempt.exposure().as_secs_f64()).sum();
        let span_s = last.broke_at.saturating_duration_since(first.sent_at).as_secs_f64();
        let hit_probability = exposure_s
            / span_s.max(exposure_s).max(f64::EPSILON)
            / crash.upstream_count.max(1) as f64;
        hit_probability.powi(sequence.len() as i32) <= COINCIDENCE_MAX_ALONE
    }

    /// Removes the crashes in which other content with at least as many crashes took part.
    fn without_shared(
        &self,
        content: ContentHash,
        sequence: Vec<SuspectAttempt>,
    ) -> Vec<SuspectAttempt> {
        let is_equally_suspect = |(other, attempts): &(&ContentHash, &Vec<SuspectAttempt>)| {
            **other != content && longest_sequence(attempts).len() >= sequence.len()
        };
        let others = self.suspects.iter().filter(is_equally_suspect);
        let shared: HashSet<CrashNumber> =
            others.flat_map(|(_, attempts)| attempts).map(|attempt| attempt.crash).collect();
        sequence.into_iter().filter(|attempt| !shared.contains(&attempt.crash)).collect()
    }

    /// Returns an upper bound for the probability that as many upstreams crash while they run this
    /// content although it has nothing to do with that. Then crashes are as frequent while it does
    /// not run.
    fn coincidence(&self, attempts: &[SuspectAttempt], attributed: &[SuspectAttempt]) -> f64 {
        let (Some(first), Some(last)) = (attributed.first(), attributed.last()) else { return 1.0 };
        let Some(crash) = self.crashes.iter().find(|crash| crash.number == last.crash) else {
            return 1.0;
        };
        let is_unrelated = |other: &&Crash| {
            other.service == crash.service
                && attempts.iter().all(|attempt| attempt.crash != other.number)
        };
        let unrelated: Vec<Instant> =
            self.crashes.iter().filter(is_unrelated).map(|crash| crash.at).collect();
        let unrelated_within =
            |period: Duration| unrelated.iter().filter(|at| **at + period >= last.broke_at).count();
        let unrelated_per_s =
            |period: Duration| unrelated_within(period) as f64 / period.as_secs_f64();
        let exposure_s: f64 =
            attributed.iter().map(|attempt| attempt.exposure().as_secs_f64()).sum();
        let span = last.broke_at.saturating_duration_since(first.sent_at);
        let crashes_in_span = unrelated_within(span) + attributed.len();
        // The span contains the exposure, except for the errors of times that other hosts reported.
        let crashes_per_s = crashes_in_span as f64 / span.as_secs_f64().max(exposure_s);
        let crashes_per_s =
            RATE_PERIODS.map(unrelated_per_s).into_iter().fold(crashes_per_s, f64::max);
        let crashes_per_upstream_s =
            crashes_per_s / crash.upstream_count.max(1) as f64 + UNSEEN_CRASHES_PER_S;
        let expected = crashes_per_upstream_s * exposure_s;
        // Bounds the tail of a Poisson distribution.
        (1..=attributed.len()).fold(1.0, |term, count| term * expected / count as f64)
    }
}

/// Inserts a content. If there are [`BLAMED_MAX`] already, the one with the earliest time goes.
fn insert_bounded(contents: &mut HashMap<ContentHash, Instant>, content: ContentHash, at: Instant) {
    if contents.len() >= BLAMED_MAX
        && !contents.contains_key(&content)
        && let Some((&oldest, _)) = contents.iter().min_by_key(|(_, at)| **at)
    {
        contents.remove(&oldest);
    }
    contents.insert(content, at);
}

impl SuspectAttempt {
    fn exposure(&self) -> Duration {
        self.broke_at.saturating_duration_since(self.sent_at)
    }
}

/// Returns the longest sequence of attempts in which each was sent after the previous one broke.
fn longest_sequence(attempts: &[SuspectAttempt]) -> Vec<SuspectAttempt> {
    let mut sequence: Vec<SuspectAttempt> = Vec::new();
    for attempt in attempts {
        if sequence.last().is_none_or(|last| attempt.sent_at >= last.broke_at) {
            sequence.push(*attempt);
        }
    }
    sequence
}
