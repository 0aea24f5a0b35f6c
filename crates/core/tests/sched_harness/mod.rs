//! Test harness: a dispatcher with a virtual clock, and helpers to build requests.
#![allow(dead_code)] // Each test file uses only some of the helpers.

use {
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        message::Usage,
        sched::{
            Command, Dispatcher, DispatcherOptions, LimitPolicy, Outcome, SlotGrant, SlotRelease,
            SlotRequest, UpstreamView,
        },
        verdict::{Refusal, Verdict},
    },
};

pub const SERVICE: &str = "appraiser-llm";
pub const LIMIT: u32 = 4;

pub fn options() -> DispatcherOptions {
    DispatcherOptions::new(SERVICE.into()).limit(LimitPolicy::Fixed(LIMIT)).shedding(false)
}

pub fn views(count: usize) -> Vec<UpstreamView> {
    (0..count).map(|index| view(index, false)).collect()
}

pub fn view(index: usize, is_leaving: bool) -> UpstreamView {
    UpstreamView {
        upstream: format!("up-{index}").into(),
        address: format!("127.0.0.1:{}", 9000 + index),
        domain: ["kochi-a", "kochi-b", "kochi-c"][index % 3].into(),
        is_leaving,
        models: Vec::new(),
    }
}

pub fn request(number: u64) -> SlotRequest {
    SlotRequest {
        request: format!("r-{number}").into(),
        home: "host-1".into(),
        service: SERVICE.into(),
        model: None,
        program: format!("j.{number:016}").into(),
        class: "counter".into(),
        team: "team-0".into(),
        program_age: Duration::ZERO,
        target: Duration::from_secs(60),
        calls_done: 1,
        prompt_tokens: 1_000,
        completion_tokens: 100,
        last_upstream: None,
        fingerprint: number,
        is_repeatable: true,
        max_wait: Duration::from_secs(3_600),
    }
}

pub fn done() -> Outcome {
    done_after(Duration::from_secs(2), 1_000)
}

pub fn done_after(total: Duration, prompt_tokens: u64) -> Outcome {
    let usage = Usage { prompt_tokens, cached_tokens: 0, completion_tokens: 100 };
    Outcome::Done { first_byte: total / 2, total, usage: Some(usage) }
}

/// A dispatcher, its virtual clock, and the grants and refusals that it returned.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Instant,
    pub granted: VecDeque<(u64, SlotGrant)>,
    pub refused: BTreeMap<u64, Refusal>,
}

impl Harness {
    pub fn new(options: DispatcherOptions, upstreams: usize) -> Self {
        let mut harness = Self {
            dispatcher: Dispatcher::new(options),
            now: Instant::now(),
            granted: VecDeque::new(),
            refused: BTreeMap::new(),
        };
        harness.set_upstreams(views(upstreams));
        harness
    }

    pub fn apply(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Grant { waiter, grant } => self.granted.push_back((waiter, grant)),
                Command::Refuse { waiter, refusal } => {
                    assert_eq!(
                        refusal.verdict,
                        Verdict::NotRun,
                        "a refused request may have been sent"
                    );
                    assert!(refusal.retry_after.is_some(), "a refusal has no retry delay");
                    self.refused.insert(waiter, refusal);
                }
                _ => (),
            }
        }
    }

    pub fn set_upstreams(&mut self, views: Vec<UpstreamView>) {
        let commands = self.dispatcher.set_upstreams(self.now, views);
        self.apply(commands);
    }

    pub fn submit(&mut self, waiter: u64, request: SlotRequest) {
        let commands = self.dispatcher.request(self.now, request, waiter);
        self.apply(commands);
    }

    pub fn release(&mut self, ticket: u64, outcome: Outcome) {
        let release = SlotRelease { service: SERVICE.into(), ticket, outcome };
        let commands = self.dispatcher.release(self.now, release);
        self.apply(commands);
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        let commands = self.dispatcher.tick(self.now);
        self.apply(commands);
    }

    pub fn next_grant(&mut self) -> (u64, SlotGrant) {
        self.granted.pop_front().expect("a slot was granted")
    }

    /// Releases slots in the order of their grants until no call runs. Returns the waiters in that
    /// order.
    pub fn drain(&mut self) -> Vec<u64> {
        let mut order = Vec::new();
        while let Some((waiter, grant)) = self.granted.pop_front() {
            order.push(waiter);
            self.now += Duration::from_millis(100);
            self.release(grant.ticket, done());
        }
        order
    }
}
