//! The budget account of one program.

use {
    super::{Charge, ChargeOutcome, RETENTION_MARGIN, TokenCount, TurnId},
    crate::durations::DURATION_MAX,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Number of turns of a program that a record reserves. With two, a program whose turns follow each
/// other faster than the record is written rarely waits. A successor counts them as uncertain.
const RESERVED_TURNS: u64 = 2;
/// Maximum number of turns of a program that are listed one by one. Above it, the oldest turn counts
/// as having used all its tokens.
const OPEN_TURNS_MAX: usize = 64;
/// Maximum number of settled turns that an account remembers, to ignore late and repeated messages.
const SETTLED_TURNS_MAX: usize = 64;
/// Maximum number of records with an unknown outcome that an account tracks one by one.
const HOLDS_MAX: usize = 8;
/// Marks a hold that stands for several records, at which turns don't free tokens.
const MERGED_TURN_NUMBER: u64 = u64::MAX;

/// The account of a program in the stored record of a ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RecordedAccount {
    /// Tokens used by turns that have ended.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub settled: TokenCount,
    /// Turns that have not ended, with their maximum tokens.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub open: Vec<(TurnId, TokenCount)>,
    /// Maximum of the tokens that former owners may have granted without recording the turns.
    #[serde(rename = "u", default, skip_serializing_if = "is_zero")]
    pub uncertain: TokenCount,
    /// Tokens that the writer may grant without another write.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub reserved: TokenCount,
    /// Number of former owners that may have granted an overdraft.
    #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
    pub lost_overdrafts: u64,
    /// How long the program may be idle and still resume, in milliseconds. Zero stands for the time of
    /// the whole ledger.
    #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
    pub idle_max_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A stored record, or one that may still be stored, as it concerns one account. A successor that
/// reads it allows for `reserved` more tokens than it lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
struct Hold {
    /// Sequence of the record; zero for the record that the owner has taken the ledger over from.
    sequence: u64,
    /// Turns with this or a higher number are not in the record.
    next_turn_number: u64,
    reserved: TokenCount,
    /// Tokens charged to turns that are not in the record.
    unrecorded: TokenCount,
}

/// A turn that was granted and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
struct OpenTurn {
    charged: TokenCount,
    /// Position among the turns that this owner has granted; zero for turns of former owners.
    number: u64,
}

/// The part of an account that the owner replicates to a standby.
///
/// Invariant: the tokens that callers get are at most `settled`, the open turns, `uncertain` and the
/// lost overdrafts together.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AccountReplica {
    /// Tokens used by turns that have ended.
    settled: TokenCount,
    open: BTreeMap<TurnId, OpenTurn>,
    /// Sum of the charges in `open`.
    open_tokens: TokenCount,
    /// Maximum of the tokens that former owners may have granted without recording the turns.
    uncertain: TokenCount,
    /// Number of former owners that may have granted an overdraft.
    lost_overdrafts: u64,
    /// Records that a successor may read, in the order of their sequences. Never empty. Every grant
    /// stays within what each of them reserves.
    holds: Vec<Hold>,
    /// Number of the next turn that this owner grants. Starts at 1.
    next_turn_number: u64,
    /// How long the program may be idle and still resume: the longest time of its turns' charges.
    idle_max: Duration,
}

/// Turns for which a record reserves tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reserving {
    Nothing,
    WaitingTurns,
    /// The next turns of each program, or those that wait if there are more.
    NextTurns,
}

/// What the owner of the ledger knows when a turn is charged.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChargeTerms {
    /// Whether turns may be granted beyond what the records reserve.
    pub(super) is_overdraft_allowed: bool,
    /// Whether the owner has certainly not been superseded for long.
    pub(super) is_confirmed: bool,
    /// Sequence of the last record that was built.
    pub(super) sequence: u64,
}

