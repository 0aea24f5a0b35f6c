//! Takes ledgers over from their records and determines whether charges may be missing from them.

use {
    super::{
        LEDGER_HOST_COUNT, Partition, RETRY_PAUSE_MAX, RETRY_PAUSE_MIN, RankedHost, decode_record,
        ledger_name, ranked_hosts, standby,
    },
    crate::{
        gateway::Gateway,
        peers::{self, Ownership, PeerReply, PeerRequest},
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
    trefoilring_core::budget::{Ledger, LedgerRecord, OutageNotes, TakeoverInputs},
    trefoilring_observe::{decisions::LineRate, log::wall_us},
};

/// Timeout of a query for the outage notes of one ledger host.
const NOTES_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two rounds of queries to other ledger hosts before a takeover.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a host defers a takeover of a possibly incomplete ledger to the writer of the record,
/// if the writer is reachable but can't reach the store. This must exceed the time that the writer
/// needs to detect that the store has recovered.
const OWNER_RECOVERY_MAX: Duration = Duration::from_millis(1500);
/// How long a host defers to an owner that reaches the store. By then the owner has written records
/// that are newer than this host's own notes by more than the clock skew. A ledger that is still
/// possibly incomplete after that was so before the host deferred.
const OWNER_DEFER_MAX: Duration = Duration::from_secs(8);
/// Interval between two reads of a record while this host defers to the owner. Not shorter, because
/// each read is a request to the store.
const DEFER_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a host whose own notes don't go back far enough waits for those of others before it
/// takes a ledger over as possibly incomplete. Processes that are started together are all up
/// within a second.
const NOTES_WAIT_MAX: Duration = Duration::from_secs(2);

/// Result of loading a ledger.
pub(super) enum Loaded {
    /// This host owns the ledger.
    Owned,
    /// The ledger was not loaded by the deadline.
    Pending,
    /// This host defers to another owner.
    OwnedElsewhere { owner: SocketAddr },
    /// Reads or writes of at least one ledger of this host are failing.
    StoreUnavailable,
}

/// Loads a ledger unless this host owns it already: promotes this host if it is a standby, or takes
/// the ledger over from its record.
pub(super) async fn load(
    gateway: &Rc<Gateway>,
    partition: usize,
    idle_max: Duration,
    deadline: Instant,
) -> Loaded {
    standby::try_promote(gateway.clone(), partition).await;
    loop {
        let changed = {
            let mut partitions = gateway.ledgers.borrow_mut();
            let state = &mut partitions[partition];
            if state.ledger.is_some() {
                return Loaded::Owned;
            }
            if !state.is_loading {
                state.is_loading = true;
                gateway.spawn(take_over(gateway.clone(), partition, idle_max));
            }
            let changed = state.changed.clone();
            if partitions.iter().any(Partition::is_store_unavailable) {
                return Loaded::StoreUnavailable;
            }
            if let Some(owner) = partitions[partition].deferred_to {
                return Loaded::OwnedElsewhere { owner };
            }
            changed
        };
        if within(deadline, changed.listen()).await.is_none() {
            return Loaded::Pending;
        }
    }
}

/// Takes the ledger of a partition over from its record.
async fn take_over(gateway: Rc<Gateway>, partition: usize, idle_max: Duration) {
    let began = Instant::now();
    let mut deferred_since = None;
    let (ledger, revision) = loop {
        let stored = read_record(&gateway, partition).await;
        let record = stored.as_ref().and_then(decode_record);
        if let Some(record) = &record
            && !OutageNotes::are_sufficient(&[gateway.outage_notes.notes_of(partition)], record)
            && defer_to_writer(&gateway, partition, record, &mut deferred_since).await
        {
            continue;
        }
        let notes = match &record {
            Some(record) => collect_notes(&gateway, partition, record).await,
            None => Vec::new(),
        };
        let inputs = TakeoverInputs {
            record: record.as_ref(),
            notes: &notes,
            was_never_owned: stored.is_none() && gateway.settings.is_first_start,
        };
        let now = Instant::now();
        let writer = gateway.ledgers.borrow()[partition].writer(&gateway);
        let ledger = Ledger::take_over(now, wall_us() / 1000, writer, inputs, idle_max);
        if let Some(record) = &record
            && ledger.is_possibly_incomplete(now)
            && defer_to_writer(&gateway, partition, record, &mut deferred_since).await
        {
            continue;
        }
        let revision = stored.map(|stored| stored.revision);
        gateway.decisions.log(
            LineRate::Rare,
            "ledger",
            json!({
                "ledger": ledger_name(partition),
                "what": "taken over",
                "from": record.as_ref().map(|record| &record.writer),
                "written_at_ms": record.as_ref().map(|record| record.written_at_ms),
                "notes": notes,
                "is_in_doubt": ledger.is_possibly_incomplete(now),
                "accounts": ledger.len(),
                "revision": revision,
                "took_ms": began.elapsed().as_millis() as u64,
            }),
        );
        break (ledger, revision);
    };
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    // This host may have been promoted in the meantime.
    if state.ledger.is_none() {
        state.ledger = Some(ledger);
        state.revision = revision;
    }
    state.is_loading = false;
    state.deferred_to = None;
    state.changed.notify(usize::MAX);
}

/// Waits for the writer of the record if it still owns the ledger, because it holds the missing
/// charges and will write them. The wait is limited. Returns whether the record should be read
/// again. `deferred_since` is when this takeover was first deferred; an outage of the store before
/// that does not count toward the limit.
async fn defer_to_writer(
    gateway: &Rc<Gateway>,
    partition: usize,
    record: &LedgerRecord,
    deferred_since: &mut Option<Instant>,
) -> bool {
    let (address, ownership) = find_owner(gateway, partition, &record.writer).await;
    let (defer_max, pause) = match ownership {
        Ownership::StoreAvailable => (OWNER_DEFER_MAX, DEFER_POLL_INTERVAL),
        Ownership::StoreUnavailable => (OWNER_RECOVERY_MAX, POLL_INTERVAL),
        Ownership::NotOwner => (Duration::ZERO, Duration::ZERO),
    };
    let is_deferred = deferred_since.get_or_insert_with(Instant::now).elapsed() < defer_max;
    let deferred_to = address.filter(|_| is_deferred && ownership == Ownership::StoreAvailable);
    let deferred_before = {
        let state = &mut gateway.ledgers.borrow_mut()[partition];
        state.changed.notify(usize::MAX);
        std::mem::replace(&mut state.deferred_to, deferred_to)
    };
    if deferred_to.is_some() && deferred_before.is_none() {
        gateway.decisions.log(
            LineRate::Rare,
            "ledger",
            json!({"ledger": ledger_name(partition), "what": "left to its keeper",
                   "keeper": record.writer}),
        );
    }
    if is_deferred {
        Timer::after(pause).await;
    }
    is_deferred
}

/// Reads the record of a partition. Retries until the store answers.
async fn read_record(gateway: &Gateway, partition: usize) -> Option<StoredObject> {
    let name = ledger_name(partition);
    let mut pause = RETRY_PAUSE_MIN;
    loop {
        let read = gateway.adapter.store.get(Collection::Ledgers, &name).await;
        gateway.ledgers.borrow_mut()[partition].is_read_failing = read.is_err();
        match read {
            Ok(stored) => {
                gateway.store_recovered.notify(usize::MAX);
                return stored;
            }
            Err(error) => log::warn!("{name}: failed to read the ledger record: {error}"),
        }
        gateway.ledgers.borrow()[partition].changed.notify(usize::MAX);
        gateway.wait_for_store(pause).await;
        pause = (pause * 2).min(RETRY_PAUSE_MAX);
    }
}

/// Returns the address of a record's writer, if it is another host that is listed in the roster.
async fn writer_address(gateway: &Gateway, partition: usize, writer: &str) -> Option<SocketAddr> {
    let (host, _) = writer.rsplit_once('@')?;
    if roster::address_of(gateway, host).is_none() {
        refresh_roster(gateway, partition).await;
    }
    roster::address_of(gateway, host)
}

/// Returns the address of a ledger's owner and whether the owner can reach the store. The owner is
/// the writer of the record, or a host that was promoted from the writer's replica. Returns `None`
/// and `Ownership::NotOwner` if there is none.
async fn find_owner(
    gateway: &Rc<Gateway>,
    partition: usize,
    writer: &str,
) -> (Option<SocketAddr>, Ownership) {
    let address = writer_address(gateway, partition, writer).await;
    let peer_addresses =
        ranked_hosts(gateway, partition).into_iter().filter_map(|host| host.address);
    let peer_addresses =
        peer_addresses.filter(|other| Some(*other) != address).take(LEDGER_HOST_COUNT);
    for address in address.into_iter().chain(peer_addresses) {
        let ownership = query_ownership(gateway, partition, writer, address).await;
        if ownership != Ownership::NotOwner {
            return (Some(address), ownership);
        }
    }
    (None, Ownership::NotOwner)
}

/// Requests from a host whether it still owns a ledger as the writer of its record.
async fn query_ownership(
    gateway: &Rc<Gateway>,
    partition: usize,
    writer: &str,
    address: SocketAddr,
) -> Ownership {
    let question = PeerRequest::LedgerOwnership { partition, writer: writer.into() };
    match peers::send_request_or_relay(gateway, address, question, NOTES_TIMEOUT).await {
        Some(PeerReply::LedgerOwnership { ownership }) => ownership,
        _ => Ownership::NotOwner,
    }
}

/// Reads the roster at a host that serves no callers, because such a host does not watch it.
async fn refresh_roster(gateway: &Gateway, partition: usize) {
    if gateway.settings.callers_listen.is_none()
        && let Err(error) = roster::refresh_from_store(gateway).await
    {
        log::warn!("{}: failed to read the roster: {error}", ledger_name(partition));
    }
}

/// Returns whether this host owns a ledger as the given writer or was promoted from that writer's
/// replica, and whether it can reach the store. A host that holds a replica of the writer's ledger
/// also counts as an owner, and starts its promotion.
pub(crate) fn ownership(gateway: &Rc<Gateway>, partition: usize, writer: &str) -> Ownership {
    let partitions = gateway.ledgers.borrow();
    let Some(state) = partitions.get(partition) else { return Ownership::NotOwner };
    if state.standby.holds_replica_of(writer) {
        // The requesting host can't reach the writer, or suspects so.
        gateway.spawn(standby::try_promote(gateway.clone(), partition));
        return Ownership::StoreUnavailable;
    }
    let owns = |ledger: &Ledger| ledger.is_writer(writer) || ledger.is_promoted_from(writer);
    match &state.ledger {
        Some(ledger) if owns(ledger) && state.is_store_unavailable() => Ownership::StoreUnavailable,
        Some(ledger) if owns(ledger) => Ownership::StoreAvailable,
        _ => Ownership::NotOwner,
    }
}

/// Returns the outage notes of this host for a ledger, and those of other ledger hosts until the
/// notes are sufficient for the record. Retries for [`NOTES_WAIT_MAX`], because a host that lost
/// its notes in a power loss may restart before it has read the roster or before the other hosts
/// accept connections.
async fn collect_notes(
    gateway: &Rc<Gateway>,
    partition: usize,
    record: &LedgerRecord,
) -> Vec<OutageNotes> {
    let own_notes = [gateway.outage_notes.notes_of(partition)];
    if !OutageNotes::are_sufficient(&own_notes, record) {
        refresh_roster(gateway, partition).await;
    }
    let end = Instant::now() + NOTES_WAIT_MAX;
    loop {
        let ledger_hosts = ranked_hosts(gateway, partition);
        let (own_host, peer_hosts): (Vec<&RankedHost>, Vec<&RankedHost>) =
            ledger_hosts.iter().take(LEDGER_HOST_COUNT).partition(|host| host.address.is_none());
        let mut notes: Vec<OutageNotes> =
            own_host.iter().map(|_| gateway.outage_notes.notes_of(partition)).collect();
        for address in peer_hosts.iter().filter_map(|host| host.address) {
            if OutageNotes::are_sufficient(&notes, record) {
                break;
            }
            let question = PeerRequest::OutageNotes { partition };
            match peers::send_request_or_relay(gateway, address, question, NOTES_TIMEOUT).await {
                Some(PeerReply::OutageNotes { notes: peer_notes }) => notes.push(peer_notes),
                _ => log::warn!(
                    "{}: no outage notes received from {address}",
                    ledger_name(partition)
                ),
            }
        }
        if OutageNotes::are_sufficient(&notes, record) || Instant::now() >= end {
            return notes;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
