//! One program: what its durable records say, and what runs and waits.

use {
    super::{
        Moment,
        budget::{Charge, Spending, turn_charge},
    },
    crate::{
        call::ProgramInfo,
        catalog::Budget,
        ids::{ClassId, ProgramId, RequestId, StepKey, TeamId, UpstreamId},
        journal::{Record, StepResult},
        message::{Message, Usage},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Bytes of a program without history and steps, for the memory estimate.
const PROGRAM_BYTES: usize = 1024;
/// Bytes of a step without its result, for the memory estimate.
const STEP_BYTES: usize = 160;

/// What is durable about a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// About to be sent, or sent; the end is not known.
    Intended { request_hash: u64 },
    /// Sent, and the end will never be known.
    Unknown { request_hash: u64 },
    /// Ended.
    Done { request_hash: u64, result: StepResult },
}

impl Step {
    pub fn request_hash(&self) -> u64 {
        match self {
            Self::Intended { request_hash }
            | Self::Unknown { request_hash }
            | Self::Done { request_hash, .. } => *request_hash,
        }
    }
}

/// The call that runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Running {
    pub step: StepKey,
    pub request_hash: u64,
    pub reserved: Charge,
}

/// A call that waits for those before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Queued {
    pub step: StepKey,
    pub request: RequestId,
    pub request_hash: u64,
}

/// One program.
#[derive(Debug)]
pub(super) struct Program {
    parent: Option<ProgramId>,
    pub children: BTreeSet<ProgramId>,
    /// Programs below that are forgotten, whose records still count.
    pub forgotten_children: Vec<ProgramId>,
    team: TeamId,
    class: ClassId,
    budget: Budget,
    created_ms: u64,
    /// When the program tree's topmost program was created.
    pub root_created_ms: u64,
    ended: Option<(String, Instant)>,
    /// Set while an end is being recorded: no new calls.
    pub is_ending: bool,
    spending: Spending,
    history: Vec<Arc<Message>>,
    /// Prompt and answer of the last turn, as the engine counted.
    context_tokens: u64,
    steps: BTreeMap<StepKey, Step>,
    calls_done: u32,
    last_upstream: Option<UpstreamId>,
    /// Engines that may hold memory for the program.
    pub holders: BTreeSet<UpstreamId>,
    /// Invariant: at most one call runs, so history and effects are in order.
    pub running: Option<Running>,
    /// Calls in the order received. Invariant: no step is in it twice.
    pub waiting: VecDeque<Queued>,
    pub active_at: Instant,
    bytes: usize,
}

impl Program {
    pub fn new(now: Moment, record: &Record, root_created_ms: Option<u64>) -> Option<Self> {
        let Record::Created { parent, team, class, budget, created_ms, .. } = record else {
            return None;
        };
        Some(Self {
            parent: parent.clone(),
            children: BTreeSet::new(),
            forgotten_children: Vec::new(),
            team: team.clone(),
            class: class.clone(),
            budget: *budget,
            created_ms: *created_ms,
            root_created_ms: root_created_ms.unwrap_or(*created_ms),
            ended: None,
            is_ending: false,
            spending: Spending::default(),
            history: Vec::new(),
            context_tokens: 0,
            steps: BTreeMap::new(),
            calls_done: 0,
            last_upstream: None,
            holders: BTreeSet::new(),
            running: None,
            waiting: VecDeque::new(),
            active_at: now.at,
            bytes: PROGRAM_BYTES,
        })
    }

    /// Applies a durable record and returns what it charges, or `None` if it changes nothing.
    pub fn apply(&mut self, now: Moment, record: &Record) -> Option<Charge> {
        match record {
            Record::Created { .. } => return None,
            Record::Intended { step, request_hash, .. } => self.intend(step, *request_hash)?,
            Record::TurnEnded { step, request_hash, messages, usage, upstream, result, .. } => {
                self.finish(step, *request_hash, result)?;
                self.active_at = now.at;
                return Some(self.add_turn(messages, usage, upstream));
            }
            Record::CallEnded { step, request_hash, result, .. } => {
                self.finish(step, *request_hash, result)?;
            }
            Record::NotRun { step, .. } => self.forget_intent(step)?,
            Record::Unknown { step, .. } => self.mark_unknown(step)?,
            Record::Ended { why, .. } => self.end(now, why)?,
        }
        self.active_at = now.at;
        Some(Charge::default())
    }

