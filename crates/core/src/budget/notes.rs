//! What keepers note before charges go far beyond a ledger's record.
//!
//! A crash in an outage of the store must not let a successor take the record for whole. Each keeper of
//! a ledger therefore notes, where it outlasts the process, which writes of the first choice may be
//! gone beyond, and the first choice goes so far only when all of them have. A later write contains all
//! charges again. A successor needs the notes of one keeper that can't have missed the outage.

use super::LedgerRecord;

/// How much clocks of different hosts may differ, with the time between two notes: a note this much
/// older than the record of another writer may still be of a later outage.
const CLOCK_SKEW_MS: u64 = 4000;

/// One of the writes of a ledger's record.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LedgerPosition {
    /// The host and its start that writes.
    pub writer: String,
    /// Counts its writes, also those that fail.
    pub sequence: u64,
}

/// That charges may be missing from a record.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OutageNote {
    /// Wall clock in milliseconds since 1970.
    pub noted_at_ms: u64,
    /// The last write beyond which the writer may charge.
    pub position: LedgerPosition,
}

/// What one keeper has noted of a ledger.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageNotes {
    /// It has no disk and takes none: nobody goes beyond the record early.
    NotTaken,
    /// It takes notes.
    Taken {
        /// Since when it has all notes that it took, by its wall clock in milliseconds since 1970;
        /// zero if it has lost none.
        since_ms: u64,
        /// The last one.
        last: Option<OutageNote>,
    },
}

impl OutageNotes {
    /// Returns whether notes tell if charges beyond a record were noted.
    pub fn are_sufficient(notes: &[Self], record: &LedgerRecord) -> bool {
        may_miss_charges(notes, record).is_some()
    }
}

/// Returns whether charges beyond a record were noted; `None` if no notes reach back far enough to
/// tell.
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
