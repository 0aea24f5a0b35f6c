//! Client for the platform's Object API, called the store.

use {
    crate::{
        error::{CallError, ErrorKind},
        http::{BufferedResponse, Client, OutgoingRequest, Reuse},
    },
    derive_more::{Display, Error, From},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    trefoilring_core::verdict::Verdict,
};

/// Version of an object; it counts the changes of the object. 0 means that the object is absent.
pub type Version = u64;

/// Maximum size of a value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum size of an answer to a list or watch, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Maximum time that a watch may take beyond the requested wait.
const WATCH_GRACE: Duration = Duration::from_secs(5);

/// An object read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The version that was read. Invariant: above 0.
    pub version: Version,
    /// The value that was read.
    pub value: Vec<u8>,
}

/// A key and the version of its object.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct KeyVersion {
    /// The key of the object.
    pub key: String,
    /// The current version of the object; 0 when it is absent.
    pub version: Version,
}

/// A changed key and its current version, which is 0 if the object was deleted.
pub type ChangedKey = KeyVersion;

/// The result of a watch.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct WatchReply {
    /// The revision to pass to the next watch.
    pub revision: u64,
    /// The last change of each key since the requested revision, oldest first.
    pub changes: Vec<ChangedKey>,
}

/// A failed get, list or watch. These calls have no effect, so they can be retried.
#[derive(Clone, Debug, Display, Error, From)]
#[display("object API: {_0}")]
pub struct ReadError(pub CallError);

/// A conditional write or deletion that failed or whose outcome is unknown.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum WriteError {
    /// The object had another version; nothing was changed.
    #[display("the present version is {present}")]
    Conflict {
        /// The object's current version; 0 if it is absent.
        present: Version,
    },
    /// The change was not applied.
    #[display("not applied: {_0}")]
    NotApplied(#[error(not(source))] CallError),
    /// The change may have been applied. Read the object to find out.
    #[display("unknown whether applied: {_0}")]
    Unknown(#[error(not(source))] CallError),
}

impl From<CallError> for WriteError {
    fn from(error: CallError) -> Self {
        match error.verdict {
            Verdict::NotRun => Self::NotApplied(error),
            Verdict::MayHaveRun | Verdict::Ran => Self::Unknown(error),
        }
    }
}

/// Number of calls made so far, per kind, as the store accounts for them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CallCounts {
    /// Number of gets and lists.
    pub reads: u64,
    /// Number of puts and deletes.
    pub writes: u64,
    /// Number of watches.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// A client for the Object API. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct ObjectApi {
    client: Client,
    timeout: Duration,
    counters: Arc<Counters>,
}

