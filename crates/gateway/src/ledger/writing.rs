//! Writes ledgers' records back in batches.

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

/// Time between two writes of a ledger for which nobody waits: each is a call that is counted, and a
/// record may lag by a turn and its margin.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two writes for which turns wait.
const WRITE_INTERVAL_URGENT: Duration = Duration::from_millis(40);

/// Starts to write a part's record if it is behind.
pub(super) fn start_write_if_needed(gateway: &Rc<Gateway>, partition: usize) {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    // A write under way looks again itself, and looking goes over all accounts.
    if !state.is_writing && state.ledger.as_ref().is_some_and(Ledger::needs_write) {
        state.is_writing = true;
        gateway.spawn(write(gateway.clone(), partition));
    }
}

/// Writes a part's record until it is no longer behind.
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
            // At once: another keeper that writes at the same pace would be first again.
            WriteOutcome::Merged => {}
            WriteOutcome::Failed => {
                gateway.until_store_answers(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE_MAX);
            }
        }
    }
}

/// How a write went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteOutcome {
    /// The record is in the store.
    Done,
    /// Another record was there, and has been taken in.
    Merged,
    /// The store could not be written to, as far as is known.
    Failed,
}

/// Takes in how a write went.
fn apply_write_result(
    gateway: &Gateway,
    partition: usize,
    record: &LedgerRecord,
    began: Instant,
    put: Result<Revision, StoreError>,
) -> WriteOutcome {
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    // It may have been left to a standby meanwhile, and read again.
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
                // An earlier write of ours whose answer was lost.
                Some(other) if ledger.is_own(&other) => ledger.on_write_succeeded(now, &other),
                Some(other) => {
                    gateway.decisions.note(
                        Weight::Rare,
                        "ledger",
                        json!({"ledger": ledger_name(partition), "what": "merged", "from": other.writer}),
                    );
                    ledger.merge(now, &other, gateway.outage_notes.notes_of(partition));
                }
                None => {}
            }
            WriteOutcome::Merged
        }
        Err(error) => {
            log::warn!("{} is not written: {error}", ledger_name(partition));
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

/// Lets charges gather before the next write, unless turns wait for it or a successor should not find
/// the last one.
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
