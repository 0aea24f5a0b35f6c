//! Token-weighted fair queueing between teams.
//!
//! The virtual time of a team is the number of weighted tokens served to it, divided by its weight.
//! A team is eligible while its virtual time is at most one window ahead of the lowest among the
//! waiting teams. Among eligible teams, the request with the lowest rank is served first. Over any
//! period in which two teams both have waiting requests, the weighted tokens served to them,
//! divided by their weights, differ by at most the window plus one request of each team.

use {
    crate::ids::TeamId,
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Index of a team in [`FairShare`].
pub(super) type TeamIndex = usize;

/// Cost of one prefilled token, in weighted tokens.
const PREFILL_COST: u64 = 1;
/// Cost of one completion token, in weighted tokens: a decode step occupies the batch much longer
/// than the prefill of one token.
const DECODE_COST: u64 = 8;
/// Fixed cost of a call, in weighted tokens.
const CALL_COST: u64 = 256;
/// Time in seconds after which usage counts half in a team's recent usage.
const USAGE_HALF_LIFE_S: f64 = 30.0;
/// A team with less recent usage than this is left out of the mean.
const MIN_RECENT_TOKENS: f64 = 1.0;

/// Returns the cost of a call in weighted tokens.
pub(super) fn cost_tokens(prefilled_tokens: u64, completion_tokens: u64) -> u64 {
    CALL_COST + PREFILL_COST * prefilled_tokens + DECODE_COST * completion_tokens
}

#[derive(Clone, Debug)]
struct Team {
    weight: f64,
    /// Virtual time: weighted tokens divided by the weight.
    virtual_time: u64,
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
    waiting_teams: BTreeSet<(u64, TeamIndex)>,
    /// Highest value that the lowest virtual time among the waiting teams has reached. Invariant:
    /// never decreases.
    floor_virtual_time: u64,
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
            waiting_teams: BTreeSet::new(),
            floor_virtual_time: 0,
            mean_recent_tokens: 0.0,
        }
    }

    /// Sets each team's weight to its rate divided by the mean rate. Teams without a rate have
    /// weight one.
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
            virtual_time: self.floor_virtual_time,
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
        let floor = self.floor_virtual_time;
        let team = &mut self.teams[index];
        team.waiting += 1;
        if team.waiting == 1 {
            // A team that used the pool while no other team waited starts at most one window ahead
            // of the floor.
            team.virtual_time = team.virtual_time.clamp(floor, floor + self.window_tokens);
            self.waiting_teams.insert((team.virtual_time, index));
        }
    }

    /// Records that a request of the team no longer waits.
    pub(super) fn dequeue(&mut self, index: TeamIndex) {
        let team = &mut self.teams[index];
        team.waiting -= 1;
        if team.waiting == 0 {
            self.waiting_teams.remove(&(team.virtual_time, index));
        }
        self.raise_floor();
    }

    /// Charges the team, or refunds an excess charge if `delta_tokens` is negative.
    pub(super) fn charge(&mut self, now_s: f64, index: TeamIndex, delta_tokens: i64) {
        let team = &mut self.teams[index];
        let before = team.virtual_time;
        let virtual_cost = (delta_tokens as f64 / team.weight) as i64;
        team.virtual_time = before.saturating_add_signed(virtual_cost).max(self.floor_virtual_time);
        team.recent_tokens = team.recent_at(now_s) + virtual_cost as f64;
        team.recent_at_s = now_s;
        let after = team.virtual_time;
        if team.waiting > 0 {
            self.waiting_teams.remove(&(before, index));
            self.waiting_teams.insert((after, index));
        }
        self.raise_floor();
    }

    /// Returns whether the team may be served before other teams.
    pub(super) fn is_eligible(&self, index: TeamIndex) -> bool {
        let limit = self.floor_virtual_time + self.window_tokens;
        !self.is_enabled || self.teams[index].virtual_time <= limit
    }

    /// Returns the team's virtual time.
    pub(super) fn virtual_time(&self, index: TeamIndex) -> u64 {
        self.teams[index].virtual_time
    }

    /// Returns the team's recent usage divided by its weight, relative to the mean of all teams
    /// with recent usage.
    pub(super) fn relative_usage(&self, now_s: f64, index: TeamIndex) -> f64 {
        let mean = self.mean_recent_tokens;
        if mean <= 0.0 { 1.0 } else { self.teams[index].recent_at(now_s) / mean }
    }

    /// Recomputes the mean of recent usage. The cost grows with the number of teams, so this runs
    /// on a tick and not for each request.
    pub(super) fn refresh_mean(&mut self, now_s: f64) {
        let recent = self.teams.iter().map(|team| team.recent_at(now_s));
        let active: Vec<f64> = recent.filter(|&tokens| tokens >= MIN_RECENT_TOKENS).collect();
        self.mean_recent_tokens = active.iter().sum::<f64>() / active.len().max(1) as f64;
    }

    fn raise_floor(&mut self) {
        if let Some(&(least, _)) = self.waiting_teams.first() {
            self.floor_virtual_time = self.floor_virtual_time.max(least);
        }
    }
}

impl Team {
    fn recent_at(&self, now_s: f64) -> f64 {
        let halvings = (now_s - self.recent_at_s).max(0.0) / USAGE_HALF_LIFE_S;
        self.recent_tokens * 0.5f64.powf(halvings)
    }
}
