//! Selects the upstreams for a request in turn, and queues the request while all are full.

use {
    super::{Call, RETRY_AFTER_DEFAULT, failure_refusal, retained::RetainedCall, timeout_refusal},
    crate::{
        crashes::{self, BrokenAttempt},
        evacuations,
        gateway::Gateway,
        http::SendError,
        leaving,
        time::within,
        upstream_limits,
    },
    event_listener::{Event, EventListener},
    rand::RngExt,
    serde_json::json,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{ServiceId, SoftwareVersion, UpstreamId},
        placement::{
            BrokenAttempts, Choice, Outcome, PlacementRequest, QueueWait, RetryDecision,
            UpstreamKey, Urgency,
        },
        stream_origins::StreamOrigin,
        verdict::{Reason, Refusal, Verdict},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Minimum time left for sending a request. With less time it expires before an upstream answers.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// Minimum wait for an upstream's limit to allow another request.
const TOKEN_WAIT_MIN: Duration = Duration::from_millis(2);

/// An attempt of a request at one upstream. Counts as load of the upstream until it is dropped.
pub(super) struct Attempt {
    gateway: Rc<Gateway>,
    pub(super) key: UpstreamKey,
    pub(super) id: UpstreamId,
    pub(super) address: SocketAddr,
    service: ServiceId,
    version: SoftwareVersion,
    /// When the request was last sent to the upstream.
    sent_at: Cell<Instant>,
    /// Whether the content took part in the crash of an upstream before.
    is_suspect: bool,
    outcome: Outcome,
}

impl Attempt {
    fn start(gateway: &Rc<Gateway>, call: &Call, key: UpstreamKey) -> Option<Self> {
        let mut placement = gateway.placement.borrow_mut();
        let record = placement.record(key)?;
        let (id, service) = (record.id.clone(), record.service.clone());
        let version = record.version.clone();
        let address = record.address;
        placement.record_sent(Instant::now(), key);
        let is_suspect = gateway.crash_watch.borrow().is_suspect(call);
        if is_suspect {
            gateway.crash_watch.borrow_mut().record_suspect_sent(key);
        }
        let (gateway, sent_at) = (gateway.clone(), Cell::new(Instant::now()));
        let outcome = Outcome::Done;
        Some(Self { gateway, key, id, address, service, version, sent_at, is_suspect, outcome })
    }

    /// Returns the service and software version of the upstream.
    pub(super) fn origin(&self) -> StreamOrigin {
        StreamOrigin { service: self.service.clone(), version: self.version.clone() }
    }

    /// Records that the request is sent.
    pub(super) fn record_sent(&self) {
        self.sent_at.set(Instant::now());
    }

    /// Records that the upstream says in its answer that it is about to stop.
    pub(super) fn record_leaving(&self) {
        leaving::on_answer(&self.gateway, self.key);
    }

    /// Returns whether the upstream has said that it is about to stop, is in an evacuated domain, or
    /// has started again, perhaps with another software version.
    fn has_upstream_left(&self) -> bool {
        let placement = self.gateway.placement.borrow();
        placement.has_said_leaving(self.key) || placement.is_evacuated(self.key)
    }

    /// Records the limit that the answer names, or that it names none.
    pub(super) fn record_limit(&self, limit_per_s: Option<f64>) {
        upstream_limits::record(&self.gateway, &self.id, self.key, self.sent_at.get(), limit_per_s);
    }

    /// Handles the end of the connection before the answer was complete.
    pub(super) async fn on_broken(&self, call: &Call) {
        let broken = BrokenAttempt {
            key: self.key,
            upstream: self.id.clone(),
            address: self.address,
            sent_at: self.sent_at.get(),
        };
        crashes::on_broken(&self.gateway, call, broken).await;
    }

    /// Records that the connection broke and that the request is sent to the same upstream again.
    fn record_broken(&self) {
        self.gateway.placement.borrow_mut().record_broken_attempt(Instant::now(), self.key);
    }

    /// Ends the attempt with an outcome other than [`Outcome::Done`].
    pub(super) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut placement = self.gateway.placement.borrow_mut();
        if self.outcome == Outcome::Done {
            let duration = now.saturating_duration_since(self.sent_at.get());
            placement.record_duration(now, self.key, duration);
        }
        placement.record_end(now, self.key, self.outcome);
        drop(placement);
        if self.is_suspect {
            self.gateway.crash_watch.borrow_mut().record_suspect_end(self.key);
        }
        if matches!(self.outcome, Outcome::Done | Outcome::Errored)
            && let Some(capacity_event) =
                self.gateway.wait_queues.borrow().front_waker(&self.service)
        {
            // The upstream has capacity for the first waiting request.
            capacity_event.notify(1);
        }
    }
}

