//! Calls to tool and plain services, and open routes.

use {
    super::{
        HomeCall, MAX_SLOT_WAIT, PreparedCall,
        attempt::{Attempt, PriorAttempts, may_retry},
        fingerprint, send_result,
        slot::{acquire, parse_address, release},
    },
    crate::{
        control::{Control, Reply},
        shared::Shared,
        upstream::{AnswerSender, run_service},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        call::{ServiceCall, Work},
        catalog::Service,
        event::Kind,
        ids::{RequestId, ServiceId},
        journal::StepResult,
        program::{Permit, Sent},
        sched::SlotRequest,
        verdict::{Reason, Refusal},
    },
};

/// Calls an open route. Such a call has no program, key or team, and is sent at most once.
pub(crate) async fn run_open_call(shared: &Arc<Shared>, call: ServiceCall, out: &AnswerSender) {
    let result = try_open_call(shared, call).await;
    match result {
        Ok(result) => send_result(out, &result).await,
        Err(refusal) => {
            let _ = out.send(Err(refusal)).await;
        }
    }
}

async fn try_open_call(shared: &Arc<Shared>, call: ServiceCall) -> Result<StepResult, Refusal> {
    let service = find_service(shared, &call.service)?;
    let request: RequestId = format!("open-{}", shared.events.stamp()).into();
    let slot = SlotRequest {
        request: request.clone(),
        home: shared.member.host.clone(),
        service: call.service.clone(),
        model: None,
        // An open call has no program; its request id takes the place of the program id.
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
        max_wait: MAX_SLOT_WAIT,
    };
    let grant = acquire(shared, slot).await?;
    let address = parse_address(&grant)?;
    let run = run_service(address, &call, None, None, service.deadline()).await;
    release(shared, &call.service, &grant, run.outcome);
    run.result.map_err(Refusal::from)
}

impl HomeCall {
    pub(super) async fn run_service(
        &self,
        call: &ServiceCall,
        prepared: &PreparedCall,
        mut permit: Permit,
        out: &AnswerSender,
    ) -> Result<(), Refusal> {
        let key = format!("{}/{}", self.call.program, self.call.step);
        let mut prior = PriorAttempts::default();
        for attempt in 1.. {
            let time_left = prepared.deadline.saturating_duration_since(Instant::now());
            let send = async |address| {
                run_service(address, call, Some(key.clone()), prepared.fencing_epoch(), time_left)
                    .await
            };
            match self.attempt(prepared, permit, send).await {
                Attempt::Done(result, sent, _) => return self.end_call(result, sent, out).await,
                Attempt::Retry(ready, refusal) => {
                    prior.record_failure(&refusal);
                    if !may_retry(attempt, &refusal, prepared) {
                        let program = self.call.program.clone();
                        let end = move |control: &mut Control| {
                            control.homes.end_not_run(&program, ready);
                        };
                        self.shared.control.submit(end);
                        return Err(prior.combined_refusal(refusal));
                    }
                    self.record_retry(&refusal);
                    permit = Permit::Now(ready);
                }
                Attempt::Failed(refusal) => return Err(prior.combined_refusal(refusal)),
            }
        }
        Err(Refusal::not_run(Reason::Internal, "no attempt was made"))
    }

    async fn end_call(
        &self,
        result: StepResult,
        sent: Sent,
        out: &AnswerSender,
    ) -> Result<(), Refusal> {
        let (program, recorded) = (self.call.program.clone(), result.clone());
        let job = move |control: &mut Control, reply: Reply<_>| {
            control.homes.end_service_call(&program, sent, recorded, reply);
        };
        self.shared.control.request(job).await??;
        self.record_event(Kind::CallRecorded, |fields| fields);
        send_result(out, &result).await;
        Ok(())
    }
}

fn find_service(shared: &Shared, service: &ServiceId) -> Result<Service, Refusal> {
    let catalog = shared.catalog();
    let found = catalog.services.get(service).cloned();
    found.ok_or_else(|| Refusal::not_run(Reason::NotFound, format!("no service {service:?}")))
}
