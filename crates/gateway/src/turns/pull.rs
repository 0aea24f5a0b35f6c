//! Fetches the turns that this host should hold from the other store hosts.

use {
    super::{RetainedTurn, TurnWriteOutcome, copies, store_hosts},
    crate::{
        gateway::Gateway,
        http::Progress,
        peers::{self, PeerReply, PeerRequest},
        roster,
        time::within,
    },
    futures_util::future::join_all,
    serde_json::json,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{HostId, RequestId},
        turns::{HeldTurns, PullNumber, PullPeer, TreeId, rank_holders},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Pause before hosts that did not reply are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How long nothing may come of turns that were requested. Reading them takes a slow host some hundred
/// milliseconds.
const FETCH_SILENCE_MAX: Duration = Duration::from_secs(2);
/// How long nothing may come of the list of turns. Several requests fail before a host is replaced.
const LIST_SILENCE_MAX: Duration = Duration::from_millis(600);

/// Starts to fetch turns after each change of the other hosts.
pub(super) fn start(gateway: &Rc<Gateway>) {
    gateway.spawn(run(gateway.clone()));
}

/// Applies the list of the other hosts, after the store has returned all of them or their changes.
pub(crate) fn refresh_peers(gateway: &Gateway) {
    let Some(store) = &gateway.turns.store else { return };
    let mut peers: BTreeMap<HostId, PullPeer> = BTreeMap::new();
    for (host, record, turn_store) in gateway.roster.borrow().turn_stores() {
        let peer = PullPeer {
            incarnation: record.incarnation,
            disk: turn_store.disk,
            is_replaced: turn_store.is_leaving,
        };
        peers.insert(host.clone(), peer);
    }
    for (host, record) in gateway.turns.away.borrow().iter() {
        let Some(turn_store) = &record.turn_store else { continue };
        let (incarnation, disk) = (record.incarnation, turn_store.disk);
        peers.insert(host.clone(), PullPeer { incarnation, disk, is_replaced: true });
    }
    peers.remove(&gateway.settings.host);
    store.pull.borrow_mut().set_peers(peers);
    store.must_pull.notify(usize::MAX);
}

async fn run(gateway: Rc<Gateway>) {
    let Some(store) = &gateway.turns.store else { return };
    loop {
        let must_pull = store.must_pull.listen();
        let (unasked, number): (Vec<HostId>, PullNumber) = {
            let pull = store.pull.borrow();
            (pull.unasked().cloned().collect(), pull.number())
        };
        if unasked.is_empty() {
            must_pull.await;
            continue;
        }
        join_all(unasked.iter().map(|host| pull_from(&gateway, host, number))).await;
        if !store.pull.borrow().is_settled() {
            within(Instant::now() + RETRY_PAUSE, must_pull).await;
        }
    }
}

async fn pull_from(gateway: &Rc<Gateway>, host: &HostId, number: PullNumber) {
    let Some(store) = &gateway.turns.store else { return };
    let began = Instant::now();
    let Some(address) = roster::address_of(gateway, host) else { return };
    let outcome = pull_trees(gateway, host, address).await;
    let has_just_recovered = outcome.is_ok() && store.pull.borrow_mut().on_pulled(host, number);
    gateway.decisions.log(
        LineRate::Rare,
        "turns_pulled",
        json!({
            "peer": host,
            "fetched": outcome.as_ref().ok(),
            "error": outcome.as_ref().err(),
            "held": store.turn_count(),
            "has_recovered": store.pull.borrow().has_recovered(),
            "took_ms": began.elapsed().as_millis() as u64,
        }),
    );
    if has_just_recovered {
        store.record_recovered().await;
    }
}

/// Fetches the turns of a host that this one should hold. Returns their number.
async fn pull_trees(
    gateway: &Rc<Gateway>,
    host: &HostId,
    address: SocketAddr,
) -> Result<usize, &'static str> {
    let held = list_held(gateway, address).await;
    record_answer(gateway, host, held.is_some());
    let held = held.ok_or("the host did not list its turns")?;
    fetch(gateway, address, missing(gateway, &held.trees)).await
}

/// Records whether a host has answered a question. One that does not is replaced as a holder.
fn record_answer(gateway: &Gateway, host: &HostId, has_answered: bool) {
    let Some(store) = &gateway.turns.store else { return };
    let mut pull = store.pull.borrow_mut();
    if has_answered {
        pull.on_answered(host);
    } else if pull.on_unanswered(host, Instant::now()) {
        gateway.decisions.log(
            LineRate::Rare,
            "turn_holder_replaced",
            json!({"peer": host, "held": store.turn_count()}),
        );
        store.must_pull.notify(usize::MAX);
    }
}

/// Returns the turns that a host holds. Returns `None` if it does not list all of them.
pub(super) async fn list_held(gateway: &Rc<Gateway>, address: SocketAddr) -> Option<HeldTurns> {
    let mut held = HeldTurns::default();
    loop {
        let after = held.trees.last().map(|(tree, _)| tree.clone());
        let request = PeerRequest::HeldTurns { after };
        let reply = peers::send_bulk_request(
            gateway,
            address,
            &request,
            &Progress::begin(),
            LIST_SILENCE_MAX,
        )
        .await;
        let Some(PeerReply::HeldTurns { trees, has_more, may_leave }) = reply else {
            return None;
        };
        let is_last = !has_more || trees.is_empty();
        held.trees.extend(trees);
        held.may_leave |= may_leave;
        if is_last {
            return Some(held);
        }
    }
}

/// Returns the turns that this host should hold but does not, each after the one that it continues.
fn missing(gateway: &Gateway, trees: &[(TreeId, Vec<RequestId>)]) -> Vec<RequestId> {
    let Some(store) = &gateway.turns.store else { return Vec::new() };
    let mut hosts = store_hosts(gateway);
    for host in &mut hosts {
        host.is_leaving |= store.pull.borrow().is_replaced(&host.host);
    }
    let is_holder = |tree: &TreeId| {
        let holders = rank_holders(tree, &hosts).into_iter().take(copies(gateway));
        holders.into_iter().any(|holder| holder.host == gateway.settings.host)
    };
    let held_here = trees.iter().filter(|(tree, _)| is_holder(tree));
    let turns = held_here.flat_map(|(_, turns)| turns);
    turns.filter(|turn| !store.contains(turn)).cloned().collect()
}

async fn fetch(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    mut ids: Vec<RequestId>,
) -> Result<usize, &'static str> {
    let Some(store) = &gateway.turns.store else { return Ok(0) };
    let mut fetched = 0;
    while !ids.is_empty() {
        let transfers = &gateway.turns.transfers;
        let slot = transfers.begin().await;
        let bytes_max = Some(transfers.part_bytes());
        let request = PeerRequest::FetchTurns { ids: ids.clone(), bytes_max };
        let began = Instant::now();
        let reply = peers::send_bulk_request(
            gateway,
            address,
            &request,
            &Progress::begin(),
            FETCH_SILENCE_MAX,
        )
        .await;
        let Some(PeerReply::Turns { turns, tried }) = reply else {
            return Err("the host did not send its turns");
        };
        transfers.on_received(turns.iter().map(RetainedTurn::bytes).sum(), began.elapsed());
        drop(slot);
        if tried == 0 {
            return Err("the host can't read a turn");
        }
        fetched += turns.len();
        let outcome = store.write(turns).await;
        if outcome != TurnWriteOutcome::Stored {
            return Err("this host's disk did not store the turns");
        }
        ids.drain(..tried.min(ids.len()));
    }
    Ok(fetched)
}
