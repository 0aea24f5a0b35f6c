//! The account of one program.

use {
    super::{Charge, Charged, KEEP_MARGIN, TokenCount},
    std::time::{Duration, Instant},
};

/// Share of what is left of a budget by which the record runs ahead of the charges: a third leaves
/// room for every turn of a program whose ledger is taken over.
const MARGIN_DIVISOR: TokenCount = 3;
/// How long a program may pause where it has not said so yet.
const IDLE_MAX_DEFAULT: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(super) struct Account {
    /// Tokens granted and not refunded.
    charged: TokenCount,
    /// What the store's record says. A crash of this host brings the account back to it.
    recorded: TokenCount,
    /// Budget and most of a turn, once a turn has named them.
    terms: Option<Terms>,
    /// Whether charges may be missing, made while the store was away.
    is_doubtful: bool,
    /// What a turn that waits for the record needs.
    awaited: TokenCount,
    /// What was charged for such doubt.
    doubt: TokenCount,
    used_at: Instant,
    idle_max: Duration,
}

/// An account as it is copied to a standby.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AccountCopy {
    charged: TokenCount,
    recorded: TokenCount,
    terms: Option<Terms>,
    is_doubtful: bool,
    doubt: TokenCount,
    idle_max: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
struct Terms {
    budget: TokenCount,
    turn_max: TokenCount,
}

impl Terms {
    /// Returns what may be charged beyond the record while the store can't be written to.
    fn outage_max(self) -> TokenCount {
        (self.budget / 2).max(self.turn_max)
    }
}

impl Account {
    pub(super) fn new(now: Instant, is_doubtful: bool) -> Self {
        let idle_max = IDLE_MAX_DEFAULT;
        Self::recorded(now, 0, idle_max, is_doubtful)
    }

    pub(super) fn recorded(
        now: Instant,
        recorded: TokenCount,
        idle_max: Duration,
        is_doubtful: bool,
    ) -> Self {
        Self {
            charged: recorded,
            recorded,
            terms: None,
            is_doubtful,
            awaited: 0,
            doubt: 0,
            used_at: now,
            idle_max,
        }
    }

    pub(super) fn from_copy(now: Instant, copy: &AccountCopy) -> Self {
        Self {
            charged: copy.charged,
            terms: copy.terms,
            doubt: copy.doubt,
            ..Self::recorded(now, copy.recorded, copy.idle_max, copy.is_doubtful)
        }
    }

    pub(super) fn to_copy(&self) -> AccountCopy {
        AccountCopy {
            charged: self.charged,
            recorded: self.recorded,
            terms: self.terms,
            is_doubtful: self.is_doubtful,
            doubt: self.doubt,
            idle_max: self.idle_max,
        }
    }

    /// Charges a turn. `is_outage` lets charges go far beyond the record.
    pub(super) fn charge(&mut self, now: Instant, charge: &Charge, is_outage: bool) -> Charged {
        let terms = Terms { budget: charge.budget, turn_max: charge.turn_max };
        self.terms = Some(terms);
        self.used_at = now;
        self.idle_max = charge.idle_max;
        if std::mem::take(&mut self.is_doubtful) {
            // One turn may be over the budget anyway. The doubt needs no write of its own: whoever
            // takes the ledger over has it too.
            let missing = terms.outage_max() - terms.turn_max;
            self.charged = self.charged.saturating_add(missing);
            self.recorded = self.recorded.saturating_add(missing);
            self.doubt = missing;
        }
        let after = self.charged.saturating_add(terms.turn_max);
        if after > terms.budget {
            return Charged::Spent;
        }
        let beyond_max = match charge.is_first_choice {
            _ if is_outage => terms.outage_max(),
            true => terms.turn_max,
            false => 0,
        };
        if after.saturating_sub(self.recorded) > beyond_max {
            self.awaited = terms.turn_max;
            return Charged::AfterWrite;
        }
        self.awaited = 0;
        let is_new = self.charged == self.doubt;
        self.charged = after;
        Charged::Granted { is_new }
    }

    pub(super) fn refund(&mut self, now: Instant, tokens: TokenCount) {
        self.charged = self.charged.saturating_sub(tokens);
        self.used_at = now;
    }

    /// Returns whether charges are beyond the record, or will be soon.
    pub(super) fn needs_write(&self) -> bool {
        let Some(terms) = self.terms else { return false };
        let soon = if self.margin() > 0 { terms.turn_max } else { 0 };
        self.recorded < self.charged.saturating_add(self.awaited.max(soon))
    }

    /// Returns what to record: the charges and a margin for the next ones.
    pub(super) fn to_record(&self) -> TokenCount {
        self.charged.saturating_add(self.margin().max(self.awaited))
    }

    /// Returns by how much the record runs ahead. A short program has no turn to spare: whoever
    /// takes its ledger over must take the margin as used.
    fn margin(&self) -> TokenCount {
        let Some(Terms { budget, turn_max }) = self.terms else { return 0 };
        let margin = budget.saturating_sub(self.charged) / MARGIN_DIVISOR;
        if margin < turn_max { 0 } else { margin }
    }

    pub(super) fn written(&mut self, recorded: TokenCount) {
        self.recorded = recorded;
    }

    /// Takes in what another host has recorded since this one last did. That contains this host's
    /// own record, of which it may use what it has not.
    pub(super) fn merge(&mut self, recorded: TokenCount, is_doubtful: bool) {
        self.is_doubtful |= is_doubtful;
        self.charged = match self.charged.checked_sub(self.recorded) {
            Some(missing) => recorded.saturating_add(missing),
            None => recorded.saturating_sub(self.recorded - self.charged),
        };
        self.recorded = recorded;
    }

    pub(super) fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.used_at) > self.idle_max + KEEP_MARGIN
    }
}