#[derive(Debug)]
pub(super) struct Account {
    state: AccountReplica,
    /// Budget and maximum tokens per turn. `None` until the first charge.
    limits: Option<Limits>,
    /// Turns that wait for the next write of the record.
    waiting_turns: BTreeSet<TurnId>,
    /// Turns that are refused for good once a record is stored that was built after the one with
    /// this sequence. That shows that no other owner has settled the open turns.
    refused_turns: BTreeMap<TurnId, u64>,
    /// Sequence of the last record that was stored.
    stored_sequence: u64,
    /// Turns that ended lately, oldest first.
    settled_turns: Vec<TurnId>,
    /// Turns whose end is in no stored record yet, each with the sequence of the last record that
    /// was built before it ended.
    unsaved_turns: BTreeMap<TurnId, u64>,
    last_used_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Limits {
    budget: TokenCount,
    turn_max: TokenCount,
}

/// Returns the maximum of an overdraft.
fn overdraft_max(budget: TokenCount) -> TokenCount {
    budget / 2
}

impl Account {
    /// Creates the account of a program without turns. `lost_overdrafts` former owners may have
    /// granted it an overdraft.
    pub(super) fn new(now: Instant, lost_overdrafts: u64) -> Self {
        Self::from_replica(
            now,
            AccountReplica {
                settled: 0,
                open: BTreeMap::new(),
                open_tokens: 0,
                uncertain: 0,
                lost_overdrafts,
                holds: vec![Hold { next_turn_number: 1, ..Hold::default() }],
                next_turn_number: 1,
                idle_max: Duration::ZERO,
            },
        )
    }

    /// Creates the account of a successor. `idle_max` applies if the record names none for the account.
    /// `lost_overdrafts` returns how many overdrafts former owners may have granted, from the number
    /// that the record names.
    pub(super) fn from_record(
        now: Instant,
        recorded: &RecordedAccount,
        idle_max: Duration,
        lost_overdrafts: impl Fn(u64) -> u64,
    ) -> Self {
        let open =
            recorded.open.iter().map(|&(turn, charged)| (turn, OpenTurn { charged, number: 0 }));
        Self::from_replica(
            now,
            AccountReplica {
                settled: recorded.settled,
                open: open.collect(),
                open_tokens: recorded.open.iter().map(|(_, charged)| charged).sum(),
                uncertain: recorded.uncertain.saturating_add(recorded.reserved),
                lost_overdrafts: lost_overdrafts(recorded.lost_overdrafts),
                holds: vec![Hold { next_turn_number: 1, ..Hold::default() }],
                next_turn_number: 1,
                idle_max: duration_of_ms(recorded.idle_max_ms).unwrap_or(idle_max),
            },
        )
    }

    pub(super) fn from_replica(now: Instant, state: AccountReplica) -> Self {
        Self {
            state,
            limits: None,
            waiting_turns: BTreeSet::new(),
            refused_turns: BTreeMap::new(),
            stored_sequence: 0,
            settled_turns: Vec::new(),
            unsaved_turns: BTreeMap::new(),
            last_used_at: now,
        }
    }

    pub(super) fn to_replica(&self) -> AccountReplica {
        self.state.clone()
    }

