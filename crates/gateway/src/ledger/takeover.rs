//! Takes ledgers over from their records, and finds out whether those may miss charges.

use {
    super::{KEEPERS, Keeper, PAUSE_MAX, PAUSE_MIN, Part, keepers, name, record_of, standby},
    crate::{
        gateway::Gateway,
        peers::{self, Kept, Question, Reply},
        roster,
        store::{Collection, StoredObject},
        time::within,
    },
    serde_json::json,
    smol::Timer,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::budget::{Inherited, Ledger, LedgerRecord, OutageNotes},
    trefoilring_observe::{decisions::Weight, log::wall_us},
};

/// How long one keeper may take to tell its notes.
const NOTES_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two rounds of asking other keepers before a ledger is taken over.
const ROUND_EVERY: Duration = Duration::from_millis(100);
/// How long a host that would take a ledger over in doubt leaves it to the keeper that wrote the record
/// and is there, but without the store: longer than that takes to notice that the store is back.
const KEEPER_BACK_WITHIN: Duration = Duration::from_millis(1500);
/// How long it leaves it to a keeper that reaches the store: until records are newer than its own notes,
/// by more than clocks differ. What is in doubt then was so before.
const KEEPER_STAYS_MAX: Duration = Duration::from_secs(8);
/// Time between two looks at a ledger that is left to its keeper: each is a call of the store.
const LEFT_LOOKED_AT_EVERY: Duration = Duration::from_millis(500);
/// How long a host without notes of its own waits for those of others before it takes a ledger over in
/// doubt: processes that are started together are there within a second.
const NOTES_WAIT: Duration = Duration::from_secs(2);

/// Whether this host keeps a ledger.
pub(super) enum Loaded {
    Yes,
    NotYet,
    KeptElsewhere { keeper: SocketAddr },
    StoreAway,
}

/// Reads a part's record, if this host has not.
pub(super) async fn load(
    gateway: &Rc<Gateway>,
    part: usize,
    idle_max: Duration,
    deadline: Instant,
) -> Loaded {
    standby::stand_in(gateway.clone(), part).await;
    loop {
        let changed = {
            let mut parts = gateway.ledgers.borrow_mut();
            let state = &mut parts[part];
            if state.ledger.is_some() {
                return Loaded::Yes;
            }
            if !state.is_loading {
                state.is_loading = true;
                gateway.spawn(read(gateway.clone(), part, idle_max));
            }
            let changed = state.changed.clone();
            if parts.iter().any(Part::is_store_away) {
                return Loaded::StoreAway;
            }
            if let Some(keeper) = parts[part].left_to {
                return Loaded::KeptElsewhere { keeper };
            }
            changed
        };
        if within(deadline, changed.listen()).await.is_none() {
            return Loaded::NotYet;
        }
    }
}

/// Takes a part's ledger over from its record.
async fn read(gateway: Rc<Gateway>, part: usize, idle_max: Duration) {
    let began = Instant::now();
    let mut left_since = None;
    let (ledger, revision) = loop {
        let stored = stored(&gateway, part).await;
        let record = stored.as_ref().and_then(record_of);
        if let Some(record) = &record
            && !OutageNotes::are_enough(&[gateway.outage_notes.of(part)], record)
            && leave_to_writer(&gateway, part, record, &mut left_since).await
        {
            continue;
        }
        let notes = match &record {
            Some(record) => notes(&gateway, part, record).await,
            None => Vec::new(),
        };
        let inherited = Inherited {
            record: record.as_ref(),
            notes: &notes,
            is_first: stored.is_none() && gateway.settings.is_first_start,
        };
        let now = Instant::now();
        let writer = gateway.ledgers.borrow()[part].writer(&gateway);
        let ledger = Ledger::take_over(now, wall_us() / 1000, writer, inherited, idle_max);
        if let Some(record) = &record
            && ledger.is_in_doubt(now)
            && leave_to_writer(&gateway, part, record, &mut left_since).await
        {
            continue;
        }
        let revision = stored.map(|stored| stored.revision);
        gateway.decisions.note(
            Weight::Rare,
            "ledger",
            json!({
                "ledger": name(part),
                "what": "taken over",
                "from": record.as_ref().map(|record| &record.writer),
                "written_at_ms": record.as_ref().map(|record| record.written_at_ms),
                "notes": notes,
                "is_in_doubt": ledger.is_in_doubt(now),
                "accounts": ledger.len(),
                "revision": revision,
                "took_ms": began.elapsed().as_millis() as u64,
            }),
        );
        break (ledger, revision);
    };
    let mut parts = gateway.ledgers.borrow_mut();
    let state = &mut parts[part];
    // It may stand in by now.
    if state.ledger.is_none() {
        state.ledger = Some(ledger);
        state.revision = revision;
    }
    state.is_loading = false;
    state.left_to = None;
    state.changed.notify(usize::MAX);
}

