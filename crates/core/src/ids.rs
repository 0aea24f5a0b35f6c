//! Identifiers shared by all crates.
//!
//! Ids are reference-counted strings: they are cloned into events, records and messages far more
//! often than they are made. A program id names the journal that holds the program, so that any
//! host can find the program's home without a lookup table.

use {derive_more::Display, rand::RngExt, std::sync::Arc};

/// Names a host of the system. Unique among live hosts; reused by a restarted host.
pub type HostId = Arc<str>;
/// Names a failure domain, as given in the settings.
pub type DomainId = Arc<str>;
/// Names a program: `{journal}.{random}`.
pub type ProgramId = Arc<str>;
/// Names a journal, the durable log of the programs of one home.
pub type JournalId = Arc<str>;
/// Names a team.
pub type TeamId = Arc<str>;
/// Names a class of work.
pub type ClassId = Arc<str>;
/// Names a key, without being the secret.
pub type KeyId = Arc<str>;
/// Names a service: a group of upstreams that do the same.
pub type ServiceId = Arc<str>;
/// Names one upstream.
pub type UpstreamId = Arc<str>;
/// Names one step of a program. Unique within the program.
pub type StepKey = Arc<str>;
/// Names one request, for logs and the time line.
pub type RequestId = Arc<str>;

/// Counts owners of a journal. A higher epoch fences all lower ones.
pub type Epoch = u64;
/// Counts accepted configurations. Only ever goes up.
pub type ConfigVersion = u64;
/// Counts starts of one host, from wall-clock milliseconds at start.
pub type Incarnation = u64;

/// One life of one host: what holds leases and writes journals.
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
    /// The host.
    pub host: HostId,
    /// Invariant: differs between two starts of the same host.
    pub incarnation: Incarnation,
}

/// Number of random characters in a generated id: 80 bits.
const RANDOM_CHARS: usize = 16;
/// Crockford's base 32, without letters that read alike.
const ALPHABET: &[u8; 32] = b"0123456789abcdefghjkmnpqrstvwxyz";

/// Returns a random suffix for ids, 80 bits from `rng`.
pub fn random_suffix(rng: &mut impl rand::Rng) -> String {
    (0..RANDOM_CHARS).map(|_| char::from(ALPHABET[rng.random_range(0..ALPHABET.len())])).collect()
}

/// Makes a program id that names its journal.
pub fn program_id(journal: &JournalId, rng: &mut impl rand::Rng) -> ProgramId {
    format!("{journal}.{}", random_suffix(rng)).into()
}

/// Returns the journal that a program id names, or `None` if the id is malformed.
pub fn journal_of(program: &str) -> Option<JournalId> {
    let (journal, suffix) = program.rsplit_once('.')?;
    let is_valid = !journal.is_empty() && suffix.len() == RANDOM_CHARS;
    is_valid.then(|| journal.into())
}
