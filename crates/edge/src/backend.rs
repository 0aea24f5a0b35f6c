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

/// The chunks of one answer, in the order received. The first one is [`Chunk::Head`]. A refusal is
/// the last item. Dropping the receiver notifies the home that the caller has disconnected; the
/// call still ends at the home, not here.
pub type Answer = smol::channel::Receiver<Result<Chunk, Refusal>>;

/// Whether the host accepts new callers. Serialized as the body of `/readyz`.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Readiness {
    /// Whether the load balancer should send callers to this host.
    pub is_ready: bool,
    /// The reason in human-readable form, if the host is not ready.
    pub detail: String,
}

/// The part of the daemon that runs the requests received by the HTTP interface.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Returns the caller that a key's secret belongs to. The lookup time must not depend on the
    /// secret.
    fn authenticate(&self, secret: &str) -> Result<Caller, Refusal>;

    /// Returns the class for a request that names none: the first class that the caller's team may
    /// use.
    fn default_class(&self, caller: &Caller) -> Result<ClassId, Refusal>;

    /// Returns the budget of a class, or `None` for an unknown class. It supplies the limits that a
    /// caller leaves out of a partial budget.
    fn class_budget(&self, _class: &ClassId) -> Option<Budget> {
        None
    }

    /// Completes when the caller's key is no longer valid. The edge then aborts the requests made
    /// with that key.
    fn key_withdrawn(&self, caller: &Caller) -> impl Future<Output = ()> + Send;

    /// Returns whether a service's route can be called without a key.
    fn is_open_route(&self, service: &str, method: &str, path: &str) -> bool;

    /// Creates a program.
    fn create(
        &self,
        caller: Caller,
        request: CreateProgram,
    ) -> impl Future<Output = Result<ProgramInfo, Refusal>> + Send;

    /// Returns a program's state, or ends the program. The list of messages is filled only for
    /// [`ProgramQuery::History`].
    fn query(
        &self,
        caller: Caller,
        program: ProgramId,
        query: ProgramQuery,
    ) -> impl Future<Output = Result<(ProgramInfo, Vec<Message>), Refusal>> + Send;

    /// Starts a call on behalf of a program and returns the channel of its answer.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Refusal>> + Send;

    /// Starts a call to an open route, which needs neither a program nor a key.
    fn open_call(
        &self,
        call: trefoilring_core::call::ServiceCall,
    ) -> impl Future<Output = Result<Answer, Refusal>> + Send;

    /// Returns whether the host accepts new callers.
    fn readiness(&self) -> Readiness;

    /// Returns the metrics in text form, as served by `/metrics`.
    fn metrics(&self) -> String;
}
