//! What programs may spend. A child draws on every program above it.

use {
    super::{Moment, Programs},
    crate::{
        catalog::Budget,
        ids::ProgramId,
        message::Usage,
        verdict::{Reason, Refusal},
    },
    std::time::Duration,
};

/// Turns and tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Charge {
    pub turns: u32,
    pub tokens: u64,
}

/// What a program and its children have spent, and what their turns in flight may.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Spending {
    pub spent: Charge,
    pub reserved: Charge,
}

impl Spending {
    /// What neither is spent nor reserved.
    fn rest(&self, budget: &Budget) -> Charge {
        let turns = self.spent.turns.saturating_add(self.reserved.turns);
        let tokens = self.spent.tokens.saturating_add(self.reserved.tokens);
        Charge {
            turns: budget.turns.saturating_sub(turns),
            tokens: budget.tokens.saturating_sub(tokens),
        }
    }
}

/// Tokens that a turn is charged: those of its prompt that were not in the history, and those it
/// generated. `context_tokens` is the prompt and the answer of the turn before.
pub(super) fn turn_charge(context_tokens: u64, usage: &Usage) -> Charge {
    let new_tokens = usage.prompt_tokens.saturating_sub(context_tokens);
    Charge { turns: 1, tokens: new_tokens.saturating_add(usage.completion_tokens) }
}

impl Programs {
    /// Adds a charge to a program and all above it.
    pub(super) fn charge(&mut self, program: &ProgramId, charge: Charge) {
        for id in self.chain(program) {
            if let Some(state) = self.programs.get_mut(&id) {
                let spent = &mut state.spending_mut().spent;
                spent.turns = spent.turns.saturating_add(charge.turns);
                spent.tokens = spent.tokens.saturating_add(charge.tokens);
            }
        }
    }

    /// Sets tokens aside for a turn, so that turns of children beside it can't spend them too.
    /// Returns what the turn may generate: at most `wanted`, and less where the budget ends.
    pub(super) fn reserve_turn(
        &mut self,
        program: &ProgramId,
        new_prompt_tokens: u64,
        wanted: u64,
    ) -> Result<Charge, Refusal> {
        let chain = self.chain(program);
        let rests = chain.iter().filter_map(|id| {
            let state = self.programs.get(id)?;
            Some(state.spending().rest(state.budget()))
        });
        let (turns, tokens) = rests.fold((u32::MAX, u64::MAX), |(turns, tokens), rest| {
            (turns.min(rest.turns), tokens.min(rest.tokens))
        });
        if turns == 0 {
            return Err(spent("turns"));
        }
        if tokens <= new_prompt_tokens {
            return Err(spent("tokens"));
        }
        let reserved =
            Charge { turns: 1, tokens: tokens.min(new_prompt_tokens.saturating_add(wanted)) };
        for id in chain {
            if let Some(state) = self.programs.get_mut(&id) {
                let all = &mut state.spending_mut().reserved;
                all.turns += reserved.turns;
                all.tokens += reserved.tokens;
            }
        }
        Ok(reserved)
    }

    /// Gives a reservation back.
    pub(super) fn free_reservation(&mut self, program: &ProgramId, reserved: Charge) {
        for id in self.chain(program) {
            if let Some(state) = self.programs.get_mut(&id) {
                let all = &mut state.spending_mut().reserved;
                all.turns -= reserved.turns;
                all.tokens -= reserved.tokens;
            }
        }
    }

    /// Wall time that is left to a program: the least of its own and of all above it.
    pub(super) fn wall_left(&self, now: Moment, program: &ProgramId) -> Duration {
        let chain = self.chain(program);
        let left = chain.iter().filter_map(|id| {
            let state = self.programs.get(id)?;
            Some(Duration::from_millis(state.budget().wall_ms).saturating_sub(state.age(now)))
        });
        left.min().unwrap_or(Duration::ZERO)
    }
}

/// The refusal for a budget that is used up.
pub(super) fn spent(what: &str) -> Refusal {
    Refusal::not_run(Reason::BudgetSpent, format!("the program's budget of {what} is spent"))
}
