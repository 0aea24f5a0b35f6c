//! Decides when a host that operators empty may be removed, and which turns it sends to others itself.
//!
//! The other hosts fetch what they should hold from a host that leaves once they know of it. That is not
//! enough for turns that are written there afterwards, by gateways that do not know of it yet: the others
//! have asked already. So the host sends what nobody fetches.
//!
//! The host may go once enough others hold each of its turns. Hosts that may leave as well do not count:
//! two hosts that count each other's copies would both go, and take the last copies with them. Whether a
//! host may leave is what it says together with its turns. Of two hosts that leave, the one that begins
//! later asks the other one after that has begun, and learns of it.

use {
    super::{StoreHost, TreeId, rank_holders},
    crate::ids::{HostId, RequestId},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// How long no turn has come to enough hosts until the host sends them itself. Longer than a host takes
/// that learns of the retirement from the store and begins to fetch.
pub const SENDING_DELAY: Duration = Duration::from_secs(3);

/// The turns of a host, by tree, each after the one that it continues.
pub type HeldTrees = Vec<(TreeId, Vec<RequestId>)>;

/// What another host has said of its turns.
#[derive(Clone, Debug, Default)]
pub struct HeldTurns {
    /// The turns that it holds.
    pub trees: HeldTrees,
    /// Whether the host leaves, or does not know whether it does.
    pub may_leave: bool,
}

/// The turns of a host that leaves, as they were before the others were asked for theirs.
#[derive(Clone, Debug)]
pub struct OwnTurns {
    /// The turns.
    pub trees: HeldTrees,
    /// Whether no more turns could come: the host took none, and none waited to be written.
    pub is_final: bool,
}

/// What a host that leaves does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetirementStep {
    /// Others still fetch turns.
    Wait,
    /// Too few hosts stay, or answer, for the copies of the turns.
    WaitForHosts,
    /// Send turns to hosts that should hold them, in this order.
    Send(BTreeMap<HostId, Vec<RequestId>>),
    /// Take no more turns.
    StopAccepting,
    /// The host may be removed.
    Finish,
}

/// The retirement of a host.
#[derive(Debug)]
pub struct Retirement {
    /// Turns that too few hosts held at the last check.
    lacking: HashSet<RequestId>,
    /// When one of them was last found at enough hosts, or the retirement began.
    progress_at: Instant,
}

impl Retirement {
    /// Begins a retirement.
    pub fn begin(now: Instant) -> Self {
        Self { lacking: HashSet::new(), progress_at: now }
    }

    /// Decides what to do after the other hosts have been asked for their turns. `hosts` are the store
    /// hosts as far as this one knows, `held` the replies that came; a host that did not reply holds
    /// nothing for certain. Each turn needs `copies`.
    pub fn on_checked(
        &mut self,
        now: Instant,
        own: &OwnTurns,
        hosts: &[StoreHost],
        held: &HashMap<HostId, HeldTurns>,
        copies: usize,
    ) -> RetirementStep {
        let stays = |host: &&StoreHost| {
            !host.is_leaving && held.get(&host.host).is_some_and(|turns| !turns.may_leave)
        };
        let staying: Vec<StoreHost> = hosts.iter().filter(stays).cloned().collect();
        let held_by: HashMap<&HostId, HashSet<&RequestId>> = staying
            .iter()
            .filter_map(|host| Some((&host.host, turns_of(&held.get(&host.host)?.trees))))
            .collect();
        let holds = |host: &HostId, turn: &RequestId| {
            held_by.get(host).is_some_and(|turns| turns.contains(turn))
        };
        let mut lacking = HashSet::new();
        let mut to_send: BTreeMap<HostId, Vec<RequestId>> = BTreeMap::new();
        for (tree, turns) in &own.trees {
            let count =
                |turn: &RequestId| staying.iter().filter(|one| holds(&one.host, turn)).count();
            let in_tree: Vec<&RequestId> =
                turns.iter().filter(|turn| count(turn) < copies).collect();
            if in_tree.is_empty() {
                continue;
            }
            // A host that stores a turn stores those before it, so it gets all that it lacks of the tree.
            for holder in rank_holders(tree, &staying).into_iter().take(copies) {
                let missing = turns.iter().filter(|turn| !holds(&holder.host, turn)).cloned();
                to_send.entry(holder.host.clone()).or_default().extend(missing);
            }
            lacking.extend(in_tree.into_iter().cloned());
        }
        if self.lacking.iter().any(|turn| !lacking.contains(turn)) {
            self.progress_at = now;
        }
        self.lacking = lacking;
        match () {
            () if self.lacking.is_empty() && own.is_final => RetirementStep::Finish,
            () if self.lacking.is_empty() => RetirementStep::StopAccepting,
            () if now < self.progress_at + SENDING_DELAY => RetirementStep::Wait,
            () => {
                // The next turns are sent when these could have been stored.
                self.progress_at = now;
                to_send.retain(|_, turns| !turns.is_empty());
                match to_send.is_empty() {
                    true => RetirementStep::WaitForHosts,
                    false => RetirementStep::Send(to_send),
                }
            }
        }
    }

    /// Returns the number of turns that too few hosts held at the last check.
    pub fn lacking_count(&self) -> usize {
        self.lacking.len()
    }
}

fn turns_of(trees: &HeldTrees) -> HashSet<&RequestId> {
    trees.iter().flat_map(|(_, turns)| turns).collect()
}
