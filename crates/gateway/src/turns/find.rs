//! Finds the turns before a request, or makes certain that there are none.

use {
    super::{
        CachedTurn, Holder, RetainedTurn, TurnLookup, copies, find_here, holders_by_reachability,
        own_record,
    },
    crate::{
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
        roster,
        store::{Collection, StoredObject},
        time::within,
    },
    futures_util::{StreamExt, future::join_all, stream::FuturesUnordered},
    serde_json::json,
    smol::Timer,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{HostId, RequestId},
        roster::AwayRecord,
        turns::{HolderReply, is_certainly_absent},
        verdict::{Reason, Refusal},
    },
    trefoilring_observe::{decisions::LineRate, log::wall_us},
};

/// Timeout of a question to one store host.
const FIND_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of turns in a chain. A reply that leads further is not followed.
const CHAIN_TURNS_MAX: usize = 10_000;
/// How long one store host is waited for before another one is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(40);
/// Minimum interval between two reads of the list of hosts, which the store bills. Only requests
/// that name no turn that can be found need one.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// `Retry-After` of requests whose turn was not found, but may exist.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Returns whether enough store hosts are in reach to keep a turn.
pub(crate) fn has_enough_stores(gateway: &Gateway) -> bool {
    let roster = gateway.roster.borrow();
    let in_reach =
        roster.turn_stores().filter(|(_, record, _)| peers::is_in_reach(gateway, record.address));
    in_reach.count() + usize::from(own_record(gateway).is_some()) >= copies(gateway)
}

/// What became of a search.
enum Search {
    /// The turn and those before it, the newest first.
    Found(Vec<RetainedTurn>),
    /// It is certain that the turn does not exist.
    Absent,
    /// The turn was not found, but it may exist.
    Unknown,
}

/// Finds a turn of a team and those before it. `tree` is where it is probably stored.
///
/// # Errors
///
/// Returns a refusal that says that the turn does not exist if that is certain, and one that
/// promises nothing about it otherwise.
pub(crate) async fn find(
    gateway: &Rc<Gateway>,
    id: &str,
    team: &str,
    tree: &str,
    deadline: Instant,
) -> Result<Rc<CachedTurn>, Refusal> {
    let cached = gateway.turns.cache.borrow_mut().get(id);
    // Another team's turn is looked up like one that does not exist, so that both take as long.
    if let Some(cached) = cached.filter(|cached| *cached.turn.head.team == *team) {
        gateway.metrics.count("turns_remembered", 1);
        return Ok(cached);
    }
    let began = Instant::now();
    let holders = holders_by_reachability(gateway, tree);
    let (preferred, others) = holders.split_at(holders.len().min(copies(gateway)));
    let mut replies = BTreeMap::new();
    let mut found = ask_in_turn(gateway, preferred, id, team, deadline, &mut replies).await;
    if found.is_none() {
        found = ask_all(gateway, others, id, team, deadline, &mut replies).await;
    }
    let is_in_doubt = !replies.values().all(HolderReply::rules_turn_out);
    let search = match found {
        Some(turns) => Search::Found(turns),
        // A host that holds the turn may be among those that have not replied.
        None if is_in_doubt => Search::Unknown,
        None => search_listed(gateway, id, team, deadline, replies).await,
    };
    let (outcome, result) = match search {
        Search::Found(turns) => match remember_chain(gateway, turns) {
            Some(chain) => ("found", Ok(chain)),
            None => ("unknown", Err(unknown())),
        },
        Search::Absent => ("absent", Err(not_found())),
        Search::Unknown => ("unknown", Err(unknown())),
    };
    gateway.metrics.count(&format!("turn_lookups.{outcome}"), 1);
    gateway.decisions.log(
        if result.is_ok() { LineRate::Routine } else { LineRate::Failure },
        "turn_lookup",
        json!({
            "turn": id,
            "team": team,
            "outcome": outcome,
            "holders": holders.len(),
            "took_ms": began.elapsed().as_millis() as u64,
        }),
    );
    result
}

