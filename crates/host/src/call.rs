//! Calls at the home: tokens, slot, intent, lease, upstream, record, answer.
//!
//! The order is what keeps the promises. Nothing is durable before tokens and slot are had, so that
//! a refusal leaves nothing behind. The lease is checked after the intent is durable and right
//! before the call is sent. The end is durable before the caller sees it.

use {
    crate::{
        allowance,
        control::{
            Control, Reply,
            home::{Begun, Home, not_here},
        },
        observe::events::About,
        peers,
        shared::Shared,
        upstream::{
            Out, Run as UpstreamRun, TextGate, TurnEnd, event_stream_head, result_body,
            run_service, run_turn, step_result,
        },
    },
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        call::{Call, Chunk, ProgramInfo, ServiceCall, Turn, Work},
        catalog::Service,
        event::Kind,
        ids::{Epoch, ServiceId, UpstreamId, journal_of},
        journal::StepResult,
        message::Message,
        program::{Cleared, Permit, Run, Sent},
        sched::{Outcome, SlotGrant, SlotRelease, SlotRequest},
        verdict::{Reason, Refusal, Verdict},
    },
    trefoilring_edge::Answer,
    trefoilring_platform::ChatRequest,
    trefoilring_proto::{PeerClient, ProgramRequest},
};

/// Chunks that may wait for a slow caller before the upstream's stream is held up.
const ANSWER_CHUNKS: usize = 256;
/// The longest that a call waits for a slot.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(120);
/// How long the messages around a slot may take, beyond the wait.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts at upstreams for one call. Each after the first must be safe by its verdict.
const MAX_ATTEMPTS: u32 = 4;
/// Attempts to get a slot while the dispatcher is being replaced.
const MAX_SLOT_ATTEMPTS: u32 = 20;
/// Pause before the dispatcher is looked up again.
const LOOKUP_PAUSE: Duration = Duration::from_millis(100);

/// Answers a question about a program whose home this host may be.
pub(crate) async fn program_here(
    shared: &Arc<Shared>,
    request: ProgramRequest,
) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
    if !shared.lease.holds() {
        return Err(not_here());
    }
    // A creation is written to the store, so it counts against the team's allowance as a call does.
    if let ProgramRequest::Create { caller, .. } = &request {
        allowance::take(shared, &caller.team).await?;
    }
    let job = move |control: &mut Control, reply: Reply<_>| match request {
        ProgramRequest::Create { caller, request, journal } => {
            if let Some(journal) = &journal {
                control.wanted(journal);
            }
            control.homes.create(&caller, &request, journal, reply);
        }
        ProgramRequest::Query { caller, program, query } => {
            if let Some(journal) = journal_of(&program) {
                control.wanted(&journal);
            }
            control.homes.query(&caller, &program, &query, reply);
        }
    };
    shared.control.ask(job).await?
}

/// Starts a call whose home this host may be.
pub(crate) fn start_here(shared: &Arc<Shared>, call: Call) -> Answer {
    let (out, answer) = smol::channel::bounded(ANSWER_CHUNKS);
    let shared = shared.clone();
    let owned = shared.clone();
    shared.running_calls.fetch_add(1, Ordering::AcqRel);
    shared.spawn(async move {
        let home = HomeCall { shared: owned, call };
        if let Err(refusal) = home.run(&out).await {
            home.note_refused(&refusal);
            let _ = out.send(Err(refusal)).await;
        }
        home.shared.running_calls.fetch_sub(1, Ordering::AcqRel);
    });
    answer
}

/// Waits for a slot of a pool whose dispatcher this host is.
pub(crate) async fn slot_here(
    shared: &Arc<Shared>,
    request: SlotRequest,
) -> Result<SlotGrant, Refusal> {
    let job = move |control: &mut Control, reply: Reply<_>| {
        control.dispatchers.request(Instant::now(), request, reply);
    };
    shared.control.ask(job).await?
}

/// Calls an open route: no program, no key, no team, and at most once.
pub(crate) async fn run_open(shared: &Arc<Shared>, call: ServiceCall, out: &Out) {
    let result = try_open(shared, call).await;
    match result {
        Ok(result) => send_result(out, &result).await,
        Err(refusal) => {
            let _ = out.send(Err(refusal)).await;
        }
    }
}

