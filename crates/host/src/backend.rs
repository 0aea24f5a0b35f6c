//! The entry: routes requests of callers to the home of the program, on this host or another.
//!
//! The entry keeps no durable state. While a home is being replaced, it retries for a bounded time.
//! Each request carries a step key, by which the home detects repeated requests.

use {
    crate::{call, control::home::Home, peers, shared::Shared, upstream::AnswerSender},
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    subtle::ConstantTimeEq,
    trefoilring_core::{
        call::{Call, Caller, CreateProgram, ProgramInfo, ProgramQuery, ServiceCall, Work},
        catalog::Budget,
        ids::{ClassId, JournalId, ProgramId, journal_of},
        message::Message,
        verdict::{Reason, Refusal, Verdict},
    },
    trefoilring_edge::{Answer, Backend, Readiness},
    trefoilring_proto::{CallHandle, ProgramRequest},
};

/// Timeout for a request between hosts, in addition to the wait that is part of the request.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before looking up a home again.
const LOOKUP_PAUSE: Duration = Duration::from_millis(100);
/// Maximum wait of a request for a new home, as a multiple of the lease duration. Covers a restart
/// of all hosts at once, after which it takes nine leases until a new delegate has settled and the
/// journals have homes again.
const TAKEOVER_LEASES: u32 = 12;
/// Chunks buffered for a slow caller before backpressure reaches the home's stream.
const ANSWER_CHUNKS: usize = 256;
/// Maximum number of consecutive failed polls for chunks that are retried. After one more, the home
/// counts as lost.
const MAX_POLL_FAILURES: u32 = 3;

/// The entry of this host, which serves its callers.
#[derive(Clone)]
pub(crate) struct EntryBackend {
    shared: Arc<Shared>,
}

impl EntryBackend {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Sends a request to the home of a journal, and retries while the home is being replaced.
    async fn send_to_home<T, F>(
        &self,
        journal: Option<JournalId>,
        attempt: impl Fn(Home) -> F,
    ) -> Result<T, Refusal>
    where
        F: Future<Output = Result<T, Refusal>>,
    {
        let max_wait = self.shared.settings.lease * TAKEOVER_LEASES;
        let deadline = Instant::now() + max_wait;
        let mut may_have_run = false;
        loop {
            let home = self.find_home(journal.clone()).await;
            let result = match home {
                Ok(home) => attempt(home).await,
                Err(refusal) => Err(refusal),
            };
            match result {
                Err(refusal) if is_retryable(&refusal) && Instant::now() < deadline => {
                    may_have_run |= refusal.verdict != Verdict::NotRun;
                    smol::Timer::after(LOOKUP_PAUSE).await;
                }
                // The last home refused the request, but an earlier one may have run it.
                Err(refusal) if may_have_run => return Err(with_unknown_outcome(refusal)),
                result => return result,
            }
        }
    }

    async fn find_home(&self, journal: Option<JournalId>) -> Result<Home, Refusal> {
        self.shared
            .control
            .request(move |control, reply| {
                let _ = reply.try_send(control.find_home(journal.as_ref()));
            })
            .await?
    }

    async fn route_program_request(
        &self,
        journal: Option<JournalId>,
        request: ProgramRequest,
    ) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
        let attempt = |home| {
            let (shared, request) = (self.shared.clone(), request.clone());
            async move {
                match home {
                    Home::Local => call::handle_program_request(&shared, request).await,
                    Home::Remote(address) => send_program_request(&shared, address, request).await,
                }
            }
        };
        self.send_to_home(journal, attempt).await
    }
}

/// Returns whether a request may be retried: its home can't be reached, or the contacted host is
/// not the home. Retrying is safe even if the first request may have arrived, because the home
/// detects a repeated step.
fn is_retryable(refusal: &Refusal) -> bool {
    refusal.reason == Reason::HomeUnavailable && refusal.verdict != Verdict::Ran
}

/// Changes the verdict to "may have run", unless the request certainly ran.
fn with_unknown_outcome(refusal: Refusal) -> Refusal {
    let verdict = match refusal.verdict {
        Verdict::Ran => Verdict::Ran,
        Verdict::NotRun | Verdict::MayHaveRun => Verdict::MayHaveRun,
    };
    Refusal { verdict, ..refusal }
}

/// Changes the verdict to "may have run" for a service call whose home was not reached or not
/// found. Only the home can tell whether an earlier request with the same step key has run. A call
/// that may not be repeated is therefore not reported as "not run", even if this request was not
/// run.
fn unknown_without_home(refusal: Refusal, call: &Call) -> Refusal {
    let is_turn = matches!(call.work, Work::Turn(_));
    let has_no_home = matches!(refusal.reason, Reason::HomeUnavailable | Reason::NotFound);
    match has_no_home && !is_turn {
        true => Refusal { verdict: Verdict::MayHaveRun, ..refusal },
        false => refusal,
    }
}

