//! Empties this host before operators remove it.

use {
    super::{copies, pull::list_held, register_again},
    crate::{gateway::Gateway, ledger, store::RetirementState},
    futures_util::future::join_all,
    serde_json::json,
    smol::Timer,
    std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration},
    trefoilring_core::ids::RequestId,
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
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let unheld = unheld_turns(&gateway).await;
        if unheld > 0 {
            continue;
        }
        if store.is_accepting.replace(false) || store.has_pending() {
            // Turns that were written meanwhile are checked in the next round.
            continue;
        }
        break;
    }
    report(&gateway, RetirementState::Done).await;
    gateway.decisions.log(
        LineRate::Rare,
        "retirement",
        json!({"what": "done", "turns": store.turn_count()}),
    );
}

/// Returns how many of this host's turns are at too few other hosts.
async fn unheld_turns(gateway: &Rc<Gateway>) -> usize {
    let Some(store) = &gateway.turns.store else { return 0 };
    let own = store.turn_ids();
    let others: Vec<SocketAddr> = {
        let roster = gateway.roster.borrow();
        roster.turn_stores().map(|(_, record, _)| record.address).collect()
    };
    // A host that does not list its turns holds none of them for certain.
    let lists = join_all(others.iter().map(|address| list_held(gateway, *address))).await;
    let held = lists.into_iter().flatten().flatten().flat_map(|(_, turns)| turns);
    let mut copies_of: HashMap<RequestId, usize> = HashMap::new();
    for turn in held {
        *copies_of.entry(turn).or_default() += 1;
    }
    let needed = copies(gateway);
    own.iter().filter(|turn| copies_of.get(*turn).is_none_or(|held| *held < needed)).count()
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
