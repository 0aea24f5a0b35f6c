//! Programs created for a single request whose caller did not name a program.

use {
    crate::backend::Backend,
    smol::Executor,
    std::sync::Arc,
    trefoilring_core::{
        call::{Caller, ProgramQuery},
        ids::ProgramId,
    },
};

/// Guard that ends its program when dropped: after the answer, after a refusal, or when the caller
/// disconnects.
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
                // The program ends later, when its wall-time budget runs out.
                log::info!("failed to end the implicit program {program}: {refusal}");
            }
        };
        self.executor.spawn(end).detach();
    }
}
