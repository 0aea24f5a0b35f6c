//! The entry: what callers ask goes to the home of the program, on this host or another.
//!
//! The entry keeps nothing that must last. While a home is being replaced it asks again for a
//! bounded time; each question names the step, so that the home knows a repeat.

use {
    crate::{call, control::home::Home, peers, shared::Shared, upstream::Out},
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

/// How long a question between hosts may take, beyond the wait that is part of it.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a home is looked up again.
const LOOKUP_PAUSE: Duration = Duration::from_millis(100);
/// Leases that a request waits for a new home: the old lease with its margin, a delegate's takeover,
/// the journal's takeover, and room for retries.
const TAKEOVER_LEASES: u32 = 6;
/// Chunks that may wait for a slow caller before the home's stream is held up.
const ANSWER_CHUNKS: usize = 256;
/// Failed questions for chunks in a row after which the home counts as lost.
const MAX_POLL_FAILURES: u32 = 3;

/// The entry of one host.
#[derive(Clone)]
pub(crate) struct Entry {
    shared: Arc<Shared>,
}

impl Entry {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Asks the home of a journal, again while it is being replaced.
    async fn at_home<T, F>(
        &self,
        journal: Option<JournalId>,
        ask: impl Fn(Home) -> F,
    ) -> Result<T, Refusal>
    where
        F: Future<Output = Result<T, Refusal>>,
    {
        let patience = self.shared.settings.lease * TAKEOVER_LEASES;
        let give_up = Instant::now() + patience;
        let mut may_have_run = false;
        loop {
            let home = self.find_home(journal.clone()).await;
            let result = match home {
                Ok(home) => ask(home).await,
                Err(refusal) => Err(refusal),
            };
            match result {
                Err(refusal) if may_ask_again(&refusal) && Instant::now() < give_up => {
                    may_have_run |= refusal.verdict != Verdict::NotRun;
                    smol::Timer::after(LOOKUP_PAUSE).await;
                }
                // What the last home refused, an earlier one may have run.
                Err(refusal) if may_have_run => return Err(unless_ran(refusal)),
                result => return result,
            }
        }
    }

    async fn find_home(&self, journal: Option<JournalId>) -> Result<Home, Refusal> {
        self.shared
            .control
            .ask(move |control, reply| {
                let _ = reply.try_send(control.find_home(journal.as_ref()));
            })
            .await?
    }

    async fn program(
        &self,
        journal: Option<JournalId>,
        request: ProgramRequest,
    ) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
        let ask = |home| {
            let (shared, request) = (self.shared.clone(), request.clone());
            async move {
                match home {
                    Home::Here => call::program_here(&shared, request).await,
                    Home::At(address) => program_at(&shared, address, request).await,
                }
            }
        };
        self.at_home(journal, ask).await
    }
}

/// A home that can't be reached, or says that it isn't the home, leaves the question open. The home
/// knows a repeated step, so asking again is safe even where the first question may have arrived.
fn may_ask_again(refusal: &Refusal) -> bool {
    refusal.reason == Reason::HomeUnavailable && refusal.verdict != Verdict::Ran
}

/// The refusal of a question of which no more is known than that it may have been answered.
fn unless_ran(refusal: Refusal) -> Refusal {
    let verdict = match refusal.verdict {
        Verdict::Ran => Verdict::Ran,
        Verdict::NotRun | Verdict::MayHaveRun => Verdict::MayHaveRun,
    };
    Refusal { verdict, ..refusal }
}

/// Without its home nobody knows whether an earlier request with the same step key has run, so a
/// call that may not be repeated is not said to be "not run", even though this request was not.
fn honest(refusal: Refusal, call: &Call) -> Refusal {
    let is_turn = matches!(call.work, Work::Turn(_));
    let has_no_home = matches!(refusal.reason, Reason::HomeUnavailable | Reason::NotFound);
    match has_no_home && !is_turn {
        true => Refusal { verdict: Verdict::MayHaveRun, ..refusal },
        false => refusal,
    }
}

async fn program_at(
    shared: &Shared,
    address: SocketAddr,
    request: ProgramRequest,
) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
    let link = shared.peers.link(address);
    let ask = |client: trefoilring_proto::PeerClient, context| async move {
        client.program(context, request).await
    };
    let reply = link.call(PEER_TIMEOUT, ask).await;
    reply.map_err(|error| peers::refusal(&error, Verdict::MayHaveRun))?
}

async fn open_at(shared: &Shared, address: SocketAddr, call: Call) -> Result<CallHandle, Refusal> {
    let link = shared.peers.link(address);
    let ask = |client: trefoilring_proto::PeerClient, context| async move {
        client.open_call(context, call).await
    };
    let reply = link.call(PEER_TIMEOUT, ask).await;
    reply.map_err(|error| peers::refusal(&error, Verdict::MayHaveRun))?
}

/// How the chunks of one attempt ended.
enum Pumped {
    /// The answer is whole, was refused for good, or the caller is gone.
    Finished,
    /// The home was lost before the caller got anything.
    HomeLost(Refusal),
}

impl Entry {
    /// Runs a call through its home until the answer has ended.
    async fn relay(self, call: Call, out: Out) {
        let journal = journal_of(&call.program);
        let attempt = |home| {
            let (entry, call, out) = (self.clone(), call.clone(), out.clone());
            async move {
                match entry.attempt(home, call, &out).await {
                    Pumped::Finished => Ok(()),
                    Pumped::HomeLost(refusal) => Err(refusal),
                }
            }
        };
        if let Err(refusal) = self.at_home(journal, attempt).await {
            let _ = out.send(Err(honest(refusal, &call))).await;
        }
    }

