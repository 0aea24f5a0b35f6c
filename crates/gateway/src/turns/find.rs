//! Finds the turns before a request, or makes certain that there are none.

use {
    super::{
        CachedTurn, Holder, RetainedTurn, TurnLookup, copies,
        fetch::{ChainFetch, Question},
        find_here, holders_by_reachability, own_record,
    },
    crate::{
        gateway::Gateway,
        peers::{self, EncodedRequest, PeerReply, PeerRequest},
        roster,
        store::{Collection, StoredObject},
        time::within,
    },
    futures_util::future::LocalBoxFuture,
    serde_json::json,
    smol::Timer,
    std::{
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{HostId, TeamId},
        roster::AwayRecord,
        turns::{ChainSearch, HolderReply, is_certainly_absent},
        verdict::{Reason, Refusal},
    },
    trefoilring_observe::{decisions::LineRate, log::wall_us},
};

/// How long nothing may come from a store host until its reply is given up.
const SILENCE_MAX: Duration = Duration::from_millis(300);
/// Timeout of a part that a relay receives whole before it passes it on.
const RELAYED_PART_TIMEOUT: Duration = Duration::from_millis(1500);
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
    /// The turn and those before it have been fetched.
    Found,
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
    let holder_count = holders.len();
    let ask = |question: Question| {
        let (gateway, team) = (gateway.clone(), TeamId::from(team));
        let reply: LocalBoxFuture<'static, _> = Box::pin(ask(gateway, team, question));
        reply
    };
    let turns = &gateway.turns;
    let mut fetch = ChainFetch::new(&turns.cache, &turns.transfers, &ask, id, team);
    let search = within(deadline, search(gateway, &mut fetch, holders, deadline)).await;
    let (outcome, result) = match search.unwrap_or(Search::Unknown) {
        Search::Found => match remember_chain(gateway, fetch.take()) {
            Some(chain) => ("found", Ok(chain)),
            None => ("unknown", Err(unknown())),
        },
        Search::Absent => ("absent", Err(not_found())),
        Search::Unknown => ("unknown", Err(unknown())),
    };
    let report = fetch.report;
    gateway.metrics.count(&format!("turn_lookups.{outcome}"), 1);
    gateway.decisions.log(
        if result.is_ok() { LineRate::Routine } else { LineRate::Failure },
        "turn_lookup",
        json!({
            "turn": id,
            "team": team,
            "outcome": outcome,
            "holders": holder_count,
            "bytes": report.bytes,
            "resumed_bytes": report.resumed_bytes,
            "parts": report.parts,
            "sources": report.sources,
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

/// Asks one host for a turn and those before it.
async fn ask(
    gateway: Rc<Gateway>,
    team: TeamId,
    Question { holder, turn, bytes_max, progress }: Question,
) -> Option<TurnLookup> {
    let Some(address) = holder.address else {
        return Some(find_here(&gateway, &turn, &team, bytes_max).await);
    };
    if !peers::is_in_reach(&gateway, address) && peers::is_lost(&gateway, address) {
        return None;
    }
    let request = PeerRequest::FindTurn { id: turn, team, bytes_max: Some(bytes_max) };
    let request = EncodedRequest::new(request)?;
    let patience = peers::Patience {
        silence_max: SILENCE_MAX,
        relayed_max: if bytes_max == 0 { SILENCE_MAX } else { RELAYED_PART_TIMEOUT },
    };
    match peers::send_bulk_or_relay(&gateway, address, &request, &progress, patience).await {
        Some(PeerReply::TurnLookup { lookup }) => Some(lookup),
        _ => None,
    }
}

/// Searches the store hosts for a turn, and fetches it and those before it.
async fn search(
    gateway: &Rc<Gateway>,
    fetch: &mut ChainFetch<'_>,
    holders: Vec<Holder>,
    deadline: Instant,
) -> Search {
    let preferred = copies(gateway);
    let Err(replies) = fetch_from(fetch, holders, preferred).await else { return Search::Found };
    if !replies.values().all(HolderReply::rules_turn_out) {
        // A host that holds the turn may be among those that have not replied.
        return Search::Unknown;
    }
    search_listed(gateway, fetch, deadline, replies).await
}

/// Fetches a chain from the hosts that hold it. The first `preferred` of them probably do.
///
/// # Errors
///
/// Returns the replies of the hosts if none has sent the whole chain.
async fn fetch_from(
    fetch: &mut ChainFetch<'_>,
    holders: Vec<Holder>,
    preferred: usize,
) -> Result<(), BTreeMap<HostId, HolderReply>> {
    let mut hosts: Vec<HostId> = holders.iter().map(|holder| holder.host.clone()).collect();
    let others = hosts.split_off(hosts.len().min(preferred));
    let by_host: BTreeMap<HostId, Holder> =
        holders.into_iter().map(|holder| (holder.host.clone(), holder)).collect();
    let mut search = ChainSearch::new(Instant::now(), hosts, others);
    match fetch.run(&mut search, &by_host).await {
        true => Ok(()),
        false => Err(search.into_replies()),
    }
}

/// Asks all hosts that the store lists now, except those that have replied. A host that registered
/// lately may hold the turn, and one that is out of reach for long has not been asked.
async fn search_listed(
    gateway: &Rc<Gateway>,
    fetch: &mut ChainFetch<'_>,
    deadline: Instant,
    mut replies: BTreeMap<HostId, HolderReply>,
) -> Search {
    let Some(listed) = read_listed(gateway, deadline).await else { return Search::Unknown };
    let is_unasked = |holder: &&Holder| !replies.contains_key(&holder.host);
    let unasked: Vec<Holder> = listed.iter().filter(is_unasked).cloned().collect();
    match fetch_from(fetch, unasked, 0).await {
        Ok(()) => return Search::Found,
        Err(late) => replies.extend(late),
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

/// Remembers a chain: its turns, the newest first, and the turn before them if it was remembered. Returns
/// the newest turn; `None` if the chain is empty.
fn remember_chain(
    gateway: &Gateway,
    (turns, mut previous): (Vec<RetainedTurn>, Option<Rc<CachedTurn>>),
) -> Option<Rc<CachedTurn>> {
    let mut cache = gateway.turns.cache.borrow_mut();
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
