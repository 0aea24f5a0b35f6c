//! A model of store hosts and gateways under random losses: no turn whose answer has ended is lost
//! or said not to exist.

use {
    super::*,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::collections::{BTreeSet, HashMap},
};

const SEEDS: u64 = 250;
const STEPS: usize = 400;
const DOMAINS: usize = 4;
const GATEWAYS: usize = 2;
/// Time that a question takes that is not answered.
const UNANSWERED: Duration = Duration::from_millis(400);
/// Time between two checks of a host that leaves.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of questions of hosts that leave in one step.
const RETIREMENT_STEPS_MAX: usize = 12;
/// Number of turns that have ended before hosts leave at once.
const TURNS_BEFORE_RETIREMENTS: usize = 30;
/// Bound of the rounds in which hosts fetch what they should hold.
const SETTLING_ROUNDS_MAX: usize = 1000;

/// A mechanism that is switched off, to show that the model notices it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutation {
    None,
    OneCopyLess,
    EndsBeforeLastCopy,
    NoPullAfterLoss,
    NoPullAfterChange,
    LooksUpInOldList,
    MissingReplyCountsAsAbsent,
    AwayHostsAreNotListed,
    StoresWithoutPrevious,
    RetiresAtOnce,
    CountsLeavingHosts,
    LeavingHostsDoNotSaySo,
    SendsNoTurns,
    UnresponsiveHostsStayHolders,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Listed {
    domain: String,
    disk: DiskId,
    incarnation: u64,
    is_leaving: bool,
    is_away: bool,
}

struct SimHost {
    id: HostId,
    domain: String,
    is_up: bool,
    incarnation: u64,
    disk: DiskId,
    index: TurnIndex<()>,
    pull: PullRound,
    is_leaving: bool,
    accepts: bool,
    retirement: Retirement,
    /// The check of the retirement that is under way.
    check: Option<Check>,
    /// Whether the platform has been told that the host may be removed.
    is_done: bool,
    /// The list that the host has read last.
    has_read: BTreeMap<HostId, Listed>,
}

/// A host that leaves asks the others one after the other, while everything else goes on.
struct Check {
    own: OwnTurns,
    to_ask: Vec<HostId>,
    held: HashMap<HostId, HeldTurns>,
}

fn held_trees(index: &TurnIndex<()>) -> HeldTrees {
    index.trees().map(|tree| (tree.clone(), index.tree(tree).to_vec())).collect()
}

struct Cluster {
    rng: StdRng,
    mutation: Mutation,
    /// Disks that may be lost at once.
    losses_max: usize,
    now: Instant,
    hosts: Vec<SimHost>,
    /// The hosts as the platform's store has them.
    list: BTreeMap<HostId, Listed>,
    /// The list that each gateway has read last.
    rosters: [BTreeMap<HostId, Listed>; GATEWAYS],
    /// Turns whose answers have ended.
    ended: Vec<TurnHead>,
    /// Chain of each turn that was ever begun, the oldest first.
    chains: BTreeMap<RequestId, Vec<TurnHead>>,
    lost_since_settled: usize,
    next: u64,
}

impl Cluster {
    fn new(seed: u64, mutation: Mutation) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let losses_max = rng.random_range(1..=2);
        let mut cluster = Self {
            rng,
            mutation,
            losses_max,
            now: Instant::now(),
            hosts: Vec::new(),
            list: BTreeMap::new(),
            rosters: Default::default(),
            ended: Vec::new(),
            chains: BTreeMap::new(),
            lost_since_settled: 0,
            next: 0,
        };
        for _ in 0..cluster.losses_max + 3 {
            cluster.add_host(true);
        }
        for gateway in 0..GATEWAYS {
            cluster.rosters[gateway] = cluster.list.clone();
        }
        for host in 0..cluster.hosts.len() {
            cluster.read_list(host);
        }
        cluster
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn copies(&self) -> usize {
        match self.mutation {
            Mutation::OneCopyLess => self.losses_max,
            _ => self.losses_max + 1,
        }
    }

    fn add_host(&mut self, is_first_start: bool) {
        let number = self.number();
        let host = SimHost {
            id: format!("s{number}").into(),
            domain: format!("d{}", number as usize % DOMAINS),
            is_up: true,
            incarnation: number,
            disk: number,
            index: TurnIndex::default(),
            pull: PullRound::new(is_first_start),
            is_leaving: false,
            accepts: true,
            retirement: Retirement::begin(self.now),
            check: None,
            is_done: false,
            has_read: BTreeMap::new(),
        };
        self.hosts.push(host);
        self.register(self.hosts.len() - 1);
    }