    async fn attempt(&self, home: Home, call: Call, out: &Out) -> Pumped {
        match home {
            Home::Here => self.pump_here(call, out).await,
            Home::At(address) => match open_at(&self.shared, address, call).await {
                Ok(handle) => self.pump(address, handle, out).await,
                Err(refusal) => Pumped::HomeLost(refusal),
            },
        }
    }

    /// Passes on the chunks of a call that runs on this host.
    async fn pump_here(&self, call: Call, out: &Out) -> Pumped {
        let answer = call::start_here(&self.shared, call);
        let mut is_started = false;
        while let Ok(chunk) = answer.recv().await {
            match chunk {
                Err(refusal) if !is_started && may_ask_again(&refusal) => {
                    return Pumped::HomeLost(refusal);
                }
                chunk => {
                    is_started = true;
                    if out.send(chunk).await.is_err() {
                        return Pumped::Finished;
                    }
                }
            }
        }
        Pumped::Finished
    }

    /// Fetches the chunks of a call from another host.
    async fn pump(&self, address: SocketAddr, handle: CallHandle, out: &Out) -> Pumped {
        let link = self.shared.peers.link(address);
        let mut after = 0;
        let mut failures = 0;
        loop {
            let ask = |client: trefoilring_proto::PeerClient, context| async move {
                client.next_chunks(context, handle, after).await
            };
            let reply = link.call(crate::relay::POLL_WAIT + PEER_TIMEOUT, ask).await;
            let reply = reply.map_err(|error| peers::refusal(&error, Verdict::MayHaveRun));
            let batch = match reply {
                Ok(Ok(batch)) => batch,
                Err(_) if failures < MAX_POLL_FAILURES => {
                    failures += 1;
                    smol::Timer::after(LOOKUP_PAUSE).await;
                    continue;
                }
                // The call was started there, whatever became of the question for its chunks.
                Ok(Err(refusal)) | Err(refusal) if after == 0 => {
                    return Pumped::HomeLost(unless_ran(refusal));
                }
                Ok(Err(refusal)) | Err(refusal) => {
                    let _ = out.send(Err(unless_ran(refusal))).await;
                    return Pumped::Finished;
                }
            };
            failures = 0;
            after = batch.first + batch.chunks.len() as u64;
            for chunk in batch.chunks {
                if out.send(Ok(chunk)).await.is_err() {
                    close(&self.shared, address, handle);
                    return Pumped::Finished;
                }
            }
            match batch.end {
                None => continue,
                Some(Err(refusal)) if after == 0 && may_ask_again(&refusal) => {
                    close(&self.shared, address, handle);
                    return Pumped::HomeLost(refusal);
                }
                Some(Err(refusal)) => {
                    let _ = out.send(Err(refusal)).await;
                }
                Some(Ok(())) => (),
            }
            close(&self.shared, address, handle);
            return Pumped::Finished;
        }
    }
}

fn close(shared: &Arc<Shared>, address: SocketAddr, handle: CallHandle) {
    let link = shared.peers.link(address);
    shared.spawn(async move {
        let ask = |client: trefoilring_proto::PeerClient, context| async move {
            client.close_call(context, handle).await
        };
        // A lost close is made up for by the sweep of relays that nobody asks for.
        let _ = link.call(PEER_TIMEOUT, ask).await;
    });
}

impl Backend for Entry {
    fn authenticate(&self, secret: &str) -> Result<Caller, Refusal> {
        if !self.shared.has_fresh_keys.load(Ordering::Acquire) {
            let detail = "this host can't confirm keys at present";
            return Err(Refusal::not_run(Reason::Unauthorized, detail)
                .retry_after(self.shared.settings.heartbeat));
        }
        let catalog = self.shared.catalog();
        let hash = blake3::hash(secret.as_bytes()).to_hex();
        let unknown = || Refusal::not_run(Reason::Unauthorized, "unknown or withdrawn key");
        // The lookup compares hashes, from whose order nothing about the secret follows.
        let (known, key) = catalog.keys.get_key_value(hash.as_str()).ok_or_else(unknown)?;
        let is_equal = bool::from(known.as_bytes().ct_eq(hash.as_bytes()));
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

    async fn key_withdrawn(&self, caller: &Caller) {
        self.shared.withdrawals.wait(&caller.key).await;
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
        Ok(self.program(journal, request).await?.0)
    }

    async fn query(
        &self,
        caller: Caller,
        program: ProgramId,
        query: ProgramQuery,
    ) -> Result<(ProgramInfo, Vec<Message>), Refusal> {
        let journal = journal_of(&program).ok_or_else(|| no_program(&program))?;
        self.program(Some(journal), ProgramRequest::Query { caller, program, query }).await
    }

    async fn call(&self, call: Call) -> Result<Answer, Refusal> {
        journal_of(&call.program).ok_or_else(|| no_program(&call.program))?;
        let (out, answer) = smol::channel::bounded(ANSWER_CHUNKS);
        self.shared.spawn(self.clone().relay(call, out));
        Ok(answer)
    }

    async fn open_call(&self, call: ServiceCall) -> Result<Answer, Refusal> {
        let (out, answer) = smol::channel::bounded(ANSWER_CHUNKS);
        let shared = self.shared.clone();
        self.shared.spawn(async move { call::run_open(&shared, call, &out).await });
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