async fn send_program_request(
    shared: &Shared,
    address: SocketAddr,
    request: ProgramRequest,
) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
    let link = shared.peers.link(address);
    let send = |client: trefoilring_proto::PeerClient, context| async move {
        client.program(context, request).await
    };
    let reply = link.call(PEER_TIMEOUT, send).await;
    reply.map_err(|error| peers::refusal(&error, Verdict::MayHaveRun))?
}

async fn open_remote_call(
    shared: &Shared,
    address: SocketAddr,
    call: Call,
) -> Result<CallHandle, Refusal> {
    let link = shared.peers.link(address);
    let send = |client: trefoilring_proto::PeerClient, context| async move {
        client.open_call(context, call).await
    };
    let reply = link.call(PEER_TIMEOUT, send).await;
    reply.map_err(|error| peers::refusal(&error, Verdict::MayHaveRun))?
}

/// How forwarding the chunks of one attempt ended.
enum ForwardEnd {
    /// The answer is complete, was refused for good, or the caller has disconnected.
    Finished,
    /// The home was lost before the caller received anything.
    HomeLost(Refusal),
}

impl EntryBackend {
    /// Runs a call through its home until the answer has ended.
    async fn forward(self, call: Call, out: AnswerSender) {
        let journal = journal_of(&call.program);
        let attempt = |home| {
            let (entry, call, out) = (self.clone(), call.clone(), out.clone());
            async move {
                match entry.call_home(home, call, &out).await {
                    ForwardEnd::Finished => Ok(()),
                    ForwardEnd::HomeLost(refusal) => Err(refusal),
                }
            }
        };
        if let Err(refusal) = self.send_to_home(journal, attempt).await {
            let _ = out.send(Err(unknown_without_home(refusal, &call))).await;
        }
    }

    async fn call_home(&self, home: Home, call: Call, out: &AnswerSender) -> ForwardEnd {
        match home {
            Home::Local => self.forward_local(call, out).await,
            Home::Remote(address) => match open_remote_call(&self.shared, address, call).await {
                Ok(handle) => self.forward_remote(address, handle, out).await,
                Err(refusal) => ForwardEnd::HomeLost(refusal),
            },
        }
    }

    /// Forwards the chunks of a call that runs on this host.
    async fn forward_local(&self, call: Call, out: &AnswerSender) -> ForwardEnd {
        let answer = call::start_local_call(&self.shared, call);
        let mut is_started = false;
        while let Ok(chunk) = answer.recv().await {
            match chunk {
                Err(refusal) if !is_started && is_retryable(&refusal) => {
                    return ForwardEnd::HomeLost(refusal);
                }
                chunk => {
                    is_started = true;
                    if out.send(chunk).await.is_err() {
                        return ForwardEnd::Finished;
                    }
                }
            }
        }
        ForwardEnd::Finished
    }

    /// Fetches the chunks of a call from another host and forwards them.
    async fn forward_remote(
        &self,
        address: SocketAddr,
        handle: CallHandle,
        out: &AnswerSender,
    ) -> ForwardEnd {
        let link = self.shared.peers.link(address);
        let mut after = 0;
        let mut failures = 0;
        loop {
            let send = |client: trefoilring_proto::PeerClient, context| async move {
                client.next_chunks(context, handle, after).await
            };
            let reply = link.call(crate::relay::POLL_WAIT + PEER_TIMEOUT, send).await;
            let reply = reply.map_err(|error| peers::refusal(&error, Verdict::MayHaveRun));
            let batch = match reply {
                Ok(Ok(batch)) => batch,
                Err(_) if failures < MAX_POLL_FAILURES => {
                    failures += 1;
                    smol::Timer::after(LOOKUP_PAUSE).await;
                    continue;
                }
                // The home had already started the call, so its outcome is unknown.
                Ok(Err(refusal)) | Err(refusal) if after == 0 => {
                    return ForwardEnd::HomeLost(with_unknown_outcome(refusal));
                }
                Ok(Err(refusal)) | Err(refusal) => {
                    let _ = out.send(Err(with_unknown_outcome(refusal))).await;
                    return ForwardEnd::Finished;
                }
            };
            failures = 0;
            after = batch.first + batch.chunks.len() as u64;
            for chunk in batch.chunks {
                if out.send(Ok(chunk)).await.is_err() {
                    close_remote_call(&self.shared, address, handle);
                    return ForwardEnd::Finished;
                }
            }
            match batch.end {
                None => continue,
                Some(Err(refusal)) if after == 0 && is_retryable(&refusal) => {
                    close_remote_call(&self.shared, address, handle);
                    return ForwardEnd::HomeLost(refusal);
                }
                Some(Err(refusal)) => {
                    let _ = out.send(Err(refusal)).await;
                }
                Some(Ok(())) => (),
            }
            close_remote_call(&self.shared, address, handle);
            return ForwardEnd::Finished;
        }
    }
}

