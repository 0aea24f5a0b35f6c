//! Outage notes, which the ledger hosts store before an owner overdraws a ledger's record.
//!
//! After a crash during an outage of the store, a successor must not treat the stored record as
//! complete. Every ledger host of a ledger therefore stores a durable note of the writes beyond
//! which the first-ranked host may overdraw. The first-ranked host overdraws only after all ledger
//! hosts have acknowledged the note. A later write includes all charges again. A successor needs
//! the notes of one ledger host that can't have missed the outage.

use super::LedgerRecord;

/// Allowance for clock differences between hosts and for the time between two notes. A note that is
/// older than the record of another writer by at most this may still belong to a later outage.
const CLOCK_SKEW_MS: u64 = 4000;

/// Identifies one write of a ledger's record.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LedgerPosition {
    /// The writing host and its incarnation, as `host@incarnation`.
    pub writer: String,
    /// Sequence number of the write. Increases with every write, including failed ones.
    pub sequence: u64,
}

/// States that charges may be missing from a record.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OutageNote {
    /// Wall clock time of the note, in milliseconds since 1970.
    pub noted_at_ms: u64,
    /// The last write beyond which the writer may overdraw.
    pub position: LedgerPosition,
}

/// The outage notes of one ledger host for one ledger.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageNotes {
    /// The host has no disk and stores no notes. While it is one of the ledger hosts, no owner
    /// overdraws the record before the store has failed for `UNACKNOWLEDGED_OVERDRAFT_AFTER`.
    NotTaken,
    /// The host stores notes.
    Taken {
        /// Wall clock time from which the notes are complete, in milliseconds since 1970; zero if
        /// no note was ever lost.
        since_ms: u64,
        /// The latest note.
        last: Option<OutageNote>,
    },
}

impl OutageNotes {
    /// Returns whether the notes are sufficient to decide if the record may miss charges.
    pub fn are_sufficient(notes: &[Self], record: &LedgerRecord) -> bool {
        may_miss_charges(notes, record).is_some()
    }
}

/// Returns whether charges may be missing from a record. Returns `None` if no notes go back far
/// enough to decide.
pub(super) fn may_miss_charges(notes: &[OutageNotes], record: &LedgerRecord) -> Option<bool> {
    let covers_record = |notes: &OutageNotes| {
        let OutageNotes::Taken { last: Some(note), .. } = notes else { return false };
        match note.position.writer == record.writer {
            true => record.sequence <= note.position.sequence,
            false => note.noted_at_ms.saturating_add(CLOCK_SKEW_MS) >= record.written_at_ms,
        }
    };
    let is_complete_since_record = |notes: &OutageNotes| match notes {
        OutageNotes::NotTaken => true,
        OutageNotes::Taken { since_ms: 0, .. } => true,
        OutageNotes::Taken { since_ms, .. } => {
            since_ms.saturating_add(CLOCK_SKEW_MS) <= record.written_at_ms
        }
    };
    match (notes.iter().any(covers_record), notes.iter().any(is_complete_since_record)) {
        (true, _) => Some(true),
        (false, true) => Some(false),
        (false, false) => None,
    }
}
