//! UpstreamSelector a request to one upstream after the other, and lets it wait where all of them are full.

use {
    super::{Call, RETRY_AFTER_DEFAULT, failed, timed_out},
    crate::{gateway::Gateway, http::SendError, time::within},
    event_listener::{Event, EventListener},
    rand::RngExt,
    serde_json::json,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{ServiceId, UpstreamId},
        placement::{
            BrokenAttempts, Choice, Outcome, PlacementRequest, QueueWait, RetryDecision,
            UpstreamKey,
        },
        verdict::{Reason, Refusal, Verdict},
    },
    trefoilring_observe::decisions::Weight,
};

/// The least time left for which a request is sent: less is over before an upstream answers.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// An upstream that a request is under way at. Counts as load until it is dropped.
pub(super) struct Attempt {
    gateway: Rc<Gateway>,
    pub(super) key: UpstreamKey,
    pub(super) id: UpstreamId,
    pub(super) address: SocketAddr,
    service: ServiceId,
    outcome: Outcome,
}

impl Attempt {
    fn start(gateway: &Rc<Gateway>, key: UpstreamKey) -> Option<Self> {
        let mut placement = gateway.placement.borrow_mut();
        let record = placement.record(key)?;
        let (id, service) = (record.id.clone(), record.service.clone());
        let address = record.address;
        placement.record_sent(key);
        let gateway = gateway.clone();
        Some(Self { gateway, key, id, address, service, outcome: Outcome::Done })
    }

    /// Notes that the upstream broke the request off, which goes there again.
    fn record_broken(&self) {
        self.gateway.placement.borrow_mut().record_broken_attempt(Instant::now(), self.key);
    }

    /// Ends the attempt with an outcome other than an answer.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.gateway.placement.borrow_mut().record_end(Instant::now(), self.key, self.outcome);
        if matches!(self.outcome, Outcome::Done | Outcome::Errored)
            && let Some(first) = self.gateway.full_services.borrow().front_waker(&self.service)
        {
            // The upstream has a place for it.
            first.notify(1);
        }
    }
}

/// The selector of one request.
pub(super) struct UpstreamSelector {
    /// Whether it belongs to a program under way.
    is_active_program: bool,
    /// Upstreams that were full when it was offered to them last.
    full: Vec<UpstreamKey>,
    /// Upstreams that have failed it.
    failed: Vec<UpstreamKey>,
    /// Its wait, once all upstreams were full.
    wait: Option<QueueWait>,
    broken_attempts: BrokenAttempts,
}

impl UpstreamSelector {
    pub(super) fn new(is_active_program: bool) -> Self {
        let broken_attempts = BrokenAttempts::default();
        Self {
            is_active_program,
            full: Vec::new(),
            failed: Vec::new(),
            wait: None,
            broken_attempts,
        }
    }

    /// Ends a attempt after which the request may go elsewhere.
    pub(super) fn end(&mut self, attempt: Attempt, outcome: Outcome) {
        let left = if outcome == Outcome::Full { &mut self.full } else { &mut self.failed };
        left.push(attempt.key);
        attempt.end(outcome);
    }

    /// Decides where a repeatable request goes after an upstream has broken it off. Returns the attempt if it
    /// goes there again.
    ///
    /// # Errors
    ///
    /// Gives the request up when it was broken off too often.
    pub(super) fn on_broken(&mut self, attempt: Attempt) -> Result<Option<Attempt>, Refusal> {
        match self.broken_attempts.on_break() {
            RetryDecision::SameUpstream => {
                attempt.record_broken();
                Ok(Some(attempt))
            }
            RetryDecision::OtherUpstream => {
                self.end(attempt, Outcome::Failed);
                Ok(None)
            }
            RetryDecision::GiveUp => {
                attempt.end(Outcome::Failed);
                Err(failed(SendError::Broken))
            }
        }
    }