async fn try_open(shared: &Arc<Shared>, call: ServiceCall) -> Result<StepResult, Refusal> {
    let service = service_of(shared, &call.service)?;
    let request: trefoilring_core::ids::RequestId =
        format!("open-{}", shared.events.stamp()).into();
    let slot = SlotRequest {
        request: request.clone(),
        home: shared.member.host.clone(),
        service: call.service.clone(),
        model: None,
        program: request,
        class: "open".into(),
        team: "open".into(),
        program_age: Duration::ZERO,
        target: service.deadline(),
        calls_done: 0,
        prompt_tokens: 0,
        completion_tokens: 0,
        last_upstream: None,
        fingerprint: fingerprint(&Work::Service(call.clone())),
        is_repeatable: service.is_repeatable(&call.method, &call.path),
        patience: MAX_SLOT_WAIT,
    };
    let grant = acquire(shared, slot).await?;
    let address = parse_address(&grant)?;
    let run = run_service(address, &call, None, None, service.deadline()).await;
    release(shared, &call.service, &grant, run.outcome);
    run.result.map_err(Refusal::from)
}

/// One call at its home.
struct HomeCall {
    shared: Arc<Shared>,
    call: Call,
}

/// What all attempts of one call have in common.
struct Prepared {
    service: (ServiceId, Service),
    slot: SlotRequest,
    deadline: Instant,
    epoch: Epoch,
}

impl Prepared {
    /// The epoch, for upstreams that check it.
    fn fencing_epoch(&self) -> Option<Epoch> {
        self.service.1.checks_fencing.then_some(self.epoch)
    }
}

/// What an attempt at an upstream came to.
enum Attempt<T> {
    Done(T, Sent, UpstreamId),
    /// Not run for certain, or safe to repeat: try again with a new slot.
    Again(Cleared, Refusal),
    Failed(Refusal),
}

impl HomeCall {
    async fn run(&self, out: &Out) -> Result<(), Refusal> {
        self.note(Kind::CallReceived, |about| about);
        let service = self.service()?;
        let (run, epoch) = match self.begin(&service.1).await? {
            Begun::Run(run, epoch) => (run, epoch),
            Begun::Replay(result) => {
                self.replay(out, &result).await;
                return Ok(());
            }
        };
        let deadline = Instant::now() + service.1.deadline().min(run.wall_left);
        let slot = self.slot_request(&service, &run);
        let job = Prepared { service, slot, deadline, epoch };
        let Run { permit, messages, completion_tokens, .. } = *run;
        if let Err(refusal) = allowance::take(&self.shared, &self.call.caller.team).await {
            self.give_back(permit);
            return Err(refusal);
        }
        match &self.call.work {
            Work::Turn(turn) => {
                let request = self.chat_request(turn, &messages, completion_tokens, &job);
                self.run_turn(turn, request, &job, permit, out).await
            }
            Work::Service(call) => self.run_service(call, &job, permit, out).await,
        }
    }

