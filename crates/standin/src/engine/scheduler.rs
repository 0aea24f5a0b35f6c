//! The engine's one loop: it admits turns as they come and steps the whole batch.

use {
    super::{
        cache::{Block, Cache},
        cost::{self, Step, scaled},
        events::{EventLog, Reports},
        sequence::{Job, Piece, Sequence},
    },
    crate::signal::Signal,
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

/// Cut or ended streams that can be resumed.
const MAX_RESUMABLE: usize = 4096;
/// A loop that is further behind its clock than this was paused: it doesn't catch up.
const MAX_LAG: Duration = Duration::from_secs(1);

/// What the engine did so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Stats {
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Words generated.
    pub generated_tokens: u64,
    /// Turns that ended.
    pub finished: u64,
    /// Turns that were cancelled.
    pub cancelled: u64,
    /// Steps of the batch.
    pub steps: u64,
    /// The most turns in one step.
    pub largest_batch: u64,
}

/// The engine's state, shared by its loop and its HTTP side.
#[derive(Debug)]
pub(super) struct Scheduler {
    state: Mutex<State>,
    work: Signal,
    time_scale: f64,
    started: Instant,
}

#[derive(Debug)]
pub(super) struct State {
    pub cache: Cache,
    pub events: EventLog,
    pub reports: Reports,
    pub stats: Stats,
    max_batch: usize,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    resumable: BTreeMap<String, (Job, u64)>,
    /// Names in `resumable`, oldest first.
    resume_order: VecDeque<String>,
    is_stopped: bool,
}

/// What one step does, by place in the batch.
#[derive(Debug, Default)]
struct Plan {
    step: Step,
    /// Prompt tokens that the step computes for each turn of the batch.
    prefill: Vec<u64>,
}