    /// Begins a attempt at the next upstream, after a wait if all are full. `runs` is how often the request
    /// may have run.
    ///
    /// # Errors
    ///
    /// Refuses the request when no upstream takes it in the time that it may wait.
    pub(super) async fn next(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        runs: u32,
    ) -> Result<Attempt, Refusal> {
        let verdict = if runs == 0 { Verdict::NotRun } else { Verdict::MayHaveRun };
        loop {
            if call.time_left() < TIME_LEFT_MIN {
                return Err(timed_out(verdict));
            }
            let (reason, detail) = match self.choose(gateway, call) {
                Choice::Use(key) => match Attempt::start(gateway, key) {
                    Some(attempt) => return Ok(attempt),
                    None => (Reason::Internal, "the chosen upstream is gone"),
                },
                Choice::AllRefused => match self.wait_for_capacity(gateway, call).await {
                    true => continue,
                    false => (Reason::Overloaded, "all upstreams of the service are full"),
                },
                Choice::NoUpstream => {
                    (Reason::NoUpstream, "the service has no upstream at present")
                }
            };
            let refusal = Refusal { verdict, reason, detail: detail.into(), retry_after: None };
            // Before those who wait have had their turns, it would be refused again.
            let oldest = gateway.full_services.borrow().oldest_wait(Instant::now(), &call.service);
            return Err(refusal.retry_after(oldest.max(RETRY_AFTER_DEFAULT)));
        }
    }

    fn choose(&self, gateway: &Gateway, call: &Call) -> Choice {
        let is_new = self.wait.is_none() && self.full.is_empty() && self.failed.is_empty();
        if is_new && gateway.full_services.borrow().has_waiting(&call.service) {
            // Those who wait come first.
            return Choice::AllRefused;
        }
        let refused_by = [&self.full[..], &self.failed[..]].concat();
        let request = PlacementRequest {
            service: &call.service,
            session: call.session(),
            refused_by: &refused_by,
        };
        gateway.placement.borrow_mut().choose(Instant::now(), &request)
    }

    /// Waits until the full upstreams may be asked again. Returns whether they may.
    async fn wait_for_capacity(&mut self, gateway: &Gateway, call: &Call) -> bool {
        let Some((queue_guard, turn, retry_at)) = self.start_wait(gateway, call) else {
            return false;
        };
        within(retry_at, turn).await;
        drop(queue_guard);
        self.full.clear();
        // A request that was sent goes on without its caller; one that waits does not.
        !call.caller_left.get()
    }

    /// Begins to wait, at first or after a further refusal, if the request may. Returns what tells its turn,
    /// and when it asks again without one.
    fn start_wait<'a>(
        &mut self,
        gateway: &'a Gateway,
        call: &'a Call,
    ) -> Option<(QueueGuard<'a>, EventListener, Instant)> {
        // Upstreams that have failed this request take others, which need not come after it.
        let joins_queue = self.failed.is_empty();
        if !joins_queue && self.full.is_empty() {
            return None;
        }
        let now = Instant::now();
        let mut services = gateway.full_services.borrow_mut();
        let mut wait = match self.wait {
            Some(wait) => wait,
            None => {
                let wait = services.begin_wait(now, call.deadline, self.is_active_program);
                if !services.admits(now, &call.service, &wait) {
                    return None;
                }
                log_wait(gateway, call, self.full.len());
                wait
            }
        };
        let retry_at = wait.next_attempt(now, rand::rng().random())?;
        self.wait = Some(wait);
        let freed = Rc::new(Event::new());
        let turn = freed.listen();
        if joins_queue {
            services.enqueue(&call.service, &wait, freed);
        }
        Some((QueueGuard { gateway, service: &call.service, wait }, turn, retry_at))
    }
}

/// A request among those that wait.
struct QueueGuard<'a> {
    gateway: &'a Gateway,
    service: &'a str,
    wait: QueueWait,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.gateway.full_services.borrow_mut().dequeue(self.service, &self.wait);
    }
}

fn log_wait(gateway: &Gateway, call: &Call, full: usize) {
    gateway.metrics.count("waited_for_upstream", 1);
    let (upstreams, load) = gateway.placement.borrow().service_load(Instant::now(), &call.service);
    gateway.decisions.note(
        Weight::Routine,
        "wait",
        json!({
            "request": call.metadata.request_id,
            "program": call.metadata.program.as_ref().map(|head| &head.id),
            "service": call.service,
            "full": full,
            "upstreams": upstreams,
            "service_load": load,
            "time_left_ms": call.time_left().as_millis() as u64,
        }),
    );
}