    fn register(&mut self, host: usize) {
        let host = &self.hosts[host];
        let listed = Listed {
            domain: host.domain.clone(),
            disk: host.disk,
            incarnation: host.incarnation,
            is_leaving: host.is_leaving,
            is_away: false,
        };
        self.list.insert(host.id.clone(), listed);
    }

    fn read_list(&mut self, host: usize) {
        if !self.hosts[host].is_up {
            return;
        }
        self.hosts[host].has_read = self.list.clone();
        let own = self.hosts[host].id.clone();
        let others = self.list.iter().filter(|(id, _)| **id != own);
        let peers: BTreeMap<HostId, PullPeer> = others
            .filter(|(_, listed)| {
                self.mutation != Mutation::AwayHostsAreNotListed || !listed.is_away
            })
            .map(|(id, listed)| {
                let is_replaced = listed.is_leaving || listed.is_away;
                let (incarnation, disk) = (listed.incarnation, listed.disk);
                (id.clone(), PullPeer { incarnation, disk, is_replaced })
            })
            .collect();
        let pull = &mut self.hosts[host].pull;
        let is_ignored = match self.mutation {
            Mutation::NoPullAfterChange => pull.is_settled(),
            Mutation::NoPullAfterLoss => !pull.has_recovered(),
            _ => false,
        };
        pull.set_peers(peers.clone());
        if is_ignored {
            for peer in peers.keys() {
                pull.on_pulled(peer, pull.number());
            }
        }
    }

    fn ranked(
        &self,
        list: &BTreeMap<HostId, Listed>,
        tree: &str,
        is_replaced: impl Fn(&HostId) -> bool,
    ) -> Vec<HostId> {
        let usable = list.iter().filter(|(_, listed)| !listed.is_away);
        let hosts: Vec<StoreHost> = usable
            .map(|(id, listed)| StoreHost {
                host: id.clone(),
                domain: listed.domain.as_str().into(),
                is_leaving: listed.is_leaving || is_replaced(id),
            })
            .collect();
        rank_holders(tree, &hosts).into_iter().map(|host| host.host.clone()).collect()
    }

