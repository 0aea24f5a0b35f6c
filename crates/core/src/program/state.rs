//! One program: the state from its durable records, and its running and waiting calls.

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

/// Estimated bytes of a program without history and steps.
const PROGRAM_BYTES: usize = 1024;
/// Estimated bytes of a step without its result.
const STEP_BYTES: usize = 160;

/// The recorded state of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StepState {
    /// The intent is recorded. The step may or may not have been sent.
    Intended { request_hash: u64 },
    /// The step was sent, and its outcome can no longer be determined.
    Unknown { request_hash: u64 },
    /// The step has ended.
    Done { request_hash: u64, result: StepResult },
}

impl StepState {
    pub fn request_hash(&self) -> u64 {
        match self {
            Self::Intended { request_hash }
            | Self::Unknown { request_hash }
            | Self::Done { request_hash, .. } => *request_hash,
        }
    }
}

/// The call that is running, with its reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RunningCall {
    pub step: StepKey,
    pub request_hash: u64,
    pub reserved: Charge,
}

/// A call that waits for earlier calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct WaitingCall {
    pub step: StepKey,
    pub request: RequestId,
    pub request_hash: u64,
}

#[derive(Debug)]
pub(super) struct Program {
    parent: Option<ProgramId>,
    pub children: BTreeSet<ProgramId>,
    /// Removed descendants. Their records are kept because the spending in them is still charged to
    /// this program.
    pub removed_descendants: Vec<ProgramId>,
    team: TeamId,
    class: ClassId,
    budget: Budget,
    created_ms: u64,
    /// When the root program was created.
    pub root_created_ms: u64,
    ended: Option<(String, Instant)>,
    /// Set while an end is being recorded. New calls are refused.
    pub is_ending: bool,
    spending: Spending,
    history: Vec<Arc<Message>>,
    /// Tokens of the prompt and answer of the last turn, as counted by the engine.
    context_tokens: u64,
    steps: BTreeMap<StepKey, StepState>,
    calls_done: u32,
    last_upstream: Option<UpstreamId>,
    /// Engines that may hold cached data for the program.
    pub cache_upstreams: BTreeSet<UpstreamId>,
    /// Invariant: at most one call runs at a time, so history and effects follow the call order.
    pub running: Option<RunningCall>,
    /// Waiting calls in order of arrival. Invariant: each step occurs at most once.
    pub waiting: VecDeque<WaitingCall>,
    pub last_active: Instant,
    estimated_bytes: usize,
}

impl Program {
    pub fn new(now: Moment, record: &Record, root_created_ms: Option<u64>) -> Option<Self> {
        let Record::Created { parent, team, class, budget, created_ms, .. } = record else {
            return None;
        };
        Some(Self {
            parent: parent.clone(),
            children: BTreeSet::new(),
            removed_descendants: Vec::new(),
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
            cache_upstreams: BTreeSet::new(),
            running: None,
            waiting: VecDeque::new(),
            last_active: now.at,
            estimated_bytes: PROGRAM_BYTES,
        })
    }

    /// Applies a durable record. Returns its charge, or `None` if the record changes nothing.
    pub fn apply(&mut self, now: Moment, record: &Record) -> Option<Charge> {
        match record {
            Record::Created { .. } => return None,
            Record::Intended { step, request_hash, .. } => {
                self.record_intent(step, *request_hash)?
            }
            Record::TurnEnded { step, request_hash, messages, usage, upstream, result, .. } => {
                self.record_result(step, *request_hash, result)?;
                self.last_active = now.at;
                return Some(self.add_turn(messages, usage, upstream));
            }
            Record::CallEnded { step, request_hash, result, .. } => {
                self.record_result(step, *request_hash, result)?;
            }
            Record::NotRun { step, .. } => self.remove_intent(step)?,
            Record::Unknown { step, .. } => self.mark_unknown(step)?,
            Record::Ended { why, .. } => self.record_end(now, why)?,
        }
        self.last_active = now.at;
        Some(Charge::default())
    }

    fn record_intent(&mut self, step: &StepKey, request_hash: u64) -> Option<()> {
        if self.steps.contains_key(step) {
            return None;
        }
        self.estimated_bytes += STEP_BYTES + step.len();
        self.steps.insert(step.clone(), StepState::Intended { request_hash });
        Some(())
    }

    fn record_result(
        &mut self,
        step: &StepKey,
        request_hash: u64,
        result: &StepResult,
    ) -> Option<()> {
        match self.steps.get(step) {
            Some(StepState::Done { .. }) => return None,
            Some(_) => {}
            None => self.estimated_bytes += STEP_BYTES + step.len(),
        }
        self.estimated_bytes += result_bytes(result);
        self.calls_done += 1;
        let done = StepState::Done { request_hash, result: result.clone() };
        self.steps.insert(step.clone(), done);
        Some(())
    }

    fn add_turn(&mut self, messages: &[Message], usage: &Usage, upstream: &UpstreamId) -> Charge {
        let charge = turn_charge(self.context_tokens, usage);
        self.context_tokens = usage.prompt_tokens.saturating_add(usage.completion_tokens);
        self.estimated_bytes += messages.iter().map(message_bytes).sum::<usize>();
        self.history.extend(messages.iter().cloned().map(Arc::new));
        self.last_upstream = Some(upstream.clone());
        self.cache_upstreams.insert(upstream.clone());
        charge
    }

    fn remove_intent(&mut self, step: &StepKey) -> Option<()> {
        if !matches!(self.steps.get(step), Some(StepState::Intended { .. })) {
            return None;
        }
        self.estimated_bytes -= STEP_BYTES + step.len();
        self.steps.remove(step);
        Some(())
    }

    fn mark_unknown(&mut self, step: &StepKey) -> Option<()> {
        let Some(StepState::Intended { request_hash }) = self.steps.get(step) else { return None };
        let unknown = StepState::Unknown { request_hash: *request_hash };
        self.steps.insert(step.clone(), unknown);
        self.calls_done += 1;
        Some(())
    }

    fn record_end(&mut self, now: Moment, why: &str) -> Option<()> {
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

    /// Returns the time since the program was created, or zero if the wall clock is earlier than
    /// that.
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

    /// Returns the reason and the time of the program's end.
    pub fn ended(&self) -> Option<&(String, Instant)> {
        self.ended.as_ref()
    }

    pub fn history(&self) -> &[Arc<Message>] {
        &self.history
    }

    pub fn context_tokens(&self) -> u64 {
        self.context_tokens
    }

    pub fn step(&self, step: &StepKey) -> Option<&StepState> {
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
        self.estimated_bytes
    }
}

fn result_bytes(result: &StepResult) -> usize {
    let headers: usize = result.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    headers + result.text.len() + result.bytes.len()
}

fn message_bytes(message: &Message) -> usize {
    serde_json::to_vec(message).map_or(0, |json| json.len()) + size_of::<Message>()
}