    /// Charges a turn.
    pub(super) fn charge(
        &mut self,
        now: Instant,
        charge: &Charge,
        terms: ChargeTerms,
    ) -> ChargeOutcome {
        let ChargeTerms { is_overdraft_allowed, is_confirmed, sequence } = terms;
        let Charge { turn, budget, turn_max, .. } = *charge;
        self.limits = Some(Limits { budget, turn_max });
        self.last_used_at = now;
        // A turn of a route with a shorter time does not shorten that of the turns before.
        self.state.idle_max = self.state.idle_max.max(charge.idle_max);
        if let Some(open) = self.state.open.get(&turn) {
            return ChargeOutcome::Granted { is_new: self.charged() == open.charged };
        }
        let is_new = self.charged() == 0;
        if self.settled_turns.contains(&turn) {
            return ChargeOutcome::Cancelled;
        }
        let charged_after = self.charged().saturating_add(turn_max);
        if charged_after > budget {
            if self.state.settled.saturating_add(turn_max) > budget {
                return ChargeOutcome::InsufficientBudget;
            }
            let refused_after = *self.refused_turns.entry(turn).or_insert(sequence);
            return match refused_after < self.stored_sequence {
                true => ChargeOutcome::InsufficientBudget,
                false => ChargeOutcome::WriteRequired,
            };
        }
        // A program may exceed its budget by one turn, so as many of the uncertain tokens don't
        // count.
        let lost = self.state.lost_overdrafts.saturating_mul(overdraft_max(budget));
        let uncertain = self.state.uncertain.saturating_add(lost).saturating_sub(turn_max);
        if charged_after.saturating_add(uncertain) > budget {
            return ChargeOutcome::PossiblySpent;
        }
        // A successor counts one overdraft for all owners before it, so only the first may grant it.
        let may_grant_overdraft = is_overdraft_allowed && self.state.lost_overdrafts == 0;
        let overdraft = if may_grant_overdraft { overdraft_max(budget) } else { 0 };
        if !is_confirmed || turn_max > self.available(overdraft) {
            self.waiting_turns.insert(turn);
            return ChargeOutcome::WriteRequired;
        }
        self.waiting_turns.remove(&turn);
        self.grant(turn, turn_max);
        ChargeOutcome::Granted { is_new }
    }

    fn grant(&mut self, turn: TurnId, charged: TokenCount) {
        let state = &mut self.state;
        if state.open.len() >= OPEN_TURNS_MAX
            && let Some((&oldest, _)) = state.open.iter().min_by_key(|(_, open)| open.number)
            && let Some(open) = state.open.remove(&oldest)
        {
            state.open_tokens -= open.charged;
            state.settled = state.settled.saturating_add(open.charged);
        }
        let number = state.next_turn_number;
        state.next_turn_number += 1;
        state.open.insert(turn, OpenTurn { charged, number });
        state.open_tokens = state.open_tokens.saturating_add(charged);
        for hold in &mut state.holds {
            hold.unrecorded = hold.unrecorded.saturating_add(charged);
        }
    }

    /// Ends a turn and frees the tokens that it did not use. Does nothing if the turn has ended
    /// before. A turn that is not known, and may still be charged late, is cancelled. `sequence` is
    /// that of the last record that was built.
    pub(super) fn settle(&mut self, now: Instant, turn: TurnId, used: TokenCount, sequence: u64) {
        self.last_used_at = now;
        self.waiting_turns.remove(&turn);
        if self.settled_turns.contains(&turn) {
            return;
        }
        if self.settled_turns.len() >= SETTLED_TURNS_MAX {
            self.settled_turns.remove(0);
        }
        self.settled_turns.push(turn);
        let state = &mut self.state;
        let Some(open) = state.open.remove(&turn) else { return };
        let used = used.min(open.charged);
        state.open_tokens -= open.charged;
        state.settled = state.settled.saturating_add(used);
        // A successor that reads a record with this turn frees the tokens itself.
        for hold in state.holds.iter_mut().filter(|hold| hold.next_turn_number <= open.number) {
            hold.unrecorded = hold.unrecorded.saturating_sub(open.charged - used);
        }
        self.unsaved_turns.insert(turn, sequence);
    }

    /// Returns whether the end of a turn is in the stored record, or the turn is not known.
    pub(super) fn is_settlement_stored(&self, turn: TurnId) -> bool {
        !self.unsaved_turns.contains_key(&turn)
    }

    #[cfg(test)]
    pub(super) fn is_settled(&self, turn: TurnId) -> bool {
        self.settled_turns.contains(&turn)
    }

    /// Returns the tokens that have certainly been granted and not been freed.
    fn charged(&self) -> TokenCount {
        self.state.settled.saturating_add(self.state.open_tokens)
    }

    /// Returns the tokens that may be granted before the next write, whichever of the records a
    /// successor reads. A successor allows for `overdraft` more tokens than a record reserves.
    fn available(&self, overdraft: TokenCount) -> TokenCount {
        let available =
            |hold: &Hold| hold.reserved.saturating_add(overdraft).saturating_sub(hold.unrecorded);
        self.state.holds.iter().map(available).min().unwrap_or_default()
    }