    fn find(&self, id: &HostId) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == *id)
    }

    /// Ends the answer of a turn, if it can be made durable.
    fn append(&mut self) {
        let previous = match self.rng.random_bool(0.3) {
            true => None,
            false => self.ended.choose(&mut self.rng).cloned(),
        };
        let id: RequestId = format!("t{}", self.number()).into();
        let tree: TreeId = match &previous {
            Some(previous) => previous.tree.clone(),
            None => format!("p{}", self.number()).into(),
        };
        let turn = TurnHead {
            id: id.clone(),
            team: "malabar".into(),
            previous: previous.as_ref().map(|turn| turn.id.clone()),
            tree: tree.clone(),
            retention: MINUTE,
            upstream: None,
        };
        let mut chain = previous.map(|turn| self.chains[&turn.id].clone()).unwrap_or_default();
        chain.push(turn.clone());
        self.chains.insert(id, chain.clone());
        let gateway = self.rng.random_range(0..GATEWAYS);
        let ranked = self.ranked(&self.rosters[gateway], &tree, |_| false);
        let Ok((mut round, first)) = WriteRound::begin(self.copies(), ranked) else { return };
        let mut asked = first;
        while let Some(host) = asked.pop() {
            let is_lost = self.rng.random_bool(0.05);
            match self.store(&host, &chain) && !is_lost {
                true => round.on_stored(&host),
                false => asked.extend(round.on_failed(&host)),
            }
            if self.mutation == Mutation::EndsBeforeLastCopy {
                break;
            }
        }
        if round.is_durable() || self.mutation == Mutation::EndsBeforeLastCopy {
            self.ended.push(turn);
        }
    }

    fn store(&mut self, host: &HostId, chain: &[TurnHead]) -> bool {
        let Some(host) = self.find(host).filter(|host| self.hosts[*host].is_up) else {
            return false;
        };
        if !self.hosts[host].accepts {
            return false;
        }
        let (now, index) = (self.now, &mut self.hosts[host].index);
        let newest = chain.last().expect("a chain has a turn").clone();
        if self.mutation == Mutation::StoresWithoutPrevious {
            let _ = index.insert(now, TurnHead { previous: None, ..newest }, ());
            return true;
        }
        match index.insert(now, newest, ()) {
            Ok(()) => true,
            Err(InsertError::MissingPrevious) => {
                chain.iter().all(|turn| index.insert(now, turn.clone(), ()).is_ok())
            }
            Err(InsertError::Conflict) => false,
        }
    }

    /// Lets a host fetch what it should hold from one of the hosts that it must ask.
    fn pull(&mut self, host: usize) {
        let unasked: Vec<HostId> = self.hosts[host].pull.unasked().cloned().collect();
        let Some(peer_id) = unasked.choose(&mut self.rng).cloned() else { return };
        if !self.hosts[host].is_up {
            return;
        }
        let Some(peer) = self.find(&peer_id).filter(|peer| self.hosts[*peer].is_up) else {
            self.now += UNANSWERED;
            if self.mutation != Mutation::UnresponsiveHostsStayHolders {
                self.hosts[host].pull.on_unanswered(&peer_id, self.now);
            }
            return;
        };
        self.hosts[host].pull.on_answered(&peer_id);
        let number = self.hosts[host].pull.number();
        let seen = self.hosts[host].has_read.clone();
        let own = self.hosts[host].id.clone();
        let trees: Vec<TreeId> = self.hosts[peer].index.trees().cloned().collect();
        for tree in trees {
            let ranked = self.ranked(&seen, &tree, |id| self.hosts[host].pull.is_replaced(id));
            if !ranked.iter().take(self.copies()).any(|id| *id == own) {
                continue;
            }
            for turn in self.hosts[peer].index.tree(&tree).to_vec() {
                let (head, ()) = self.hosts[peer].index.get(&turn).expect("a turn of the tree");
                let head = head.clone();
                let inserted = self.hosts[host].index.insert(self.now, head, ());
                inserted.expect("the peer has the previous turns");
            }
        }
        self.hosts[host].pull.on_pulled(&peer_id, number);
    }

    /// Returns whether the losses so far have been made up for: all hosts that there are are up, know
    /// of each other and have fetched their turns. The records of hosts that are gone may remain.
    fn is_settled(&self) -> bool {
        self.hosts.iter().all(|host| {
            let knows_gone = |id: &HostId| {
                self.mutation == Mutation::UnresponsiveHostsStayHolders || host.pull.is_replaced(id)
            };
            let mut gone = self.list.keys().filter(|id| self.find(id).is_none());
            host.is_up
                && host.has_read == self.list
                && self.list.get(&host.id).is_some_and(|listed| !listed.is_away)
                && gone.all(knows_gone)
                && host.pull.unasked().all(|id| self.find(id).is_none())
        })
    }

    /// Brings all hosts back and lets them fetch their turns.
    fn settle(&mut self) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_up {
                self.restart(host, false);
            }
            self.register(host);
        }
        (0..self.hosts.len()).for_each(|host| self.read_list(host));
        for _ in 0..SETTLING_ROUNDS_MAX {
            if self.is_settled() {
                return;
            }
            (0..self.hosts.len()).for_each(|host| self.pull(host));
        }
    }

    fn restart(&mut self, host: usize, loses_disk: bool) {
        let number = self.number();
        let host_state = &mut self.hosts[host];
        host_state.is_up = true;
        host_state.incarnation = number;
        host_state.accepts = !host_state.is_leaving;
        host_state.retirement = Retirement::begin(self.now);
        host_state.check = None;
        let has_recovered = host_state.pull.has_recovered() && !loses_disk;
        if loses_disk {
            host_state.disk = number;
            host_state.index = TurnIndex::default();
        }
        host_state.pull = PullRound::new(has_recovered);
        self.register(host);
        self.read_list(host);
    }

    fn may_lose_disk(&mut self) -> bool {
        if self.is_settled() {
            self.lost_since_settled = 0;
        }
        let may_lose = self.lost_since_settled < self.losses_max;
        self.lost_since_settled += usize::from(may_lose);
        may_lose
    }

    fn retire(&mut self, host: usize) {
        let staying = self.hosts.iter().filter(|host| !host.is_leaving).count();
        if staying > self.copies() && self.hosts[host].is_up {
            self.hosts[host].is_leaving = true;
            self.register(host);
        }
    }

    /// Goes on with the retirements, in turn.
    fn continue_retirements(&mut self) {
        for _ in 0..self.rng.random_range(1..=RETIREMENT_STEPS_MAX) {
            let leaving = self.hosts.iter().enumerate();
            let leaving = leaving.filter(|(_, host)| host.is_leaving && host.is_up);
            let leaving: Vec<usize> = leaving.map(|(index, _)| index).collect();
            if let Some(host) = leaving.choose(&mut self.rng) {
                self.continue_retirement(*host);
            }
        }
    }

    /// Goes on with the retirement of a host that leaves.
    fn continue_retirement(&mut self, host: usize) {
        if self.hosts[host].is_done {
            let removed = self.hosts.remove(host);
            self.list.remove(&removed.id);
            return;
        }
        let Some(mut check) = self.hosts[host].check.take() else {
            let state = &self.hosts[host];
            let own = OwnTurns { trees: held_trees(&state.index), is_final: !state.accepts };
            let others = state.has_read.keys().filter(|id| **id != state.id);
            let to_ask = others.cloned().collect();
            self.hosts[host].check = Some(Check { own, to_ask, held: HashMap::new() });
            return;
        };
        if let Some(id) = check.to_ask.pop() {
            if let Some(other) = self.find(&id).filter(|other| self.hosts[*other].is_up) {
                let other = &self.hosts[other];
                let may_leave =
                    other.is_leaving && self.mutation != Mutation::LeavingHostsDoNotSaySo;
                check.held.insert(id, HeldTurns { trees: held_trees(&other.index), may_leave });
            }
            self.hosts[host].check = Some(check);
            return;
        }
        self.conclude(host, check);
    }

    fn conclude(&mut self, host: usize, mut check: Check) {
        let mut hosts: Vec<StoreHost> = self.hosts[host]
            .has_read
            .iter()
            .map(|(id, listed)| StoreHost {
                host: id.clone(),
                domain: listed.domain.as_str().into(),
                is_leaving: listed.is_leaving,
            })
            .collect();
        if self.mutation == Mutation::CountsLeavingHosts {
            hosts.iter_mut().for_each(|host| host.is_leaving = false);
            check.held.values_mut().for_each(|held| held.may_leave = false);
        }
        self.now += CHECK_INTERVAL;
        let copies = self.copies();
        let retirement = &mut self.hosts[host].retirement;
        let mut step = retirement.on_checked(self.now, &check.own, &hosts, &check.held, copies);
        if self.mutation == Mutation::RetiresAtOnce {
            step = RetirementStep::Finish;
        }
        match step {
            RetirementStep::Wait | RetirementStep::WaitForHosts => {}
            RetirementStep::Send(_) if self.mutation == Mutation::SendsNoTurns => {}
            RetirementStep::Send(to_send) => {
                for (id, turns) in to_send {
                    self.send_turns(host, &id, &turns);
                }
            }
            RetirementStep::StopAccepting => self.hosts[host].accepts = false,
            RetirementStep::Finish => self.hosts[host].is_done = true,
        }
    }

    fn send_turns(&mut self, from: usize, to: &HostId, turns: &[RequestId]) {
        let Some(to) = self.find(to).filter(|to| self.hosts[*to].is_up) else { return };
        for turn in turns {
            let (head, ()) = self.hosts[from].index.get(turn).expect("an own turn");
            let head = head.clone();
            if self.hosts[to].index.insert(self.now, head, ()).is_err() {
                return;
            }
        }
    }

    /// Lets all retirements end for which enough hosts stay.
    fn finish_retirements(&mut self) -> Result<(), String> {
        for _ in 0..SETTLING_ROUNDS_MAX {
            let staying = self.hosts.iter().filter(|host| !host.is_leaving).count();
            let leaving = self.hosts.iter().position(|host| host.is_leaving);
            let Some(leaving) = leaving.filter(|_| staying >= self.copies()) else {
                return Ok(());
            };
            let count = self.hosts.len();
            self.continue_retirement(leaving);
            if self.hosts.len() < count {
                (0..self.hosts.len()).for_each(|host| self.read_list(host));
            }
            (0..self.hosts.len()).for_each(|host| self.pull(host));
        }
        Err("a retirement does not end".into())
    }

    /// Loses disks, those first that hold the turn with the fewest copies.
    fn lose_rarest_turn(&mut self) {
        let hosts = &self.hosts;
        let holds = |host: usize, turn: &TurnHead| hosts[host].index.contains(&turn.id);
        let all = 0..hosts.len();
        let rarest = self
            .ended
            .iter()
            .min_by_key(|turn| all.clone().filter(|host| holds(*host, turn)).count());
        let Some(turn) = rarest.cloned() else { return };
        let holders: Vec<usize> = all.filter(|host| holds(*host, &turn)).collect();
        holders.into_iter().take(self.losses_max).for_each(|host| self.restart(host, true));
    }

    /// Looks a turn up at all listed hosts. Returns whether it was found, and whether it was said
    /// not to exist.
    fn look_up(&self, gateway: usize, turn: &str) -> (bool, bool) {
        let mut list = match self.mutation {
            Mutation::LooksUpInOldList => self.rosters[gateway].clone(),
            _ => self.list.clone(),
        };
        if self.mutation == Mutation::AwayHostsAreNotListed {
            list.retain(|_, listed| !listed.is_away);
        }
        let (mut replies, mut is_found) = (BTreeMap::new(), false);
        for id in list.keys() {
            let host = self.find(id).filter(|host| self.hosts[*host].is_up);
            let reply = match host.map(|host| &self.hosts[host]) {
                Some(host) => {
                    is_found |= host.index.contains(turn);
                    HolderReply::Absent { is_complete: host.pull.has_recovered() }
                }
                None if self.mutation == Mutation::MissingReplyCountsAsAbsent => {
                    HolderReply::Absent { is_complete: true }
                }
                None => HolderReply::Unknown,
            };
            replies.insert(id.clone(), reply);
        }
        let listed: Vec<HostId> = list.into_keys().collect();
        (is_found, !is_found && is_certainly_absent(&listed, &replies))
    }

    fn step(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..self.hosts.len());
        let gateway = self.rng.random_range(0..GATEWAYS);
        match self.rng.random_range(0..100) {
            0..40 => self.append(),
            40..44 => self.hosts[host].is_up = false,
            44..48 if !self.hosts[host].is_up => self.restart(host, false),
            48..51 if self.may_lose_disk() => self.restart(host, true),
            51..52 if self.hosts[host].is_up && self.may_lose_disk() => {
                // Replaced by an empty one at another address.
                self.hosts.remove(host);
                self.add_host(false);
                let added = self.hosts.len() - 1;
                self.read_list(added);
            }
            52..53 if self.hosts.len() < 9 => self.add_host(false),
            53..55 => self.retire(host),
            55..60 => self.continue_retirements(),
            60..66 => {
                // A gateway finds a host out of reach for long.
                let is_out_of_reach =
                    |id: &HostId| self.find(id).is_none_or(|host| !self.hosts[host].is_up);
                let ids = self.list.keys().filter(|id| is_out_of_reach(id));
                let id = ids.cloned().collect::<Vec<_>>().choose(&mut self.rng).cloned();
                if let Some(listed) = id.and_then(|id| self.list.get_mut(&id)) {
                    listed.is_away = true;
                }
            }
            66..67 => {
                // The turns of a host that is gone would have been forgotten, or an operator removes
                // its record.
                let is_gone =
                    |id: &HostId, listed: &Listed| listed.is_away && self.find(id).is_none();
                let gone = self.list.iter().find(|(id, listed)| is_gone(id, listed));
                if let Some(id) = gone.map(|(id, _)| id.clone()) {
                    self.list.remove(&id);
                }
            }
            67..70 => self.rosters[gateway] = self.list.clone(),
            70..74 => self.read_list(host),
            74..86 => self.pull(host),
            86..88 => self.settle(),
            _ => {
                let Some(turn) = self.ended.choose(&mut self.rng).cloned() else { return Ok(()) };
                let (_, is_denied) = self.look_up(gateway, &turn.id);
                if is_denied {
                    return Err(format!("{} was said not to exist", turn.id));
                }
            }
        }
        Ok(())
    }

    /// Brings all hosts back and checks that each turn is found with its chain.
    fn check_end(&mut self) -> Result<(), String> {
        self.settle();
        self.finish_retirements()?;
        for turn in &self.ended {
            let (is_found, is_denied) = self.look_up(0, &turn.id);
            if !is_found {
                return Err(format!("{} is lost, denied: {is_denied}", turn.id));
            }
            let chain: BTreeSet<&RequestId> =
                self.chains[&turn.id].iter().map(|turn| &turn.id).collect();
            let holders = self.hosts.iter().filter(|host| host.index.contains(&turn.id));
            for host in holders {
                let held: BTreeSet<&RequestId> =
                    host.index.chain(&turn.id).map(|(head, ())| &head.id).collect();
                if held != chain {
                    return Err(format!("{} holds {} without its chain", host.id, turn.id));
                }
            }
        }
        Ok(())
    }

    fn run(seed: u64, mutation: Mutation) -> Result<usize, String> {
        let mut cluster = Self::new(seed, mutation);
        for _ in 0..STEPS {
            cluster.step()?;
        }
        cluster.check_end()?;
        Ok(cluster.ended.len())
    }
}

