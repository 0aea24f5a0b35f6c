//! The baseline policy: round-robin over upstreams, FIFO queues and a static concurrency limit.

use {
    std::{
        collections::{BTreeMap, VecDeque},
        time::Instant,
    },
    trefoilring_core::{
        ids::UpstreamId,
        sched::{Command, SlotGrant, SlotRelease, Ticket, UpstreamView, WaiterId},
    },
};

/// The naive policy. It ignores programs, teams, caches and load.
#[derive(Debug)]
pub struct Naive {
    max_concurrent: usize,
    upstreams: Vec<UpstreamView>,
    last_index: usize,
    last_ticket: Ticket,
    slots: BTreeMap<Ticket, UpstreamId>,
    queues: BTreeMap<UpstreamId, VecDeque<(WaiterId, Instant)>>,
}

impl Naive {
    /// Creates a policy that sends at most `max_concurrent` calls to each upstream at the same
    /// time. It has no upstreams; requests panic until `set_upstreams` names one.
    pub fn new(max_concurrent: usize) -> Self {
        Self {
            max_concurrent,
            upstreams: Vec::new(),
            last_index: 0,
            last_ticket: 0,
            slots: BTreeMap::new(),
            queues: BTreeMap::new(),
        }
    }

    /// Replaces the list of upstreams. Requests queued for a removed upstream move to the end of
    /// the other queues and keep their arrival time.
    pub fn set_upstreams(&mut self, now: Instant, views: Vec<UpstreamView>) -> Vec<Command> {
        self.upstreams = views.into_iter().filter(|view| !view.is_leaving).collect();
        let is_listed = |id: &UpstreamId| self.upstreams.iter().any(|view| view.upstream == *id);
        let removed: Vec<UpstreamId> =
            self.queues.keys().filter(|id| !is_listed(id)).cloned().collect();
        let requeued: Vec<_> =
            removed.iter().filter_map(|id| self.queues.remove(id)).flatten().collect();
        requeued
            .into_iter()
            .flat_map(|(waiter, arrived)| self.enqueue(now, waiter, arrived))
            .collect()
    }

    /// Queues a request for a slot.
    pub fn request(&mut self, now: Instant, waiter: WaiterId) -> Vec<Command> {
        self.enqueue(now, waiter, now)
    }

    /// Releases a slot and grants it to the next request of the same upstream.
    pub fn release(&mut self, now: Instant, release: &SlotRelease) -> Vec<Command> {
        let upstream = self.slots.remove(&release.ticket);
        upstream.map_or_else(Vec::new, |upstream| self.grant_slots(now, &upstream))
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    fn enqueue(&mut self, now: Instant, waiter: WaiterId, arrived: Instant) -> Vec<Command> {
        self.last_index += 1;
        let view = &self.upstreams[self.last_index % self.upstreams.len()];
        let upstream = view.upstream.clone();
        self.queues.entry(upstream.clone()).or_default().push_back((waiter, arrived));
        self.grant_slots(now, &upstream)
    }

    fn grant_slots(&mut self, now: Instant, upstream: &UpstreamId) -> Vec<Command> {
        let mut commands = Vec::new();
        let view = self.upstreams.iter().find(|view| view.upstream == *upstream);
        let Some((view, queue)) = view.zip(self.queues.get_mut(upstream)) else {
            return commands;
        };
        let mut in_use = self.slots.values().filter(|id| *id == upstream).count();
        while in_use < self.max_concurrent
            && let Some((waiter, arrived)) = queue.pop_front()
        {
            in_use += 1;
            self.last_ticket += 1;
            self.slots.insert(self.last_ticket, upstream.clone());
            let grant = SlotGrant {
                ticket: self.last_ticket,
                upstream: upstream.clone(),
                address: view.address.clone(),
                waited: now.duration_since(arrived),
            };
            commands.push(Command::Grant { waiter, grant });
        }
        commands
    }
}