    /// The service that the call goes to: by name, or by the model.
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
            let what = match &self.call.work {
                Work::Turn(turn) => format!("no service has the model {:?}", turn.model),
                Work::Service(call) => format!("no service {:?}", call.service),
            };
            Refusal::not_run(Reason::NotFound, what)
        })
    }

    /// Turns may be repeated; other calls only as declared.
    fn is_repeatable(&self, service: &Service) -> bool {
        match &self.call.work {
            Work::Turn(_) => true,
            Work::Service(call) => service.is_repeatable(&call.method, &call.path),
        }
    }

    async fn begin(&self, service: &Service) -> Result<Begun, Refusal> {
        if !self.shared.lease.holds() {
            return Err(not_here());
        }
        let call = self.call.clone();
        let hash = fingerprint(&call.work);
        let is_repeatable = self.is_repeatable(service);
        let job = move |control: &mut Control, reply: Reply<_>| {
            if let Some(journal) = journal_of(&call.program) {
                control.wanted(&journal);
            }
            control.homes.begin(call, hash, is_repeatable, reply);
        };
        self.shared.control.ask(job).await?
    }

    /// Takes a permit back that is not used.
    fn give_back(&self, permit: Permit) {
        let program = self.call.program.clone();
        self.shared.control.tell(move |control| control.homes.withdraw(&program, permit));
    }

    fn slot_request(&self, service: &(ServiceId, Service), run: &Run) -> SlotRequest {
        let model = match &self.call.work {
            Work::Turn(turn) => Some(turn.model.clone()),
            Work::Service(_) => None,
        };
        let catalog = self.shared.catalog();
        let target = catalog.classes.get(&run.class).map(|class| class.target());
        SlotRequest {
            request: self.call.request.clone(),
            home: self.shared.member.host.clone(),
            service: service.0.clone(),
            model,
            program: self.call.program.clone(),
            class: run.class.clone(),
            team: run.team.clone(),
            program_age: run.program_age,
            target: target.unwrap_or(MAX_SLOT_WAIT),
            calls_done: run.calls_done,
            prompt_tokens: run.prompt_tokens,
            completion_tokens: run.completion_tokens,
            last_upstream: run.last_upstream.clone(),
            fingerprint: fingerprint(&self.call.work),
            is_repeatable: self.is_repeatable(&service.1),
            patience: MAX_SLOT_WAIT,
        }
    }

    async fn slot(&self, job: &Prepared) -> Result<SlotGrant, Refusal> {
        let left = job.deadline.saturating_duration_since(Instant::now());
        let request = SlotRequest { patience: left.min(MAX_SLOT_WAIT), ..job.slot.clone() };
        self.note(Kind::CallQueued, |about| about.with("service", &*job.service.0));
        acquire(&self.shared, request).await
    }

    /// The last check before an effect: the lease on the monotonic clock, then the key.
    fn check_before_sending(&self) -> Result<(), Refusal> {
        if !self.shared.lease.holds() {
            return Err(not_here());
        }
        let catalog = self.shared.catalog();
        let key = catalog.keys.values().find(|key| key.id == self.call.caller.key);
        match key.is_some_and(|key| !key.is_withdrawn) {
            true => Ok(()),
            false => Err(Refusal::not_run(Reason::Unauthorized, "the key was withdrawn")),
        }
    }

    /// Makes the intent durable, where one is needed, and notes that the call is sent.
    async fn note_sent(&self, permit: Permit, upstream: &UpstreamId) -> Result<Sent, Refusal> {
        let (program, upstream) = (self.call.program.clone(), upstream.clone());
        let job = move |control: &mut Control, reply: Reply<_>| {
            control.homes.send(&program, permit, upstream, reply);
        };
        self.shared.control.ask(job).await?
    }

    /// Gets a slot and sends the call, once.
    async fn attempt<T>(
        &self,
        job: &Prepared,
        permit: Permit,
        send: impl AsyncFnOnce(SocketAddr) -> UpstreamRun<T>,
    ) -> Attempt<T> {
        let service = &job.service.0;
        let grant = match self.slot(job).await {
            Ok(grant) => grant,
            Err(refusal) => {
                self.give_back(permit);
                return Attempt::Failed(refusal);
            }
        };
        let unused = |refusal| {
            release(&self.shared, service, &grant, Outcome::Unused);
            Attempt::Failed(refusal)
        };
        let address = match parse_address(&grant) {
            Ok(address) => address,
            Err(refusal) => {
                self.give_back(permit);
                return unused(refusal);
            }
        };
        let sent = match self.note_sent(permit, &grant.upstream).await {
            Ok(sent) => sent,
            Err(refusal) => return unused(refusal),
        };
        // The lease is checked after the last wait that comes before the effect.
        if let Err(refusal) = self.check_before_sending() {
            self.fail(sent, Verdict::NotRun);
            return unused(refusal);
        }
        self.note(Kind::CallSent, |about| {
            let waited_ms = grant.waited.as_millis() as u64;
            about.upstream(&grant.upstream).with("queued_ms", waited_ms)
        });
        let ran = send(address).await;
        self.note_outcome(&grant.upstream, &ran.outcome);
        release(&self.shared, service, &grant, ran.outcome);
        match ran.result {
            Ok(end) => Attempt::Done(end, sent, grant.upstream),
            Err(error) => self.failed_attempt(sent, Refusal::from(error)).await,
        }
    }

    async fn failed_attempt<T>(&self, sent: Sent, refusal: Refusal) -> Attempt<T> {
        let (program, verdict) = (self.call.program.clone(), refusal.verdict);
        let job = move |control: &mut Control, reply: Reply<_>| {
            let _ = reply.try_send(control.homes.retry(&program, sent, verdict));
        };
        match self.shared.control.ask(job).await {
            Ok(Some(Ok(cleared))) => Attempt::Again(cleared, refusal),
            Ok(Some(Err(sent))) => {
                self.fail(sent, verdict);
                Attempt::Failed(refusal)
            }
            _ => Attempt::Failed(Refusal { verdict: Verdict::MayHaveRun, ..not_here() }),
        }
    }

    fn fail(&self, sent: Sent, verdict: Verdict) {
        let program = self.call.program.clone();
        let job = move |control: &mut Control| control.homes.failed(&program, sent, verdict);
        self.shared.control.tell(job);
    }

    async fn run_turn(
        &self,
        turn: &Turn,
        request: ChatRequest,
        job: &Prepared,
        mut permit: Permit,
        out: &Out,
    ) -> Result<(), Refusal> {
        let mut gate = turn.is_streamed.then(TextGate::default);
        for attempt in 1.. {
            let send = async |address| run_turn(address, request.clone(), out, gate.as_mut()).await;
            match self.attempt(job, permit, send).await {
                Attempt::Done(end, sent, upstream) => {
                    return self.end_turn(end, sent, upstream, gate.as_ref(), out).await;
                }
                Attempt::Again(cleared, refusal) => {
                    let can_go_on = gate.as_mut().is_none_or(TextGate::rewind);
                    if attempt == MAX_ATTEMPTS || !can_go_on || Instant::now() >= job.deadline {
                        self.give_back(Permit::Now(cleared));
                        return Err(refusal);
                    }
                    self.note_retry(&refusal);
                    permit = Permit::Now(cleared);
                }
                Attempt::Failed(refusal) => return Err(refusal),
            }
        }
        Err(Refusal::not_run(Reason::Internal, "no attempt was made"))
    }

    fn chat_request(
        &self,
        turn: &Turn,
        messages: &[Arc<Message>],
        completion_tokens: u64,
        job: &Prepared,
    ) -> ChatRequest {
        let mut options = turn.options.clone();
        options.remove("max_completion_tokens");
        options.insert("max_tokens".into(), completion_tokens.into());
        ChatRequest {
            program: self.call.program.clone(),
            model: turn.model.clone(),
            messages: messages.iter().map(|message| Message::clone(message)).collect(),
            options,
            resume_id: Some(self.call.request.to_string()),
            fencing_epoch: job.fencing_epoch(),
            deadline: job.deadline,
        }
    }

    /// Records the end of a turn, then gives the caller the rest of the answer.
    async fn end_turn(
        &self,
        end: TurnEnd,
        sent: Sent,
        upstream: UpstreamId,
        gate: Option<&TextGate>,
        out: &Out,
    ) -> Result<(), Refusal> {
        let headers = vec![("content-type".to_string(), "application/json".to_string())];
        let body = end.completion.to_string().into_bytes();
        let result = step_result(200, headers, body);
        let (program, recorded) = (self.call.program.clone(), result.clone());
        let answer = (end.message, end.usage, upstream);
        let job = move |control: &mut Control, reply: Reply<_>| {
            control.homes.turn_ended(&program, sent, answer, recorded, reply);
        };
        self.shared.control.ask(job).await??;
        self.note(Kind::CallRecorded, |about| about);
        match gate {
            None => send_result(out, &result).await,
            Some(gate) => {
                if !gate.is_started() {
                    let _ = out.send(Ok(event_stream_head())).await;
                }
                for json in end.held {
                    let _ = out.send(Ok(Chunk::Event(json))).await;
                }
            }
        }
        Ok(())
    }

    async fn run_service(
        &self,
        call: &ServiceCall,
        job: &Prepared,
        mut permit: Permit,
        out: &Out,
    ) -> Result<(), Refusal> {
        let key = format!("{}/{}", self.call.program, self.call.step);
        for attempt in 1.. {
            let left = job.deadline.saturating_duration_since(Instant::now());
            let send = async |address| {
                run_service(address, call, Some(key.clone()), job.fencing_epoch(), left).await
            };
            match self.attempt(job, permit, send).await {
                Attempt::Done(result, sent, _) => return self.end_call(result, sent, out).await,
                Attempt::Again(cleared, refusal) => {
                    if attempt == MAX_ATTEMPTS || Instant::now() >= job.deadline {
                        let program = self.call.program.clone();
                        let back = move |control: &mut Control| {
                            control.homes.not_run(&program, cleared);
                        };
                        self.shared.control.tell(back);
                        return Err(refusal);
                    }
                    self.note_retry(&refusal);
                    permit = Permit::Now(cleared);
                }
                Attempt::Failed(refusal) => return Err(refusal),
            }
        }
        Err(Refusal::not_run(Reason::Internal, "no attempt was made"))
    }

    async fn end_call(&self, result: StepResult, sent: Sent, out: &Out) -> Result<(), Refusal> {
        let (program, recorded) = (self.call.program.clone(), result.clone());
        let job = move |control: &mut Control, reply: Reply<_>| {
            control.homes.call_ended(&program, sent, recorded, reply);
        };
        self.shared.control.ask(job).await??;
        self.note(Kind::CallRecorded, |about| about);
        send_result(out, &result).await;
        Ok(())
    }

    /// Gives the recorded answer of a finished step, in the form that is asked for now.
    async fn replay(&self, out: &Out, result: &StepResult) {
        let is_streamed = matches!(&self.call.work, Work::Turn(turn) if turn.is_streamed);
        let event = is_streamed.then(|| replayed_event(&result.text)).flatten();
        match event {
            None => send_result(out, result).await,
            Some(event) => {
                let _ = out.send(Ok(event_stream_head())).await;
                let _ = out.send(Ok(Chunk::Event(event))).await;
            }
        }
    }

    fn note(&self, kind: Kind, more: impl FnOnce(About) -> About) {
        self.shared.events.note(kind, more(About::call(&self.call)));
    }

    fn note_refused(&self, refusal: &Refusal) {
        let reason = refusal.reason;
        self.shared.metrics.count(&format!("refused.{reason}"), 1);
        self.note(Kind::CallRefused, |about| {
            about
                .with("reason", reason.to_string())
                .with("verdict", refusal.verdict.to_string())
                .with("detail", refusal.detail.as_str())
        });
    }

    fn note_retry(&self, refusal: &Refusal) {
        self.note(Kind::CallRetried, |about| about.with("reason", refusal.reason.to_string()));
    }

    fn note_outcome(&self, upstream: &UpstreamId, outcome: &Outcome) {
        self.note(Kind::CallEnded, |about| {
            let about = about.upstream(upstream);
            match outcome {
                Outcome::Done { first_byte, total, usage } => {
                    let about = about
                        .with("first_byte_ms", first_byte.as_millis() as u64)
                        .with("total_ms", total.as_millis() as u64);
                    match usage {
                        None => about,
                        Some(usage) => about
                            .with("prompt_tokens", usage.prompt_tokens)
                            .with("cached_tokens", usage.cached_tokens)
                            .with("completion_tokens", usage.completion_tokens),
                    }
                }
                other => about.with("outcome", format!("{other:?}").to_lowercase()),
            }
        });
    }
}

