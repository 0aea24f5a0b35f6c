//! Charges turns to their programs' budgets, and settles them at their ends.

use {
    super::Call,
    crate::{
        gateway::Gateway,
        ledger::{self, LEDGER_HOST_COUNT, RankedHost},
        peers::{self, ChargeDecision, PeerReply, PeerRequest, SettlementStatus},
        roster,
    },
    serde_json::json,
    smol::Timer,
    std::{
        cell::Cell,
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        budget::{Charge, Settlement, TokenCount, TurnId},
        ids::ProgramId,
        verdict::{Reason, Refusal},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Limit for all attempts to charge a turn at one ledger host. Longer than two writes with a slow
/// store take, because turns wait for the write that covers them and for the one before it.
const LEDGER_HOST_TIMEOUT: Duration = Duration::from_millis(1200);
/// Maximum time that a ledger host waits for the ledger's record before it replies `Undecided`.
/// This time is short, so that a missing answer means that the host is lost, not that the host is
/// waiting.
const RECORD_WAIT_MAX: Duration = Duration::from_millis(120);
/// Charges that take longer are logged. Allows for a few round trips between hosts.
const SLOW_CHARGE: Duration = Duration::from_millis(50);
/// Time added to [`RECORD_WAIT_MAX`] for the request and its answer.
const ROUND_TRIP_MARGIN: Duration = Duration::from_millis(130);
/// Interval over which settlements are batched into one message.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that a ledger host waits for its record to include settlements.
const SETTLE_WAIT_MAX: Duration = Duration::from_millis(800);
/// How long settlements are sent again. Longer than takeovers and most outages of the store last.
const SETTLE_RETRY_MAX: Duration = Duration::from_secs(20);
/// `Retry-After` of calls that are refused because no host can decide on the charge.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Partition of settlements, and address of the ledger host that granted the turns. `None` stands for
/// this host.
type SettlementBatch = (usize, Option<SocketAddr>);

/// Settlements that wait to be sent.
pub(crate) type Settlements = BTreeMap<SettlementBatch, Vec<PendingSettlement>>;

/// A settlement that is sent until a stored record includes it.
pub(crate) struct PendingSettlement {
    settlement: Settlement,
    expires_at: Instant,
}

/// A turn that was charged its maximum tokens, or may have been. Settled when dropped.
pub(crate) struct TurnCharge {
    gateway: Rc<Gateway>,
    /// Address of the ledger host that charged the turn. `None` stands for this host.
    ledger_host: Option<SocketAddr>,
    program: ProgramId,
    turn: TurnId,
    charged: TokenCount,
    /// Whether a host has charged the turn, or may do so.
    may_be_charged: bool,
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
        if !self.may_be_charged {
            return;
        }
        let used = self.used.get();
        let settlement = Settlement { program: self.program.clone(), turn: self.turn, used };
        let expires_at = Instant::now() + SETTLE_RETRY_MAX;
        let pending = PendingSettlement { settlement, expires_at };
        let batch = (ledger::partition_of(&self.program), self.ledger_host);
        match used {
            // A turn without tokens was probably refused and will be retried soon. Its charge must
            // not block other turns of the program.
            0 => self.gateway.spawn(settle(self.gateway.clone(), batch, vec![pending])),
            _ => enqueue(&self.gateway, batch, [pending]),
        }
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
    let program: ProgramId = program.id.as_str().into();
    let began = Instant::now();
    let longest_idle_max = {
        let table = gateway.routing_table.borrow();
        table.as_ref().map(|table| table.longest_idle_max()).unwrap_or_default()
    };
    let ledger_hosts = ledger_hosts_by_reachability(gateway, ledger::partition_of(&program));
    for (host_index, RankedHost { address, .. }) in ledger_hosts.into_iter().enumerate() {
        // Not the turn that was cancelled at another host.
        let charge = Charge {
            program: program.clone(),
            turn: rand::random(),
            budget,
            turn_max: generation.output_tokens_max,
            idle_max: call.route.retention(),
            longest_idle_max,
        };
        let mut turn_charge = TurnCharge {
            gateway: gateway.clone(),
            ledger_host: address,
            program: charge.program.clone(),
            turn: charge.turn,
            charged: charge.turn_max,
            may_be_charged: true,
            opens_program: false,
            used: Cell::new(0),
        };
        let mut decision = charge_at(gateway, address, &charge, call.time_left()).await;
        log_charge(gateway, call, address, host_index, decision.as_ref(), began.elapsed());
        if let Some(ChargeDecision::OwnedElsewhere { owner }) = decision {
            turn_charge.ledger_host = (owner != roster::own_address(gateway)).then_some(owner);
            let owner = turn_charge.ledger_host;
            decision = charge_at(gateway, owner, &charge, call.time_left()).await;
            if decision.is_none()
                && let (Some(through), Some(owner)) = (address, owner)
            {
                decision = charge_through(gateway, through, owner, &charge).await;
            }
            log_charge(gateway, call, owner, host_index, decision.as_ref(), began.elapsed());
        }
        // Unless the host has refused it, it may grant the turn late, and the turn is cancelled.
        turn_charge.may_be_charged = matches!(
            decision,
            None | Some(ChargeDecision::Granted { .. } | ChargeDecision::Undecided)
        );
        match decision {
            Some(ChargeDecision::Granted { is_new }) => {
                turn_charge.opens_program = is_new;
                return Ok(Some(turn_charge));
            }
            Some(ChargeDecision::InsufficientBudget) => {
                let detail = format!("the program's budget of {budget} tokens is spent");
                return Err(Refusal::not_run(Reason::BudgetSpent, detail));
            }
            Some(ChargeDecision::PossiblySpent) => {
                let detail = "a lost host may have granted the rest of the program's budget";
                return Err(
                    Refusal::not_run(Reason::StoreUnavailable, detail).retry_after(RETRY_AFTER)
                );
            }
            _ if call.time_left().is_zero() => break,
            _ => {}
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

/// Charges a turn at its owner through the host that has named it, and so has just reached it.
async fn charge_through(
    gateway: &Rc<Gateway>,
    through: SocketAddr,
    owner: SocketAddr,
    charge: &Charge,
) -> Option<ChargeDecision> {
    let request = PeerRequest::Charge { charge: charge.clone(), wait: RECORD_WAIT_MAX };
    let wait = RECORD_WAIT_MAX + ROUND_TRIP_MARGIN;
    let relay = PeerRequest::Relay { to: owner, host: None, request: Box::new(request), wait };
    let deadline = Instant::now() + wait + ROUND_TRIP_MARGIN;
    match peers::send_request(gateway, through, &relay, deadline).await {
        Some(PeerReply::Relayed { reply: Some(reply) }) => match *reply {
            PeerReply::Charged { decision } => Some(decision),
            _ => None,
        },
        _ => None,
    }
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

/// Adds settlements to the next batch.
fn enqueue(
    gateway: &Rc<Gateway>,
    batch: SettlementBatch,
    settlements: impl IntoIterator<Item = PendingSettlement>,
) {
    let mut pending = gateway.settlements.borrow_mut();
    if pending.is_empty() {
        gateway.spawn(flush_settlements(gateway.clone()));
    }
    pending.entry(batch).or_default().extend(settlements);
}

async fn flush_settlements(gateway: Rc<Gateway>) {
    Timer::after(SETTLE_INTERVAL).await;
    let batches = std::mem::take(&mut *gateway.settlements.borrow_mut());
    for (batch, settlements) in batches {
        gateway.spawn(settle(gateway.clone(), batch, settlements));
    }
}

/// Sends settlements to the host that granted the turns, then to the others that may own the ledger.
/// Those that the stored record does not include yet join the next batch, so that an outage does not
/// multiply the messages.
async fn settle(gateway: Rc<Gateway>, batch: SettlementBatch, settlements: Vec<PendingSettlement>) {
    let (partition, granted_by) = batch;
    let sent: Vec<Settlement> =
        settlements.iter().map(|pending| pending.settlement.clone()).collect();
    let ranked = ledger_hosts_by_reachability(&gateway, partition).into_iter();
    let others = ranked.map(|host| host.address).filter(|address| *address != granted_by);
    for ledger_host in std::iter::once(granted_by).chain(others.collect::<Vec<_>>()) {
        match settle_at(&gateway, ledger_host, &sent).await {
            Some(SettlementStatus::Stored) => return,
            Some(SettlementStatus::Pending) => break,
            Some(SettlementStatus::NotOwner) | None => {}
        }
    }
    let now = Instant::now();
    let (kept, lost): (Vec<_>, Vec<_>) =
        settlements.into_iter().partition(|pending| now < pending.expires_at);
    if !lost.is_empty() {
        // The turns stay charged their maximum tokens.
        gateway.metrics.count("settlements_lost", lost.len() as i64);
    }
    if !kept.is_empty() {
        enqueue(&gateway, batch, kept);
    }
}

async fn settle_at(
    gateway: &Rc<Gateway>,
    ledger_host: Option<SocketAddr>,
    settlements: &[Settlement],
) -> Option<SettlementStatus> {
    let wait = SETTLE_WAIT_MAX;
    let Some(address) = ledger_host else {
        return Some(ledger::settle(gateway, settlements, Instant::now() + wait).await);
    };
    let request = PeerRequest::Settle { settlements: settlements.to_vec(), wait };
    match peers::send_request_or_relay(gateway, address, request, wait + ROUND_TRIP_MARGIN).await {
        Some(PeerReply::Settled { status }) => Some(status),
        _ => None,
    }
}
