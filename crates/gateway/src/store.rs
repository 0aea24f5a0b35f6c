//! Interface between the gateway and the platform's store.

use {
    crate::http::SendError,
    derive_more::Display,
    serde_json::Value,
    std::{collections::BTreeMap, future::Future, pin::Pin, time::Duration},
    trefoilring_core::{registrations::UpstreamEntry, routing::RoutingTable},
};

/// Revision of the store. Increases with each change of any object.
pub type Revision = u64;

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// An object of the store.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredObject {
    /// Name, unique within the collection.
    pub name: String,
    /// Revision of the object's last change.
    pub revision: Revision,
    /// Whether removal of the object was requested but is not complete.
    #[serde(rename = "is_going")]
    pub is_deleting: bool,
    /// Content of the object as JSON.
    pub content: Value,
}

/// All objects of a collection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The objects. Those that can't be parsed are omitted.
    pub objects: Vec<StoredObject>,
    /// Revision of the store to which the listing corresponds.
    pub revision: Revision,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The object was created or changed.
    Put(StoredObject),
    /// The object with this name was removed.
    Removed(String),
}

/// Result of one watch request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchResult {
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}

/// Why a request to the store failed.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum StoreError {
    /// The store rejected the request or could not be reached; nothing was applied.
    #[display("the store did not apply the request: {_0}")]
    NotApplied(String),
    /// The outcome is unknown; the request may still be applied later.
    #[display("unknown whether the store applied the request: {_0}")]
    Unknown(SendError),
    /// The object's revision does not match the condition. Contains the current object, if it
    /// exists.
    #[display("the object's revision does not match")]
    Conflict(Option<Box<StoredObject>>),
    /// The requested history has expired. The collection must be listed again.
    #[display("the requested history has expired")]
    HistoryExpired,
    /// The answer can't be parsed.
    #[display("the store's answer can't be parsed: {_0}")]
    Malformed(String),
}

/// Collections of the store that the gateway uses.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Collection {
    /// The operators' configuration.
    #[display("configuration")]
    Configuration,
    /// Upstreams that have registered themselves.
    #[display("upstreams")]
    Upstreams,
    /// Records of the gateway hosts.
    #[display("hosts")]
    Hosts,
    /// Ledgers with the spent tokens of programs, one object per partition.
    #[display("ledgers")]
    Ledgers,
    /// Operators' requests to empty hosts with disks, named after the hosts.
    #[display("retirements")]
    Retirements,
    /// Operators' requests to evacuate failure domains, named after the domains.
    #[display("evacuations")]
    Evacuations,
}

/// How far a host with a disk has been emptied.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RetirementState {
    /// Other hosts take over what the disk holds.
    #[display("running")]
    Running,
    /// The host may be removed together with its disk.
    #[display("done")]
    Done,
}

/// How old the state may be that a watch returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The current state.
    Current,
    /// A state of some seconds ago. The store bills a fraction for such a call.
    Stale,
}

/// Client of the platform's store.
pub trait Store {
    /// Reads the current state of a collection.
    fn list(&self, collection: Collection) -> LocalFuture<'_, Result<Listing, StoreError>>;

    /// Waits at most `wait` for changes of a collection after a revision.
    fn watch(
        &self,
        collection: Collection,
        after: Revision,
        wait: Duration,
        freshness: Freshness,
    ) -> LocalFuture<'_, Result<WatchResult, StoreError>>;

    /// Reads one object. Returns `None` if it does not exist.
    fn get<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
    ) -> LocalFuture<'a, Result<Option<StoredObject>, StoreError>>;

    /// Creates the object if `if_revision` is `None`. Otherwise replaces it if its revision is
    /// `if_revision`. Returns the new revision.
    fn put<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        if_revision: Option<Revision>,
        content: Value,
    ) -> LocalFuture<'a, Result<Revision, StoreError>>;

    /// Writes how far a host has been emptied, in the operators' request to do so.
    fn report_retirement<'a>(
        &'a self,
        host: &'a str,
        state: RetirementState,
    ) -> LocalFuture<'a, Result<(), StoreError>>;

    /// Removes an object if its revision is `if_revision`.
    fn remove<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        if_revision: Revision,
    ) -> LocalFuture<'a, Result<(), StoreError>>;

    /// Returns the number of requests sent so far by operation and collection, such as
    /// `watch_upstreams`. The store counts and bills each.
    fn request_counts(&self) -> BTreeMap<String, u64>;
}

/// Parses objects that other processes write to the store.
pub trait ObjectParser {
    /// Parses the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns a message that describes the invalid part.
    fn parse_routing(&self, content: &Value) -> Result<RoutingTable, String>;

    /// Parses an upstream's registration.
    ///
    /// # Errors
    ///
    /// Returns a message that describes the invalid part. The upstream can't be used then.
    fn parse_upstream(&self, name: &str, content: &Value) -> Result<UpstreamEntry, String>;
}
