//! What the HTTP interface needs from the rest of the daemon.

use {
    std::future::Future,
    trefoilring_core::{
        call::{Call, Caller, Chunk, CreateProgram, ProgramInfo, ProgramQuery},
        catalog::Budget,
        ids::{ClassId, ProgramId},
        message::Message,
        verdict::Refusal,
    },
};

/// The chunks of one answer, as they come. The first is [`Chunk::Head`]. A refusal ends it.
/// Dropping the receiver tells the home that the caller is gone; the call still ends there.
pub type Answer = smol::channel::Receiver<Result<Chunk, Refusal>>;

/// Whether the host takes new connections.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Readiness {
    /// Whether the balancer should send callers here.
    pub is_ready: bool,
    /// Why not, for people.
    pub detail: String,
}

/// The daemon behind the HTTP interface.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Finds the caller for a key's secret, in time that doesn't depend on the secret.
    fn authenticate(&self, secret: &str) -> Result<Caller, Refusal>;

    /// The class for a caller that names none: the first that its team may use.
    fn default_class(&self, caller: &Caller) -> Result<ClassId, Refusal>;

    /// The budget of a class, which fills up a budget that a caller gives in part. `None` if there
    /// is no such class.
    fn class_budget(&self, _class: &ClassId) -> Option<Budget> {
        None
    }

    /// Completes when the key no longer holds; the edge then ends what runs with it.
    fn key_withdrawn(&self, caller: &Caller) -> impl Future<Output = ()> + Send;

    /// Returns whether a route of a service needs no key.
    fn is_open_route(&self, service: &str, method: &str, path: &str) -> bool;

    /// Creates a program.
    fn create(
        &self,
        caller: Caller,
        request: CreateProgram,
    ) -> impl Future<Output = Result<ProgramInfo, Refusal>> + Send;

    /// Asks for, or ends, a program. The history comes only for [`ProgramQuery::History`].
    fn query(
        &self,
        caller: Caller,
        program: ProgramId,
        query: ProgramQuery,
    ) -> impl Future<Output = Result<(ProgramInfo, Vec<Message>), Refusal>> + Send;

    /// Starts a call of a program.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Refusal>> + Send;

    /// Calls an open route, without program and key.
    fn open_call(
        &self,
        call: trefoilring_core::call::ServiceCall,
    ) -> impl Future<Output = Result<Answer, Refusal>> + Send;

    /// Whether the host should get new callers.
    fn readiness(&self) -> Readiness;

    /// Metrics in text form.
    fn metrics(&self) -> String;
}