/// Returns the refusal of a request that continues a turn that does not exist.
pub(crate) fn not_found() -> Refusal {
    Refusal::not_run(Reason::NotFound, "no such turn exists")
}

fn unknown() -> Refusal {
    let detail = "the turn was not found, but a host that may hold it has not replied";
    Refusal::not_run(Reason::StoreUnavailable, detail).retry_after(RETRY_AFTER)
}

/// Asks hosts in order of preference. A host that takes long does not hold up the next one.
async fn ask_in_turn(
    gateway: &Rc<Gateway>,
    holders: &[Holder],
    id: &str,
    team: &str,
    deadline: Instant,
    replies: &mut BTreeMap<HostId, HolderReply>,
) -> Option<Vec<RetainedTurn>> {
    let mut untried = holders.iter();
    let mut asked = FuturesUnordered::new();
    loop {
        match untried.next() {
            Some(holder) => asked.push(ask_for_chain(gateway, holder, id, team, deadline)),
            None if asked.is_empty() => return None,
            None => {}
        }
        let hedge_at = match untried.len() {
            0 => deadline,
            _ => Instant::now() + HEDGE_DELAY,
        };
        match within(hedge_at, asked.next()).await {
            Some(Some((_, Ok(turns)))) => return Some(turns),
            Some(Some((host, Err(reply)))) => {
                replies.insert(host, reply);
            }
            Some(None) => {}
            None if Instant::now() >= deadline => return None,
            None => {}
        }
    }
}

async fn ask_all(
    gateway: &Rc<Gateway>,
    holders: &[Holder],
    id: &str,
    team: &str,
    deadline: Instant,
    replies: &mut BTreeMap<HostId, HolderReply>,
) -> Option<Vec<RetainedTurn>> {
    let questions = holders.iter().map(|holder| ask_for_chain(gateway, holder, id, team, deadline));
    let mut found = None;
    for (host, outcome) in join_all(questions).await {
        match outcome {
            Ok(turns) => found = Some(turns),
            Err(reply) => {
                replies.insert(host, reply);
            }
        }
    }
    found
}

/// Requests a turn and all those before it from one host.
async fn ask_for_chain(
    gateway: &Rc<Gateway>,
    holder: &Holder,
    id: &str,
    team: &str,
    deadline: Instant,
) -> (HostId, Result<Vec<RetainedTurn>, HolderReply>) {
    let (mut chain, mut next) = (Vec::new(), RequestId::from(id));
    loop {
        match ask(gateway, holder.address, &next, team, deadline).await {
            Some(TurnLookup::Found { turns, rest }) => {
                chain.extend(turns);
                match rest {
                    _ if !is_chain(&chain, id, team) => {
                        log::error!("host {} replied with another turn than {id}", holder.host);
                        return (holder.host.clone(), Err(HolderReply::Unknown));
                    }
                    Some(rest) => next = rest,
                    None => return (holder.host.clone(), Ok(chain)),
                }
            }
            Some(TurnLookup::Absent { is_complete }) if chain.is_empty() => {
                return (holder.host.clone(), Err(HolderReply::Absent { is_complete }));
            }
            // The rest of a chain may be forgotten meanwhile.
            Some(TurnLookup::Absent { .. } | TurnLookup::Unreadable) | None => {
                return (holder.host.clone(), Err(HolderReply::Unknown));
            }
        }
    }
}

/// Returns whether turns are the beginning of a chain of the team, the newest first.
fn is_chain(turns: &[RetainedTurn], id: &str, team: &str) -> bool {
    let follows = |pair: &[RetainedTurn]| pair[0].head.previous.as_ref() == Some(&pair[1].head.id);
    turns.first().is_some_and(|newest| *newest.head.id == *id)
        && turns.len() <= CHAIN_TURNS_MAX
        && turns.iter().all(|turn| *turn.head.team == *team)
        && turns.windows(2).all(follows)
}