    /// Returns whether the record should be written before the next turn.
    pub(super) fn needs_write(&self, reserving: Reserving) -> bool {
        !self.unsaved_turns.is_empty()
            || self.refused_turns.values().any(|after| *after >= self.stored_sequence)
            || self.reservation(reserving) > self.available(0)
    }

    fn reservation(&self, reserving: Reserving) -> TokenCount {
        let Some(Limits { budget, turn_max }) = self.limits else { return 0 };
        let waiting_turns = self.waiting_turns.len() as u64;
        let turns = match reserving {
            Reserving::Nothing => 0,
            Reserving::WaitingTurns => waiting_turns,
            Reserving::NextTurns => waiting_turns.max(RESERVED_TURNS),
        };
        let left = budget.saturating_sub(self.charged());
        let fitting_turns = left.checked_div(turn_max).unwrap_or_default();
        turns.min(fitting_turns) * turn_max
    }

    /// Returns the account for a record that is about to be written. Until the outcome of the write
    /// is known, grants stay within what this record and the stored one reserve.
    /// `ledger_idle_max` is the idle time that the record names for all accounts.
    pub(super) fn build_record(
        &mut self,
        sequence: u64,
        reserving: Reserving,
        ledger_idle_max: Duration,
    ) -> RecordedAccount {
        let reserved = self.reservation(reserving);
        let state = &mut self.state;
        if state.holds.len() >= HOLDS_MAX {
            merge_last_two(&mut state.holds);
        }
        state.holds.push(Hold {
            sequence,
            next_turn_number: state.next_turn_number,
            reserved,
            unrecorded: 0,
        });
        RecordedAccount {
            settled: state.settled,
            open: state.open.iter().map(|(&turn, open)| (turn, open.charged)).collect(),
            uncertain: state.uncertain,
            reserved,
            lost_overdrafts: state.lost_overdrafts,
            idle_max_ms: match state.idle_max == ledger_idle_max {
                true => 0,
                false => state.idle_max.as_millis() as u64,
            },
        }
    }

    /// Called when the record with this sequence was stored. None of the others that this owner has
    /// tried to store since its last stored one can be stored any more.
    pub(super) fn on_stored(&mut self, sequence: u64) {
        self.state.holds.retain(|hold| hold.sequence == sequence);
        if self.state.holds.is_empty() {
            // The hold was merged with another, so it is not known which turns the record lacks.
            self.state.holds.push(Hold {
                sequence,
                next_turn_number: MERGED_TURN_NUMBER,
                reserved: 0,
                unrecorded: TokenCount::MAX,
            });
        }
        self.unsaved_turns.retain(|_, settled_after| *settled_after >= sequence);
        self.waiting_turns.clear();
        // Keeps those that this record confirms.
        let previous = std::mem::replace(&mut self.stored_sequence, sequence);
        self.refused_turns.retain(|_, refused_after| *refused_after >= previous);
    }

    /// Called when the last record that was built was not stored and never will be.
    pub(super) fn on_not_stored(&mut self, sequence: u64) {
        self.state.holds.retain(|hold| hold.sequence != sequence);
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used_at) > self.state.idle_max + RETENTION_MARGIN
    }
}

/// Returns the duration that a record names; `None` for zero.
pub(super) fn duration_of_ms(ms: u64) -> Option<Duration> {
    (ms > 0).then(|| Duration::from_millis(ms).min(DURATION_MAX))
}

/// Replaces the last two holds by one that allows no more than either of them.
fn merge_last_two(holds: &mut Vec<Hold>) {
    let (Some(last), Some(previous)) = (holds.pop(), holds.pop()) else { return };
    let is_last_smaller = last.reserved.saturating_add(previous.unrecorded)
        <= previous.reserved.saturating_add(last.unrecorded);
    let least = if is_last_smaller { last } else { previous };
    holds.push(Hold { sequence: last.sequence, next_turn_number: MERGED_TURN_NUMBER, ..least });
}
