//! Invariants of a dispatcher under random sequences of operations. Proptest prints the seed of a
//! failure.

mod sched_harness;

use {
    proptest::prelude::*,
    sched_harness::{Harness, LIMIT, done, options, request, view, views},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    trefoilring_core::sched::{Outcome, Placement, QueueOrder, SlotGrant, SlotRequest},
};

/// One operation of a random history.
#[derive(Clone, Debug)]
enum Op {
    Submit { team: u8, age_s: u16, prompt: u16, has_shared_fingerprint: bool },
    End { call_index: u8, outcome_index: u8 },
    Leave { index: u8 },
    List { mask: u8 },
    AdvanceTime { time_ms: u16 },
    Cancel { call_index: u8 },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..4u8, 0..100u16, 0..20_000u16, any::<bool>())
            .prop_map(|(team, age_s, prompt, has_shared_fingerprint)| Op::Submit {
                team, age_s, prompt, has_shared_fingerprint
            }),
        5 => (any::<u8>(), 0..20u8)
            .prop_map(|(call_index, outcome_index)| Op::End { call_index, outcome_index }),
        1 => (0..5u8).prop_map(|index| Op::Leave { index }),
        1 => any::<u8>().prop_map(|mask| Op::List { mask }),
        2 => (0..3_000u16).prop_map(|time_ms| Op::AdvanceTime { time_ms }),
        1 => any::<u8>().prop_map(|call_index| Op::Cancel { call_index }),
    ]
}

fn outcome(outcome_index: u8) -> Outcome {
    match outcome_index {
        0 => Outcome::Broken,
        1 => Outcome::TimedOut,
        2 => Outcome::Refused,
        3 => Outcome::Unused,
        _ => done(),
    }
}

/// Dispatcher under test and the state that its callers expect.
struct History {
    harness: Harness,
    listed: Vec<trefoilring_core::sched::UpstreamView>,
    running: Vec<(u64, SlotGrant)>,
    decided: BTreeSet<u64>,
    waiting: BTreeSet<u64>,
    next: u64,
}

impl History {
    fn apply(&mut self, op: Op) {
        match op {
            Op::Submit { team, age_s, prompt, has_shared_fingerprint } => {
                self.submit(team, age_s, prompt, has_shared_fingerprint)
            }
            Op::End { call_index, outcome_index } if !self.running.is_empty() => {
                let (_, grant) = self.running.remove(usize::from(call_index) % self.running.len());
                self.harness.release(grant.ticket, outcome(outcome_index));
            }
            Op::Leave { index } => {
                let view = self.listed.get_mut(usize::from(index));
                view.into_iter().for_each(|view| view.is_leaving = true);
                self.harness.set_upstreams(self.listed.clone());
            }
            Op::List { mask } => {
                let listed = (0..5).filter(|index| mask & (1 << index) != 0);
                self.listed = listed.map(|index| view(index, false)).collect();
                self.harness.set_upstreams(self.listed.clone());
            }
            Op::AdvanceTime { time_ms } => {
                self.harness.advance(Duration::from_millis(time_ms.into()))
            }
            Op::Cancel { call_index } if !self.waiting.is_empty() => {
                let call_index = usize::from(call_index) % self.waiting.len();
                let waiter = *self.waiting.iter().nth(call_index).expect("index is within bounds");
                let commands = self.harness.dispatcher.cancel(self.harness.now, waiter);
                self.harness.apply(commands);
                self.waiting.remove(&waiter);
            }
            Op::End { .. } | Op::Cancel { .. } => (),
        }
    }

    fn submit(&mut self, team: u8, age_s: u16, prompt: u16, has_shared_fingerprint: bool) {
        let waiter = self.next;
        self.next += 1;
        let number = if has_shared_fingerprint { 1 } else { waiter };
        let submitted = SlotRequest {
            request: format!("r-{waiter}").into(),
            team: format!("team-{team}").into(),
            program_age: Duration::from_secs(age_s.into()),
            prompt_tokens: prompt.into(),
            ..request(number)
        };
        self.waiting.insert(waiter);
        self.harness.submit(waiter, submitted);
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for (waiter, grant) in std::mem::take(&mut self.harness.granted) {
            let view = self.listed.iter().find(|view| view.upstream == grant.upstream);
            prop_assert!(view.is_some_and(|view| !view.is_leaving), "{grant:?}");
            prop_assert!(self.decided.insert(waiter), "{waiter} was decided twice");
            prop_assert!(self.waiting.remove(&waiter), "{waiter} was not waiting");
            self.running.push((waiter, grant));
        }
        for waiter in std::mem::take(&mut self.harness.refused).into_keys() {
            prop_assert!(self.decided.insert(waiter), "{waiter} was decided twice");
            self.waiting.remove(&waiter);
        }
        for view in &self.listed {
            let running_here =
                self.running.iter().filter(|(_, grant)| grant.upstream == view.upstream).count();
            let counted = self
                .harness
                .dispatcher
                .slots_in_use_and_limit(&view.upstream)
                .map_or(0, |slots| slots.0);
            prop_assert_eq!(running_here as u32, counted);
            prop_assert!(counted <= LIMIT);
        }
        prop_assert_eq!(self.harness.dispatcher.waiting(), self.waiting.len());
        Ok(())
    }