/// Selects the upstreams for the attempts of one request.
pub(super) struct UpstreamSelector {
    urgency: Urgency,
    /// Software version that the upstream must have, if the request continues a stream.
    version: Option<SoftwareVersion>,
    /// Upstreams that rejected an attempt because they were full. Cleared after each wait.
    full_upstreams: Vec<UpstreamKey>,
    /// Upstreams at which an attempt failed.
    failed_upstreams: Vec<UpstreamKey>,
    /// Wait of the request, set once all upstreams were full.
    wait: Option<QueueWait>,
    broken_attempts: BrokenAttempts,
}

impl UpstreamSelector {
    pub(super) fn new(urgency: Urgency, version: Option<SoftwareVersion>) -> Self {
        let broken_attempts = BrokenAttempts::default();
        Self {
            urgency,
            version,
            full_upstreams: Vec::new(),
            failed_upstreams: Vec::new(),
            wait: None,
            broken_attempts,
        }
    }

    /// Ends an attempt after which the request may be sent to another upstream.
    pub(super) fn end(&mut self, attempt: Attempt, outcome: Outcome) {
        let excluded = if outcome == Outcome::Full {
            &mut self.full_upstreams
        } else {
            &mut self.failed_upstreams
        };
        excluded.push(attempt.key);
        attempt.end(outcome);
    }

    /// Decides how to continue a repeatable request after its connection broke. Returns the attempt
    /// if the request is sent to the same upstream again, and `None` if it needs another one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request's connections broke too often, or if it is to blame.
    pub(super) async fn on_broken(
        &mut self,
        call: &Call,
        attempt: Attempt,
    ) -> Result<Option<Attempt>, Refusal> {
        attempt.on_broken(call).await;
        if let Err(refusal) = crashes::check(&attempt.gateway, call, Verdict::MayHaveRun) {
            attempt.end(Outcome::Failed);
            return Err(refusal);
        }
        match self.broken_attempts.on_break() {
            RetryDecision::SameUpstream => {
                attempt.record_broken();
                let (gateway, service) = (&attempt.gateway, &attempt.service);
                let is_allowed = upstream_limits::wait_to_send_again(
                    gateway,
                    service,
                    attempt.key,
                    call.deadline,
                )
                .await;
                evacuations::until_confirmed(gateway).await;
                if is_allowed && !attempt.has_upstream_left() {
                    return Ok(Some(attempt));
                }
                self.end(attempt, Outcome::Failed);
                Ok(None)
            }
            RetryDecision::OtherUpstream => {
                self.end(attempt, Outcome::Failed);
                Ok(None)
            }
            RetryDecision::GiveUp => {
                attempt.end(Outcome::Failed);
                Err(failure_refusal(SendError::Broken))
            }
        }
    }

