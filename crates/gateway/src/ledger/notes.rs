//! Outage notes: has them stored by a majority of the ledger's hosts before an overdraft is granted,
//! and fences former epochs before a takeover.

use {
    super::{
        LEDGER_HOST_COUNT, PARTITION_COUNT, Partition, RankedHost, ledger_name, ranked_hosts,
        standby::begin_replication, takeover::refresh_roster,
    },
    crate::{
        gateway::Gateway,
        outage_notes::NoteOutcome,
        peers::{self, PeerReply, PeerRequest},
        roster,
        store::Collection,
        time::within,
    },
    serde_json::json,
    smol::Timer,
    std::{
        collections::BTreeSet,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        budget::{FenceReply, LedgerPosition, NoteHost, is_epoch_fenced},
        ids::{Epoch, HostId},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Timeout of a request to store an outage note. Longer than [`STORE_PROBE_TIMEOUT`] and a write to
/// disk.
const NOTE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a host that is asked to store a note waits for the store to show that it is available.
const STORE_PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a note host waits for its disk before it replies that the note is not stored. The write goes
/// on, and a repeated request finds the note. Without a reply the host would be taken for a lost one.
pub(crate) const NOTE_WRITE_WAIT_MAX: Duration = Duration::from_millis(100);
/// Timeout of a request to fence an epoch. Takeovers wait for it.
const FENCE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a note host waits for its disk before it replies that the epoch is not fenced yet.
const FENCE_WRITE_WAIT_MAX: Duration = Duration::from_millis(50);
/// How long a check for better note hosts waits for those whose disk is slow.
const NOTE_HOSTS_CHECK_MAX: Duration = Duration::from_secs(3);
/// Pause after the note hosts have not stored a note.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which an owner checks that its note hosts answer and have kept their notes. Until it
/// has replaced a lost one, the loss of another leaves a successor in doubt.
const NOTE_HOSTS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Number of hosts that are asked to find [`LEDGER_HOST_COUNT`] that answer.
const NOTE_HOST_CANDIDATES: usize = 2 * LEDGER_HOST_COUNT;

/// Interval between checks while no better note hosts are found.
const NOTE_HOSTS_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// State of an owner's requests to its note hosts.
#[derive(Default)]
pub(super) struct NoteProgress {
    is_running: bool,
    failed_at: Option<Instant>,
    next_check_at: Option<Instant>,
    /// Better note hosts than those of the epoch, to begin another one with.
    replacement: Option<(Epoch, Vec<NoteHost>)>,
}

/// Asks the note hosts of an owned ledger to store an outage note, if the last write is not covered
/// by one. Returns whether the answers are awaited.
pub(super) fn note_outage_if_needed(
    gateway: &Rc<Gateway>,
    partition: usize,
    state: &mut Partition,
    now: Instant,
) -> bool {
    let Some(ledger) = &mut state.ledger else { return false };
    let progress = &mut state.note_progress;
    if progress.is_running {
        return true;
    }
    let is_too_soon = progress.failed_at.is_some_and(|at| now < at + RETRY_PAUSE);
    if ledger.is_outage_noted() || is_too_soon {
        return false;
    }
    let Some(position) = ledger.propose_outage_position() else { return false };
    progress.is_running = true;
    gateway.spawn(note_outage(gateway.clone(), partition, position, ledger.note_hosts().to_vec()));
    true
}

async fn note_outage(
    gateway: Rc<Gateway>,
    partition: usize,
    position: LedgerPosition,
    note_hosts: Vec<NoteHost>,
) {
    let others = note_hosts.iter().filter(|note_host| *note_host.host != *gateway.settings.host);
    let requests = others.filter_map(|note_host| {
        let address = roster::address_of(&gateway, &note_host.host)?;
        let gateway = gateway.clone();
        let request = PeerRequest::NoteOutage { partition, position };
        Some(gateway.clone().executor.spawn(async move {
            match peers::send_request_or_relay(&gateway, address, request, NOTE_TIMEOUT).await {
                Some(PeerReply::OutageNoted { by }) => by.map(|by| (by, address)),
                _ => None,
            }
        }))
    });
    let requests: Vec<_> = requests.collect();
    let (mut noted_by, mut addresses) = (Vec::new(), Vec::new());
    for request in requests {
        if let Some((by, address)) = request.await {
            noted_by.push(by);
            addresses.push(address);
        }
    }
    // Noted last, so that nothing is noted while the others reach the store.
    if !noted_by.is_empty() || note_hosts.len() == 1 {
        noted_by.extend(store_outage_note(&gateway, partition, position, NOTE_TIMEOUT).await);
    }
    let mut partitions = gateway.ledgers.borrow_mut();
    let state = &mut partitions[partition];
    state.note_progress.is_running = false;
    let is_noted =
        state.ledger.as_mut().is_some_and(|ledger| ledger.on_outage_noted(position, &noted_by));
    state.note_progress.failed_at = (!is_noted).then(Instant::now);
    if is_noted && let Some(ledger) = &mut state.ledger {
        begin_replication(&gateway, partition, ledger, &addresses);
        state.standby.other_note_hosts = addresses;
    }
    state.changed.notify(usize::MAX);
    gateway.decisions.log(
        LineRate::Rare,
        "ledger",
        json!({"ledger": ledger_name(partition), "what": "outage noted", "beyond": position,
               "noted_by": noted_by, "is_majority": is_noted}),
    );
}

/// Stores an outage note on request of an owner, unless this host reaches the store and could take
/// the ledger over instead. Returns this host's identity if the note is durable within `wait_max`.
pub(crate) async fn store_outage_note(
    gateway: &Rc<Gateway>,
    partition: usize,
    position: LedgerPosition,
    wait_max: Duration,
) -> Option<NoteHost> {
    if partition >= PARTITION_COUNT {
        return None;
    }
    let name = ledger_name(partition);
    let read = gateway.adapter.store.get(Collection::Ledgers, &name);
    if let Some(Ok(_)) = within(Instant::now() + STORE_PROBE_TIMEOUT, read).await {
        return None;
    }
    let (outcome_sender, outcome) = smol::channel::bounded(1);
    gateway.spawn(write_outage_note(gateway.clone(), partition, position, outcome_sender));
    let outcome = within(Instant::now() + wait_max, outcome.recv()).await?.ok()?;
    gateway.outage_notes.note_host().filter(|_| outcome != NoteOutcome::NotStored)
}

/// Writes an outage note, whether or not the request for it times out: the witness must learn of it.
async fn write_outage_note(
    gateway: Rc<Gateway>,
    partition: usize,
    position: LedgerPosition,
    outcome_sender: smol::channel::Sender<NoteOutcome>,
) {
    let outcome = gateway.outage_notes.store_note(partition, position).await;
    if outcome == NoteOutcome::Written
        && let Some(state) = gateway.ledgers.borrow_mut().get_mut(partition)
    {
        state.standby.witness.on_note_stored(position);
    }
    outcome_sender.try_send(outcome).ok();
}

/// Fences the epochs before `epoch` at hosts. Returns the replies of those that answered in time.
pub(super) async fn fence(
    gateway: &Rc<Gateway>,
    partition: usize,
    epoch: Epoch,
    hosts: BTreeSet<HostId>,
) -> Vec<FenceReply> {
    let requests = hosts.into_iter().map(|host| {
        let gateway = gateway.clone();
        gateway.clone().executor.spawn(async move {
            if host == gateway.settings.host {
                return fence_here(&gateway, partition, epoch).await;
            }
            let address = roster::address_of(&gateway, &host)?;
            let request = PeerRequest::FenceLedger { partition, epoch };
            match peers::send_request_or_relay(&gateway, address, request, FENCE_TIMEOUT).await {
                Some(PeerReply::LedgerFenced { reply }) => reply,
                _ => None,
            }
        })
    });
    let requests: Vec<_> = requests.collect();
    let mut replies = Vec::new();
    for request in requests {
        replies.extend(request.await);
    }
    replies
}

/// Fences the former epochs of a ledger on request of another host.
pub(crate) async fn fence_here(
    gateway: &Gateway,
    partition: usize,
    epoch: Epoch,
) -> Option<FenceReply> {
    if partition >= PARTITION_COUNT {
        return None;
    }
    let fenced = gateway.outage_notes.fence(partition, epoch);
    within(Instant::now() + FENCE_WRITE_WAIT_MAX, fenced).await.flatten()
}

/// Returns the names of the hosts that may store outage notes for a ledger, in order of preference.
/// Some of the first may be gone and not be removed from the roster yet.
pub(super) fn candidates(gateway: &Gateway, partition: usize) -> Vec<HostId> {
    let ranked = ranked_hosts(gateway, partition).into_iter();
    ranked.take(NOTE_HOST_CANDIDATES).map(|RankedHost { host, .. }| host).collect()
}

/// Returns the first candidates that have replied, as note hosts.
pub(super) fn choose_note_hosts(candidates: &[HostId], replies: &[FenceReply]) -> Vec<NoteHost> {
    let reply_of = |host: &HostId| replies.iter().find(|reply| *reply.note_host.host == **host);
    let replied = candidates.iter().filter_map(reply_of);
    replied.take(LEDGER_HOST_COUNT).map(|reply| reply.note_host.clone()).collect()
}

/// Begins another epoch if a check has found better note hosts, and starts the next check if it is
/// due. Called between two writes.
pub(super) fn renew_note_hosts(gateway: &Rc<Gateway>, partition: usize, state: &mut Partition) {
    let Some(ledger) = &mut state.ledger else { return };
    let progress = &mut state.note_progress;
    if let Some((epoch, note_hosts)) = progress.replacement.take()
        && ledger.epoch() == epoch
        && ledger.renew(note_hosts)
    {
        gateway.decisions.log(
            LineRate::Rare,
            "ledger",
            json!({"ledger": ledger_name(partition), "what": "note hosts renewed",
                   "epoch": ledger.epoch(), "note_hosts": ledger.note_hosts()}),
        );
    }
    let now = Instant::now();
    if ledger.can_renew() && progress.next_check_at.is_none_or(|at| at <= now) {
        progress.next_check_at = Some(now + NOTE_HOSTS_CHECK_INTERVAL);
        let (epoch, present) = (ledger.epoch(), ledger.note_hosts().to_vec());
        gateway.spawn(check_note_hosts(gateway.clone(), partition, epoch, present));
    }
}

/// Looks for better note hosts, if those of an owned ledger were replaced, have lost their notes or
/// do not answer. Has another epoch begun if a host has fenced this one and left the ledger here.
async fn check_note_hosts(
    gateway: Rc<Gateway>,
    partition: usize,
    epoch: Epoch,
    present: Vec<NoteHost>,
) {
    let present_names = present.iter().map(|note_host| note_host.host.as_str().into());
    let replies = fence(&gateway, partition, epoch, present_names.collect()).await;
    let has_replied =
        |note_host: &NoteHost| replies.iter().any(|reply| reply.note_host == *note_host);
    let is_fenced = is_epoch_fenced(epoch, &replies);
    if present.len() == LEDGER_HOST_COUNT && present.iter().all(has_replied) {
        if is_fenced {
            let progress = &mut gateway.ledgers.borrow_mut()[partition].note_progress;
            progress.replacement = Some((epoch, present));
        }
        return;
    }
    refresh_roster(&gateway, partition).await;
    let candidates = candidates(&gateway, partition);
    let end = Instant::now() + NOTE_HOSTS_CHECK_MAX;
    let (replies, mut note_hosts) = loop {
        let replies = fence(&gateway, partition, epoch, candidates.iter().cloned().collect()).await;
        let note_hosts = choose_note_hosts(&candidates, &replies);
        let wanted_count = LEDGER_HOST_COUNT.min(candidates.len());
        if note_hosts.len() >= wanted_count || Instant::now() >= end {
            break (replies, note_hosts);
        }
        Timer::after(FENCE_TIMEOUT).await;
    };
    // A host that does not answer may come back with its notes.
    let is_known =
        |note_host: &NoteHost| replies.iter().any(|reply| reply.note_host.host == note_host.host);
    let missing = present.iter().filter(|note_host| !is_known(note_host)).cloned();
    note_hosts.extend(missing.take(LEDGER_HOST_COUNT.saturating_sub(note_hosts.len())));
    let sorted = |note_hosts: &[NoteHost]| note_hosts.iter().cloned().collect::<BTreeSet<_>>();
    let progress = &mut gateway.ledgers.borrow_mut()[partition].note_progress;
    match sorted(&note_hosts) == sorted(&present) && !is_fenced {
        true => progress.next_check_at = Some(Instant::now() + NOTE_HOSTS_RETRY_INTERVAL),
        false => progress.replacement = Some((epoch, note_hosts)),
    }
}
