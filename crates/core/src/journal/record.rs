//! What a journal holds. Stored as JSON; unknown fields are ignored and new ones have defaults, so
//! that an older record is read by a newer host.

use crate::{
    catalog::Budget,
    ids::{ClassId, Epoch, JournalId, Member, ProgramId, ServiceId, StepKey, TeamId, UpstreamId},
    message::{Message, Usage},
};

/// One object of a journal: a group commit of records.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// The journal.
    pub journal: JournalId,
    /// Position. Invariant: entries of a journal are numbered from 1 without gaps when written.
    pub seq: u64,
    /// The owner's epoch. Invariant: never falls along the journal.
    pub epoch: Epoch,
    /// The owner that wrote it.
    pub writer: Member,
    /// Highest position that the writer knew to be in the store. Proof that it will never again
    /// try to create a position up to this one, so that those may be deleted.
    #[serde(default)]
    pub stored_seq: u64,
    /// Set on the first entry of an owner. Invariant: such an entry has no records and is never
    /// deleted, for it is what stops the former owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub takeover: Option<Opening>,
    /// Position of the former owner's entry whose records this entry repeats, read from a backup.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adopted: Option<u64>,
    /// A checkpoint: earlier records of programs that aren't listed no longer count.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub live: Option<Vec<ProgramId>>,
    /// What happened, in order.
    #[serde(default)]
    pub records: Vec<Record>,
}

/// The start of an ownership.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Opening {
    /// Hosts that hold copies while the store is down, in other failure domains.
    #[serde(default)]
    pub backups: Vec<Member>,
    /// Whether the former owner handed over and stopped by itself.
    #[serde(default)]
    pub is_planned: bool,
    /// While set, `backups` are those of the owner named here, and its copies that aren't in the
    /// journal are still to be adopted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adopts: Option<Owner>,
}

/// One ownership of a journal.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Owner {
    /// Who writes.
    pub member: Member,
    /// Under which epoch.
    pub epoch: Epoch,
}

/// One change of one program.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A program was created.
    Created {
        /// The program.
        program: ProgramId,
        /// Its parent, for a child.
        parent: Option<ProgramId>,
        /// Its team.
        team: TeamId,
        /// Its class.
        class: ClassId,
        /// Its budget.
        budget: Budget,
        /// Names the creation, from the caller.
        step: Option<StepKey>,
        /// Wall clock in milliseconds since 1970.
        created_ms: u64,
    },
    /// A call that may not be repeated is about to be sent.
    Intended {
        /// The program.
        program: ProgramId,
        /// The step.
        step: StepKey,
        /// Hash of the request, to refuse another request under the same key.
        request_hash: u64,
        /// The service.
        service: ServiceId,
    },
    /// A turn ended: its new messages, with the answer as the last.
    TurnEnded {
        /// The program.
        program: ProgramId,
        /// The step.
        step: StepKey,
        /// Hash of the request.
        request_hash: u64,
        /// Messages that the turn added to the history.
        messages: Vec<Message>,
        /// Tokens used.
        usage: Usage,
        /// The engine that holds cached memory for the program since.
        upstream: UpstreamId,
        /// The answer, for replays.
        result: StepResult,
    },
    /// A call to a tool or plain service ended.
    CallEnded {
        /// The program.
        program: ProgramId,
        /// The step.
        step: StepKey,
        /// Hash of the request.
        request_hash: u64,
        /// The answer, for replays.
        result: StepResult,
    },
    /// A call that may not be repeated was not sent after all, or was refused before it ran.
    NotRun {
        /// The program.
        program: ProgramId,
        /// The step.
        step: StepKey,
    },
    /// A call that may not be repeated was sent and its end can't be known.
    Unknown {
        /// The program.
        program: ProgramId,
        /// The step.
        step: StepKey,
    },
    /// A program ended.
    Ended {
        /// The program.
        program: ProgramId,
        /// Why: `done`, `budget`, `abandoned`.
        why: String,
    },
}

impl Record {
    /// The program that the record changes.
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
    /// The ownership under which the entry was written.
    pub fn owner(&self) -> Owner {
        Owner { member: self.writer.clone(), epoch: self.epoch }
    }
}

/// A recorded answer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StepResult {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: Vec<(String, String)>,
    /// The body as text where it is UTF-8.
    #[serde(default)]
    pub text: String,
    /// The body where it is not UTF-8.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bytes: Vec<u8>,
}