impl Scheduler {
    pub(super) fn new(capacity_tokens: u64, max_batch: usize, time_scale: f64) -> Self {
        let state = State {
            cache: Cache::new(capacity_tokens),
            events: EventLog::default(),
            reports: Reports::default(),
            stats: Stats::default(),
            max_batch,
            waiting: VecDeque::new(),
            running: Vec::new(),
            resumable: BTreeMap::new(),
            resume_order: VecDeque::new(),
            is_stopped: false,
        };
        let (work, started) = (Signal::default(), Instant::now());
        Self { state: Mutex::new(state), work, time_scale, started }
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
    pub(super) fn submit(&self, job: Job) -> Receiver<Piece> {
        let (sender, receiver) = unbounded();
        self.state().waiting.push_back(Sequence::new(job, 0, 0, sender));
        self.work.notify();
        receiver
    }

    /// Goes on with a stream after the events that were seen; `None` if it isn't known any more.
    pub(super) fn resume(&self, resume_id: &str, seen: u64) -> Option<(Job, Receiver<Piece>)> {
        let mut state = self.state();
        let (job, produced) = state.detach(resume_id)?;
        let (sender, receiver) = unbounded();
        let seen = seen.min(produced);
        state.waiting.push_back(Sequence::new(job.clone(), produced, seen, sender));
        drop(state);
        self.work.notify();
        Some((job, receiver))
    }

    /// Ends the loop and forgets all turns.
    pub(super) fn stop(&self) {
        let mut state = self.state();
        state.is_stopped = true;
        state.waiting.clear();
        state.running.clear();
        drop(state);
        self.work.notify();
    }

    /// Runs the batch until the engine stops.
    pub(super) async fn run(self: Arc<Self>) {
        let mut clock = Instant::now();
        loop {
            let work = self.work.listen();
            let plan = self.state().plan(self.uptime_us());
            let Some(plan) = plan else {
                if self.state().is_stopped {
                    return;
                }
                work.recv().await.ok();
                clock = Instant::now();
                continue;
            };
            clock += scaled(plan.step.cost(), self.time_scale);
            if clock + MAX_LAG < Instant::now() {
                clock = Instant::now();
            }
            match clock > Instant::now() {
                true => drop(Timer::at(clock).await),
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

    /// Records that programs lost memory.
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

    /// Admits what fits and says what the next step computes; `None` when there is no work.
    fn plan(&mut self, now_us: u64) -> Option<Plan> {
        self.cancel(now_us, Sequence::is_cancelled);
        self.admit();
        self.reports.push(self.load());
        if self.running.is_empty() {
            return None;
        }
        let mut plan = Plan::default();
        let is_decoding = |sequence: &&Sequence| sequence.prefill_left == 0;
        plan.step.decodes = self.running.iter().filter(is_decoding).count() as u64;
        let mut left = cost::STEP_TOKENS.saturating_sub(plan.step.decodes);
        for sequence in &self.running {
            let tokens = sequence.prefill_left.min(left);
            left -= tokens;
            plan.prefill.push(tokens);
            plan.step.prefill_tokens += tokens;
            let is_in_step = tokens > 0 || sequence.prefill_left == 0;
            plan.step.context_tokens += if is_in_step { sequence.context_tokens() } else { 0 };
        }
        Some(plan)
    }

    /// First come, first served: a turn that does not fit holds up those behind it.
    fn admit(&mut self) {
        while self.running.len() < self.max_batch {
            let Some(mut sequence) = self.waiting.pop_front() else { return };
            let mut evicted = BTreeSet::new();
            let (job, tokens) = (&sequence.job, sequence.job.tokens);
            let admitted = self.cache.admit(&job.blocks, tokens, &mut evicted);
            self.log_evicted(&evicted);
            let Some(pinned) = admitted else {
                self.waiting.push_front(sequence);
                return;
            };
            let sum = |blocks: &[Block]| blocks.iter().map(|block| block.tokens).sum::<u64>();
            sequence.pinned = pinned;
            sequence.cached_tokens = sum(&sequence.job.blocks[..pinned]);
            sequence.prefill_left = sum(&sequence.job.blocks[pinned..]);
            sequence.reserved = sequence.prefill_left + sequence.job.tokens;
            self.stats.cached_tokens += sequence.cached_tokens;
            self.running.push(sequence);
        }
    }

    /// Returns what is known of a stream. One whose connection's end was not noticed yet is cut; the
    /// next plan takes it out, so that a step under way keeps its places in the batch.
    fn detach(&mut self, resume_id: &str) -> Option<(Job, u64)> {
        let mut under_way = self.running.iter().chain(&self.waiting);
        let is_meant = |sequence: &&Sequence| sequence.job.resume_id.as_deref() == Some(resume_id);
        match under_way.find(is_meant) {
            None => self.resumable.get(resume_id).cloned(),
            Some(sequence) => {
                sequence.sender.close();
                Some((sequence.job.clone(), sequence.produced))
            }
        }
    }

    /// Invariant: the batch is as it was when the plan was made, or the engine has stopped.
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
                sequence.produce();
                self.stats.generated_tokens += 1;
            }
        }
        let is_finished =
            |sequence: &mut Sequence| sequence.prefill_left == 0 && sequence.is_finished();
        let finished: Vec<Sequence> = self.running.extract_if(.., is_finished).collect();
        self.stats.finished += finished.len() as u64;
        for sequence in finished {
            self.leave(&sequence, now_us);
            sequence.end();
        }
    }

    /// Takes turns out before their end.
    fn cancel(&mut self, now_us: u64, is_meant: impl Fn(&Sequence) -> bool) {
        let running = self.running.extract_if(.., |sequence| is_meant(sequence));
        let running: Vec<Sequence> = running.collect();
        let (gone, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(is_meant);
        self.waiting = waiting;
        self.stats.cancelled += (running.len() + gone.len()) as u64;
        for sequence in running {
            self.leave(&sequence, now_us);
        }
        for sequence in gone {
            self.remember(&sequence);
        }
    }

    /// Gives a turn's memory back to the cache.
    fn leave(&mut self, sequence: &Sequence, now_us: u64) {
        let blocks = sequence.blocks_to_keep();
        let program = sequence.job.program.as_ref();
        let keep = program.map(|program| (program, now_us));
        self.cache.finish(&blocks, sequence.pinned, sequence.reserved, keep);
        if let Some(program) = program {
            self.log_stored(program);
        }
        self.remember(sequence);
    }

    fn remember(&mut self, sequence: &Sequence) {
        let Some(name) = &sequence.job.resume_id else { return };
        let known = (sequence.job.clone(), sequence.produced);
        if self.resumable.insert(name.clone(), known).is_none() {
            self.resume_order.push_back(name.clone());
        }
        if self.resume_order.len() > MAX_RESUMABLE
            && let Some(oldest) = self.resume_order.pop_front()
        {
            self.resumable.remove(&oldest);
        }
    }
}
