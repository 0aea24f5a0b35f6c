//! The stored form of a journal, as JSON. Readers ignore unknown fields, and every new field has a
//! default, so a newer host can read older records.

use crate::{
    catalog::Budget,
    ids::{ClassId, Epoch, JournalId, Member, ProgramId, ServiceId, StepKey, TeamId, UpstreamId},
    message::{Message, Usage},
};

/// One object in the store: a group commit of records.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// Id of the journal that the entry belongs to.
    pub journal: JournalId,
    /// Sequence number, called the position in comments. Invariant: a journal's entries are
    /// written at consecutive positions starting from 1.
    pub seq: u64,
    /// Epoch of the owner. Invariant: never decreases along the journal.
    pub epoch: Epoch,
    /// The owner that wrote the entry.
    pub writer: Member,
    /// Highest position that the writer knew to be in the store. The writer never retries a write
    /// at this position or an earlier one, so it cannot recreate those entries after they have been
    /// deleted.
    #[serde(default)]
    pub stored_seq: u64,
    /// Set on an opening entry, which is the first entry of an ownership. Invariant: an opening
    /// entry has no records and is never deleted, because it fences the previous owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub takeover: Option<Opening>,
    /// Set if this entry repeats the records of a previous owner's entry, read from a backup: the
    /// position of that entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adopted: Option<u64>,
    /// Set on a checkpoint: the live programs. Earlier records of programs that are not listed are
    /// obsolete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub live: Option<Vec<ProgramId>>,
    /// Changes to programs, in order.
    #[serde(default)]
    pub records: Vec<Record>,
}

/// Describes the start of an ownership.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Opening {
    /// Hosts in other failure domains that hold copies while the store is unavailable.
    #[serde(default)]
    pub backups: Vec<Member>,
    /// Whether the previous owner handed the journal over and stopped writing.
    #[serde(default)]
    pub is_planned: bool,
    /// Previous owner whose copies this ownership still has to adopt. While this is set, `backups`
    /// lists that owner's backups. The opening entry written after the adoption omits this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adopts: Option<Owner>,
}

/// An owner of a journal: a member and the epoch in which it writes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Owner {
    /// The member that writes.
    pub member: Member,
    /// The epoch of its entries.
    pub epoch: Epoch,
}

/// A change to one program.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A program was created.
    Created {
        /// Id of the new program.
        program: ProgramId,
        /// The parent program, for a child.
        parent: Option<ProgramId>,
        /// The team that the program belongs to.
        team: TeamId,
        /// Id of a class that the configuration declares.
        class: ClassId,
        /// Limits on what the program may use.
        budget: Budget,
        /// Step key of the request that created the program, if the caller sent one.
        step: Option<StepKey>,
        /// Time of creation, in milliseconds since the Unix epoch.
        created_ms: u64,
    },
    /// A non-idempotent call is about to be sent.
    Intended {
        /// The program that makes the call.
        program: ProgramId,
        /// Identifies the step for retries and replays.
        step: StepKey,
        /// Detects reuse of the step key for another request, which is refused.
        request_hash: u64,
        /// The service that the call is for.
        service: ServiceId,
    },
    /// A turn ended.
    TurnEnded {
        /// The program that ran the turn.
        program: ProgramId,
        /// Identifies the step for retries and replays.
        step: StepKey,
        /// Detects reuse of the step key for another request.
        request_hash: u64,
        /// Messages that the turn added to the history. The last one is the engine's answer.
        messages: Vec<Message>,
        /// Tokens that the turn used.
        usage: Usage,
        /// The engine that ran the turn. Its KV cache may hold the program's prefix.
        upstream: UpstreamId,
        /// The response, kept for replays.
        result: StepResult,
    },
    /// A call to a tool or a plain service ended.
    CallEnded {
        /// The program that made the call.
        program: ProgramId,
        /// Identifies the step for retries and replays.
        step: StepKey,
        /// Detects reuse of the step key for another request.
        request_hash: u64,
        /// The response, kept for replays.
        result: StepResult,
    },
    /// A non-idempotent call was not sent, or was refused before it ran.
    NotRun {
        /// The program that requested the call.
        program: ProgramId,
        /// Identifies the step for retries and replays.
        step: StepKey,
    },
    /// A non-idempotent call was sent and its outcome cannot be determined.
    Unknown {
        /// The program that made the call.
        program: ProgramId,
        /// Identifies the step for retries and replays.
        step: StepKey,
    },
    /// A program ended.
    Ended {
        /// The program that ended.
        program: ProgramId,
        /// Reason: `done`, `budget` or `abandoned`.
        why: String,
    },
}

impl Record {
    /// Returns the program that the record changes.
    pub fn program(&self) -> &ProgramId {
        match self {
            Self::Created { program, .. }
            | Self::Intended { program, .. }
            | Self::TurnEnded { program, .. }
            | Self::CallEnded { program, .. }
            | Self::NotRun { program, .. }
            | Self::Unknown { program, .. }
            | Self::Ended { program, .. } => program,
        }
    }
}

impl Entry {
    /// Returns the owner that wrote the entry.
    pub fn owner(&self) -> Owner {
        Owner { member: self.writer.clone(), epoch: self.epoch }
    }
}

/// The recorded response to a step.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StepResult {
    /// HTTP status code.
    pub status: u16,
    /// Response headers to return to the caller.
    pub headers: Vec<(String, String)>,
    /// The body, if it is valid UTF-8.
    #[serde(default)]
    pub text: String,
    /// The body, if it is not valid UTF-8.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bytes: Vec<u8>,
}
