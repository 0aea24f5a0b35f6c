//! Empties this host before operators remove it.

use {
    super::{Holder, copies, fetch_here, pull::list_held, register_again, retain, store_hosts},
    crate::{
        gateway::Gateway,
        ledger, roster,
        store::{Collection, RetirementState},
    },
    futures_util::future::join_all,
    serde_json::json,
    smol::Timer,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{HostId, RequestId},
        turns::{HeldTurns, OwnTurns, PART_BYTES_MAX, Retirement, RetirementStep},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Interval at which the other hosts are asked whether they hold this host's turns.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Pause before a report to the store is tried again.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Starts to empty this host.
pub(super) fn begin(gateway: &Rc<Gateway>) {
    let Some(store) = &gateway.turns.store else { return };
    if store.is_leaving.replace(true) {
        return;
    }
    gateway.decisions.log(
        LineRate::Rare,
        "retirement",
        json!({"what": "begun", "turns": store.turn_count()}),
    );
    // The other hosts see the new record and fetch what they should hold without this host.
    register_again(gateway);
    ledger::release_all(gateway);
    gateway.spawn(run(gateway.clone()));
}

async fn run(gateway: Rc<Gateway>) {
    let Some(store) = &gateway.turns.store else { return };
    report(&gateway, RetirementState::Running).await;
    let mut retirement = Retirement::begin(Instant::now());
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let is_final = !store.is_accepting.get() && !store.has_pending();
        let own = OwnTurns { trees: store.held(None, usize::MAX).0, is_final };
        let held = held_elsewhere(&gateway).await;
        let (hosts, copies) = (store_hosts(&gateway), copies(&gateway));
        match retirement.on_checked(Instant::now(), &own, &hosts, &held, copies) {
            RetirementStep::Wait => {}
            RetirementStep::WaitForHosts => gateway.decisions.log(
                LineRate::Failure,
                "retirement",
                json!({"what": "too few hosts stay or answer", "turns": retirement.lacking_count()}),
            ),
            RetirementStep::Send(to_send) => send_all(&gateway, to_send).await,
            // Turns that were written meanwhile are checked in the next round.
            RetirementStep::StopAccepting => store.is_accepting.set(false),
            RetirementStep::Finish => break,
        }
    }
    report(&gateway, RetirementState::Done).await;
    gateway.decisions.log(
        LineRate::Rare,
        "retirement",
        json!({"what": "done", "turns": store.turn_count()}),
    );
}

/// Returns whether this host leaves, or does not know whether it does.
pub(crate) fn may_leave(gateway: &Gateway) -> bool {
    let Some(store) = &gateway.turns.store else { return true };
    store.is_leaving.get() || gateway.watches.of(Collection::Retirements).age().is_none()
}

/// Returns what the other hosts hold. One that does not list its turns holds none of them for certain.
async fn held_elsewhere(gateway: &Rc<Gateway>) -> HashMap<HostId, HeldTurns> {
    let others: Vec<(HostId, SocketAddr)> = {
        let roster = gateway.roster.borrow();
        let others = roster.turn_stores();
        others.map(|(host, record, _)| (host.clone(), record.address)).collect()
    };
    let lists = others.into_iter().map(async |(host, address)| {
        let held = list_held(gateway, address).await?;
        Some((host, held))
    });
    join_all(lists).await.into_iter().flatten().collect()
}

/// Sends turns to hosts that should hold them and have not fetched them.
async fn send_all(gateway: &Rc<Gateway>, to_send: BTreeMap<HostId, Vec<RequestId>>) {
    let sends = to_send.iter().map(async |(host, turns)| {
        let sent = send_to(gateway, host, turns).await;
        gateway.decisions.log(
            if sent < turns.len() { LineRate::Failure } else { LineRate::Rare },
            "retirement",
            json!({"what": "sent", "peer": host, "turns": turns.len(), "stored": sent}),
        );
    });
    join_all(sends).await;
}

/// Sends turns to a host, until it does not store one. Returns the number of those that it has stored.
async fn send_to(gateway: &Rc<Gateway>, host: &HostId, turns: &[RequestId]) -> usize {
    let Some(address) = roster::address_of(gateway, host) else { return 0 };
    let holder = Holder { host: host.clone(), address: Some(address) };
    let mut sent = 0;
    while let Some(rest) = turns.get(sent..).filter(|rest| !rest.is_empty()) {
        let _slot = gateway.turns.transfers.begin().await;
        let (part, tried) = fetch_here(gateway, rest, PART_BYTES_MAX).await;
        if tried == 0 {
            return sent;
        }
        if !part.is_empty() && !retain::store_at(gateway, &holder, part).await {
            return sent;
        }
        sent += tried;
    }
    sent
}

async fn report(gateway: &Gateway, state: RetirementState) {
    loop {
        let host = &gateway.settings.host;
        match gateway.adapter.store.report_retirement(host, state).await {
            Ok(()) => return,
            Err(error) => {
                log::warn!("failed to report that the retirement is {state}; retrying: {error}");
                Timer::after(REPORT_RETRY_PAUSE).await;
            }
        }
    }
}
