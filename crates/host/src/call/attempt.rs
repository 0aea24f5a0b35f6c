//! One attempt at an upstream: gets a slot, sends the call and handles the result.

use {
    super::{
        HomeCall, MAX_ATTEMPTS, MAX_SLOT_WAIT, PreparedCall, fingerprint,
        slot::{acquire, parse_address, release},
    },
    crate::{
        control::{Control, Reply, home::not_home},
        upstream::UpstreamRun,
    },
    std::{net::SocketAddr, time::Instant},
    trefoilring_core::{
        call::Work,
        catalog::Service,
        event::Kind,
        ids::{ServiceId, UpstreamId},
        program::{Permit, ReadyToSend, Run, Sent},
        sched::{Outcome, SlotGrant, SlotRequest},
        verdict::{Reason, Refusal, Verdict},
    },
};

/// Result of an attempt at an upstream.
pub(super) enum Attempt<T> {
    Done(T, Sent, UpstreamId),
    /// The call did not run, or is safe to repeat. It may be tried again with a new slot.
    Retry(ReadyToSend, Refusal),
    Failed(Refusal),
}

/// Whether any attempt before the last one may have run.
#[derive(Debug, Default)]
pub(super) struct PriorAttempts {
    may_have_run: bool,
}

impl PriorAttempts {
    /// Records a failed attempt.
    pub(super) fn record_failure(&mut self, refusal: &Refusal) {
        self.may_have_run |= refusal.verdict != Verdict::NotRun;
    }

    /// Returns the refusal of the call, given that of its last attempt. If an earlier attempt may
    /// have run, the call as a whole must not be reported as "not run".
    pub(super) fn combined_refusal(&self, refusal: Refusal) -> Refusal {
        match (refusal.verdict, self.may_have_run) {
            (Verdict::NotRun, true) => Refusal { verdict: Verdict::MayHaveRun, ..refusal },
            _ => refusal,
        }
    }
}

/// Returns whether a failed call may be tried at another upstream. A request that one upstream
/// rejects as malformed would be rejected by all of them.
pub(super) fn may_retry(attempt: u32, refusal: &Refusal, prepared: &PreparedCall) -> bool {
    let is_bad_request = refusal.reason == Reason::BadRequest;
    attempt < MAX_ATTEMPTS && !is_bad_request && Instant::now() < prepared.deadline
}

impl HomeCall {
    pub(super) fn slot_request(&self, service: &(ServiceId, Service), run: &Run) -> SlotRequest {
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
            max_wait: MAX_SLOT_WAIT,
        }
    }

    async fn acquire_slot(&self, prepared: &PreparedCall) -> Result<SlotGrant, Refusal> {
        let time_left = prepared.deadline.saturating_duration_since(Instant::now());
        let request =
            SlotRequest { max_wait: time_left.min(MAX_SLOT_WAIT), ..prepared.slot_request.clone() };
        self.record_event(Kind::CallQueued, |fields| fields.with("service", &*prepared.service.0));
        acquire(&self.shared, request).await
    }

    /// Checks the lease on the monotonic clock, then the key. This is the last check before an
    /// effect.
    fn check_before_sending(&self) -> Result<(), Refusal> {
        if !self.shared.lease.holds() {
            return Err(not_home());
        }
        match self.shared.has_valid_key(&self.call.caller) {
            true => Ok(()),
            false => Err(Refusal::not_run(Reason::Unauthorized, "the key was withdrawn")),
        }
    }

    /// Makes the intent durable, if the call needs one, and marks the call as sent.
    async fn mark_sent(&self, permit: Permit, upstream: &UpstreamId) -> Result<Sent, Refusal> {
        let (program, upstream) = (self.call.program.clone(), upstream.clone());
        let job = move |control: &mut Control, reply: Reply<_>| {
            control.homes.mark_sent(&program, permit, upstream, reply);
        };
        self.shared.control.request(job).await?
    }

    /// Gets a slot and sends the call once.
    pub(super) async fn attempt<T>(
        &self,
        prepared: &PreparedCall,
        permit: Permit,
        send: impl AsyncFnOnce(SocketAddr) -> UpstreamRun<T>,
    ) -> Attempt<T> {
        let service = &prepared.service.0;
        let grant = match self.acquire_slot(prepared).await {
            Ok(grant) => grant,
            Err(refusal) => {
                self.return_permit(permit);
                return Attempt::Failed(refusal);
            }
        };
        let release_and_fail = |refusal| {
            release(&self.shared, service, &grant, Outcome::Unused);
            Attempt::Failed(refusal)
        };
        let address = match parse_address(&grant) {
            Ok(address) => address,
            Err(refusal) => {
                self.return_permit(permit);
                return release_and_fail(refusal);
            }
        };
        let sent = match self.mark_sent(permit, &grant.upstream).await {
            Ok(sent) => sent,
            Err(refusal) => return release_and_fail(refusal),
        };
        // The lease is checked after the last wait before the effect.
        if let Err(refusal) = self.check_before_sending() {
            self.end_failed_call(sent, Verdict::NotRun);
            return release_and_fail(refusal);
        }
        self.record_event(Kind::CallSent, |fields| {
            let waited_ms = grant.waited.as_millis() as u64;
            fields.upstream(&grant.upstream).with("queued_ms", waited_ms)
        });
        let ran = send(address).await;
        self.record_outcome(&grant.upstream, &ran.outcome);
        release(&self.shared, service, &grant, ran.outcome);
        match ran.result {
            Ok(end) => Attempt::Done(end, sent, grant.upstream),
            Err(error) => self.on_failed_attempt(sent, Refusal::from(error)).await,
        }
    }

    async fn on_failed_attempt<T>(&self, sent: Sent, refusal: Refusal) -> Attempt<T> {
        let (program, verdict) = (self.call.program.clone(), refusal.verdict);
        let job = move |control: &mut Control, reply: Reply<_>| {
            let _ = reply.try_send(control.homes.retry(&program, sent, verdict));
        };
        match self.shared.control.request(job).await {
            Ok(Some(Ok(ready))) => Attempt::Retry(ready, refusal),
            Ok(Some(Err(sent))) => {
                self.end_failed_call(sent, verdict);
                Attempt::Failed(refusal)
            }
            _ => Attempt::Failed(Refusal { verdict: Verdict::MayHaveRun, ..not_home() }),
        }
    }

    fn end_failed_call(&self, sent: Sent, verdict: Verdict) {
        let program = self.call.program.clone();
        let job =
            move |control: &mut Control| control.homes.end_failed_call(&program, sent, verdict);
        self.shared.control.submit(job);
    }
}
