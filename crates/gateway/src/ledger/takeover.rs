//! Takes ledgers over from their records and determines whether overdrafts may be missing from them.

use {
    super::{
        LEDGER_HOST_COUNT, Partition, RETRY_PAUSE_MAX, RETRY_PAUSE_MIN, decode_record, ledger_name,
        notes::{candidates, choose_note_hosts, fence},
        ranked_hosts, standby,
    },
    crate::{
        gateway::{Gateway, Stage},
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
    trefoilring_core::{
        budget::{
            FIRST_EPOCH, FenceReply, Ledger, LedgerRecord, NoteHost, TakeoverInputs, is_fenced,
            may_lack_overdraft,
        },
        ids::HostId,
    },
    trefoilring_observe::decisions::LineRate,
};

/// Timeout of a query to another ledger host.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request to release a ledger. A host that has lost power does not answer, and turns
/// wait for the takeover.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between two rounds of queries to other ledger hosts before a takeover.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a host defers a takeover of a record that may lack an overdraft to its writer, if the
/// writer is reachable but can't reach the store. This must exceed the time that the writer
/// needs to detect that the store has recovered.
const OWNER_RECOVERY_MAX: Duration = Duration::from_millis(1500);
/// How long a host defers to an owner that reaches the store. By then the owner has written a
/// complete record.
const OWNER_DEFER_MAX: Duration = Duration::from_secs(8);
/// Interval between two reads of a record while this host defers to the owner. Not shorter, because
/// each read is a request to the store.
const DEFER_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a host that leaves a ledger to its owner checks that the owner is still there.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// How long a takeover waits for the note hosts. Processes that are started together
/// are all up within a second.
const NOTES_WAIT_MAX: Duration = Duration::from_secs(2);
/// Interval at which a host that has taken a ledger over without enough of its note hosts tries to
/// fence the former epochs.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// A takeover is given up if no charge has asked for it within this time, which is longer than the
/// pause after which callers ask again.
const WANTED_FOR: Duration = Duration::from_millis(500);

impl Partition {
    /// Returns whether a charge has asked for the ledger lately.
    fn is_wanted(&self) -> bool {
        self.wanted_at.is_some_and(|at| at.elapsed() < WANTED_FOR)
    }
}

/// Result of loading a ledger.
pub(super) enum Loaded {
    /// This host owns the ledger.
    Owned,
    /// The ledger was not loaded by the deadline.
    Pending,
    /// This host defers to another owner.
    OwnedElsewhere { owner: SocketAddr },
    /// Reads or writes of at least one ledger of this host are failing, or this host is stopping.
    Unavailable,
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
            if gateway.stage.get() != Stage::Serving {
                return Loaded::Unavailable;
            }
            state.wanted_at = Some(Instant::now());
            if !state.is_loading {
                state.is_loading = true;
                gateway.spawn(take_over(gateway.clone(), partition, idle_max));
            }
            let changed = state.changed.clone();
            if partitions.iter().any(Partition::is_store_unavailable) {
                return Loaded::Unavailable;
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
    let (mut deferred_since, mut has_asked_for_release) = (None, false);
    let taken = loop {
        let Some(stored) = read_record(&gateway, partition).await else { break None };
        let record = stored.as_ref().and_then(decode_record);
        if let Some(record) = &record
            && leave_to_preferred_owner(&gateway, partition, record).await
        {
            continue;
        }
        if let Some(record) = &record
            && !std::mem::replace(&mut has_asked_for_release, true)
            && ask_for_release(&gateway, partition, record).await
        {
            continue;
        }
        let evidence = fence_former_epochs(&gateway, partition, record.as_ref()).await;
        if let Some(record) = &record
            && evidence.may_lack_overdraft
            && defer_to_writer(&gateway, partition, record, &mut deferred_since).await
        {
            continue;
        }
        break Some((stored, record, evidence));
    };
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    state.is_loading = false;
    state.deferred_to = None;
    state.changed.notify(usize::MAX);
    let Some((stored, record, evidence)) = taken else { return };
    // This host may have been promoted in the meantime.
    if state.ledger.is_some() {
        return;
    }
    let inputs = TakeoverInputs {
        record: record.as_ref(),
        // Whatever wrote a record that can't be decoded may have granted an overdraft.
        may_lack_overdraft: evidence.may_lack_overdraft || record.is_none() && stored.is_some(),
        note_hosts: evidence.note_hosts,
    };
    let now = Instant::now();
    let ledger = Ledger::take_over(now, state.writer(&gateway), inputs, idle_max);
    gateway.decisions.log(
        LineRate::Rare,
        "ledger",
        json!({
            "ledger": ledger_name(partition),
            "what": "taken over",
            "from": record.as_ref().map(|record| &record.writer),
            "written_at_ms": record.as_ref().map(|record| record.written_at_ms),
            "epoch": ledger.epoch(),
            "fenced": evidence.replies,
            "is_in_doubt": evidence.may_lack_overdraft,
            "accounts": ledger.len(),
            "revision": stored.as_ref().map(|stored| stored.revision),
            "took_ms": began.elapsed().as_millis() as u64,
        }),
    );
    if let Some(record) = record.filter(|_| !evidence.is_fenced) {
        gateway.spawn(keep_fencing(gateway.clone(), partition, record));
    }
    state.ledger = Some(ledger);
    state.revision = stored.map(|stored| stored.revision);
}

/// What the note hosts of a record have answered.
pub(super) struct TakeoverEvidence {
    /// Whether enough of the note hosts have fenced the record's epoch.
    is_fenced: bool,
    /// Whether the record's writer may have granted an overdraft since.
    may_lack_overdraft: bool,
    /// The hosts that store outage notes for the next owner.
    pub(super) note_hosts: Vec<NoteHost>,
    replies: Vec<FenceReply>,
}

/// Fences the epochs of former owners at the note hosts of a record and at those of the next owner.
/// Retries for [`NOTES_WAIT_MAX`] until enough have answered.
pub(super) async fn fence_former_epochs(
    gateway: &Rc<Gateway>,
    partition: usize,
    record: Option<&LedgerRecord>,
) -> TakeoverEvidence {
    refresh_roster(gateway, partition).await;
    let end = Instant::now() + NOTES_WAIT_MAX;
    loop {
        let candidates = candidates(gateway, partition);
        let former_hosts = record.iter().flat_map(|record| &record.note_hosts);
        let former_hosts = former_hosts.map(|note_host| HostId::from(note_host.host.as_str()));
        let asked = candidates.iter().cloned().chain(former_hosts).collect();
        let epoch = record.map_or(FIRST_EPOCH, |record| record.epoch + 1);
        let replies = fence(gateway, partition, epoch, asked).await;
        let lacks = record.map_or(Some(false), |record| may_lack_overdraft(record, &replies));
        if lacks.is_some() || Instant::now() >= end {
            return TakeoverEvidence {
                is_fenced: record.is_none_or(|record| is_fenced(record, &replies)),
                may_lack_overdraft: lacks.unwrap_or(true),
                note_hosts: choose_note_hosts(&candidates, &replies),
                replies,
            };
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Fences the epoch of a record of whose note hosts too few answered at the takeover. Until enough of
/// them have, its writer may still grant overdrafts.
async fn keep_fencing(gateway: Rc<Gateway>, partition: usize, record: LedgerRecord) {
    loop {
        Timer::after(FENCE_RETRY_INTERVAL).await;
        {
            let mut partitions = gateway.ledgers.borrow_mut();
            let Some(ledger) = &mut partitions[partition].ledger else { return };
            if ledger.epoch() <= record.epoch {
                return;
            }
            ledger.extend_lost_overdrafts(Instant::now());
        }
        let hosts = record.note_hosts.iter().map(|note_host| note_host.host.as_str().into());
        let epoch = record.epoch + 1;
        let replies = fence(&gateway, partition, epoch, hosts.collect()).await;
        if is_fenced(&record, &replies) {
            return;
        }
    }
}

/// Asks the writer of a record to release the ledger, so that it leaves no reservations. Returns
/// whether the record should be read again.
async fn ask_for_release(gateway: &Rc<Gateway>, partition: usize, record: &LedgerRecord) -> bool {
    let Some(address) = writer_address(gateway, partition, &record.writer).await else {
        return false;
    };
    let request = PeerRequest::ReleaseLedger { partition, writer: record.writer.clone() };
    let reply = peers::send_request_or_relay(gateway, address, request, RELEASE_TIMEOUT).await;
    matches!(reply, Some(PeerReply::Done))
}

/// Leaves a ledger to its owner while that is alive, reaches the store, and ranks before this host.
/// Charges come here as well while some hosts can't reach the owner, and a ledger that follows them
/// would change its owner with each charge. Returns whether the record should be read again.
async fn leave_to_preferred_owner(
    gateway: &Rc<Gateway>,
    partition: usize,
    record: &LedgerRecord,
) -> bool {
    let (owner, ownership) = match ranks_before(gateway, partition, &record.writer) {
        true => find_owner(gateway, partition, &record.writer).await,
        false => (None, Ownership::NotOwner),
    };
    let owner = owner.filter(|_| ownership == Ownership::StoreAvailable);
    defer_to(gateway, partition, owner, &record.writer);
    let Some(owner) = owner else { return false };
    loop {
        Timer::after(LEAVE_POLL_INTERVAL).await;
        let is_wanted = gateway.ledgers.borrow()[partition].is_wanted();
        if !is_wanted
            || query_ownership(gateway, partition, &record.writer, owner).await
                != Ownership::StoreAvailable
        {
            return true;
        }
    }
}

/// Returns whether the host of a record's writer ranks before this one.
fn ranks_before(gateway: &Gateway, partition: usize, writer: &str) -> bool {
    let Some((writer, _)) = writer.rsplit_once('@') else { return false };
    let ranked = ranked_hosts(gateway, partition);
    let first = ranked.iter().find(|ranked| *ranked.host == *writer || ranked.address.is_none());
    first.is_some_and(|first| *first.host == *writer && first.address.is_some())
}

/// Sets the owner to which this host defers, if any, and wakes the charges that wait for the ledger.
fn defer_to(gateway: &Gateway, partition: usize, owner: Option<SocketAddr>, writer: &str) {
    let deferred_before = {
        let state = &mut gateway.ledgers.borrow_mut()[partition];
        state.changed.notify(usize::MAX);
        std::mem::replace(&mut state.deferred_to, owner)
    };
    if owner.is_some() && deferred_before.is_none() {
        gateway.decisions.log(
            LineRate::Rare,
            "ledger",
            json!({"ledger": ledger_name(partition), "what": "left to its keeper",
                   "keeper": writer}),
        );
    }
}

/// Waits for the writer of the record if it still owns the ledger, because it knows the overdrafts
/// and will write them. The wait is limited. Returns whether the record should be read
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
    defer_to(gateway, partition, deferred_to, &record.writer);
    if is_deferred {
        Timer::after(pause).await;
    }
    is_deferred
}

/// Reads the record of a partition. Retries until the store answers. Returns `None` if no charge asks
/// for the ledger any more.
async fn read_record(gateway: &Gateway, partition: usize) -> Option<Option<StoredObject>> {
    let name = ledger_name(partition);
    let mut pause = RETRY_PAUSE_MIN;
    loop {
        let read = gateway.adapter.store.get(Collection::Ledgers, &name).await;
        let is_wanted = {
            let state = &mut gateway.ledgers.borrow_mut()[partition];
            state.is_read_failing = read.is_err();
            state.is_wanted()
        };
        match read {
            Ok(stored) => {
                gateway.store_recovered.notify(usize::MAX);
                return is_wanted.then_some(stored);
            }
            Err(error) => log::warn!("{name}: failed to read the ledger record: {error}"),
        }
        gateway.ledgers.borrow()[partition].changed.notify(usize::MAX);
        gateway.wait_for_store(pause).await;
        pause = (pause * 2).min(RETRY_PAUSE_MAX);
    }
}

/// Returns the address of a record's writer, if it is another host that is listed in the roster.
async fn writer_address(
    gateway: &Rc<Gateway>,
    partition: usize,
    writer: &str,
) -> Option<SocketAddr> {
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
    match peers::send_request_or_relay(gateway, address, question, QUERY_TIMEOUT).await {
        Some(PeerReply::LedgerOwnership { ownership }) => ownership,
        _ => Ownership::NotOwner,
    }
}

/// Reads the roster at a host that serves no callers, because such a host does not watch it.
pub(super) async fn refresh_roster(gateway: &Rc<Gateway>, partition: usize) {
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