    /// Restores all upstreams and ends every call. No request may be left waiting.
    fn finish(mut self) -> Result<(), TestCaseError> {
        self.harness.set_upstreams(views(5));
        for _ in 0..400 {
            for (_, grant) in std::mem::take(&mut self.running) {
                self.harness.release(grant.ticket, done());
            }
            self.harness.advance(Duration::from_secs(1));
            self.running.extend(std::mem::take(&mut self.harness.granted));
            self.harness.refused.clear();
        }
        prop_assert_eq!(self.harness.dispatcher.waiting(), 0);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Checks that no slot is granted at an upstream that is leaving or not listed, that the limit
    /// is never exceeded, that each request is answered once, and that none is left waiting at the
    /// end.
    #[test]
    fn random_histories_preserve_the_invariants(
        ops in proptest::collection::vec(op(), 1..200),
        seed in any::<u64>(),
        placement in proptest::sample::select(vec![
            Placement::LeastDelay, Placement::Sticky, Placement::LeastLoaded, Placement::RoundRobin,
        ]),
    ) {
        let mut history = History {
            harness: Harness::new(options().seed(seed).placement(placement), 5),
            listed: views(5),
            running: Vec::new(),
            decided: BTreeSet::new(),
            waiting: BTreeSet::new(),
            next: 0,
        };
        for op in ops {
            history.apply(op);
            history.check()?;
        }
        history.finish()?;
    }

    /// An upstream with a free slot steals requests from other queues if it serves them sooner.
    /// That always holds for empty prompts, so no slot may be idle while such a request waits.
    #[test]
    fn no_slot_is_idle_while_requests_with_empty_prompts_wait(
        count in 1..100u64,
        ends in proptest::collection::vec(any::<u8>(), 0..100),
    ) {
        let mut harness = Harness::new(options(), 4);
        for waiter in 0..count {
            harness.submit(waiter, SlotRequest { prompt_tokens: 0, ..request(waiter) });
        }
        let mut running: Vec<u64> = Vec::new();
        for call_index in ends {
            running.extend(harness.granted.drain(..).map(|(_, grant)| grant.ticket));
            let is_full = running.len() as u32 == 4 * LIMIT;
            prop_assert!(is_full || harness.dispatcher.waiting() == 0);
            if running.is_empty() {
                break;
            }
            let ticket = running.swap_remove(usize::from(call_index) % running.len());
            harness.release(ticket, done());
        }
    }

    /// A request is overtaken only by requests that arrived at most `2 * max_rank_offset` after it.
    #[test]
    fn overtaking_is_bounded(
        ages in proptest::collection::vec((0..200u64, 0..100u32), 50..150),
        order in proptest::sample::select(vec![
            QueueOrder::Slack,
            QueueOrder::FeasibleSlack,
            QueueOrder::LeastAttained,
            QueueOrder::OldestProgram,
        ]),
    ) {
        const MAX_OFFSET: Duration = Duration::from_secs(10);
        let mut harness =
            Harness::new(options().queue_order(order).max_rank_offset(MAX_OFFSET).fair(false), 1);
        let mut arrivals = BTreeMap::new();
        for (waiter, &(age_s, calls_done)) in (0..).zip(&ages) {
            harness.now += Duration::from_millis(500);
            arrivals.insert(waiter, harness.now);
            let program_age = Duration::from_secs(age_s);
            harness.submit(waiter, SlotRequest { program_age, calls_done, ..request(waiter) });
        }
        let served = harness.drain();
        prop_assert_eq!(served.len(), ages.len());
        for (position, waiter) in served.iter().enumerate() {
            let earliest_overtaken = served[position..]
                .iter()
                .map(|other| arrivals[other])
                .min()
                .expect("includes the request itself");
            let lead = arrivals[waiter].saturating_duration_since(earliest_overtaken);
            prop_assert!(lead <= MAX_OFFSET * 2, "{waiter} overtook by {lead:?}");
        }
    }
}
