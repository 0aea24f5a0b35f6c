//! A program that lives for one request of a client that knows of no programs.

use {
    crate::backend::Backend,
    smol::Executor,
    std::sync::Arc,
    trefoilring_core::{
        call::{Caller, ProgramQuery},
        ids::ProgramId,
    },
};

/// Ends its program when dropped: after the answer, after a refusal, or when the caller is gone.
pub(crate) struct ImplicitProgram<B: Backend> {
    backend: B,
    executor: Arc<Executor<'static>>,
    caller: Caller,
    program: ProgramId,
}

impl<B: Backend> ImplicitProgram<B> {
    pub fn new(
        backend: B,
        executor: Arc<Executor<'static>>,
        caller: Caller,
        program: ProgramId,
    ) -> Self {
        Self { backend, executor, caller, program }
    }

    pub fn program(&self) -> &ProgramId {
        &self.program
    }
}

impl<B: Backend> Drop for ImplicitProgram<B> {
    fn drop(&mut self) {
        let (backend, caller) = (self.backend.clone(), self.caller.clone());
        let program = self.program.clone();
        let end = async move {
            let ended = backend.query(caller, program.clone(), ProgramQuery::End).await;
            if let Err(refusal) = ended {
                // Its budget of wall time ends it later.
                log::info!("the program {program} of one request was not ended: {refusal}");
            }
        };
        self.executor.spawn(end).detach();
    }
}
