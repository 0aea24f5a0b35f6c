//! Identifiers shared by all crates.
//!
//! Ids are reference-counted strings, because they are cloned into events, records and messages far
//! more often than they are created. A program id contains the id of its journal, and the home of a
//! program is the host that owns the journal. Any host can therefore find the home without a lookup
//! table.

use {derive_more::Display, rand::RngExt, std::sync::Arc};

/// Identifies a host. Unique among live hosts; a restarted host keeps its id.
pub type HostId = Arc<str>;
/// Identifies a failure domain. Comes from the host's settings.
pub type DomainId = Arc<str>;
/// Identifies a program, as `{journal}.{random}`.
pub type ProgramId = Arc<str>;
/// Identifies a journal, the durable log of the programs of one home.
pub type JournalId = Arc<str>;
/// Identifies a team.
pub type TeamId = Arc<str>;
/// Identifies a class of work.
pub type ClassId = Arc<str>;
/// Identifies an API key. Does not contain its secret.
pub type KeyId = Arc<str>;
/// Identifies a service, a group of interchangeable upstreams.
pub type ServiceId = Arc<str>;
/// Identifies an upstream.
pub type UpstreamId = Arc<str>;
/// Version of an upstream's software. Empty if it is not known.
pub type SoftwareVersion = Arc<str>;
/// Identifies a step of a program. Unique within the program.
pub type StepKey = Arc<str>;
/// Identifies a request in logs and in the event timeline.
pub type RequestId = Arc<str>;

/// Ownership epoch of a journal. Increases with each new owner; a higher epoch fences all lower
/// ones.
pub type Epoch = u64;
/// Version of the accepted configuration. Never decreases.
pub type ConfigVersion = u64;
/// Start time of a host process in milliseconds since 1970. Distinguishes the restarts of a host.
pub type Incarnation = u64;
/// Hash of a request's content and its team. Equal for all repetitions of a request by its caller.
pub type ContentHash = u64;

/// One incarnation of one host. Leases and journals are assigned to a member.
#[derive(
    Clone,
    Debug,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[display("{host}@{incarnation}")]
pub struct Member {
    /// Id of the host, shared by all its incarnations.
    pub host: HostId,
    /// Incarnation of the host. Invariant: differs between two starts of the same host.
    pub incarnation: Incarnation,
}

/// Number of random characters in a generated id: 16 characters of 5 bits are 80 random bits.
const RANDOM_CHARS: usize = 16;
/// Lower-case Crockford base 32, which omits easily confused letters.
const ALPHABET: &[u8; 32] = b"0123456789abcdefghjkmnpqrstvwxyz";

/// Returns an 80-bit random id suffix drawn from `rng`.
pub fn random_suffix(rng: &mut impl rand::Rng) -> String {
    (0..RANDOM_CHARS).map(|_| char::from(ALPHABET[rng.random_range(0..ALPHABET.len())])).collect()
}

/// Creates the id of a program in the given journal.
pub fn program_id(journal: &JournalId, rng: &mut impl rand::Rng) -> ProgramId {
    format!("{journal}.{}", random_suffix(rng)).into()
}

/// Returns the journal id in a program id, or `None` if the program id is malformed.
pub fn journal_of(program: &str) -> Option<JournalId> {
    let (journal, suffix) = program.rsplit_once('.')?;
    let is_valid = !journal.is_empty() && suffix.len() == RANDOM_CHARS;
    is_valid.then(|| journal.into())
}