fn close_remote_call(shared: &Arc<Shared>, address: SocketAddr, handle: CallHandle) {
    let link = shared.peers.link(address);
    shared.spawn(async move {
        let send = |client: trefoilring_proto::PeerClient, context| async move {
            client.close_call(context, handle).await
        };
        // If the close is lost, the sweep removes the relay as abandoned.
        let _ = link.call(PEER_TIMEOUT, send).await;
    });
}

impl Backend for EntryBackend {
    fn authenticate(&self, secret: &str) -> Result<Caller, Refusal> {
        if !self.shared.has_fresh_keys.load(Ordering::Acquire) {
            let detail = "this host can't confirm keys at present";
            return Err(Refusal::not_run(Reason::Unauthorized, detail)
                .retry_after(self.shared.settings.heartbeat));
        }
        let catalog = self.shared.catalog();
        let hash = blake3::hash(secret.as_bytes()).to_hex();
        let unknown = || Refusal::not_run(Reason::Unauthorized, "unknown or withdrawn key");
        // The map lookup is not constant-time, but it compares hashes, whose order reveals nothing
        // about the secret.
        let (stored_hash, key) = catalog.keys.get_key_value(hash.as_str()).ok_or_else(unknown)?;
        let is_equal = bool::from(stored_hash.as_bytes().ct_eq(hash.as_bytes()));
        if !is_equal || key.is_withdrawn || !catalog.teams.contains_key(&key.team) {
            return Err(unknown());
        }
        Ok(Caller { team: key.team.clone(), key: key.id.clone() })
    }

    fn default_class(&self, caller: &Caller) -> Result<ClassId, Refusal> {
        let catalog = self.shared.catalog();
        let allowed = catalog.teams.get(&caller.team).and_then(|team| team.classes.first());
        let first = allowed.or_else(|| catalog.classes.keys().next());
        first.cloned().ok_or_else(|| Refusal::not_run(Reason::NotFound, "no class is declared"))
    }

    fn class_budget(&self, class: &ClassId) -> Option<Budget> {
        self.shared.catalog().classes.get(class).map(|class| class.budget)
    }

    async fn wait_for_key_withdrawal(&self, caller: &Caller) {
        let is_valid = || self.shared.has_valid_key(caller);
        self.shared.withdrawals.wait(&caller.key, is_valid).await;
    }

    fn is_open_route(&self, service: &str, method: &str, path: &str) -> bool {
        let catalog = self.shared.catalog();
        catalog.services.get(service).is_some_and(|service| service.is_open(method, path))
    }

    async fn create(&self, caller: Caller, request: CreateProgram) -> Result<ProgramInfo, Refusal> {
        let journal = match &request.parent {
            Some(parent) => Some(journal_of(parent).ok_or_else(|| no_program(parent))?),
            None => None,
        };
        let request = ProgramRequest::Create { caller, request, journal: journal.clone() };
        Ok(self.route_program_request(journal, request).await?.0)
    }

    async fn query(
        &self,
        caller: Caller,
        program: ProgramId,
        query: ProgramQuery,
    ) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
        let journal = journal_of(&program).ok_or_else(|| no_program(&program))?;
        self.route_program_request(Some(journal), ProgramRequest::Query { caller, program, query })
            .await
    }

    async fn call(&self, call: Call) -> Result<Answer, Refusal> {
        journal_of(&call.program).ok_or_else(|| no_program(&call.program))?;
        let (out, answer) = smol::channel::bounded(ANSWER_CHUNKS);
        self.shared.spawn(self.clone().forward(call, out));
        Ok(answer)
    }

    async fn open_call(&self, call: ServiceCall) -> Result<Answer, Refusal> {
        let (out, answer) = smol::channel::bounded(ANSWER_CHUNKS);
        let shared = self.shared.clone();
        self.shared.spawn(async move { call::run_open_call(&shared, call, &out).await });
        Ok(answer)
    }

    fn readiness(&self) -> Readiness {
        let is_draining = self.shared.is_draining.load(Ordering::Acquire);
        let detail = match (is_draining, self.shared.lease.holds()) {
            (true, _) => "draining",
            (false, false) => "no lease",
            (false, true) if !self.shared.has_fresh_keys.load(Ordering::Acquire) => "no fresh keys",
            (false, true) => "ready",
        };
        Readiness { is_ready: detail == "ready", detail: detail.into() }
    }

    fn metrics(&self) -> String {
        self.shared.metrics.text()
    }
}

fn no_program(program: &str) -> Refusal {
    Refusal::not_run(Reason::NotFound, format!("no program {program:?}"))
}
