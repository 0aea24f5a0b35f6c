//! Charges turns to their programs' budgets, and refunds unused tokens.

use {
    super::Call,
    crate::{
        gateway::Gateway,
        ledger::{self, LEDGER_HOST_COUNT, RankedHost},
        peers::{self, ChargeDecision, PeerReply, PeerRequest},
        roster,
    },
    serde_json::json,
    smol::Timer,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        budget::{Charge, PeerReport, TokenCount},
        ids::ProgramId,
        verdict::{Reason, Refusal},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Limit for all attempts to charge a turn at one ledger host. Longer than a ledger write takes
/// with a slow store, because turns may wait for a write.
const LEDGER_HOST_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time that a ledger host waits for the ledger's record before it replies `Undecided`.
/// This time is short, so that a missing answer means that the host is lost, not that the host is
/// waiting.
const RECORD_WAIT_MAX: Duration = Duration::from_millis(120);
/// Charges that take longer are logged. Allows for a few round trips between hosts.
const SLOW_CHARGE: Duration = Duration::from_millis(50);
/// Time added to [`RECORD_WAIT_MAX`] for the request and its answer.
const ROUND_TRIP_MARGIN: Duration = Duration::from_millis(130);
/// Interval over which refunds are batched into one message.
const REFUND_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a message with refunds.
const REFUND_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a program may be idle and still resume, if its route sets no time.
const IDLE_MAX_DEFAULT: Duration = Duration::from_secs(60);
/// `Retry-After` of calls that are refused because no host can decide on the charge.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Refunds, grouped by the address of their ledger host. `None` stands for this host.
pub(crate) type Refunds =
    std::collections::HashMap<Option<SocketAddr>, Vec<(ProgramId, TokenCount)>>;

/// A turn that was charged its maximum tokens. Refunds the unused tokens when dropped.
pub(crate) struct TurnCharge {
    gateway: Rc<Gateway>,
    /// Address of the ledger host that charged the turn. `None` stands for this host.
    ledger_host: Option<SocketAddr>,
    program: ProgramId,
    charged: TokenCount,
    /// Whether this is the first turn of its program.
    pub(super) opens_program: bool,
    used: Cell<TokenCount>,
}

impl TurnCharge {
    /// Returns whether the caller has got all tokens that were charged.
    pub(crate) fn is_used_up(&self) -> bool {
        self.charged > 0 && self.used.get() >= self.charged
    }

    /// Counts tokens that are relayed to the caller.
    pub(crate) fn add_used_tokens(&self, tokens: TokenCount) {
        self.used.set(self.used.get() + tokens);
    }
}

impl Drop for TurnCharge {
    fn drop(&mut self) {
        let unused = self.charged.saturating_sub(self.used.get());
        if unused == 0 {
            return;
        }
        let refund = (self.program.clone(), unused);
        if self.used.get() == 0 {
            // A turn without tokens was probably refused and will be retried soon. Its charge must
            // not block other turns of the program.
            self.gateway.spawn(send_refunds_to(
                self.gateway.clone(),
                self.ledger_host,
                vec![refund],
            ));
            return;
        }
        let mut refunds = self.gateway.refunds.borrow_mut();
        if refunds.is_empty() {
            self.gateway.spawn(flush_refunds(self.gateway.clone()));
        }
        refunds.entry(self.ledger_host).or_default().push(refund);
    }
}

/// Charges a call if it is a turn of a program with a budget.
///
/// # Errors
///
/// Returns a refusal if the remaining budget is too small, or if no host can decide on the charge.
pub(super) async fn charge(
    gateway: &Rc<Gateway>,
    call: &Call,
) -> Result<Option<TurnCharge>, Refusal> {
    let (Some(program), Some(generation)) = (&call.metadata.program, &call.metadata.generation)
    else {
        return Ok(None);
    };
    let Some(budget) = program.token_budget.filter(|_| call.route.kind.is_stream()) else {
        return Ok(None);
    };
    let mut charge = Charge {
        program: program.id.as_str().into(),
        budget,
        turn_max: generation.output_tokens_max,
        idle_max: call.route.program_idle_max.unwrap_or(IDLE_MAX_DEFAULT),
        is_first_ranked: true,
        peer_report: PeerReport::Unknown,
        outage_position: None,
        acknowledged_by: Vec::new(),
    };
    let began = Instant::now();
    let ledger_hosts = ledger_hosts_by_reachability(gateway, ledger::partition_of(&charge.program));
    // If all ledger hosts have reported the store as unavailable, the first-ranked host may grant
    // an overdraft and is queried again in a last attempt.
    let first_ranked = ledger_hosts.iter().find(|ledger_host| ledger_host.rank == 0).copied();
    let host_count = ledger_hosts.len();
    // `peer_report` is the weakest report of the hosts queried so far.
    let (mut peer_report, mut acknowledged_by) = (PeerReport::OutageAcknowledged, Vec::new());
    for (host_index, host) in ledger_hosts.into_iter().map(Some).chain([first_ranked]).enumerate() {
        let Some(RankedHost { address: ledger_host, rank }) = host else { break };
        if host_index == host_count {
            if peer_report == PeerReport::Unknown {
                break;
            }
            charge.peer_report = peer_report;
            if peer_report == PeerReport::OutageAcknowledged {
                charge.acknowledged_by = std::mem::take(&mut acknowledged_by);
            }
        }
        charge.is_first_ranked = rank == 0;
        let mut ledger_host = ledger_host;
        let mut decision = charge_at(gateway, ledger_host, &charge, call.time_left()).await;
        log_charge(gateway, call, ledger_host, host_index, decision.as_ref(), began.elapsed());
        let deferred_to = match decision {
            Some(ChargeDecision::OwnedElsewhere { owner }) => Some(owner),
            _ => None,
        };
        if let Some(address) = deferred_to {
            // The owner may not be ranked first, so it must not grant unreserved turns.
            ledger_host = (address != roster::own_address(gateway)).then_some(address);
            let deferred_charge = Charge { is_first_ranked: false, ..charge.clone() };
            decision = charge_at(gateway, ledger_host, &deferred_charge, call.time_left()).await;
            log_charge(gateway, call, ledger_host, host_index, decision.as_ref(), began.elapsed());
        }
        match decision {
            Some(ChargeDecision::Granted { is_new }) => {
                return Ok(Some(TurnCharge {
                    gateway: gateway.clone(),
                    ledger_host,
                    program: charge.program,
                    charged: charge.turn_max,
                    opens_program: is_new,
                    used: Cell::new(0),
                }));
            }
            Some(ChargeDecision::InsufficientBudget) => {
                let detail = format!("the program's budget of {budget} tokens is spent");
                return Err(Refusal::not_run(Reason::BudgetSpent, detail));
            }
            // A host defers only if the owner can reach the store, so no overdraft is allowed.
            _ if deferred_to.is_some() => peer_report = PeerReport::Unknown,
            Some(ChargeDecision::StoreUnavailable { position, .. }) if rank == 0 => {
                charge.outage_position = position
            }
            // The next owner reads outage notes only from the first `LEDGER_HOST_COUNT` ranked
            // hosts, so acknowledgements of other hosts don't count.
            Some(ChargeDecision::StoreUnavailable { is_acknowledged: true, .. })
                if rank < LEDGER_HOST_COUNT =>
            {
                acknowledged_by.push(ledger_host.unwrap_or_else(|| roster::own_address(gateway)));
            }
            Some(ChargeDecision::StoreUnavailable { .. }) | None => {
                peer_report = peer_report.min(PeerReport::StoreUnavailable);
            }
            Some(ChargeDecision::Undecided | ChargeDecision::OwnedElsewhere { .. }) => {
                peer_report = PeerReport::Unknown;
            }
        }
    }
    let detail = "no host can tell what the program has spent";
    Err(Refusal::not_run(Reason::StoreUnavailable, detail).retry_after(RETRY_AFTER))
}

/// Writes a decision line for a charge that was not granted by the first ledger host, or was slow.
fn log_charge(
    gateway: &Gateway,
    call: &Call,
    ledger_host: Option<SocketAddr>,
    host_index: usize,
    decision: Option<&ChargeDecision>,
    took: Duration,
) {
    if matches!(decision, Some(ChargeDecision::Granted { .. }))
        && host_index == 0
        && took < SLOW_CHARGE
    {
        return;
    }
    gateway.decisions.log(
        LineRate::Failure,
        "charge",
        json!({
            "request": call.metadata.request_id,
            "program": call.metadata.program.as_ref().map(|head| &head.id),
            "token_budget": call.metadata.program.as_ref().and_then(|head| head.token_budget),
            "keeper": ledger_host,
            "tries": host_index,
            "decision": decision,
            "took_ms": took.as_millis() as u64,
        }),
    );
}

/// Charges a turn at one ledger host. Returns `None` if the host can be reached neither directly
/// nor through a relay.
async fn charge_at(
    gateway: &Rc<Gateway>,
    ledger_host: Option<SocketAddr>,
    charge: &Charge,
    time_left: Duration,
) -> Option<ChargeDecision> {
    let deadline = Instant::now() + LEDGER_HOST_TIMEOUT.min(time_left);
    while Instant::now() < deadline {
        let decision = match ledger_host {
            None => ledger::charge(gateway, charge, deadline).await,
            Some(address) => {
                let request = PeerRequest::Charge { charge: charge.clone(), wait: RECORD_WAIT_MAX };
                let wait = RECORD_WAIT_MAX + ROUND_TRIP_MARGIN;
                match peers::send_request_or_relay(gateway, address, request, wait).await {
                    Some(PeerReply::Charged { decision }) => decision,
                    _ => return None,
                }
            }
        };
        if decision != ChargeDecision::Undecided {
            return Some(decision);
        }
    }
    Some(ChargeDecision::Undecided)
}

/// Returns the [`LEDGER_HOST_COUNT`] hosts at which to charge, in order of rank. Lost hosts come
/// last, so hosts with a lower rank may replace them.
fn ledger_hosts_by_reachability(gateway: &Gateway, partition: usize) -> Vec<RankedHost> {
    let mut ledger_hosts = ledger::ranked_hosts(gateway, partition);
    let is_lost = |ledger_host: &RankedHost| {
        ledger_host.address.is_some_and(|address| peers::is_lost(gateway, address))
    };
    ledger_hosts.sort_by_cached_key(is_lost);
    ledger_hosts.truncate(LEDGER_HOST_COUNT);
    ledger_hosts
}

async fn flush_refunds(gateway: Rc<Gateway>) {
    Timer::after(REFUND_INTERVAL).await;
    let refunds = std::mem::take(&mut *gateway.refunds.borrow_mut());
    for (ledger_host, refunds) in refunds {
        send_refunds_to(gateway.clone(), ledger_host, refunds).await;
    }
}

async fn send_refunds_to(
    gateway: Rc<Gateway>,
    ledger_host: Option<SocketAddr>,
    refunds: Vec<(ProgramId, TokenCount)>,
) {
    let Some(address) = ledger_host else {
        ledger::refund(&gateway, &refunds);
        return;
    };
    let request = PeerRequest::Refund { refunds };
    if peers::send_request_or_relay(&gateway, address, request, REFUND_TIMEOUT).await.is_none() {
        // The unused tokens stay charged to the programs.
        gateway.metrics.count("refunds_lost", 1);
    }
}
