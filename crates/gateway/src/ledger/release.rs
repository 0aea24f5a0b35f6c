//! Hands ledgers over to a successor without leaving reservations uncertain.

use {
    super::{Partition, ledger_name, writing::start_write_if_needed},
    crate::{gateway::Gateway, time::within},
    serde_json::json,
    smol::Timer,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_observe::decisions::LineRate,
};

/// How long a host that stops waits for the last write before it tries again. Longer than a write with a
/// slow store takes.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause after a release that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Releases a ledger that this host owns as the given writer: writes a record without reservations
/// and gives up ownership. Returns whether this host does not own the ledger as that writer any
/// more. The write may go on after the timeout.
pub(crate) async fn release(
    gateway: &Rc<Gateway>,
    partition: usize,
    writer: &str,
    timeout: Duration,
) -> bool {
    let deadline = Instant::now() + timeout;
    let mut has_begun = false;
    loop {
        let changed = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let Some(state) = partitions.get_mut(partition) else { return true };
            let owned = state.ledger.as_mut().filter(|ledger| ledger.is_writer(writer));
            let Some(ledger) = owned else { return true };
            // A failed write ends the release.
            let is_releasing =
                if has_begun { ledger.is_releasing() } else { ledger.begin_release() };
            if !is_releasing || Instant::now() >= deadline {
                return false;
            }
            has_begun = true;
            state.changed.listen()
        };
        start_write_if_needed(gateway, partition);
        within(deadline, changed).await;
    }
}

/// Releases all ledgers of a host that stops, so that others take them over at once. Keeps them if
/// there is no other host.
pub(crate) fn release_all(gateway: &Rc<Gateway>) {
    if gateway.roster.borrow().peers().next().is_none() {
        return;
    }
    let partition_count = gateway.ledgers.borrow().len();
    for partition in 0..partition_count {
        let gateway = gateway.clone();
        gateway.clone().spawn(async move {
            // The store may be unavailable at first. The process ends in any case.
            while let Some(writer) = {
                let partitions = gateway.ledgers.borrow();
                partitions[partition].owned_writer()
            } {
                if !release(&gateway, partition, &writer, RELEASE_TIMEOUT).await {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        });
    }
}

/// Gives a ledger up once its last record is stored.
pub(super) fn finish(gateway: &Gateway, partition: usize, state: &mut Partition) {
    state.drop_ledger();
    gateway.decisions.log(
        LineRate::Rare,
        "ledger",
        json!({"ledger": ledger_name(partition), "what": "released"}),
    );
}
