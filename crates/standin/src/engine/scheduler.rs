//! The engine's scheduling loop: admits turns as they arrive and runs the batch step by step.

use {
    super::{
        cache::{Block, Cache},
        cost::{self, Step, scaled},
        events::{EventLog, LoadHistory},
        sequence::{Chunk, Sequence, TurnParameters},
    },
    crate::change_notifier::ChangeNotifier,
    smol::{
        Timer,
        channel::{Receiver, unbounded},
        future::yield_now,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    trefoilring_clients::{CacheEventKind, Load},
    trefoilring_core::ids::ProgramId,
};

/// Maximum number of interrupted or finished streams that can be resumed.
const MAX_RESUMABLE: usize = 4096;
/// If the loop is further behind its schedule than this, the process was paused. The schedule then
/// restarts from the current time instead of catching up.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Stats {
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Words generated; one word is one token.
    pub generated_tokens: u64,
    /// Turns that generated all their tokens.
    pub finished: u64,
    /// Turns that were cancelled.
    pub cancelled: u64,
    /// Number of steps run.
    pub steps: u64,
    /// Largest number of turns in one step.
    pub largest_batch: u64,
}

/// The engine's state, shared by the scheduling loop and the HTTP handlers.
#[derive(Debug)]
pub(super) struct Scheduler {
    state: Mutex<State>,
    work_available: ChangeNotifier,
    time_scale: f64,
    started: Instant,
}

#[derive(Debug)]
pub(super) struct State {
    pub cache: Cache,
    pub events: EventLog,
    pub load_history: LoadHistory,
    pub stats: Stats,
    max_batch: usize,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    /// Parameters and number of generated words of each resumable stream, by resume id.
    resumable: BTreeMap<String, (TurnParameters, u64)>,
    /// Keys of `resumable`, oldest first.
    resume_order: VecDeque<String>,
    is_stopped: bool,
}

/// The next step, and how many prompt tokens it computes for each turn.
#[derive(Debug, Default)]
struct Plan {
    step: Step,
    /// Prompt tokens that the step computes for each turn, in the order of the batch.
    prefill: Vec<u64>,
}

impl Scheduler {
    pub(super) fn new(capacity_tokens: u64, max_batch: usize, time_scale: f64) -> Self {
        let state = State {
            cache: Cache::new(capacity_tokens),
            events: EventLog::default(),
            load_history: LoadHistory::default(),
            stats: Stats::default(),
            max_batch,
            waiting: VecDeque::new(),
            running: Vec::new(),
            resumable: BTreeMap::new(),
            resume_order: VecDeque::new(),
            is_stopped: false,
        };
        let (work_available, started) = (ChangeNotifier::default(), Instant::now());
        Self { state: Mutex::new(state), work_available, time_scale, started }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn time_scale(&self) -> f64 {
        self.time_scale
    }

    pub(super) fn uptime_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Queues a turn.
    pub(super) fn submit(&self, parameters: TurnParameters) -> Receiver<Chunk> {
        let (sender, receiver) = unbounded();
        self.state().waiting.push_back(Sequence::new(parameters, 0, 0, sender));
        self.work_available.notify();
        receiver
    }

    /// Resumes a stream after the first `received` words. Returns `None` if the stream is unknown
    /// or was evicted from the resumable streams.
    pub(super) fn resume(
        &self,
        resume_id: &str,
        received: u64,
    ) -> Option<(TurnParameters, Receiver<Chunk>)> {
        let mut state = self.state();
        let (parameters, generated) = state.detach_stream(resume_id)?;
        let (sender, receiver) = unbounded();
        let received = received.min(generated);
        state.waiting.push_back(Sequence::new(parameters.clone(), generated, received, sender));
        drop(state);
        self.work_available.notify();
        Some((parameters, receiver))
    }

    /// Ends the loop and drops all turns.
    pub(super) fn stop(&self) {
        let mut state = self.state();
        state.is_stopped = true;
        state.waiting.clear();
        state.running.clear();
        drop(state);
        self.work_available.notify();
    }

    /// Runs the batch until the engine stops.
    pub(super) async fn run(self: Arc<Self>) {
        let mut step_end = Instant::now();
        loop {
            let work_available = self.work_available.listen();
            let plan = self.state().prepare_step(self.uptime_us());
            let Some(plan) = plan else {
                if self.state().is_stopped {
                    return;
                }
                work_available.recv().await.ok();
                step_end = Instant::now();
                continue;
            };
            step_end += scaled(plan.step.duration(), self.time_scale);
            if step_end + MAX_LAG < Instant::now() {
                step_end = Instant::now();
            }
            match step_end > Instant::now() {
                true => drop(Timer::at(step_end).await),
                false => yield_now().await,
            }
            self.state().apply(&plan, self.uptime_us());
        }
    }
}

impl State {
    pub(super) fn load(&self) -> Load {
        Load {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            kv_used_tokens: self.cache.used_tokens(),
            kv_capacity_tokens: self.cache.capacity_tokens(),
            age_ms: 0,
        }
    }

    /// Logs an eviction event for each program.
    pub(super) fn log_evicted(&mut self, programs: &BTreeSet<ProgramId>) {
        for program in programs {
            let tokens = self.cache.programs().get(program).map_or(0, |held| held.tokens);
            self.events.push(CacheEventKind::Evicted, program, tokens);
        }
    }

    pub(super) fn log_stored(&mut self, program: &ProgramId) {
        let tokens = self.cache.programs().get(program).map_or(0, |held| held.tokens);
        self.events.push(CacheEventKind::Stored, program, tokens);
    }