/// One event with the whole answer, for a repeat of a streamed turn.
fn replayed_event(completion: &str) -> Option<String> {
    let mut value: serde_json::Value = serde_json::from_str(completion).ok()?;
    value["object"] = "chat.completion.chunk".into();
    for choice in value["choices"].as_array_mut()? {
        let message = choice["message"].take();
        choice["delta"] = message;
        choice.as_object_mut()?.remove("message");
    }
    Some(value.to_string())
}

async fn send_result(out: &Out, result: &StepResult) {
    let head = Chunk::Head { status: result.status, headers: result.headers.clone() };
    // A caller that is gone finds the recorded answer when it asks again.
    let _ = out.send(Ok(head)).await;
    let body = result_body(result);
    if !body.is_empty() {
        let _ = out.send(Ok(Chunk::Body(body))).await;
    }
}

fn service_of(shared: &Shared, service: &ServiceId) -> Result<Service, Refusal> {
    let catalog = shared.catalog();
    let found = catalog.services.get(service).cloned();
    found.ok_or_else(|| Refusal::not_run(Reason::NotFound, format!("no service {service:?}")))
}

/// Hash of a call's content: names a request that crashes upstreams, and tells two requests under
/// one step key apart.
fn fingerprint(work: &Work) -> u64 {
    let mut hasher = blake3::Hasher::new();
    // How the answer is delivered is no part of the content.
    let content = match work {
        Work::Turn(turn) => Work::Turn(Turn { is_streamed: false, ..turn.clone() }),
        Work::Service(call) => Work::Service(ServiceCall { headers: Vec::new(), ..call.clone() }),
    };
    if serde_json::to_writer(&mut hasher, &content).is_err() {
        log::error!("a call could not be hashed");
    }
    let bytes = hasher.finalize();
    let (first, _) = bytes.as_bytes().split_at(8);
    first.iter().fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

fn parse_address(grant: &SlotGrant) -> Result<SocketAddr, Refusal> {
    grant.address.parse().map_err(|_| {
        let detail = format!("upstream {} has the address {:?}", grant.upstream, grant.address);
        Refusal::not_run(Reason::NoUpstream, detail)
    })
}

/// Gets a slot from the pool's dispatcher, wherever it is. Asking again is safe: a slot that was
/// granted and lost runs out at the dispatcher.
async fn acquire(shared: &Arc<Shared>, request: SlotRequest) -> Result<SlotGrant, Refusal> {
    let mut last = not_here();
    for _ in 0..MAX_SLOT_ATTEMPTS {
        match ask_dispatcher(shared, request.clone()).await {
            Ok(Asked::Here(Err(refusal))) if refusal.reason == Reason::HomeUnavailable => {
                last = refusal;
            }
            Ok(Asked::Here(result)) => return result,
            Ok(Asked::At(address)) => match acquire_at(shared, address, request.clone()).await {
                Err(refusal) if refusal.reason == Reason::HomeUnavailable => {
                    shared.control.tell(move |control| control.peer_lost(address));
                    last = refusal;
                }
                result => return result,
            },
            Err(refusal) => last = refusal,
        }
        smol::Timer::after(LOOKUP_PAUSE).await;
    }
    // A slot is no effect: whatever became of the question, the call itself was not sent.
    Err(Refusal { verdict: Verdict::NotRun, ..last })
}

/// What came of asking for a slot here.
enum Asked {
    /// This host is the pool's dispatcher, and this is its answer.
    Here(Result<SlotGrant, Refusal>),
    /// Another host is.
    At(SocketAddr),
}

/// Asks the dispatcher if it is here, in one job of the control thread.
async fn ask_dispatcher(shared: &Arc<Shared>, request: SlotRequest) -> Result<Asked, Refusal> {
    let (grant, granted) = smol::channel::bounded(1);
    let job = move |control: &mut Control, reply: Reply<_>| {
        let found = control.find_dispatcher(&request.service);
        if found == Ok(Home::Here) {
            control.dispatchers.request(Instant::now(), request, grant);
        }
        let _ = reply.try_send(found);
    };
    match shared.control.ask(job).await?? {
        Home::At(address) => Ok(Asked::At(address)),
        Home::Here => match granted.recv().await {
            Ok(result) => Ok(Asked::Here(result)),
            // The pool went to another dispatcher while the request waited.
            Err(_) => Ok(Asked::Here(Err(not_here()))),
        },
    }
}

async fn find_dispatcher(shared: &Arc<Shared>, service: &ServiceId) -> Result<Home, Refusal> {
    let service = service.clone();
    let find = move |control: &mut Control, reply: Reply<_>| {
        let _ = reply.try_send(control.find_dispatcher(&service));
    };
    shared.control.ask(find).await?
}

async fn acquire_at(
    shared: &Shared,
    address: SocketAddr,
    request: SlotRequest,
) -> Result<SlotGrant, Refusal> {
    let patience = request.patience;
    let link = shared.peers.link(address);
    let ask =
        |client: PeerClient, context| async move { client.acquire_slot(context, request).await };
    let reply = link.call(patience + PEER_TIMEOUT, ask).await;
    reply.map_err(|error| peers::refusal(&error, Verdict::NotRun))?
}

/// Gives a slot back, in the background. A lost release is made up for by the slot's age.
fn release(shared: &Arc<Shared>, service: &ServiceId, grant: &SlotGrant, outcome: Outcome) {
    let release = SlotRelease { service: service.clone(), ticket: grant.ticket, outcome };
    let owned = shared.clone();
    shared.spawn(async move {
        match find_dispatcher(&owned, &release.service).await {
            Ok(Home::Here) => owned.control.tell(move |control| {
                control.dispatchers.release(Instant::now(), release);
            }),
            Ok(Home::At(address)) => {
                let link = owned.peers.link(address);
                let ask = |client: PeerClient, context| async move {
                    client.release_slot(context, release).await
                };
                if let Err(error) = link.call(PEER_TIMEOUT, ask).await {
                    log::debug!("release: {error}");
                }
            }
            Err(refusal) => log::debug!("release: {refusal}"),
        }
    });
}
