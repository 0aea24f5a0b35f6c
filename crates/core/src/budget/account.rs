//! The budget account of one program.

use {
    super::{Charge, ChargeOutcome, RETENTION_MARGIN, TokenCount},
    std::time::{Duration, Instant},
};

/// Divisor of the remaining budget that gives the reservation. With a third, the budget still has
/// room for every turn of a program after its ledger is taken over.
const RESERVATION_DIVISOR: TokenCount = 3;
/// Default idle time of a program that has not set one.
const IDLE_MAX_DEFAULT: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(super) struct Account {
    /// Tokens granted and not refunded.
    charged: TokenCount,
    /// Tokens recorded for the account, including the reservation. After a crash of this host the
    /// account restarts from this value.
    recorded: TokenCount,
    /// Budget and maximum tokens per turn. `None` until the first charge.
    limits: Option<Limits>,
    /// Whether charges made while the store was unavailable may be missing from `charged`.
    is_possibly_incomplete: bool,
    /// Tokens needed by a turn that waits for the next write of the record.
    waiting_turn_tokens: TokenCount,
    /// Tokens charged in place of charges that may be missing.
    presumed_charge: TokenCount,
    last_used_at: Instant,
    idle_max: Duration,
}

/// State of an account as it is replicated to a standby.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AccountReplica {
    charged: TokenCount,
    recorded: TokenCount,
    #[serde(rename = "terms")]
    limits: Option<Limits>,
    #[serde(rename = "is_doubtful")]
    is_possibly_incomplete: bool,
    #[serde(rename = "doubt")]
    presumed_charge: TokenCount,
    idle_max: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
struct Limits {
    budget: TokenCount,
    turn_max: TokenCount,
}

impl Limits {
    /// Returns the maximum of unreserved charges while the store is unavailable.
    fn overdraft_max(self) -> TokenCount {
        (self.budget / 2).max(self.turn_max)
    }
}

impl Account {
    pub(super) fn new(now: Instant, is_possibly_incomplete: bool) -> Self {
        let idle_max = IDLE_MAX_DEFAULT;
        Self::from_record(now, 0, idle_max, is_possibly_incomplete)
    }

    pub(super) fn from_record(
        now: Instant,
        recorded: TokenCount,
        idle_max: Duration,
        is_possibly_incomplete: bool,
    ) -> Self {
        Self {
            charged: recorded,
            recorded,
            limits: None,
            is_possibly_incomplete,
            waiting_turn_tokens: 0,
            presumed_charge: 0,
            last_used_at: now,
            idle_max,
        }
    }

    pub(super) fn from_replica(now: Instant, replica: &AccountReplica) -> Self {
        Self {
            charged: replica.charged,
            limits: replica.limits,
            presumed_charge: replica.presumed_charge,
            ..Self::from_record(
                now,
                replica.recorded,
                replica.idle_max,
                replica.is_possibly_incomplete,
            )
        }
    }

    pub(super) fn to_replica(&self) -> AccountReplica {
        AccountReplica {
            charged: self.charged,
            recorded: self.recorded,
            limits: self.limits,
            is_possibly_incomplete: self.is_possibly_incomplete,
            presumed_charge: self.presumed_charge,
            idle_max: self.idle_max,
        }
    }

    /// Charges a turn. `is_overdraft_allowed` raises the limit of unreserved charges to that of an
    /// overdraft.
    pub(super) fn charge(
        &mut self,
        now: Instant,
        charge: &Charge,
        is_overdraft_allowed: bool,
    ) -> ChargeOutcome {
        let limits = Limits { budget: charge.budget, turn_max: charge.turn_max };
        self.limits = Some(limits);
        self.last_used_at = now;
        self.idle_max = charge.idle_max;
        if std::mem::take(&mut self.is_possibly_incomplete) {
            // The budget may be exceeded by one turn anyway, so the presumed charge is one turn
            // less than the maximum overdraft. The presumed charge needs no write of its own: a
            // host that takes the ledger over also treats the account as possibly incomplete.
            let presumed_charge = limits.overdraft_max() - limits.turn_max;
            self.charged = self.charged.saturating_add(presumed_charge);
            self.recorded = self.recorded.saturating_add(presumed_charge);
            self.presumed_charge = presumed_charge;
        }
        let charged_after = self.charged.saturating_add(limits.turn_max);
        if charged_after > limits.budget {
            return ChargeOutcome::InsufficientBudget;
        }
        let unreserved_max = match charge.is_first_ranked {
            _ if is_overdraft_allowed => limits.overdraft_max(),
            true => limits.turn_max,
            false => 0,
        };
        if charged_after.saturating_sub(self.recorded) > unreserved_max {
            self.waiting_turn_tokens = limits.turn_max;
            return ChargeOutcome::WriteRequired;
        }
        self.waiting_turn_tokens = 0;
        let is_new = self.charged == self.presumed_charge;
        self.charged = charged_after;
        ChargeOutcome::Granted { is_new }
    }

    pub(super) fn refund(&mut self, now: Instant, tokens: TokenCount) {
        self.charged = self.charged.saturating_sub(tokens);
        self.last_used_at = now;
    }

    /// Returns whether the record should be written before the next turn.
    pub(super) fn needs_write(&self) -> bool {
        let Some(limits) = self.limits else { return false };
        let next_turn_tokens = if self.reservation() > 0 { limits.turn_max } else { 0 };
        self.recorded < self.charged.saturating_add(self.waiting_turn_tokens.max(next_turn_tokens))
    }

    /// Returns the tokens to record: the charges and the reservation for the next ones.
    pub(super) fn tokens_to_record(&self) -> TokenCount {
        self.charged.saturating_add(self.reservation().max(self.waiting_turn_tokens))
    }

    /// Returns the tokens that the record reserves beyond the charges. Returns 0 if the reservation
    /// would be less than one turn. A takeover counts the reservation as used, which would cost a
    /// short program one of its turns.
    fn reservation(&self) -> TokenCount {
        let Some(Limits { budget, turn_max }) = self.limits else { return 0 };
        let reservation = budget.saturating_sub(self.charged) / RESERVATION_DIVISOR;
        if reservation < turn_max { 0 } else { reservation }
    }

    pub(super) fn on_written(&mut self, recorded: TokenCount) {
        self.recorded = recorded;
    }

    /// Merges the tokens of this account in a record that another host has written since this
    /// host's last write. They include this host's previous record, so this host may still grant
    /// the tokens that it has reserved but not charged.
    pub(super) fn merge(&mut self, recorded: TokenCount, is_possibly_incomplete: bool) {
        self.is_possibly_incomplete |= is_possibly_incomplete;
        self.charged = match self.charged.checked_sub(self.recorded) {
            Some(unreserved) => recorded.saturating_add(unreserved),
            None => recorded.saturating_sub(self.recorded - self.charged),
        };
        self.recorded = recorded;
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used_at) > self.idle_max + RETENTION_MARGIN
    }
}
