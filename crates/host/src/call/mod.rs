//! Runs calls at their home, in these steps: take tokens, acquire a slot, make the intent durable,
//! check the lease, send the call to the upstream, record the result, and answer the caller.
//!
//! The guarantees depend on this order. Nothing is made durable before the call has its tokens and
//! slot, so a refusal leaves nothing to clean up. The lease is checked after the intent is durable
//! and immediately before the call is sent. The result is durable before the caller sees it.

mod attempt;
mod events;
mod service;
mod slot;
mod turn;

pub(crate) use {service::run_open_call, slot::acquire_local_slot};

use {
    crate::{
        allowance,
        control::{
            Control, Reply,
            home::{BeginOutcome, not_home},
        },
        shared::Shared,
        upstream::{AnswerSender, result_body},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        call::{Call, Chunk, ProgramInfo, ServiceCall, Turn, Work},
        catalog::Service,
        event::Kind,
        ids::{Epoch, ServiceId, journal_of},
        journal::StepResult,
        message::Message,
        program::{Permit, Run},
        sched::SlotRequest,
        verdict::{Reason, Refusal},
    },
    trefoilring_edge::Answer,
    trefoilring_proto::ProgramRequest,
};

/// Chunks buffered for a slow caller before backpressure reaches the upstream's stream.
const ANSWER_CHUNKS: usize = 256;
/// Maximum wait of a call for a slot.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(120);
/// Maximum number of attempts at upstreams for one call. A further attempt is made only if the
/// verdict of the previous one allows a retry.
const MAX_ATTEMPTS: u32 = 4;

/// Runs a program request on this host. The request is refused if this host is not its home.
pub(crate) async fn handle_program_request(
    shared: &Arc<Shared>,
    request: ProgramRequest,
) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
    if !shared.lease.holds() {
        return Err(not_home());
    }
    // A creation is written to the store, so it is charged to the team's allowance like a call.
    if let ProgramRequest::Create { caller, .. } = &request {
        allowance::take(shared, &caller.team).await?;
    }
    let job = move |control: &mut Control, reply: Reply<_>| match request {
        ProgramRequest::Create { caller, request, journal } => {
            if let Some(journal) = &journal {
                control.take_over_if_needed(journal);
            }
            control.homes.create(&caller, &request, journal, reply);
        }
        ProgramRequest::Query { caller, program, query } => {
            if let Some(journal) = journal_of(&program) {
                control.take_over_if_needed(&journal);
            }
            control.homes.query(&caller, &program, &query, reply);
        }
    };
    shared.control.request(job).await?
}

/// Starts a call on this host. The call is refused if this host is not its home.
pub(crate) fn start_local_call(shared: &Arc<Shared>, call: Call) -> Answer {
    let (out, answer) = smol::channel::bounded(ANSWER_CHUNKS);
    let shared = shared.clone();
    let task_shared = shared.clone();
    if !shared.running_calls.begin() {
        // This can't fail because the channel is empty.
        let _ = out.try_send(Err(not_home()));
        return answer;
    }
    shared.spawn(async move {
        let home = HomeCall { shared: task_shared, call };
        if let Err(refusal) = home.run(&out).await {
            home.record_refusal(&refusal);
            let _ = out.send(Err(refusal)).await;
        }
        home.shared.running_calls.end();
    });
    answer
}

/// One call at its home.
struct HomeCall {
    shared: Arc<Shared>,
    call: Call,
}

/// State shared by all attempts of one call.
struct PreparedCall {
    service: (ServiceId, Service),
    slot_request: SlotRequest,
    deadline: Instant,
    epoch: Epoch,
}

impl PreparedCall {
    /// Returns the epoch if the service checks fencing epochs.
    fn fencing_epoch(&self) -> Option<Epoch> {
        self.service.1.checks_fencing.then_some(self.epoch)
    }
}

