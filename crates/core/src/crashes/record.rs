//! The form in which a crash log survives the end of its process.

use {
    super::{
        ATTEMPTS_PER_SUSPECT_MAX, BLAME_DURATION, BLAMED_MAX, CRASHES_IN_MEMORY_MAX, Crash,
        CrashLog, CrashNumber, EVIDENCE_TTL, SUSPECTS_MAX, SuspectAttempt,
    },
    crate::ids::{ContentHash, ServiceId, UpstreamId},
    std::time::{Duration, Instant},
};

/// Age from which on a record is dropped: what it says of blamed content may have been withdrawn, and
/// nobody remembers that any more.
const RECORD_AGE_MAX: Duration = Duration::from_secs(3600);

/// What a crash log knows, with times relative to the moment at which the record is made.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CrashLogRecord {
    crashes: Vec<CrashRecord>,
    suspects: Vec<SuspectRecord>,
    blamed: Vec<ContentRecord>,
    cleared: Vec<ContentRecord>,
}

#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
struct CrashRecord {
    number: CrashNumber,
    service: ServiceId,
    upstream: UpstreamId,
    upstream_count: usize,
    age_ms: u64,
}

#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
struct SuspectRecord {
    content: ContentHash,
    attempts: Vec<AttemptRecord>,
}

#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
struct AttemptRecord {
    crash: CrashNumber,
    sent_ago_ms: u64,
    broke_ago_ms: u64,
}

/// A content that was blamed or cleared.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
struct ContentRecord {
    content: ContentHash,
    age_ms: u64,
}

impl CrashLog {
    /// Returns what must outlive the process.
    pub fn to_record(&self, now: Instant) -> CrashLogRecord {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let attempt = |attempt: &SuspectAttempt| AttemptRecord {
            crash: attempt.crash,
            sent_ago_ms: age_ms(attempt.sent_at),
            broke_ago_ms: age_ms(attempt.broke_at),
        };
        CrashLogRecord {
            crashes: self
                .crashes
                .iter()
                .map(|crash| CrashRecord {
                    number: crash.number,
                    service: crash.service.clone(),
                    upstream: crash.upstream.clone(),
                    upstream_count: crash.upstream_count,
                    age_ms: age_ms(crash.at),
                })
                .collect(),
            suspects: self
                .suspects
                .iter()
                .map(|(content, attempts)| SuspectRecord {
                    content: *content,
                    attempts: attempts.iter().map(attempt).collect(),
                })
                .collect(),
            blamed: self
                .blamed(now)
                .into_iter()
                .map(|(content, left)| ContentRecord {
                    content,
                    age_ms: BLAME_DURATION.saturating_sub(left).as_millis() as u64,
                })
                .collect(),
            cleared: self
                .cleared
                .iter()
                .map(|(content, at)| ContentRecord { content: *content, age_ms: age_ms(*at) })
                .collect(),
        }
    }

    /// Creates the log that a record describes. `down_for` is the time since the record was made, as
    /// far as the wall clock tells; `None` if it has gone back.
    ///
    /// Blame whose time is over by the wall clock alone is kept from its beginning: the clock may have
    /// stepped, and content that crashes upstreams must not be forgotten for that.
    pub fn from_record(now: Instant, record: CrashLogRecord, down_for: Option<Duration>) -> Self {
        let down_for = down_for.unwrap_or_default();
        let mut log = Self::default();
        if down_for >= RECORD_AGE_MAX {
            return log;
        }
        let at = |age_ms: u64| {
            let age = Duration::from_millis(age_ms).saturating_add(down_for);
            now.checked_sub(age).filter(|_| age < EVIDENCE_TTL)
        };
        for crash in record.crashes.into_iter().take(CRASHES_IN_MEMORY_MAX) {
            let Some(at) = at(crash.age_ms) else { continue };
            log.next_number = log.next_number.max(crash.number.saturating_add(1));
            log.crashes.push(Crash {
                number: crash.number,
                service: crash.service,
                upstream: crash.upstream,
                upstream_count: crash.upstream_count,
                at,
            });
        }
        for suspect in record.suspects.into_iter().take(SUSPECTS_MAX) {
            let attempts = suspect.attempts.into_iter().take(ATTEMPTS_PER_SUSPECT_MAX);
            let attempts = attempts.filter_map(|attempt| {
                let broke_at = at(attempt.broke_ago_ms)?;
                let exposure_ms = attempt.sent_ago_ms.saturating_sub(attempt.broke_ago_ms);
                let sent_at = broke_at.checked_sub(Duration::from_millis(exposure_ms))?;
                Some(SuspectAttempt { crash: attempt.crash, sent_at, broke_at })
            });
            let mut attempts: Vec<SuspectAttempt> = attempts.collect();
            attempts.sort_by_key(|attempt| attempt.broke_at);
            if !attempts.is_empty() {
                log.suspects.insert(suspect.content, attempts);
            }
        }
        let left = |age_ms: u64, down_for: Duration| {
            let left = BLAME_DURATION.saturating_sub(Duration::from_millis(age_ms));
            left.checked_sub(down_for).filter(|left| !left.is_zero())
        };
        for blamed in record.blamed.into_iter().take(BLAMED_MAX) {
            let left =
                left(blamed.age_ms, down_for).or_else(|| left(blamed.age_ms, Duration::ZERO));
            if let Some(left) = left {
                log.blamed.insert(blamed.content, now + left);
            }
        }
        for cleared in record.cleared.into_iter().take(BLAMED_MAX) {
            let age = Duration::from_millis(cleared.age_ms).saturating_add(down_for);
            if let Some(at) = now.checked_sub(age).filter(|_| age < BLAME_DURATION) {
                log.cleared.insert(cleared.content, at);
            }
        }
        log
    }
}