async fn ask(
    gateway: &Rc<Gateway>,
    address: Option<SocketAddr>,
    id: &RequestId,
    team: &str,
    deadline: Instant,
) -> Option<TurnLookup> {
    let Some(address) = address else { return Some(find_here(gateway, id, team).await) };
    if !peers::is_in_reach(gateway, address) && peers::is_lost(gateway, address) {
        return None;
    }
    let request = PeerRequest::FindTurn { id: id.clone(), team: team.into() };
    let timeout = FIND_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
    match peers::send_directly_or_relay(gateway, address, request, timeout).await {
        Some(PeerReply::TurnLookup { lookup }) => Some(lookup),
        _ => None,
    }
}

/// Asks all hosts that the store lists now, except those that have replied. A host that registered
/// lately may hold the turn, and one that is out of reach for long has not been asked.
async fn search_listed(
    gateway: &Rc<Gateway>,
    id: &str,
    team: &str,
    deadline: Instant,
    mut replies: BTreeMap<HostId, HolderReply>,
) -> Search {
    let Some(listed) = read_listed(gateway, deadline).await else { return Search::Unknown };
    let is_unasked = |holder: &&Holder| !replies.contains_key(&holder.host);
    let unasked: Vec<Holder> = listed.iter().filter(is_unasked).cloned().collect();
    if let Some(turns) = ask_all(gateway, &unasked, id, team, deadline, &mut replies).await {
        return Search::Found(turns);
    }
    // Hosts that replied but are no longer listed were removed together with their disks.
    let listed: Vec<HostId> = listed.into_iter().map(|holder| holder.host).collect();
    match is_certainly_absent(&listed, &replies) {
        true => Search::Absent,
        false => Search::Unknown,
    }
}

/// Reads the store hosts from the platform's store. Returns `None` if it can't be reached or was
/// asked too often, or if a record can't be read, which may be that of a store host.
async fn read_listed(gateway: &Rc<Gateway>, deadline: Instant) -> Option<Vec<Holder>> {
    let now = Instant::now();
    let next_at = &gateway.turns.next_list_at;
    if next_at.get() > now + LIST_INTERVAL {
        return None;
    }
    let at = next_at.get().max(now);
    next_at.set(at + LIST_INTERVAL);
    Timer::at(at).await;
    let listing = within(deadline, gateway.adapter.store.list(Collection::Hosts)).await;
    let objects = match listing {
        Some(Ok(listing)) => listing.objects,
        Some(Err(error)) => {
            log::warn!("failed to list the hosts; whether a turn exists stays unknown: {error}");
            return None;
        }
        None => return None,
    };
    let mut holders = Vec::new();
    for object in &objects {
        holders.extend(listed_holder(gateway, object)?);
    }
    if own_record(gateway).is_some() {
        let host = gateway.settings.host.clone();
        holders.retain(|holder| holder.host != host);
        holders.push(Holder { host, address: None });
    }
    Some(holders)
}

/// Returns the store host of a record, if it is that of one. Returns `None` if the record can't be
/// read.
fn listed_holder(gateway: &Rc<Gateway>, object: &StoredObject) -> Option<Option<Holder>> {
    let record = roster::parse_record(object)?;
    let is_needless = |away: &AwayRecord| away.needless_from_ms < wall_us() / 1000;
    if record.away.as_ref().is_some_and(is_needless) {
        roster::remove_needless(gateway, object);
        return Some(None);
    }
    let host = HostId::from(object.name.as_str());
    let holder = Holder { host, address: Some(record.address) };
    Some(record.turn_store.is_some().then_some(holder))
}

/// Remembers a chain, which is given the newest turn first. Returns the newest turn; `None` if the
/// chain is empty.
fn remember_chain(gateway: &Gateway, turns: Vec<RetainedTurn>) -> Option<Rc<CachedTurn>> {
    let mut cache = gateway.turns.cache.borrow_mut();
    let mut previous: Option<Rc<CachedTurn>> = None;
    for turn in turns.into_iter().rev() {
        let cached = match cache.get(&turn.head.id).filter(|cached| cached.turn == turn) {
            Some(cached) => cached,
            None => {
                let cached = Rc::new(CachedTurn { turn, previous: previous.take() });
                cache.insert(cached.clone());
                cached
            }
        };
        previous = Some(cached);
    }
    previous
}
