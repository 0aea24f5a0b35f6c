//! What the gateway needs of the platform's store, in its own words.

use {
    crate::http::SendError,
    derive_more::Display,
    serde_json::Value,
    std::{future::Future, pin::Pin, time::Duration},
    trefoilring_core::{placement::UpstreamRecord, routing::RoutingTable},
};

/// Counts changes of the whole store.
pub type Revision = u64;

/// A future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// An object of the store.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredObject {
    /// Its name within its collection.
    pub name: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// Whether its removal was asked for and is held up.
    pub is_deleting: bool,
    /// Its content.
    pub content: Value,
}

/// A whole collection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Its objects. Those that can't be read are left out.
    pub objects: Vec<StoredObject>,
    /// The store's revision at which it was so.
    pub revision: Revision,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The object is new or has changed.
    Put(StoredObject),
    /// The object is gone.
    Removed(String),
}

/// What a watch saw.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchResult {
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub revision: Revision,
}

/// Why a call of the store failed.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum StoreError {
    /// The store did nothing: it refused the call, or could not be reached.
    #[display("the store did nothing: {_0}")]
    NotDone(String),
    /// Whether it was done is unknown; it may still be done.
    #[display("unknown whether the store did it: {_0}")]
    Unknown(SendError),
    /// The object is not as the condition says. Carries it as it is, if it exists.
    #[display("the object has changed")]
    Conflict(Option<Box<StoredObject>>),
    /// The history that was asked for is gone: list again.
    #[display("the history is gone")]
    HistoryGone,
    /// The answer makes no sense.
    #[display("the store's answer can't be read: {_0}")]
    Malformed(String),
}

/// Collections of the store that the gateway uses.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Collection {
    /// The operators' configuration.
    #[display("configuration")]
    Configuration,
    /// Upstreams that have registered themselves.
    #[display("upstreams")]
    Upstreams,
    /// Our hosts.
    #[display("hosts")]
    Hosts,
    /// Spent tokens of programs.
    #[display("ledgers")]
    Ledgers,
}

/// The platform's store.
pub trait Store {
    /// Reads a whole collection as it is now.
    fn list(&self, collection: Collection) -> LocalFuture<'_, Result<Listing, StoreError>>;

    /// Waits for changes of a collection after a revision.
    fn watch(
        &self,
        collection: Collection,
        after: Revision,
        wait: Duration,
    ) -> LocalFuture<'_, Result<WatchResult, StoreError>>;

    /// Reads one object; `None` when there is none.
    fn get<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
    ) -> LocalFuture<'a, Result<Option<StoredObject>, StoreError>>;

    /// Creates an object, or replaces the one of revision `if_revision`.
    fn put<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        if_revision: Option<Revision>,
        content: Value,
    ) -> LocalFuture<'a, Result<Revision, StoreError>>;

    /// Removes the object of revision `if_revision`.
    fn remove<'a>(
        &'a self,
        collection: Collection,
        name: &'a str,
        if_revision: Revision,
    ) -> LocalFuture<'a, Result<(), StoreError>>;

    /// Calls made so far: the store counts and prices each.
    fn call_count(&self) -> u64;
}

/// Reads what others write to the store.
pub trait Directory {
    /// Reads the operators' configuration.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    fn routing(&self, content: &Value) -> Result<RoutingTable, String>;

    /// Reads an upstream's registration.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it: it names no upstream to use.
    fn upstream(&self, name: &str, content: &Value) -> Result<UpstreamRecord, String>;
}
