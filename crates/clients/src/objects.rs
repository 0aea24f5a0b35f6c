//! Client of the platform's Object API.

use {
    crate::{
        error::{CallError, ErrorKind},
        http::{Answer, Client, Exchange, Reuse},
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

/// Counts changes of one object; 0 means absent.
pub type Version = u64;

/// The largest value that the store takes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// The largest answer to a list or watch.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Time beyond the asked wait that a watch may take.
const WATCH_GRACE: Duration = Duration::from_secs(5);

/// An object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Its version. Invariant: above 0.
    pub version: Version,
    /// Its value.
    pub value: Vec<u8>,
}

/// A key and the version of its object.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct KeyVersion {
    /// The key.
    pub key: String,
    /// The version.
    pub version: Version,
}

/// A key whose object changed, with its present version; 0 when it was deleted.
pub type ChangedKey = KeyVersion;

/// What a watch saw.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct WatchReply {
    /// The revision to give to the next watch.
    pub revision: u64,
    /// The last change of each key since the asked revision, oldest first.
    pub changes: Vec<ChangedKey>,
}

/// A read that failed. Reads have no effect, so they may be repeated.
#[derive(Clone, Debug, Display, Error, From)]
#[display("object API: {_0}")]
pub struct ApiError(pub CallError);

/// A conditional change that was not acknowledged.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PutError {
    /// The object had another version; nothing was changed.
    #[display("the present version is {present}")]
    Conflict {
        /// The version that the object has; 0 when it is absent.
        present: Version,
    },
    /// Nothing was changed.
    #[display("not applied: {_0}")]
    NotApplied(#[error(not(source))] CallError),
    /// The change may have taken effect: read back to know.
    #[display("unknown whether applied: {_0}")]
    Unknown(#[error(not(source))] CallError),
}

impl From<CallError> for PutError {
    fn from(error: CallError) -> Self {
        match error.verdict {
            Verdict::NotRun => Self::NotApplied(error),
            Verdict::MayHaveRun | Verdict::Ran => Self::Unknown(error),
        }
    }
}

/// Calls made so far, by kind: the store counts each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CallCounts {
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// The client. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct ObjectApi {
    client: Client,
    timeout: Duration,
    counters: Arc<Counters>,
}

impl ObjectApi {
    /// Makes a client. Every call but a watch ends within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address), timeout, counters: Arc::default() }
    }

    /// Reads an object; `None` when it is absent.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, ApiError> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let answer = self.read(Exchange::new("GET", object_path(key)?, MAX_VALUE_BYTES)).await?;
        if answer.status == 404 {
            return Ok(None);
        }
        let answer = answer.expect_success()?;
        Ok(Some(Object { version: version_of(&answer)?, value: answer.body }))
    }

    /// Writes an object if its version is `if_version`; 0 creates only.
    pub async fn put(
        &self,
        key: &str,
        if_version: Version,
        value: Vec<u8>,
    ) -> Result<Version, PutError> {
        if value.len() > MAX_VALUE_BYTES {
            let detail = format!("{key}: a value of {} bytes is too large", value.len());
            return Err(CallError::not_run(ErrorKind::Invalid, detail).into());
        }
        let exchange = Exchange::new("PUT", object_path(key)?, MAX_VALUE_BYTES).body(value);
        let answer = self.write(exchange, if_version).await?;
        Ok(version_of(&answer.expect_success()?)?)
    }

    /// Deletes an object if its version is `if_version`. An absent object is a conflict with 0.
    pub async fn delete(&self, key: &str, if_version: Version) -> Result<(), PutError> {
        let exchange = Exchange::new("DELETE", object_path(key)?, MAX_VALUE_BYTES);
        let answer = self.write(exchange, if_version).await?;
        answer.expect_success()?;
        Ok(())
    }

    /// Lists up to `limit` keys under a prefix, in order, after the key `after` (may be empty).
    pub async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<KeyVersion>, ApiError> {
        #[derive(serde::Deserialize)]
        struct Page {
            keys: Vec<KeyVersion>,
        }
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let (prefix, after) = (percent_encode(prefix), percent_encode(after));
        let path = format!("v1/list?prefix={prefix}&after={after}&limit={limit}");
        let answer = self.read(Exchange::new("GET", path, MAX_LIST_BYTES)).await?;
        Ok(answer.expect_success()?.json::<Page>()?.keys)
    }

    /// Waits up to `wait` until something under the prefix is newer than revision `since`.
    ///
    /// The revision counts changes of the whole store. One above the store's own means that the
    /// store lost its memory; the reply then has all keys under the prefix.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<WatchReply, ApiError> {
        self.counters.watches.fetch_add(1, Ordering::Relaxed);
        let (prefix, wait_ms) = (percent_encode(prefix), wait.as_millis());
        let path = format!("v1/watch?prefix={prefix}&since={since}&wait_ms={wait_ms}");
        let deadline = Instant::now() + wait + self.timeout.min(WATCH_GRACE);
        let exchange = Exchange::new("GET", path, MAX_LIST_BYTES);
        let answer = self.client.call(exchange, Reuse::Pooled, deadline).await?;
        Ok(answer.expect_success()?.json()?)
    }

    /// Calls made by this client and its clones.
    pub fn counts(&self) -> CallCounts {
        let value_of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let Counters { reads, writes, watches } = &*self.counters;
        CallCounts { reads: value_of(reads), writes: value_of(writes), watches: value_of(watches) }
    }

    async fn read(&self, exchange: Exchange) -> Result<Answer, CallError> {
        let deadline = Instant::now() + self.timeout;
        self.client.call(exchange, Reuse::Pooled, deadline).await
    }

    /// Sends a change. A put or delete is safe to send on a used connection: a lost answer is
    /// resolved by reading back.
    async fn write(&self, exchange: Exchange, if_version: Version) -> Result<Answer, PutError> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let deadline = Instant::now() + self.timeout;
        let exchange = exchange.header("If-Version", if_version);
        let answer = self.client.call(exchange, Reuse::Pooled, deadline).await?;
        match answer.status {
            404 => Err(PutError::Conflict { present: 0 }),
            409 => Err(PutError::Conflict { present: version_of(&answer)? }),
            // The store refuses these before it changes anything.
            400 | 411 | 413 => {
                let detail = format!("answered {}", answer.status);
                Err(CallError::not_run(ErrorKind::Status(answer.status), detail).into())
            }
            _ => Ok(answer),
        }
    }
}

fn version_of(answer: &Answer) -> Result<Version, CallError> {
    let version = answer.header("object-version").and_then(|text| text.parse().ok());
    version.ok_or_else(|| {
        CallError::may_have_run(ErrorKind::Malformed, "the answer has no Object-Version")
    })
}

/// Returns the path of an object. Empty segments and dots would be changed on the way.
fn object_path(key: &str) -> Result<String, CallError> {
    let is_invalid = |segment: &str| matches!(segment, "" | "." | "..");
    if key.split('/').any(is_invalid) {
        let detail = format!("{key:?} is not an object key");
        return Err(CallError::not_run(ErrorKind::Invalid, detail));
    }
    Ok(format!("v1/objects/{}", percent_encode(key)))
}

/// Percent-encodes all but unreserved characters and the slash.
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
