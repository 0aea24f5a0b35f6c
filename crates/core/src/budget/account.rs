//! The account of one program.

use {
    super::{Charge, ChargeOutcome, RETENTION_MARGIN, TokenCount},
    std::time::{Duration, Instant},
};

/// Share of what is left of a budget by which the record runs ahead of the charges: a third leaves
/// room for every turn of a program whose ledger is taken over.
const RESERVATION_DIVISOR: TokenCount = 3;
/// How long a program may pause where it has not said so yet.
const IDLE_MAX_DEFAULT: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(super) struct Account {
    /// Tokens granted and not refunded.
    charged: TokenCount,
    /// What the store's record says. A crash of this host brings the account back to it.
    recorded: TokenCount,
    /// Budget and most of a turn, once a turn has named them.
    limits: Option<Limits>,
    /// Whether charges may be missing, made while the store was away.
    is_possibly_incomplete: bool,
    /// What a turn that waits for the record needs.
    waiting_tokens: TokenCount,
    /// What was charged for such doubt.
    presumed_charge: TokenCount,
    last_used_at: Instant,
    idle_max: Duration,
}

/// An account as it is copied to a standby.
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
    /// Returns what may be charged beyond the record while the store can't be written to.
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
            waiting_tokens: 0,
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

    /// Charges a turn. `is_outage` lets charges go far beyond the record.
    pub(super) fn charge(
        &mut self,
        now: Instant,
        charge: &Charge,
        may_overdraw_record: bool,
    ) -> ChargeOutcome {
        let limits = Limits { budget: charge.budget, turn_max: charge.turn_max };
        self.limits = Some(limits);
        self.last_used_at = now;
        self.idle_max = charge.idle_max;
        if std::mem::take(&mut self.is_possibly_incomplete) {
            // One turn may be over the budget anyway. The doubt needs no write of its own: whoever
            // takes the ledger over has it too.
            let presumed_missing = limits.overdraft_max() - limits.turn_max;
            self.charged = self.charged.saturating_add(presumed_missing);
            self.recorded = self.recorded.saturating_add(presumed_missing);
            self.presumed_charge = presumed_missing;
        }
        let charged_after = self.charged.saturating_add(limits.turn_max);
        if charged_after > limits.budget {
            return ChargeOutcome::Spent;
        }
        let unreserved_max = match charge.is_first_choice {
            _ if may_overdraw_record => limits.overdraft_max(),
            true => limits.turn_max,
            false => 0,
        };
        if charged_after.saturating_sub(self.recorded) > unreserved_max {
            self.waiting_tokens = limits.turn_max;
            return ChargeOutcome::WriteRequired;
        }
        self.waiting_tokens = 0;
        let is_new = self.charged == self.presumed_charge;
        self.charged = charged_after;
        ChargeOutcome::Granted { is_new }
    }

    pub(super) fn refund(&mut self, now: Instant, tokens: TokenCount) {
        self.charged = self.charged.saturating_sub(tokens);
        self.last_used_at = now;
    }

    /// Returns whether charges are beyond the record, or will be soon.
    pub(super) fn needs_write(&self) -> bool {
        let Some(limits) = self.limits else { return false };
        let next_turn = if self.reservation() > 0 { limits.turn_max } else { 0 };
        self.recorded < self.charged.saturating_add(self.waiting_tokens.max(next_turn))
    }

    /// Returns what to record: the charges and a margin for the next ones.
    pub(super) fn tokens_to_record(&self) -> TokenCount {
        self.charged.saturating_add(self.reservation().max(self.waiting_tokens))
    }

    /// Returns by how much the record runs ahead. A short program has no turn to spare: whoever
    /// takes its ledger over must take the margin as used.
    fn reservation(&self) -> TokenCount {
        let Some(Limits { budget, turn_max }) = self.limits else { return 0 };
        let reservation = budget.saturating_sub(self.charged) / RESERVATION_DIVISOR;
        if reservation < turn_max { 0 } else { reservation }
    }

    pub(super) fn on_written(&mut self, recorded: TokenCount) {
        self.recorded = recorded;
    }

    /// Takes in what another host has recorded since this one last did. That contains this host's
    /// own record, of which it may use what it has not.
    pub(super) fn merge(&mut self, recorded: TokenCount, is_possibly_incomplete: bool) {
        self.is_possibly_incomplete |= is_possibly_incomplete;
        self.charged = match self.charged.checked_sub(self.recorded) {
            Some(missing) => recorded.saturating_add(missing),
            None => recorded.saturating_sub(self.recorded - self.charged),
        };
        self.recorded = recorded;
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used_at) > self.idle_max + RETENTION_MARGIN
    }
}