/// Leaves a ledger for a while to the host that wrote its record, if that still keeps it: it knows what
/// charges its record misses, and will write them. Returns whether the record is worth reading again.
/// `left_since` is when that was first done: an outage before it doesn't count.
async fn leave_to_writer(
    gateway: &Rc<Gateway>,
    part: usize,
    record: &LedgerRecord,
    left_since: &mut Option<Instant>,
) -> bool {
    let (address, kept) = keeper_of(gateway, part, &record.writer).await;
    let (stays_max, pause) = match kept {
        Kept::WithStore => (KEEPER_STAYS_MAX, LEFT_LOOKED_AT_EVERY),
        Kept::WithoutStore => (KEEPER_BACK_WITHIN, ROUND_EVERY),
        Kept::No => (Duration::ZERO, Duration::ZERO),
    };
    let is_left = left_since.get_or_insert_with(Instant::now).elapsed() < stays_max;
    let left_to = address.filter(|_| is_left && kept == Kept::WithStore);
    let left_before = {
        let state = &mut gateway.ledgers.borrow_mut()[part];
        state.changed.notify(usize::MAX);
        std::mem::replace(&mut state.left_to, left_to)
    };
    if left_to.is_some() && left_before.is_none() {
        gateway.decisions.note(
            Weight::Rare,
            "ledger",
            json!({"ledger": name(part), "what": "left to its keeper", "keeper": record.writer}),
        );
    }
    if is_left {
        Timer::after(pause).await;
    }
    is_left
}

/// Reads a part's record, as often as it takes.
async fn stored(gateway: &Gateway, part: usize) -> Option<StoredObject> {
    let name = name(part);
    let mut pause = PAUSE_MIN;
    loop {
        let read = gateway.adapter.store.get(Collection::Ledgers, &name).await;
        gateway.ledgers.borrow_mut()[part].is_read_failing = read.is_err();
        match read {
            Ok(stored) => {
                gateway.store_answers.notify(usize::MAX);
                return stored;
            }
            Err(error) => log::warn!("{name} can't be read: {error}"),
        }
        gateway.ledgers.borrow()[part].changed.notify(usize::MAX);
        gateway.until_store_answers(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

/// Returns where the writer of a record is, if that is another host that is there.
async fn writer_address(gateway: &Gateway, part: usize, writer: &str) -> Option<SocketAddr> {
    let (host, _) = writer.rsplit_once('@')?;
    if roster::address_of(gateway, host).is_none() {
        read_hosts(gateway, part).await;
    }
    roster::address_of(gateway, host)
}

/// Returns who keeps the ledger as the writer of its record: that host, or another one that stands in.
async fn keeper_of(gateway: &Rc<Gateway>, part: usize, writer: &str) -> (Option<SocketAddr>, Kept) {
    let address = writer_address(gateway, part, writer).await;
    let stand_ins = keepers(gateway, part).into_iter().filter_map(|keeper| keeper.address);
    let stand_ins = stand_ins.filter(|other| Some(*other) != address).take(KEEPERS);
    for address in address.into_iter().chain(stand_ins) {
        let kept = is_kept_by(gateway, part, writer, address).await;
        if kept != Kept::No {
            return (Some(address), kept);
        }
    }
    (None, Kept::No)
}

/// Asks a host whether it still keeps a ledger as the writer of its record.
async fn is_kept_by(gateway: &Rc<Gateway>, part: usize, writer: &str, address: SocketAddr) -> Kept {
    let question = Question::IsLedgerKept { part, writer: writer.into() };
    match peers::reach(gateway, address, question, NOTES_TIMEOUT).await {
        Some(Reply::LedgerKept { kept }) => kept,
        _ => Kept::No,
    }
}

/// Reads who is there, at a host without callers: it does not follow the roster.
async fn read_hosts(gateway: &Gateway, part: usize) {
    if gateway.settings.callers_listen.is_none()
        && let Err(error) = roster::list(gateway).await
    {
        log::warn!("{}: the other keepers can't be read: {error}", name(part));
    }
}

/// Returns whether this host keeps a ledger as a writer of its records, or stands in for that.
pub(crate) fn kept_by(gateway: &Rc<Gateway>, part: usize, writer: &str) -> Kept {
    let parts = gateway.ledgers.borrow();
    let Some(state) = parts.get(part) else { return Kept::No };
    if state.standby.holds_copy_of(writer) {
        // Whoever asks has lost the writer, or is about to.
        gateway.spawn(standby::stand_in(gateway.clone(), part));
        return Kept::WithoutStore;
    }
    let keeps = |of: &Ledger| of.is_writer(writer) || of.stands_in_for(writer);
    match &state.ledger {
        Some(ledger) if keeps(ledger) && state.is_store_away() => Kept::WithoutStore,
        Some(ledger) if keeps(ledger) => Kept::WithStore,
        _ => Kept::No,
    }
}

/// Returns what is noted of a ledger here, and at other keepers until it is enough for a record. A host
/// that lost its notes in a loss of all power comes back before it knows the others, or before they
/// listen.
async fn notes(gateway: &Rc<Gateway>, part: usize, record: &LedgerRecord) -> Vec<OutageNotes> {
    let own = [gateway.outage_notes.of(part)];
    if !OutageNotes::are_enough(&own, record) {
        read_hosts(gateway, part).await;
    }
    let end = Instant::now() + NOTES_WAIT;
    loop {
        let keepers = keepers(gateway, part);
        let (own, others): (Vec<&Keeper>, Vec<&Keeper>) =
            keepers.iter().take(KEEPERS).partition(|keeper| keeper.address.is_none());
        let mut notes: Vec<OutageNotes> =
            own.iter().map(|_| gateway.outage_notes.of(part)).collect();
        for address in others.iter().filter_map(|keeper| keeper.address) {
            if OutageNotes::are_enough(&notes, record) {
                break;
            }
            let question = Question::OutageNotes { part };
            match peers::reach(gateway, address, question, NOTES_TIMEOUT).await {
                Some(Reply::OutageNotes { notes: of }) => notes.push(of),
                _ => log::warn!("{}: no notes of outages from {address}", name(part)),
            }
        }
        if OutageNotes::are_enough(&notes, record) || Instant::now() >= end {
            return notes;
        }
        Timer::after(ROUND_EVERY).await;
    }
}