impl ObjectApi {
    /// Creates a client. Every call except a watch completes within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address), timeout, counters: Arc::default() }
    }

    /// Reads an object. Returns `None` if it is absent.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let answer =
            self.read(OutgoingRequest::new("GET", object_path(key)?, MAX_VALUE_BYTES)).await?;
        if answer.status == 404 {
            return Ok(None);
        }
        let answer = answer.expect_success()?;
        Ok(Some(Object { version: version_of(&answer)?, value: answer.body }))
    }

    /// Writes an object if its version is `if_version`; 0 means that the object must be
    /// absent. Returns the new version.
    pub async fn put(
        &self,
        key: &str,
        if_version: Version,
        value: Vec<u8>,
    ) -> Result<Version, WriteError> {
        if value.len() > MAX_VALUE_BYTES {
            let detail = format!("{key}: a value of {} bytes is too large", value.len());
            return Err(CallError::not_run(ErrorKind::Invalid, detail).into());
        }
        let outgoing = OutgoingRequest::new("PUT", object_path(key)?, MAX_VALUE_BYTES).body(value);
        let answer = self.write(outgoing, if_version).await?;
        Ok(version_of(&answer.expect_success()?)?)
    }

    /// Deletes an object if its version is `if_version`. If the object is absent, fails with a
    /// conflict with version 0.
    pub async fn delete(&self, key: &str, if_version: Version) -> Result<(), WriteError> {
        let outgoing = OutgoingRequest::new("DELETE", object_path(key)?, MAX_VALUE_BYTES);
        let answer = self.write(outgoing, if_version).await?;
        answer.expect_success()?;
        Ok(())
    }

    /// Lists up to `limit` keys with a prefix in key order, starting after the key `after`. If
    /// `after` is empty, starts at the first key.
    pub async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<KeyVersion>, ReadError> {
        #[derive(serde::Deserialize)]
        struct Page {
            keys: Vec<KeyVersion>,
        }
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let (prefix, after) = (percent_encode(prefix), percent_encode(after));
        let path = format!("v1/list?prefix={prefix}&after={after}&limit={limit}");
        let answer = self.read(OutgoingRequest::new("GET", path, MAX_LIST_BYTES)).await?;
        Ok(answer.expect_success()?.json::<Page>()?.keys)
    }

    /// Waits up to `wait` until a key with the prefix changes after revision `since`.
    ///
    /// The revision counts the changes of the whole store. If `since` is above the store's own
    /// revision, the store has lost its data; the reply then contains all keys with the prefix.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<WatchReply, ReadError> {
        self.counters.watches.fetch_add(1, Ordering::Relaxed);
        let (prefix, wait_ms) = (percent_encode(prefix), wait.as_millis());
        let path = format!("v1/watch?prefix={prefix}&since={since}&wait_ms={wait_ms}");
        let deadline = Instant::now() + wait + self.timeout.min(WATCH_GRACE);
        let outgoing = OutgoingRequest::new("GET", path, MAX_LIST_BYTES);
        let answer = self.client.call(outgoing, Reuse::Pooled, deadline).await?;
        Ok(answer.expect_success()?.json()?)
    }

    /// Returns the number of calls made by this client and its clones.
    pub fn counts(&self) -> CallCounts {
        let value_of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let Counters { reads, writes, watches } = &*self.counters;
        CallCounts { reads: value_of(reads), writes: value_of(writes), watches: value_of(watches) }
    }

    async fn read(&self, outgoing: OutgoingRequest) -> Result<BufferedResponse, CallError> {
        let deadline = Instant::now() + self.timeout;
        self.client.call(outgoing, Reuse::Pooled, deadline).await
    }

    /// Sends a put or delete. It may use a pooled connection: an unknown outcome
    /// ([`WriteError::Unknown`]) can be resolved by reading the object.
    async fn write(
        &self,
        outgoing: OutgoingRequest,
        if_version: Version,
    ) -> Result<BufferedResponse, WriteError> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let deadline = Instant::now() + self.timeout;
        let outgoing = outgoing.header("If-Version", if_version);
        let answer = self.client.call(outgoing, Reuse::Pooled, deadline).await?;
        match answer.status {
            404 => Err(WriteError::Conflict { present: 0 }),
            409 => Err(WriteError::Conflict { present: version_of(&answer)? }),
            // The store checks for these errors before it applies a change.
            400 | 411 | 413 => {
                let detail = format!("answered {}", answer.status);
                Err(CallError::not_run(ErrorKind::Status(answer.status), detail).into())
            }
            _ => Ok(answer),
        }
    }
}

fn version_of(answer: &BufferedResponse) -> Result<Version, CallError> {
    let version = answer.header("object-version").and_then(|text| text.parse().ok());
    version.ok_or_else(|| {
        CallError::may_have_run(ErrorKind::Malformed, "the answer has no Object-Version")
    })
}

/// Returns the path of an object. Rejects keys with empty or dot segments, which could be changed
/// by path normalization on the way to the store.
fn object_path(key: &str) -> Result<String, CallError> {
    let is_invalid = |segment: &str| matches!(segment, "" | "." | "..");
    if key.split('/').any(is_invalid) {
        let detail = format!("{key:?} is not an object key");
        return Err(CallError::not_run(ErrorKind::Invalid, detail));
    }
    Ok(format!("v1/objects/{}", percent_encode(key)))
}

/// Percent-encodes all characters except unreserved ones and the slash.
pub(crate) fn percent_encode(text: &str) -> String {
    let is_safe = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    text.bytes().fold(String::with_capacity(text.len()), |mut escaped, byte| {
        match is_safe(byte) {
            true => escaped.push(byte.into()),
            false => escaped.push_str(&format!("%{byte:02X}")),
        }
        escaped
    })
}
