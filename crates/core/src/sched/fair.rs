//! Token-weighted fair queueing between teams.
//!
//! The virtual time of a team is the number of weighted tokens it was served, divided by its
//! weight. A team is eligible while its virtual time is at most one window ahead of the lowest
//! among the waiting teams. Among eligible teams the order of requests decides. Two teams that wait
//! all the time are therefore served, over any period and divided by their weights, amounts that
//! differ by at most the window plus one request each.

use {
    crate::ids::TeamId,
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Index of a team in [`FairShare`].
pub(super) type TeamIndex = usize;

/// Cost of one prefilled token.
const PREFILL_COST: u64 = 1;
/// Cost of one generated token, in prefilled tokens: a decode step occupies the batch much longer.
const DECODE_COST: u64 = 8;
/// Fixed cost of a call.
const CALL_COST: u64 = 256;
/// Half-life of recent use.
const USE_HALF_LIFE_S: f64 = 30.0;
/// A team with less recent use than this is left out of the mean.
const MIN_RECENT_TOKENS: f64 = 1.0;

/// Returns the cost of a call in weighted tokens.
pub(super) fn cost_tokens(prefilled: u64, generated: u64) -> u64 {
    CALL_COST + PREFILL_COST * prefilled + DECODE_COST * generated
}

#[derive(Clone, Debug)]
struct Team {
    weight: f64,
    /// Virtual time: weighted tokens divided by the weight.
    virtual_tokens: u64,
    waiting: usize,
    recent_tokens: f64,
    recent_at_s: f64,
}

/// Virtual times of all teams.
#[derive(Clone, Debug)]
pub(super) struct FairShare {
    window_tokens: u64,
    is_enabled: bool,
    by_id: HashMap<TeamId, TeamIndex>,
    weights: BTreeMap<TeamId, f64>,
    teams: Vec<Team>,
    /// Waiting teams, ordered by virtual time.
    backlog: BTreeSet<(u64, TeamIndex)>,
    /// Lowest virtual time among the waiting teams. Invariant: never decreases.
    floor_tokens: u64,
    mean_recent_tokens: f64,
}

impl FairShare {
    /// Creates the state without teams. If `is_enabled` is false, every team is always eligible.
    pub(super) fn new(window_tokens: u64, is_enabled: bool) -> Self {
        Self {
            window_tokens,
            is_enabled,
            by_id: HashMap::new(),
            weights: BTreeMap::new(),
            teams: Vec::new(),
            backlog: BTreeSet::new(),
            floor_tokens: 0,
            mean_recent_tokens: 0.0,
        }
    }

    /// Sets the weights, relative to their mean. Teams without a rate have weight one.
    pub(super) fn set_weights(&mut self, rates: impl Iterator<Item = (TeamId, f64)>) {
        self.weights = rates.collect();
        let mean = self.weights.values().sum::<f64>() / self.weights.len().max(1) as f64;
        self.weights.values_mut().for_each(|weight| *weight /= mean);
        for (id, &index) in &self.by_id {
            self.teams[index].weight = self.weights.get(id).copied().unwrap_or(1.0);
        }
    }

    /// Returns the index of a team; adds the team if it is new.
    pub(super) fn index_of(&mut self, id: &TeamId) -> TeamIndex {
        if let Some(&index) = self.by_id.get(id) {
            return index;
        }
        let weight = self.weights.get(id).copied().unwrap_or(1.0);
        let team = Team {
            weight,
            virtual_tokens: self.floor_tokens,
            waiting: 0,
            recent_tokens: 0.0,
            recent_at_s: 0.0,
        };
        self.teams.push(team);
        let index = self.teams.len() - 1;
        self.by_id.insert(id.clone(), index);
        index
    }

    /// Records that a request of the team starts to wait.
    pub(super) fn enqueue(&mut self, index: TeamIndex) {
        let floor = self.floor_tokens;
        let team = &mut self.teams[index];
        team.waiting += 1;
        if team.waiting == 1 {
            // A team that used the pool while no other team waited owes at most one window.
            team.virtual_tokens = team.virtual_tokens.clamp(floor, floor + self.window_tokens);
            self.backlog.insert((team.virtual_tokens, index));
        }
    }

    /// Records that a request of the team no longer waits.
    pub(super) fn dequeue(&mut self, index: TeamIndex) {
        let team = &mut self.teams[index];
        team.waiting -= 1;
        if team.waiting == 0 {
            self.backlog.remove(&(team.virtual_tokens, index));
        }
        self.raise_floor();
    }

    /// Charges the team, or refunds an excess charge if the cost is negative.
    pub(super) fn charge(&mut self, now_s: f64, index: TeamIndex, cost_tokens: i64) {
        let team = &mut self.teams[index];
        let before = team.virtual_tokens;
        let share = (cost_tokens as f64 / team.weight) as i64;
        team.virtual_tokens = before.saturating_add_signed(share).max(self.floor_tokens);
        team.recent_tokens = team.recent_at(now_s) + share as f64;
        team.recent_at_s = now_s;
        let after = team.virtual_tokens;
        if team.waiting > 0 {
            self.backlog.remove(&(before, index));
            self.backlog.insert((after, index));
        }
        self.raise_floor();
    }

    /// Returns whether the team may be served before other teams.
    pub(super) fn is_eligible(&self, index: TeamIndex) -> bool {
        let limit = self.floor_tokens + self.window_tokens;
        !self.is_enabled || self.teams[index].virtual_tokens <= limit
    }

    /// Returns the team's virtual time.
    pub(super) fn virtual_tokens(&self, index: TeamIndex) -> u64 {
        self.teams[index].virtual_tokens
    }

    /// Returns the team's recent use divided by its weight, relative to the mean of all teams in
    /// use.
    pub(super) fn relative_use(&self, now_s: f64, index: TeamIndex) -> f64 {
        let mean = self.mean_recent_tokens;
        if mean <= 0.0 { 1.0 } else { self.teams[index].recent_at(now_s) / mean }
    }

    /// Recomputes the mean of recent use. The cost grows with the number of teams, so this runs on
    /// a tick and not for each request.
    pub(super) fn refresh_mean(&mut self, now_s: f64) {
        let recent = self.teams.iter().map(|team| team.recent_at(now_s));
        let in_use: Vec<f64> = recent.filter(|&tokens| tokens >= MIN_RECENT_TOKENS).collect();
        self.mean_recent_tokens = in_use.iter().sum::<f64>() / in_use.len().max(1) as f64;
    }

    fn raise_floor(&mut self) {
        if let Some(&(least, _)) = self.backlog.first() {
            self.floor_tokens = self.floor_tokens.max(least);
        }
    }
}

impl Team {
    fn recent_at(&self, now_s: f64) -> f64 {
        let halvings = (now_s - self.recent_at_s).max(0.0) / USE_HALF_LIFE_S;
        self.recent_tokens * 0.5f64.powf(halvings)
    }
}