/// Several hosts leave at once, while turns are written by gateways that do not know of it yet. Then disks
/// are lost.
fn run_retirements(seed: u64, mutation: Mutation) -> Result<usize, String> {
    let mut cluster = Cluster::new(seed, mutation);
    (0..cluster.losses_max + 1).for_each(|_| cluster.add_host(false));
    (0..TURNS_BEFORE_RETIREMENTS).for_each(|_| cluster.append());
    cluster.settle();
    let leaving = cluster.rng.random_range(1..=cluster.losses_max + 1);
    (0..leaving).for_each(|host| cluster.retire(host));
    for _ in 0..STEPS {
        if cluster.hosts.iter().all(|host| !host.is_leaving) {
            break;
        }
        let (host, gateway) = (
            cluster.rng.random_range(0..cluster.hosts.len()),
            cluster.rng.random_range(0..GATEWAYS),
        );
        match cluster.rng.random_range(0..100) {
            0..20 => cluster.append(),
            20..21 => cluster.rosters[gateway] = cluster.list.clone(),
            21..30 => cluster.read_list(host),
            30..80 => cluster.pull(host),
            _ => cluster.continue_retirements(),
        }
    }
    if cluster.hosts.iter().all(|host| !host.is_leaving) {
        cluster.lose_rarest_turn();
    }
    cluster.check_end()?;
    Ok(cluster.ended.len())
}

