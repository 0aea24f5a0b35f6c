//! Writes ledger records to the store, each with the charges of one interval.

use {
    super::{
        Partition, RETRY_PAUSE_MAX, RETRY_PAUSE_MIN, decode_record, ledger_name,
        notes::renew_note_hosts, release, takeover::fence_former_epochs,
    },
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

/// Interval at which an owner that must not write reads the record, once the store answers again.
const REPLICATION_END_INTERVAL: Duration = Duration::from_millis(20);

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
    let mut pause = RETRY_PAUSE_MIN;
    if !is_write_urgent(&gateway, partition) {
        wait_before_next_write(&gateway, partition).await;
    }
    loop {
        let (record, revision) = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            renew_note_hosts(&gateway, partition, state);
            let Some(ledger) = state.ledger.as_mut().filter(|ledger| ledger.needs_write()) else {
                state.is_writing = false;
                return;
            };
            (ledger.next_record(Instant::now(), wall_us() / 1000), state.revision)
        };
        let outcome = match record {
            Some(record) => write_record(&gateway, partition, record, revision).await,
            None => read_before_write(&gateway, partition).await,
        };
        match outcome {
            WriteOutcome::Done => {
                pause = RETRY_PAUSE_MIN;
                wait_before_next_write(&gateway, partition).await;
            }
            // A waiting turn takes the ledger over again.
            WriteOutcome::Superseded => {}
            WriteOutcome::Reached => {
                pause = RETRY_PAUSE_MIN;
                Timer::after(REPLICATION_END_INTERVAL).await;
            }
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
    /// The store was reached. The record can be written once the replication has ended.
    Reached,
    /// Another host has taken the ledger over. This host has given it up.
    Superseded,
    /// The write failed or its result is unknown.
    Failed,
}

async fn write_record(
    gateway: &Gateway,
    partition: usize,
    record: LedgerRecord,
    revision: Option<Revision>,
) -> WriteOutcome {
    let name = ledger_name(partition);
    let began = Instant::now();
    let put = gateway.adapter.store.put(Collection::Ledgers, &name, revision, json!(record)).await;
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    // The ledger may have been given up and taken over again during the write.
    let Some(ledger) = state.ledger.as_mut().filter(|ledger| ledger.is_own(&record)) else {
        return WriteOutcome::Superseded;
    };
    let outcome = match put {
        Ok(revision) => {
            on_stored(gateway, partition, state, &record, revision);
            WriteOutcome::Done
        }
        Err(StoreError::Conflict(stored)) => {
            let other_record = stored.as_deref().and_then(decode_record);
            match (other_record, stored) {
                // An earlier write of this ledger, whose answer was lost.
                (Some(other), Some(stored)) if ledger.is_own(&other) => {
                    on_stored(gateway, partition, state, &other, stored.revision);
                    WriteOutcome::Done
                }
                (other, _) => {
                    log_superseded(gateway, partition, other.as_ref());
                    state.drop_ledger();
                    WriteOutcome::Superseded
                }
            }
        }
        Err(error) => {
            log::warn!("{name}: failed to write the ledger record: {error}");
            let may_succeed_late = !matches!(error, StoreError::NotApplied(_));
            ledger.on_write_failed(began, &record, may_succeed_late);
            WriteOutcome::Failed
        }
    };
    report_outcome(gateway, state, outcome);
    outcome
}

fn on_stored(
    gateway: &Gateway,
    partition: usize,
    state: &mut Partition,
    record: &LedgerRecord,
    revision: Revision,
) {
    let Some(ledger) = &mut state.ledger else { return };
    ledger.on_write_succeeded(Instant::now(), record);
    state.revision = Some(revision);
    if ledger.is_released_by(record) {
        release::finish(gateway, partition, state);
    }
}

fn report_outcome(gateway: &Gateway, state: &Partition, outcome: WriteOutcome) {
    if outcome != WriteOutcome::Failed {
        gateway.store_recovered.notify(usize::MAX);
    }
    let metric = match outcome {
        WriteOutcome::Done | WriteOutcome::Reached => "ledger_writes",
        WriteOutcome::Superseded => "ledger_conflicts",
        WriteOutcome::Failed => "ledger_write_failures",
    };
    gateway.metrics.count(metric, 1);
    state.changed.notify(usize::MAX);
}

fn log_superseded(gateway: &Gateway, partition: usize, by: Option<&LedgerRecord>) {
    gateway.decisions.log(
        LineRate::Rare,
        "ledger",
        json!({"ledger": ledger_name(partition), "what": "superseded",
               "by": by.map(|record| &record.writer), "epoch": by.map(|record| record.epoch)}),
    );
}

/// Reads the stored record, when none may be written: to learn that the store is available again
/// while the ledger is replicated, or for a promoted owner to claim the ledger.
async fn read_before_write(gateway: &Rc<Gateway>, partition: usize) -> WriteOutcome {
    let name = ledger_name(partition);
    let began = Instant::now();
    let read = gateway.adapter.store.get(Collection::Ledgers, &name).await;
    let stored = match read {
        Ok(stored) => stored,
        Err(error) => {
            log::warn!("{name}: failed to read the ledger record: {error}");
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            if let Some(ledger) = &mut state.ledger {
                ledger.on_read_failed(began);
            }
            report_outcome(gateway, state, WriteOutcome::Failed);
            return WriteOutcome::Failed;
        }
    };
    let record = stored.as_ref().and_then(decode_record);
    let is_current = |ledger: &Ledger| {
        record
            .as_ref()
            .is_some_and(|record| ledger.is_own(record) || ledger.is_promoted_from(&record.writer))
    };
    let must_claim = {
        let mut partitions = gateway.ledgers.borrow_mut();
        let state = &mut partitions[partition];
        let Some(ledger) = &mut state.ledger else { return WriteOutcome::Superseded };
        if !is_current(ledger) {
            log_superseded(gateway, partition, record.as_ref());
            state.drop_ledger();
            report_outcome(gateway, state, WriteOutcome::Superseded);
            return WriteOutcome::Superseded;
        }
        ledger.on_store_reached(Instant::now());
        state.changed.notify(usize::MAX);
        ledger.must_claim()
    };
    gateway.store_recovered.notify(usize::MAX);
    if let Some(record) = record.filter(|_| must_claim) {
        let evidence = fence_former_epochs(gateway, partition, Some(&record)).await;
        let mut partitions = gateway.ledgers.borrow_mut();
        let state = &mut partitions[partition];
        let promoted =
            state.ledger.as_mut().filter(|ledger| ledger.is_promoted_from(&record.writer));
        if let Some(ledger) = promoted {
            ledger.claim(record.epoch, evidence.note_hosts);
            state.revision = stored.map(|stored| stored.revision);
        }
    }
    WriteOutcome::Reached
}

/// Returns whether turns wait for a write, or the stored record should be replaced at once: a
/// successor that reads it counts more than necessary.
fn is_write_urgent(gateway: &Gateway, partition: usize) -> bool {
    let partitions = gateway.ledgers.borrow();
    let state = &partitions[partition];
    let is_urgent = |ledger: &Ledger| ledger.should_rewrite_record() || ledger.is_releasing();
    !state.waiting_turns.is_zero() || state.ledger.as_ref().is_some_and(is_urgent)
}

/// Waits for charges to accumulate before the next write, for a shorter time if it is urgent.
async fn wait_before_next_write(gateway: &Gateway, partition: usize) {
    let end = Instant::now() + WRITE_INTERVAL;
    let should_rewrite = |partition: &Partition| {
        partition.ledger.as_ref().is_some_and(Ledger::should_rewrite_record)
    };
    if should_rewrite(&gateway.ledgers.borrow()[partition]) {
        return;
    }
    loop {
        Timer::after(WRITE_INTERVAL_URGENT).await;
        if Instant::now() >= end || is_write_urgent(gateway, partition) {
            return;
        }
    }
}