    /// Starts an attempt at the next upstream, after a wait if all are full. `possible_runs` counts
    /// the attempts in which the request may have run.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream has capacity within the request's maximum wait.
    pub(super) async fn next(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        possible_runs: u32,
    ) -> Result<Attempt, Refusal> {
        let verdict = if possible_runs == 0 { Verdict::NotRun } else { Verdict::MayHaveRun };
        loop {
            evacuations::until_confirmed(gateway).await;
            crashes::check(gateway, call, verdict)?;
            if call.is_abandoned() {
                return Err(abandoned_refusal(verdict));
            }
            if call.time_left() < TIME_LEFT_MIN {
                return Err(timeout_refusal(verdict));
            }
            let (reason, detail) = match self.choose(gateway, call) {
                Choice::Use(key) => match Attempt::start(gateway, call, key) {
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
            // A retry before the waiting requests are served would be refused again.
            let oldest = gateway.wait_queues.borrow().oldest_wait(Instant::now(), &call.service);
            return Err(refusal.retry_after(oldest.max(RETRY_AFTER_DEFAULT)));
        }
    }

    fn choose(&self, gateway: &Rc<Gateway>, call: &Call) -> Choice {
        // A stream that goes on does not wait behind new requests, which may use other upstreams.
        let is_new = self.version.is_none()
            && self.wait.is_none()
            && self.full_upstreams.is_empty()
            && self.failed_upstreams.is_empty();
        if is_new && self.is_behind_others(gateway, call) {
            // Waiting requests come first, unless this one has a head start over them.
            return Choice::AllRefused;
        }
        upstream_limits::borrow_if_useful(gateway, &call.service);
        let mut excluded = [&self.full_upstreams[..], &self.failed_upstreams[..]].concat();
        if gateway.crash_watch.borrow().is_suspect(call) {
            // Two suspects at one upstream would both be suspected again if it crashed.
            let refused = excluded.len();
            excluded.extend(gateway.crash_watch.borrow().upstreams_with_suspects());
            if let Choice::Use(key) = self.choose_upstream(gateway, call, &excluded) {
                return Choice::Use(key);
            }
            excluded.truncate(refused);
        }
        self.choose_upstream(gateway, call, &excluded)
    }

    fn is_behind_others(&self, gateway: &Gateway, call: &Call) -> bool {
        let wait_queues = gateway.wait_queues.borrow();
        let wait = self.wait.as_ref();
        wait_queues.is_behind_others(Instant::now(), &call.service, self.urgency, wait)
    }

    fn choose_upstream(&self, gateway: &Gateway, call: &Call, excluded: &[UpstreamKey]) -> Choice {
        let now = Instant::now();
        let new_versions = match call.route.kind.is_stream() {
            true => gateway.origin_notes.borrow().origins.new_versions(now, &call.service),
            false => Vec::new(),
        };
        let previous_upstream = call.retained.as_ref().and_then(RetainedCall::previous_upstream);
        let generation = call.metadata.generation.as_ref();
        let request = PlacementRequest {
            service: &call.service,
            session: call.session(),
            prompt: generation.map_or(&[], |generation| &generation.prompt),
            previous_upstream: previous_upstream.map(|upstream| &**upstream),
            is_retained: call.retained.is_some(),
            object: call.object(),
            version: self.version.as_deref(),
            avoided_versions: &new_versions,
            refused_by: excluded,
            is_behind_others: self.is_behind_others(gateway, call),
        };
        gateway.placement.borrow_mut().choose(now, &request)
    }

    /// Waits until the full upstreams may be tried again. Returns whether the request may wait.
    async fn wait_for_capacity(&mut self, gateway: &Gateway, call: &Call) -> bool {
        let Some((queue_guard, capacity_listener, retry_at)) = self.start_wait(gateway, call)
        else {
            return false;
        };
        within(retry_at, capacity_listener).await;
        drop(queue_guard);
        self.full_upstreams.clear();
        true
    }

    /// Starts or resumes the request's wait, if it may wait. Returns the queue guard, a listener
    /// for free capacity, and the time of the next attempt if the listener is not notified before.
    fn start_wait<'a>(
        &mut self,
        gateway: &'a Gateway,
        call: &'a Call,
    ) -> Option<(QueueGuard<'a>, EventListener, Instant)> {
        // A request that has failed at an upstream does not join the queue: new requests would have
        // to wait behind it, although that upstream may have capacity for them.
        // Nor does one that only some of the upstreams may run.
        let joins_queue = self.failed_upstreams.is_empty() && self.version.is_none();
        let now = Instant::now();
        let next_within_limits = gateway.placement.borrow().next_within_limits(now, &call.service);
        if !joins_queue && self.full_upstreams.is_empty() && next_within_limits.is_none() {
            return None;
        }
        let mut wait_queues = gateway.wait_queues.borrow_mut();
        let mut wait = match self.wait {
            Some(wait) => wait,
            None => {
                let wait = wait_queues.begin_wait(now, call.deadline, self.urgency);
                if !wait_queues.admits(&call.service, &wait) {
                    return None;
                }
                log_wait(gateway, call, self.urgency, self.full_upstreams.len());
                wait
            }
        };
        let mut retry_at = wait.next_attempt(now, rand::rng().random())?;
        if !wait_queues.is_behind_others(now, &call.service, self.urgency, Some(&wait))
            && let Some(at) = next_within_limits
        {
            retry_at = retry_at.min(at.max(now + TOKEN_WAIT_MIN));
        }
        self.wait = Some(wait);
        let capacity_event = Rc::new(Event::new());
        let capacity_listener = capacity_event.listen();
        if joins_queue {
            wait_queues.enqueue(&call.service, &wait, capacity_event);
        }
        Some((QueueGuard { gateway, service: &call.service, wait }, capacity_listener, retry_at))
    }
}

/// Returns the refusal of a request that is not sent because its caller has gone. Nobody gets it.
fn abandoned_refusal(verdict: Verdict) -> Refusal {
    let detail = "the caller has disconnected";
    Refusal { verdict, reason: Reason::CallerGone, detail: detail.into(), retry_after: None }
}

/// Removes the request from its service's queue when dropped, if it is queued.
struct QueueGuard<'a> {
    gateway: &'a Gateway,
    service: &'a str,
    wait: QueueWait,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.gateway.wait_queues.borrow_mut().dequeue(self.service, &self.wait);
    }
}

fn log_wait(gateway: &Gateway, call: &Call, urgency: Urgency, full: usize) {
    gateway.metrics.count("waited_for_upstream", 1);
    let (upstreams, load) = gateway.placement.borrow().service_load(Instant::now(), &call.service);
    gateway.decisions.log(
        LineRate::Routine,
        "wait",
        json!({
            "request": call.metadata.request_id,
            "program": call.metadata.program.as_ref().map(|program| &program.id),
            "service": call.service,
            "urgency": urgency,
            "target_in_ms": call.target_in().map(|left| left.as_millis() as u64),
            "full": full,
            "upstreams": upstreams,
            "service_load": load,
            "time_left_ms": call.time_left().as_millis() as u64,
        }),
    );
}
