//! Writes ledger records to the store, each with the charges of one interval.

use {
    super::{Partition, RETRY_PAUSE_MAX, RETRY_PAUSE_MIN, decode_record, ledger_name},
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
    trefoilring_observe::{decisions::LineRate, log::wall_us},
};

/// Interval between two writes of a ledger if no turn waits for them. Each write counts as a
/// request to the store, and the record may lag behind the charges by one turn and the reservation.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two writes if turns wait for them.
const WRITE_INTERVAL_URGENT: Duration = Duration::from_millis(40);

/// Starts to write the record of a partition if its ledger needs a write.
pub(super) fn start_write_if_needed(gateway: &Rc<Gateway>, partition: usize) {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    // A running write task checks again when its write is done. A check here would iterate over all
    // accounts.
    if !state.is_writing && state.ledger.as_ref().is_some_and(Ledger::needs_write) {
        state.is_writing = true;
        gateway.spawn(write(gateway.clone(), partition));
    }
}

/// Writes the record of a partition until its ledger needs no further write.
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
            (ledger.next_record(Instant::now(), wall_us() / 1000), state.revision)
        };
        let content = json!(record);
        let began = Instant::now();
        let put = gateway.adapter.store.put(Collection::Ledgers, &name, revision, content).await;
        match apply_write_result(&gateway, partition, &record, began, put) {
            WriteOutcome::Done => {
                pause = RETRY_PAUSE_MIN;
                wait_before_next_write(&gateway, partition).await;
            }
            // Retries at once: otherwise another owner that writes at the same interval could win
            // every time.
            WriteOutcome::Conflict => {}
            WriteOutcome::Failed => {
                gateway.wait_for_store(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE_MAX);
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteOutcome {
    /// The record was stored.
    Done,
    /// The revision in the store is not the expected one. If another writer stored the present
    /// record, that record has been merged into the ledger.
    Conflict,
    /// The write failed or its result is unknown.
    Failed,
}

/// Updates the ledger, its revision and the metrics with the result of a write.
fn apply_write_result(
    gateway: &Gateway,
    partition: usize,
    record: &LedgerRecord,
    began: Instant,
    put: Result<Revision, StoreError>,
) -> WriteOutcome {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    // The ledger may have been dropped and taken over again during the write.
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
            let other_record = stored.as_deref().and_then(decode_record);
            state.revision = stored.map(|stored| stored.revision);
            match other_record {
                // The stored record is from an earlier write of this ledger whose answer was lost.
                Some(other) if ledger.is_own(&other) => ledger.on_write_succeeded(now, &other),
                Some(other) => {
                    gateway.decisions.log(
                        LineRate::Rare,
                        "ledger",
                        json!({"ledger": ledger_name(partition), "what": "merged",
                               "from": other.writer}),
                    );
                    ledger.merge(now, &other, gateway.outage_notes.notes_of(partition));
                }
                None => {}
            }
            WriteOutcome::Conflict
        }
        Err(error) => {
            log::warn!("{}: failed to write the ledger record: {error}", ledger_name(partition));
            ledger.on_write_failed(began);
            WriteOutcome::Failed
        }
    };
    if outcome != WriteOutcome::Failed {
        gateway.store_recovered.notify(usize::MAX);
    }
    let metric = match outcome {
        WriteOutcome::Done => "ledger_writes",
        WriteOutcome::Conflict => "ledger_merges",
        WriteOutcome::Failed => "ledger_write_failures",
    };
    gateway.metrics.count(metric, 1);
    state.changed.notify(usize::MAX);
    outcome
}

/// Waits for charges to accumulate before the next write. Returns early if turns wait for a write.
/// Returns at once if the stored record should be rewritten, to shorten the time in which a
/// successor could read it.
async fn wait_before_next_write(gateway: &Gateway, partition: usize) {
    let should_rewrite = |partition: &Partition| {
        partition.ledger.as_ref().is_some_and(Ledger::should_rewrite_record)
    };
    if should_rewrite(&gateway.ledgers.borrow()[partition]) {
        return;
    }
    Timer::after(WRITE_INTERVAL_URGENT).await;
    let end = Instant::now() + WRITE_INTERVAL - WRITE_INTERVAL_URGENT;
    while Instant::now() < end && gateway.ledgers.borrow()[partition].waiting_turns == 0 {
        Timer::after(WRITE_INTERVAL_URGENT).await;
    }
}