#[test]
fn no_ended_turn_is_lost_when_several_hosts_leave_at_once() {
    for seed in 0..SEEDS {
        if let Err(failure) = run_retirements(seed, Mutation::None) {
            panic!("seed {seed}: {failure}");
        }
    }
}

#[test]
fn no_ended_turn_is_lost_or_denied() {
    let mut ended = 0;
    for seed in 0..SEEDS {
        match Cluster::run(seed, Mutation::None) {
            Ok(turns) => ended += turns,
            Err(failure) => panic!("seed {seed}: {failure}"),
        }
    }
    assert!(ended > SEEDS as usize * STEPS / 10, "only {ended} answers ended");
}

/// Each mechanism that is switched off is noticed, with the first seed that notices it. Whether a
/// host is complete matters only beyond the losses that are allowed, which are not played here.
#[test]
fn model_notices_mechanisms_that_are_off() {
    let mutations = [
        Mutation::OneCopyLess,
        Mutation::EndsBeforeLastCopy,
        Mutation::NoPullAfterLoss,
        Mutation::NoPullAfterChange,
        Mutation::LooksUpInOldList,
        Mutation::MissingReplyCountsAsAbsent,
        Mutation::AwayHostsAreNotListed,
        Mutation::StoresWithoutPrevious,
        Mutation::RetiresAtOnce,
        Mutation::UnresponsiveHostsStayHolders,
    ];
    mutations.into_iter().for_each(|mutation| check_noticed(mutation, Cluster::run));
    let mutations =
        [Mutation::CountsLeavingHosts, Mutation::LeavingHostsDoNotSaySo, Mutation::SendsNoTurns];
    mutations.into_iter().for_each(|mutation| check_noticed(mutation, run_retirements));
}

fn check_noticed(mutation: Mutation, run: fn(u64, Mutation) -> Result<usize, String>) {
    match (0..SEEDS).find_map(|seed| Some((seed, run(seed, mutation).err()?))) {
        Some((seed, failure)) => println!("{mutation:?}: seed {seed}: {failure}"),
        None => panic!("{mutation:?} is not noticed"),
    }
}
