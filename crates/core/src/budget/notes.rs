//! Outage notes, which the ledger hosts store before an owner grants an overdraft.
//!
//! After a crash during an outage of the store, a successor must not treat the stored record as
//! complete. Every ledger host of a ledger therefore stores a durable note of the last write after
//! which charges may be missing. The first-ranked host grants an overdraft only after all ledger
//! hosts have acknowledged the note. The first write after the outage includes all charges again. A
//! successor needs the notes of one ledger host that go back to before the record.

use super::LedgerRecord;

/// A note may be up to this much older than another writer's record and still apply to it. Allows
/// for clock skew between hosts and for the time between two notes.
const NOTE_AGE_TOLERANCE_MS: u64 = 4000;

/// Identifies one write of a ledger's record.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LedgerPosition {
    /// The writing host and its incarnation, as `host@incarnation`.
    pub writer: String,
    /// Sequence number of the write. Increases with every write, including failed ones.
    pub sequence: u64,
}

/// A note that charges may be missing from records of one writer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OutageNote {
    /// Wall clock time of the note, in milliseconds since 1970.
    pub noted_at_ms: u64,
    /// The last write that the note covers.
    pub position: LedgerPosition,
}

/// The outage notes of one ledger host for one ledger.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageNotes {
    /// The host has no data folder and stores no notes. While it is one of the ledger hosts, no
    /// owner grants an overdraft before writes have been failing for
    /// `UNACKNOWLEDGED_OVERDRAFT_AFTER`.
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
    /// Returns whether the notes go back far enough to decide if charges are missing from the
    /// record.
    pub fn are_sufficient(notes: &[Self], record: &LedgerRecord) -> bool {
        may_lack_charges(notes, record).is_some()
    }
}

/// Returns whether charges may be missing from a record. Returns `None` if no notes go back far
/// enough to decide.
pub(super) fn may_lack_charges(notes: &[OutageNotes], record: &LedgerRecord) -> Option<bool> {
    let covers_record = |notes: &OutageNotes| {
        let OutageNotes::Taken { last: Some(note), .. } = notes else { return false };
        match note.position.writer == record.writer {
            true => record.sequence <= note.position.sequence,
            false => note.noted_at_ms.saturating_add(NOTE_AGE_TOLERANCE_MS) >= record.written_at_ms,
        }
    };
    let is_complete_since_record = |notes: &OutageNotes| match notes {
        OutageNotes::NotTaken => true,
        OutageNotes::Taken { since_ms: 0, .. } => true,
        OutageNotes::Taken { since_ms, .. } => {
            since_ms.saturating_add(NOTE_AGE_TOLERANCE_MS) <= record.written_at_ms
        }
    };
    match (notes.iter().any(covers_record), notes.iter().any(is_complete_since_record)) {
        (true, _) => Some(true),
        (false, true) => Some(false),
        (false, false) => None,
    }
}