impl HomeCall {
    async fn run(&self, out: &AnswerSender) -> Result<(), Refusal> {
        self.record_event(Kind::CallReceived, |fields| fields);
        let service = self.service()?;
        let (run, epoch) = match self.begin(&service.1).await? {
            BeginOutcome::Run(run, epoch) => (run, epoch),
            BeginOutcome::Replay(result) => {
                self.replay(out, &result).await;
                return Ok(());
            }
        };
        let deadline = Instant::now() + service.1.deadline().min(run.wall_left);
        let slot_request = self.slot_request(&service, &run);
        let prepared = PreparedCall { service, slot_request, deadline, epoch };
        let Run { permit, messages, completion_tokens, .. } = *run;
        if let Err(refusal) = allowance::take(&self.shared, &self.call.caller.team).await {
            self.return_permit(permit);
            return Err(refusal);
        }
        match &self.call.work {
            Work::Turn(turn) => {
                let request = self.chat_request(turn, &messages, completion_tokens, &prepared);
                self.run_turn(turn, request, &prepared, permit, out).await
            }
            Work::Service(call) => self.run_service(call, &prepared, permit, out).await,
        }
    }

    /// Finds the service of the call, by its name or by the model of the turn.
    fn service(&self) -> Result<(ServiceId, Service), Refusal> {
        let catalog = self.shared.catalog();
        let found = match &self.call.work {
            Work::Turn(turn) => {
                catalog.services.iter().find(|(_, service)| service.models.contains(&turn.model))
            }
            Work::Service(call) => catalog.services.get_key_value(&call.service),
        };
        let found = found.map(|(id, service)| (id.clone(), service.clone()));
        found.ok_or_else(|| {
            let detail = match &self.call.work {
                Work::Turn(turn) => format!("no service has the model {:?}", turn.model),
                Work::Service(call) => format!("no service {:?}", call.service),
            };
            Refusal::not_run(Reason::NotFound, detail)
        })
    }

    /// Turns are always repeatable; other calls only as declared.
    fn is_repeatable(&self, service: &Service) -> bool {
        match &self.call.work {
            Work::Turn(_) => true,
            Work::Service(call) => service.is_repeatable(&call.method, &call.path),
        }
    }

    async fn begin(&self, service: &Service) -> Result<BeginOutcome, Refusal> {
        if !self.shared.lease.holds() {
            return Err(not_home());
        }
        let call = self.call.clone();
        let request_hash = fingerprint(&call.work);
        let is_repeatable = self.is_repeatable(service);
        let job = move |control: &mut Control, reply: Reply<_>| {
            if let Some(journal) = journal_of(&call.program) {
                control.take_over_if_needed(&journal);
            }
            control.homes.begin(call, request_hash, is_repeatable, reply);
        };
        self.shared.control.request(job).await?
    }

    /// Returns an unused permit to the program.
    fn return_permit(&self, permit: Permit) {
        let program = self.call.program.clone();
        self.shared
            .control
            .submit(move |control| control.homes.cancel_before_send(&program, permit));
    }
}

async fn send_result(out: &AnswerSender, result: &StepResult) {
    let head = Chunk::Head { status: result.status, headers: result.headers.clone() };
    // A caller that has disconnected gets the recorded answer when it retries.
    let _ = out.send(Ok(head)).await;
    let body = result_body(result);
    if !body.is_empty() {
        let _ = out.send(Ok(Chunk::Body(body))).await;
    }
}

/// Returns a hash of a call's content. It identifies a request that crashes upstreams, and
/// distinguishes two requests under one step key.
fn fingerprint(work: &Work) -> u64 {
    let mut hasher = blake3::Hasher::new();
    // The delivery of the answer and the headers of service calls are not part of the content.
    let content = match work {
        Work::Turn(turn) => Work::Turn(Turn { is_streamed: false, ..turn.clone() }),
        Work::Service(call) => Work::Service(ServiceCall { headers: Vec::new(), ..call.clone() }),
    };
    if serde_json::to_writer(&mut hasher, &content).is_err() {
        log::error!("failed to hash a call");
    }
    let bytes = hasher.finalize();
    let (first, _) = bytes.as_bytes().split_at(8);
    first.iter().fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}