    fn intend(&mut self, step: &StepKey, request_hash: u64) -> Option<()> {
        if self.steps.contains_key(step) {
            return None;
        }
        self.bytes += STEP_BYTES + step.len();
        self.steps.insert(step.clone(), Step::Intended { request_hash });
        Some(())
    }

    fn finish(&mut self, step: &StepKey, request_hash: u64, result: &StepResult) -> Option<()> {
        match self.steps.get(step) {
            Some(Step::Done { .. }) => return None,
            Some(_) => {}
            None => self.bytes += STEP_BYTES + step.len(),
        }
        self.bytes += result_bytes(result);
        self.calls_done += 1;
        let done = Step::Done { request_hash, result: result.clone() };
        self.steps.insert(step.clone(), done);
        Some(())
    }

    fn add_turn(&mut self, messages: &[Message], usage: &Usage, upstream: &UpstreamId) -> Charge {
        let charge = turn_charge(self.context_tokens, usage);
        self.context_tokens = usage.prompt_tokens.saturating_add(usage.completion_tokens);
        self.bytes += messages.iter().map(message_bytes).sum::<usize>();
        self.history.extend(messages.iter().cloned().map(Arc::new));
        self.last_upstream = Some(upstream.clone());
        self.holders.insert(upstream.clone());
        charge
    }

    fn forget_intent(&mut self, step: &StepKey) -> Option<()> {
        if !matches!(self.steps.get(step), Some(Step::Intended { .. })) {
            return None;
        }
        self.bytes -= STEP_BYTES + step.len();
        self.steps.remove(step);
        Some(())
    }

    fn mark_unknown(&mut self, step: &StepKey) -> Option<()> {
        let Some(Step::Intended { request_hash }) = self.steps.get(step) else { return None };
        let unknown = Step::Unknown { request_hash: *request_hash };
        self.steps.insert(step.clone(), unknown);
        self.calls_done += 1;
        Some(())
    }

    fn end(&mut self, now: Moment, why: &str) -> Option<()> {
        if self.ended.is_some() {
            return None;
        }
        self.ended = Some((why.to_owned(), now.at));
        self.is_ending = false;
        Some(())
    }

    pub fn info(&self, id: &ProgramId, now: Moment) -> ProgramInfo {
        ProgramInfo {
            program: id.clone(),
            parent: self.parent.clone(),
            class: self.class.clone(),
            team: self.team.clone(),
            ended: self.ended.as_ref().map(|(why, _)| why.clone()),
            budget: self.budget,
            turns: self.spending.spent.turns,
            tokens: self.spending.spent.tokens,
            age: self.age(now),
            history_messages: self.history.len(),
        }
    }

    /// Time since the program was created; zero while the wall clock is behind that.
    pub fn age(&self, now: Moment) -> Duration {
        Duration::from_millis(now.wall_ms.saturating_sub(self.created_ms))
    }

    pub fn parent(&self) -> Option<&ProgramId> {
        self.parent.as_ref()
    }

    pub fn team(&self) -> &TeamId {
        &self.team
    }

    pub fn class(&self) -> &ClassId {
        &self.class
    }

    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    pub fn spending(&self) -> &Spending {
        &self.spending
    }

    pub fn spending_mut(&mut self) -> &mut Spending {
        &mut self.spending
    }

    /// Why and when it ended.
    pub fn ended(&self) -> Option<&(String, Instant)> {
        self.ended.as_ref()
    }

    pub fn history(&self) -> &[Arc<Message>] {
        &self.history
    }

    pub fn context_tokens(&self) -> u64 {
        self.context_tokens
    }

    pub fn step(&self, step: &StepKey) -> Option<&Step> {
        self.steps.get(step)
    }

    pub fn step_count(&self) -> usize {
        self.steps.len()
    }

    pub fn calls_done(&self) -> u32 {
        self.calls_done
    }

    pub fn last_upstream(&self) -> Option<&UpstreamId> {
        self.last_upstream.as_ref()
    }

    pub fn estimated_bytes(&self) -> usize {
        self.bytes
    }
}

fn result_bytes(result: &StepResult) -> usize {
    let headers: usize = result.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    headers + result.text.len() + result.bytes.len()
}

fn message_bytes(message: &Message) -> usize {
    serde_json::to_vec(message).map_or(0, |json| json.len()) + size_of::<Message>()
}