    /// Removes cancelled turns, admits the turns that fit, records the load and plans the next
    /// step. Returns `None` if there is no work.
    fn prepare_step(&mut self, now_us: u64) -> Option<Plan> {
        self.cancel(now_us, Sequence::is_cancelled);
        self.admit();
        self.load_history.push(self.load());
        if self.running.is_empty() {
            return None;
        }
        let mut plan = Plan::default();
        let is_decoding = |sequence: &&Sequence| sequence.prefill_left == 0;
        plan.step.decodes = self.running.iter().filter(is_decoding).count() as u64;
        let mut budget = cost::MAX_STEP_TOKENS.saturating_sub(plan.step.decodes);
        for sequence in &self.running {
            let tokens = sequence.prefill_left.min(budget);
            budget -= tokens;
            plan.prefill.push(tokens);
            plan.step.prefill_tokens += tokens;
            let is_in_step = tokens > 0 || sequence.prefill_left == 0;
            plan.step.context_tokens += if is_in_step { sequence.context_tokens() } else { 0 };
        }
        Some(plan)
    }

    /// Admits turns in the order of arrival. If a turn does not fit, later turns wait too.
    fn admit(&mut self) {
        while self.running.len() < self.max_batch {
            let Some(mut sequence) = self.waiting.pop_front() else { return };
            let mut evicted = BTreeSet::new();
            let (parameters, tokens) = (&sequence.parameters, sequence.parameters.tokens);
            let admitted = self.cache.admit(&parameters.blocks, tokens, &mut evicted);
            self.log_evicted(&evicted);
            let Some(pinned_blocks) = admitted else {
                self.waiting.push_front(sequence);
                return;
            };
            let sum = |blocks: &[Block]| blocks.iter().map(|block| block.tokens).sum::<u64>();
            sequence.pinned_blocks = pinned_blocks;
            sequence.cached_tokens = sum(&sequence.parameters.blocks[..pinned_blocks]);
            sequence.prefill_left = sum(&sequence.parameters.blocks[pinned_blocks..]);
            sequence.reserved_tokens = sequence.prefill_left + sequence.parameters.tokens;
            self.stats.cached_tokens += sequence.cached_tokens;
            self.running.push(sequence);
        }
    }

    /// Returns a stream's parameters and the number of words generated. If the turn is still active
    /// because the disconnect has not been detected, closes its channel. The next call of
    /// `prepare_step` removes the turn: removing it here would change the batch during a step.
    fn detach_stream(&mut self, resume_id: &str) -> Option<(TurnParameters, u64)> {
        let mut sequences = self.running.iter().chain(&self.waiting);
        let matches =
            |sequence: &&Sequence| sequence.parameters.resume_id.as_deref() == Some(resume_id);
        match sequences.find(matches) {
            None => self.resumable.get(resume_id).cloned(),
            Some(sequence) => {
                sequence.sender.close();
                Some((sequence.parameters.clone(), sequence.generated))
            }
        }
    }

    /// Applies the results of a step. Requires that the batch has not changed since the plan was
    /// made, unless the engine has stopped.
    fn apply(&mut self, plan: &Plan, now_us: u64) {
        if self.is_stopped {
            return;
        }
        self.stats.steps += 1;
        self.stats.prefilled_tokens += plan.step.prefill_tokens;
        self.stats.largest_batch = self.stats.largest_batch.max(self.running.len() as u64);
        for (sequence, prefill) in self.running.iter_mut().zip(&plan.prefill) {
            sequence.prefill_left -= (*prefill).min(sequence.prefill_left);
            if sequence.prefill_left == 0 && !sequence.is_finished() {
                sequence.generate_word();
                self.stats.generated_tokens += 1;
            }
        }
        let is_finished =
            |sequence: &mut Sequence| sequence.prefill_left == 0 && sequence.is_finished();
        let finished: Vec<Sequence> = self.running.extract_if(.., is_finished).collect();
        self.stats.finished += finished.len() as u64;
        for sequence in finished {
            self.retire(&sequence, now_us);
            sequence.send_end();
        }
    }

    /// Cancels the unfinished turns for which `matches` is true.
    fn cancel(&mut self, now_us: u64, matches: impl Fn(&Sequence) -> bool) {
        let running = self.running.extract_if(.., |sequence| matches(sequence));
        let running: Vec<Sequence> = running.collect();
        let (cancelled, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(matches);
        self.waiting = waiting;
        self.stats.cancelled += (running.len() + cancelled.len()) as u64;
        for sequence in running {
            self.retire(&sequence, now_us);
        }
        for sequence in cancelled {
            self.record_resumable(&sequence);
        }
    }

    /// Ends a turn: releases its memory to the cache and records its stream for resumption.
    fn retire(&mut self, sequence: &Sequence, now_us: u64) {
        let blocks = sequence.blocks_to_keep();
        let program = sequence.parameters.program.as_ref();
        let cached_for = program.map(|program| (program, now_us));
        self.cache.finish(&blocks, sequence.pinned_blocks, sequence.reserved_tokens, cached_for);
        if let Some(program) = program {
            self.log_stored(program);
        }
        self.record_resumable(sequence);
    }

    fn record_resumable(&mut self, sequence: &Sequence) {
        let Some(resume_id) = &sequence.parameters.resume_id else { return };
        let resumable = (sequence.parameters.clone(), sequence.generated);
        if self.resumable.insert(resume_id.clone(), resumable).is_none() {
            self.resume_order.push_back(resume_id.clone());
        }
        if self.resume_order.len() > MAX_RESUMABLE
            && let Some(oldest) = self.resume_order.pop_front()
        {
            self.resumable.remove(&oldest);
        }
    }
}
