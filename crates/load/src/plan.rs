//! Programs of a run, drawn at random from a workload. The same seed gives the same programs,
//! whatever the policy.

use {
    crate::workload::{ClassSettings, LogNormal, ScenarioChange, Workload},
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Maximum length of a program's history. Programs end early when the next turn would exceed it.
const MAX_HISTORY_TOKENS: u64 = 230_000;

/// One turn of a program.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// Prompt tokens added since the previous turn.
    pub new_tokens: u64,
    /// Tokens that the turn generates.
    pub output_tokens: u64,
    /// Duration of the tool call that follows.
    pub pause_us: u64,
    /// Children that run after the turn, as indices into `Plan::programs`.
    pub children: Vec<usize>,
}

/// A program or a child, with all of its turns.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Index into `Workload::classes`.
    pub class: usize,
    /// Index into `Workload::teams`.
    pub team: usize,
    /// Arrival time; zero for a child, which starts after a turn of its parent.
    pub arrival_us: u64,
    /// Index of the parent; `None` for a top-level program.
    pub parent: Option<usize>,
    /// Turns in order; never empty.
    pub turns: Vec<Turn>,
}

/// All programs of a run.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Programs and children; each program precedes its children.
    pub programs: Vec<Program>,
}

/// Estimated capacity of a pool when every prefix is cached.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Programs that the pool can serve per second.
    pub programs_per_s: f64,
    /// Mean context length at which a token is generated.
    pub mean_context_tokens: f64,
}

/// Number of programs drawn to estimate the capacity.
const CAPACITY_SAMPLE: usize = 20_000;

impl Plan {
    /// Draws the programs that arrive before `until_s`, as one Poisson process per team. The time
    /// to the next arrival is drawn with the rate at the previous one, so a change of the rate
    /// takes effect one arrival late.
    pub fn draw(
        workload: &Workload,
        seed: u64,
        programs_per_s: f64,
        until_s: f64,
        changes: &[ScenarioChange],
    ) -> Self {
        let mut plan = Self::default();
        for (team, settings) in workload.teams.iter().enumerate() {
            // Each team has its own random stream, so that a surge of one team doesn't change the
            // programs of another.
            let mut rng = StdRng::seed_from_u64(seed ^ ((team as u64 + 1) << 32));
            let mut at_s = 0.0;
            loop {
                let factor = rate_factor_at(changes, &settings.name, at_s);
                let rate = programs_per_s * settings.share * factor;
                at_s += -(1.0 - rng.random::<f64>()).ln() / rate;
                if at_s >= until_s {
                    break;
                }
                plan.add(workload, &mut rng, team, (at_s * 1e6) as u64);
            }
        }
        plan
    }

    /// Estimates the pool's capacity for a workload, with every prefix cached. Half of the cache
    /// memory is assumed to be in use by the batch, which leaves the other half to paused programs.
    pub fn capacity(workload: &Workload) -> Capacity {
        let mut plan = Self::default();
        let mut rng = StdRng::seed_from_u64(0);
        (0..CAPACITY_SAMPLE).for_each(|_| plan.add(workload, &mut rng, 0, 0));
        let mut sums = TokenSums::default();
        plan.programs.iter().for_each(|program| sums.add(program));
        let engine = &workload.engine;
        let mean_context_tokens = sums.context / sums.output;
        let batch_tokens = engine.kv_capacity_tokens as f64 / 2.0;
        let batch = (batch_tokens / mean_context_tokens).clamp(1.0, engine.max_batch as f64);
        let us_per_output_token = engine.step_base_us / batch
            + engine.step_sequence_us
            + engine.step_kv_token_ns * mean_context_tokens / 1e3;
        let total_us = sums.output * us_per_output_token + sums.prompt * engine.prefill_token_us;
        let per_program_s = total_us / 1e6 / CAPACITY_SAMPLE as f64;
        let programs_per_s = workload.pool.workers as f64 / per_program_s;
        Capacity { programs_per_s, mean_context_tokens }
    }

    fn add(&mut self, workload: &Workload, rng: &mut StdRng, team: usize, arrival_us: u64) {
        let uniform: f64 = rng.random();
        let mut sum = 0.0;
        let class = workload.classes.iter().position(|class| {
            sum += class.share;
            uniform < sum
        });
        let class = class.unwrap_or(workload.classes.len() - 1);
        let settings = &workload.classes[class];
        let index = self.programs.len();
        let program = Program { class, team, arrival_us, parent: None, turns: Vec::new() };
        self.programs.push(program);
        let turns = draw_turns(rng, settings, &settings.turns);
        self.programs[index].turns = turns;
        self.add_children(settings, rng, index);
    }

    fn add_children(&mut self, settings: &ClassSettings, rng: &mut StdRng, parent: usize) {
        let Some(children) = &settings.children else {
            return;
        };
        let (class, team) = (self.programs[parent].class, self.programs[parent].team);
        for turn in 0..self.programs[parent].turns.len() {
            if rng.random::<f64>() >= children.probability {
                continue;
            }
            for _ in 0..children.count {
                let turns = draw_turns(rng, settings, &children.turns);
                let child = self.programs.len();
                self.programs[parent].turns[turn].children.push(child);
                let parent = Some(parent);
                self.programs.push(Program { class, team, arrival_us: 0, parent, turns });
            }
        }
    }
}

#[derive(Default)]
struct TokenSums {
    output: f64,
    prompt: f64,
    /// Sum of the context length at each generated token.
    context: f64,
}

impl TokenSums {
    fn add(&mut self, program: &Program) {
        let mut context = 0.0;
        for turn in &program.turns {
            context += turn.new_tokens as f64;
            self.prompt += turn.new_tokens as f64;
            self.output += turn.output_tokens as f64;
            self.context += turn.output_tokens as f64 * context;
            context += turn.output_tokens as f64;
        }
    }
}

fn rate_factor_at(changes: &[ScenarioChange], team: &str, at_s: f64) -> f64 {
    let active =
        changes.iter().filter(|change| (change.at_s..change.at_s + change.for_s).contains(&at_s));
    active
        .map(|change| {
            let is_noisy = change.noisy_team.as_deref() == Some(team);
            let team_factor = change.factor.filter(|_| is_noisy).unwrap_or(1.0);
            team_factor * change.load_factor.unwrap_or(1.0)
        })
        .product()
}

fn draw_turns(rng: &mut StdRng, settings: &ClassSettings, count: &LogNormal) -> Vec<Turn> {
    let count = count.draw(rng).round().max(1.0) as usize;
    let mut history = 0;
    let mut turns = Vec::with_capacity(count);
    for index in 0..count {
        let distribution = if index == 0 { &settings.first_tokens } else { &settings.turn_tokens };
        let new_tokens = distribution.draw(rng).max(1.0) as u64;
        let output_tokens = settings.output_tokens.draw(rng).max(1.0) as u64;
        let pause_us = (settings.pause_s.draw(rng) * 1e6) as u64;
        history += new_tokens + output_tokens;
        if history > MAX_HISTORY_TOKENS && index > 0 {
            break;
        }
        turns.push(Turn { new_tokens, output_tokens, pause_us, children: Vec::new() });
    }
    turns
}

impl LogNormal {
    /// Draws a value from the distribution.
    pub fn draw(&self, rng: &mut StdRng) -> f64 {
        // Box-Muller transform. `1.0 - random` is never zero, as the logarithm requires.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
        (self.median * (self.sigma * normal).exp()).min(self.max)
    }
}
