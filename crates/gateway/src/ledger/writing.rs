//! Writes ledgers' records back in batches.

use {
    super::{PAUSE_MAX, PAUSE_MIN, Part, name, record_of},
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
const WRITE_EVERY: Duration = Duration::from_millis(400);
/// Time between two writes for which turns wait.
const WRITE_EVERY_URGENT: Duration = Duration::from_millis(40);

/// Starts to write a part's record if it is behind.
pub(super) fn write_if_behind(gateway: &Rc<Gateway>, part: usize) {
    let mut parts = gateway.ledgers.borrow_mut();
    let state = &mut parts[part];
    // A write under way looks again itself, and looking goes over all accounts.
    if !state.is_writing && state.ledger.as_ref().is_some_and(Ledger::needs_write) {
        state.is_writing = true;
        gateway.spawn(write(gateway.clone(), part));
    }
}

/// Writes a part's record until it is no longer behind.
async fn write(gateway: Rc<Gateway>, part: usize) {
    let name = name(part);
    let mut pause = PAUSE_MIN;
    loop {
        let (record, revision) = {
            let mut parts = gateway.ledgers.borrow_mut();
            let state = &mut parts[part];
            let Some(ledger) = state.ledger.as_mut().filter(|ledger| ledger.needs_write()) else {
                state.is_writing = false;
                return;
            };
            (ledger.record(Instant::now(), wall_us() / 1000), state.revision)
        };
        let content = json!(record);
        let began = Instant::now();
        let put = gateway.adapter.store.put(Collection::Ledgers, &name, revision, content).await;
        match settle(&gateway, part, &record, began, put) {
            Written::Done => {
                pause = PAUSE_MIN;
                wait_for_next(&gateway, part).await;
            }
            // At once: another keeper that writes at the same pace would be first again.
            Written::Merged => {}
            Written::Failed => {
                gateway.until_store_answers(pause).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }
}

/// How a write went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Written {
    /// The record is in the store.
    Done,
    /// Another record was there, and has been taken in.
    Merged,
    /// The store could not be written to, as far as is known.
    Failed,
}

/// Takes in how a write went.
fn settle(
    gateway: &Gateway,
    part: usize,
    record: &LedgerRecord,
    began: Instant,
    put: Result<Revision, StoreError>,
) -> Written {
    let mut parts = gateway.ledgers.borrow_mut();
    let state = &mut parts[part];
    // It may have been left to a standby meanwhile, and read again.
    let Some(ledger) = state.ledger.as_mut().filter(|ledger| ledger.is_own(record)) else {
        return Written::Failed;
    };
    let now = Instant::now();
    let outcome = match put {
        Ok(revision) => {
            ledger.written(now, record);
            state.revision = Some(revision);
            Written::Done
        }
        Err(StoreError::Conflict(stored)) => {
            let other = stored.as_deref().and_then(record_of);
            state.revision = stored.map(|stored| stored.revision);
            match other {
                // An earlier write of ours whose answer was lost.
                Some(other) if ledger.is_own(&other) => ledger.written(now, &other),
                Some(other) => {
                    gateway.decisions.note(
                        Weight::Rare,
                        "ledger",
                        json!({"ledger": name(part), "what": "merged", "from": other.writer}),
                    );
                    ledger.merge(now, &other, gateway.outage_notes.of(part));
                }
                None => {}
            }
            Written::Merged
        }
        Err(error) => {
            log::warn!("{} is not written: {error}", name(part));
            ledger.write_failed(began);
            Written::Failed
        }
    };
    if outcome != Written::Failed {
        gateway.store_answers.notify(usize::MAX);
    }
    let metric = match outcome {
        Written::Done => "ledger_writes",
        Written::Merged => "ledger_merges",
        Written::Failed => "ledger_write_failures",
    };
    gateway.metrics.count(metric, 1);
    state.changed.notify(usize::MAX);
    outcome
}

/// Lets charges gather before the next write, unless turns wait for it or a successor should not find
/// the last one.
async fn wait_for_next(gateway: &Gateway, part: usize) {
    let is_doubted = |part: &Part| part.ledger.as_ref().is_some_and(Ledger::is_doubted_for_nothing);
    if is_doubted(&gateway.ledgers.borrow()[part]) {
        return;
    }
    Timer::after(WRITE_EVERY_URGENT).await;
    let end = Instant::now() + WRITE_EVERY - WRITE_EVERY_URGENT;
    while Instant::now() < end && gateway.ledgers.borrow()[part].waiting == 0 {
        Timer::after(WRITE_EVERY_URGENT).await;
    }
}
