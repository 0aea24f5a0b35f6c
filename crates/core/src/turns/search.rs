//! Decides which store hosts are asked for a turn, and from which of them its chain is fetched.
//!
//! Load pattern: a chain has up to some megabytes, and the links of hosts differ by a factor of ten and
//! are shared. The time of a transfer tells nothing about its source then, and a second copy that is
//! requested in case the first one is late makes both late. So the chain comes from one host at a time,
//! in parts, and the others are only asked whether they hold the turn, which takes few bytes. A source
//! is replaced when nothing comes from it although another holder replies meanwhile.

use {
    super::HolderReply,
    crate::ids::HostId,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// How long a host may be silent until another one is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// The search for one turn and those before it.
#[derive(Debug)]
pub struct ChainSearch {
    /// Preferred hosts that have not been asked.
    untried: VecDeque<HostId>,
    /// The other hosts. They are asked once all preferred ones have replied and none holds the turn.
    others: Vec<HostId>,
    /// Hosts that have been asked whether they hold the turn and have not replied.
    asked: BTreeSet<HostId>,
    /// The host from which the chain is fetched.
    source: Option<HostId>,
    /// Other holders of the turn, with the time of their last replies.
    standbys: VecDeque<(HostId, Instant)>,
    /// When bytes of the source came last. Without a source, when the search began.
    heard_at: Instant,
    /// When another host may be asked next.
    ask_at: Instant,
    /// How long a source may be silent while another holder replies. Doubles with each source that is
    /// replaced: on a busy link bytes come at long intervals, and each replacement costs a part that
    /// is on its way.
    silence_max: Duration,
    /// Replies of the hosts that do not hold the turn or can't send it.
    replies: BTreeMap<HostId, HolderReply>,
}

impl ChainSearch {
    /// Begins a search. `preferred` are the hosts that probably hold the turn, the best ones first.
    pub fn new(now: Instant, preferred: Vec<HostId>, others: Vec<HostId>) -> Self {
        Self {
            untried: preferred.into(),
            others,
            asked: BTreeSet::new(),
            source: None,
            standbys: VecDeque::new(),
            heard_at: now,
            ask_at: now,
            silence_max: HEDGE_DELAY,
            replies: BTreeMap::new(),
        }
    }

    /// Takes the best host as the source without asking it first, which saves a round trip. Does
    /// nothing if there is a source, or no preferred host.
    pub fn assume_source(&mut self, now: Instant) {
        if self.source.is_none()
            && let Some(host) = self.untried.pop_front()
        {
            self.set_source(now, host);
        }
    }

    /// Returns the hosts that are to be asked now whether they hold the turn, and replaces a source
    /// that is silent.
    pub fn poll(&mut self, now: Instant) -> Vec<HostId> {
        if self.source.is_none()
            && let Some(standby) = self.take_standby(|_| true)
        {
            self.set_source(now, standby);
        }
        let heard_at = self.heard_at;
        if self.is_silent_for(now, self.silence_max)
            && let Some(standby) = self.take_standby(|replied_at| replied_at > heard_at)
        {
            let silent = self.source.replace(standby);
            self.standbys.extend(silent.map(|host| (host, heard_at)));
            self.silence_max *= 2;
            self.listen(now);
        }
        if self.source.is_none() && self.asked.is_empty() && self.untried.is_empty() {
            let others = std::mem::take(&mut self.others);
            self.asked.extend(others.iter().cloned());
            return others;
        }
        let is_due = now >= self.ask_at || self.source.is_none() && self.asked.is_empty();
        let next = if is_due { self.next_to_ask() } else { None };
        if let Some(host) = &next {
            self.asked.insert(host.clone());
            self.ask_at = now + HEDGE_DELAY;
        }
        next.into_iter().collect()
    }

    /// Returns when [`Self::poll`] has something to do if nothing happens until then.
    pub fn wake_at(&self) -> Option<Instant> {
        let has_unasked_standby =
            || self.standbys.iter().any(|(host, _)| !self.asked.contains(host));
        let has_next = !self.untried.is_empty() || self.source.is_some() && has_unasked_standby();
        has_next.then_some(self.ask_at)
    }

    /// Returns the host from which the chain is to be fetched.
    pub fn source(&self) -> Option<&HostId> {
        self.source.as_ref()
    }

    /// Returns whether there is a source, and nothing has come from it for a while.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.is_silent_for(now, HEDGE_DELAY)
    }

    fn is_silent_for(&self, now: Instant, silence: Duration) -> bool {
        self.source.is_some() && now.saturating_duration_since(self.heard_at) >= silence
    }

    /// Records when bytes of the source came last.
    pub fn on_heard(&mut self, at: Instant) {
        if at > self.heard_at {
            self.listen(at);
        }
    }

    /// Records that a host has replied that it holds the turn.
    pub fn on_holds(&mut self, now: Instant, host: &HostId) {
        self.asked.remove(host);
        if self.source.as_ref() != Some(host) {
            self.standbys.retain(|(standby, _)| standby != host);
            self.standbys.push_back((host.clone(), now));
        }
    }

    /// Records that a host has replied that it does not hold the turn, has not replied, or can't send the
    /// chain.
    pub fn on_failed(&mut self, now: Instant, host: &HostId, reply: HolderReply) {
        self.asked.remove(host);
        self.standbys.retain(|(standby, _)| standby != host);
        if self.source.as_ref() == Some(host) {
            self.source = None;
        }
        self.ask_at = now;
        self.replies.insert(host.clone(), reply);
    }

    /// Returns whether no host is left that may send the chain.
    pub fn is_over(&self) -> bool {
        self.source.is_none()
            && self.standbys.is_empty()
            && self.asked.is_empty()
            && self.untried.is_empty()
            && self.others.is_empty()
    }

    /// Returns the replies of the hosts that do not hold the turn or can't send it.
    pub fn into_replies(self) -> BTreeMap<HostId, HolderReply> {
        self.replies
    }

    fn set_source(&mut self, now: Instant, host: HostId) {
        self.source = Some(host);
        self.listen(now);
    }

    fn listen(&mut self, at: Instant) {
        self.heard_at = at;
        self.ask_at = self.ask_at.max(at + HEDGE_DELAY);
    }

    /// Removes the standby that has replied last, if it did so at a suitable time.
    fn take_standby(&mut self, is_suitable: impl Fn(Instant) -> bool) -> Option<HostId> {
        let replied_at = |index: &usize| self.standbys[*index].1;
        let latest = (0..self.standbys.len()).max_by_key(replied_at)?;
        if !is_suitable(self.standbys[latest].1) {
            return None;
        }
        self.standbys.remove(latest).map(|(host, _)| host)
    }

    /// Returns the next host to ask: a preferred one, or a standby that may be alive although the source
    /// is silent.
    fn next_to_ask(&mut self) -> Option<HostId> {
        if let Some(host) = self.untried.pop_front() {
            return Some(host);
        }
        let unasked = self.standbys.iter().filter(|(host, _)| !self.asked.contains(host));
        let oldest = unasked.min_by_key(|(_, replied_at)| *replied_at);
        oldest.filter(|_| self.source.is_some()).map(|(host, _)| host.clone())
    }
}
