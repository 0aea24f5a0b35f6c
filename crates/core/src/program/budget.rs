//! Budgets of programs. A child's usage is charged to the child and to all its ancestors.

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

/// An amount of turns and tokens that is spent or reserved.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Charge {
    pub turns: u32,
    pub tokens: u64,
}

/// Turns and tokens spent by a program and its descendants, and those reserved for their turns in
/// flight.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Spending {
    pub spent: Charge,
    pub reserved: Charge,
}

impl Spending {
    /// Returns the part of the budget that is neither spent nor reserved.
    fn remaining(&self, budget: &Budget) -> Charge {
        let turns = self.spent.turns.saturating_add(self.reserved.turns);
        let tokens = self.spent.tokens.saturating_add(self.reserved.tokens);
        Charge {
            turns: budget.turns.saturating_sub(turns),
            tokens: budget.tokens.saturating_sub(tokens),
        }
    }
}

/// Returns the charge for a turn: the prompt tokens beyond `context_tokens` (the prompt and answer
/// of the previous turn), plus the generated tokens.
pub(super) fn turn_charge(context_tokens: u64, usage: &Usage) -> Charge {
    let new_tokens = usage.prompt_tokens.saturating_sub(context_tokens);
    Charge { turns: 1, tokens: new_tokens.saturating_add(usage.completion_tokens) }
}

impl Programs {
    /// Adds a charge to a program and its ancestors.
    pub(super) fn charge(&mut self, program: &ProgramId, charge: Charge) {
        for id in self.with_ancestors(program) {
            if let Some(state) = self.programs.get_mut(&id) {
                let spent = &mut state.spending_mut().spent;
                spent.turns = spent.turns.saturating_add(charge.turns);
                spent.tokens = spent.tokens.saturating_add(charge.tokens);
            }
        }
    }

    /// Reserves tokens for a turn, so that concurrent turns of sibling programs can't spend them.
    /// The reservation covers the new prompt tokens and `requested` tokens to generate, or fewer if
    /// the remaining budget is smaller.
    pub(super) fn reserve_turn(
        &mut self,
        program: &ProgramId,
        new_prompt_tokens: u64,
        requested: u64,
    ) -> Result<Charge, Refusal> {
        let ids = self.with_ancestors(program);
        let budgets_left = ids.iter().filter_map(|id| {
            let state = self.programs.get(id)?;
            Some(state.spending().remaining(state.budget()))
        });
        let (turns, tokens) = budgets_left.fold((u32::MAX, u64::MAX), |(turns, tokens), left| {
            (turns.min(left.turns), tokens.min(left.tokens))
        });
        if turns == 0 {
            return Err(budget_spent("turns"));
        }
        if tokens <= new_prompt_tokens {
            return Err(budget_spent("tokens"));
        }
        let reserved =
            Charge { turns: 1, tokens: tokens.min(new_prompt_tokens.saturating_add(requested)) };
        for id in ids {
            if let Some(state) = self.programs.get_mut(&id) {
                let total = &mut state.spending_mut().reserved;
                total.turns += reserved.turns;
                total.tokens += reserved.tokens;
            }
        }
        Ok(reserved)
    }

    pub(super) fn release_reservation(&mut self, program: &ProgramId, reserved: Charge) {
        for id in self.with_ancestors(program) {
            if let Some(state) = self.programs.get_mut(&id) {
                let total = &mut state.spending_mut().reserved;
                total.turns -= reserved.turns;
                total.tokens -= reserved.tokens;
            }
        }
    }

    /// Returns the wall time left to a program: the minimum over the program and its ancestors.
    pub(super) fn wall_left(&self, now: Moment, program: &ProgramId) -> Duration {
        let ids = self.with_ancestors(program);
        let left = ids.iter().filter_map(|id| {
            let state = self.programs.get(id)?;
            Some(Duration::from_millis(state.budget().wall_ms).saturating_sub(state.age(now)))
        });
        left.min().unwrap_or(Duration::ZERO)
    }
}

/// The refusal for an exhausted budget.
pub(super) fn budget_spent(what: &str) -> Refusal {
    Refusal::not_run(Reason::BudgetSpent, format!("the program's budget of {what} is spent"))
}
