//! Writes the records of ledgers to the store in batches.

use {
    super::{Partition, RETRY_PAUSE_MAX, RETRY_PAUSE_MIN, ledger_name, record_of},
    crate::{
        gateway::Gateway,
        store::{Collection, Revision, StoreError},
    },
    serde_json::json,
    smol::Timer,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::budget::{Ledger, LedgerRecord},
    trefoilring_observe::{decisions::Weight, log::wall_us},
};

/// Interval between two writes of a ledger if no turn waits for them. Each write is a call of the
/// store that is counted, and the record may lag by one turn and its reservation.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two writes if turns wait for them.
const WRITE_INTERVAL_URGENT: Duration = Duration::from_millis(40);

/// Starts to write the record of a partition if it is behind the charges.
pub(super) fn start_write_if_needed(gateway: &Rc<Gateway>, partition: usize) {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    // A write in progress checks again by itself, and the check iterates over all accounts.
    if !state.is_writing && state.ledger.as_ref().is_some_and(Ledger::needs_write) {
        state.is_writing = true;
        gateway.spawn(write(gateway.clone(), partition));
    }
}

/// Writes the record of a partition until it is no longer behind the charges.
async fn write(gateway: Rc<Gateway>, partition: usize) {
    let name = ledger_name(partition);
    let mut pause = RETRY_PAUSE_MIN;
    loop {
        let (record, revision) = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            let Some(ledger) = state.ledger.as_mut().filter(|ledger| ledger.needs_write()) else {
                state.is_writing = false;
                return;
            };
            (ledger.record(Instant::now(), wall_us() / 1000), state.revision)
        };
        let content = json!(record);
        let began = Instant::now();
        let put = gateway.adapter.store.put(Collection::Ledgers, &name, revision, content).await;
        match apply_write_result(&gateway, partition, &record, began, put) {
            WriteOutcome::Done => {
                pause = RETRY_PAUSE_MIN;
                wait_before_next_write(&gateway, partition).await;
            }
            // Retries at once: another owner that writes at the same interval would be first again.
            WriteOutcome::Merged => {}
            WriteOutcome::Failed => {
                gateway.until_store_answers(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE_MAX);
            }
        }
    }
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteOutcome {
    /// The record was stored.
    Done,
    /// The store had the record of another writer, which has been merged.
    Merged,
    /// The write failed, as far as this host can tell.
    Failed,
}

/// Applies the result of a write.
fn apply_write_result(
    gateway: &Gateway,
    partition: usize,
    record: &LedgerRecord,
    began: Instant,
    put: Result<Revision, StoreError>,
) -> WriteOutcome {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    // The ledger may have passed to a standby in the meantime, and been taken over again.
    let Some(ledger) = state.ledger.as_mut().filter(|ledger| ledger.is_own(record)) else {
        return WriteOutcome::Failed;
    };
    let now = Instant::now();
    let outcome = match put {
        Ok(revision) => {
            ledger.on_write_succeeded(now, record);
            state.revision = Some(revision);
            WriteOutcome::Done
        }
        Err(StoreError::Conflict(stored)) => {
            let other_record = stored.as_deref().and_then(record_of);
            state.revision = stored.map(|stored| stored.revision);
            match other_record {
                // An earlier write of this ledger whose answer was lost.
                Some(other) if ledger.is_own(&other) => ledger.on_write_succeeded(now, &other),
                Some(other) => {
                    gateway.decisions.note(
                        Weight::Rare,
                        "ledger",
                        json!({"ledger": ledger_name(partition), "what": "merged",
                               "from": other.writer}),
                    );
                    ledger.merge(now, &other, gateway.outage_notes.notes_of(partition));
                }
                None => {}
            }
            WriteOutcome::Merged
        }
        Err(error) => {
            log::warn!("{}: failed to write the ledger record: {error}", ledger_name(partition));
            ledger.on_write_failed(began);
            WriteOutcome::Failed
        }
    };
    if outcome != WriteOutcome::Failed {
        gateway.store_answers.notify(usize::MAX);
    }
    let metric = match outcome {
        WriteOutcome::Done => "ledger_writes",
        WriteOutcome::Merged => "ledger_merges",
        WriteOutcome::Failed => "ledger_write_failures",
    };
    gateway.metrics.count(metric, 1);
    state.changed.notify(usize::MAX);
    outcome
}

/// Waits for charges to accumulate before the next write. Returns early if turns wait for a write,
/// and at once if the stored record is falsely marked as possibly incomplete, so that no successor
/// reads it.
async fn wait_before_next_write(gateway: &Gateway, partition: usize) {
    let is_falsely_incomplete = |partition: &Partition| {
        partition.ledger.as_ref().is_some_and(Ledger::is_falsely_marked_incomplete)
    };
    if is_falsely_incomplete(&gateway.ledgers.borrow()[partition]) {
        return;
    }
    Timer::after(WRITE_INTERVAL_URGENT).await;
    let end = Instant::now() + WRITE_INTERVAL - WRITE_INTERVAL_URGENT;
    while Instant::now() < end && gateway.ledgers.borrow()[partition].waiting_turns == 0 {
        Timer::after(WRITE_INTERVAL_URGENT).await;
    }
}
