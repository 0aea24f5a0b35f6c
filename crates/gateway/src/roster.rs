//! Registers this host in the store, tracks the other hosts, and joins the group of hosts that
//! share the allowances.

use {
    crate::{
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
        store::{Collection, Revision, StoreError, StoredObject},
        turns,
    },
    rand::RngExt,
    serde_json::json,
    smol::Timer,
    std::{
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::HostId,
        roster::{AwayRecord, HostRecord},
    },
    trefoilring_observe::{decisions::LineRate, log::wall_us},
};

/// Pause between two attempts to register or to announce this host to the others.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which a host without callers checks that it is still registered.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// Average interval at which unreachable hosts are checked.
const UNREACHABLE_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// How long a host without callers is unreachable before it is removed. The delay is longer than
/// restarts and most network interruptions.
const REMOVAL_DELAY: Duration = Duration::from_secs(15);
/// Margin for clocks that differ between hosts.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);
/// Timeout of an announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the task that registers this host and joins the others.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    gateway.spawn(run(gateway.clone()));
}

async fn run(gateway: Rc<Gateway>) {
    let mut revision = register(&gateway, None).await;
    gateway.watches.on_registered();
    if gateway.settings.callers_listen.is_none() {
        keep_registered(&gateway).await;
        return;
    }
    gateway.spawn(remove_unreachable_hosts(gateway.clone()));
    loop {
        announce(&gateway).await;
        let has_just_joined = gateway.roster.borrow_mut().try_join(Instant::now());
        refresh_allowance_hosts(&gateway);
        if has_just_joined {
            gateway.decisions.log(
                LineRate::Rare,
                "joined",
                json!({"hosts": gateway.shares.borrow().hosts().host_count()}),
            );
            // Records that this host has joined, so that it need not join again after a restart.
            revision = register(&gateway, Some(revision)).await;
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

/// Registers this host again if another host has removed its record.
async fn keep_registered(gateway: &Gateway) {
    loop {
        Timer::after(REGISTRATION_CHECK_INTERVAL).await;
        let host = &gateway.settings.host;
        match gateway.adapter.store.get(Collection::Hosts, host).await {
            Ok(Some(stored))
                if parse_record(&stored).is_none_or(|record| record.away.is_some()) =>
            {
                register(gateway, Some(stored.revision)).await;
            }
            Ok(Some(_)) => {}
            Ok(None) => {
                register(gateway, None).await;
            }
            Err(error) => log::warn!(
                "failed to check the registration of this host; checking again later: {error}"
            ),
        }
    }
}

/// Removes hosts without callers that this host has not reached for [`REMOVAL_DELAY`], so that
/// ledgers get new first-ranked hosts. Hosts with callers stay: their shares of the allowances are
/// not redistributed.
async fn remove_unreachable_hosts(gateway: Rc<Gateway>) {
    let mut unreachable_since: HashMap<HostId, Instant> = HashMap::new();
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        Timer::after(UNREACHABLE_CHECK_INTERVAL.mul_f64(jitter)).await;
        let unreachable = unreachable_hosts(&gateway);
        let now = Instant::now();
        unreachable_since.retain(|host, _| unreachable.contains(host));
        for host in unreachable {
            let since = *unreachable_since.entry(host.clone()).or_insert(now);
            if now.duration_since(since) >= REMOVAL_DELAY {
                remove(&gateway, &host).await;
            }
        }
    }
}

/// Returns the hosts without callers that can't be reached. Returns none if this host can't reach
/// more than half of the other hosts.
fn unreachable_hosts(gateway: &Gateway) -> Vec<HostId> {
    let roster = gateway.roster.borrow();
    let total = roster.peers().count();
    let is_suspect = |record: &HostRecord| peers::is_suspect(gateway, record.address);
    let suspects: Vec<_> = roster.peers().filter(|(_, record)| is_suspect(record)).collect();
    if suspects.len() * 2 > total {
        return Vec::new();
    }
    let without_callers = suspects.into_iter().filter(|(_, record)| !record.serves_callers);
    without_callers.map(|(host, _)| host.clone()).collect()
}

/// Removes a host's record, or marks it if the host's disk may hold turns that exist nowhere else.
async fn remove(gateway: &Gateway, host: &HostId) {
    let store = &gateway.adapter.store;
    let outcome = match store.get(Collection::Hosts, host).await {
        Ok(Some(stored)) => match parse_record(&stored) {
            Some(record) if record.turn_store.is_some() => {
                let needless_from_ms = wall_us() / 1000 + longest_retention_ms(gateway);
                let away = Some(AwayRecord { needless_from_ms });
                let content = json!(HostRecord { away, ..record });
                let put = store.put(Collection::Hosts, host, Some(stored.revision), content).await;
                put.map(|_| ())
            }
            _ => store.remove(Collection::Hosts, host, stored.revision).await,
        },
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    match outcome {
        Ok(()) => on_removed(gateway, host),
        Err(error) => {
            log::warn!("failed to remove host {host} from the store; retrying later: {error}")
        }
    }
}

/// Returns how long a turn may be kept after the last change of it, with a margin for clocks that
/// differ.
fn longest_retention_ms(gateway: &Gateway) -> u64 {
    let table = gateway.routing_table.borrow();
    let longest = table.as_ref().and_then(|table| table.longest_retention());
    (longest.unwrap_or_default() + RETENTION_MARGIN).as_millis() as u64
}

/// Removes the record of a host whose disk holds nothing any more that is needed.
pub(crate) fn remove_needless(gateway: &Rc<Gateway>, stored: &StoredObject) {
    let (name, revision) = (stored.name.clone(), stored.revision);
    let task = gateway.clone();
    gateway.spawn(async move {
        let removed = task.adapter.store.remove(Collection::Hosts, &name, revision).await;
        if let Err(error) = removed {
            log::warn!("failed to remove host {name} from the store; retrying later: {error}");
        }
    });
}

/// Writes this host's record again after it has changed.
pub(crate) async fn register_again(gateway: &Gateway) {
    register(gateway, None).await;
}

/// Returns the address at which other hosts reach this one.
pub(crate) fn own_address(gateway: &Gateway) -> SocketAddr {
    gateway.bound.get().map_or(gateway.settings.peers_listen, |bound| bound.peers)
}

fn own_record(gateway: &Gateway) -> HostRecord {
    HostRecord {
        address: own_address(gateway),
        domain: gateway.settings.domain.clone(),
        incarnation: gateway.incarnation,
        serves_callers: gateway.settings.callers_listen.is_some(),
        has_joined: gateway.roster.borrow().has_joined(),
        turn_store: turns::own_record(gateway),
        away: None,
        shares_watches: true,
    }
}

/// Writes this host's record to the store and retries until it succeeds. `revision` is the revision
/// of the existing record, if known.
async fn register(gateway: &Gateway, mut revision: Option<Revision>) -> Revision {
    let host = gateway.settings.host.clone();
    let mut has_joined = false;
    loop {
        let mut record = own_record(gateway);
        // If the stored record says that an earlier incarnation has joined, the other hosts already
        // have this host in their rosters.
        record.has_joined |= has_joined;
        let content = json!(record);
        let put = gateway.adapter.store.put(Collection::Hosts, &host, revision, content).await;
        match put {
            Ok(written) => return written,
            Err(StoreError::Conflict(Some(stored))) => {
                revision = Some(stored.revision);
                has_joined |= parse_record(&stored).is_some_and(|record| record.has_joined);
            }
            Err(StoreError::Conflict(None)) => revision = None,
            Err(error) => {
                log::warn!("failed to register this host in the store; retrying: {error}");
                Timer::after(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Announces this host to the hosts that have not acknowledged it.
async fn announce(gateway: &Rc<Gateway>) {
    let unacknowledged = gateway.roster.borrow().unacknowledged_peers();
    let request =
        PeerRequest::Announce { host: gateway.settings.host.clone(), record: own_record(gateway) };
    for (host, address) in unacknowledged {
        let deadline = Instant::now() + ANNOUNCEMENT_TIMEOUT;
        if let Some(PeerReply::Done) =
            peers::send_request(gateway, address, &request, deadline).await
        {
            gateway.roster.borrow_mut().record_acknowledgement(&host);
        }
    }
}

/// Records the hosts that another host reports.
pub(crate) fn on_peer_hosts(gateway: &Gateway, hosts: Vec<(HostId, HostRecord)>) {
    for (host, record) in hosts {
        upsert(gateway, &host, record, "peer");
    }
}

/// Returns all hosts in this host's roster, including itself.
pub(crate) fn all_hosts(gateway: &Gateway) -> Vec<(HostId, HostRecord)> {
    let roster = gateway.roster.borrow();
    let others = roster.peers().map(|(host, record)| (host.clone(), record.clone()));
    let mut hosts: Vec<_> = others.collect();
    drop(roster);
    hosts.push((gateway.settings.host.clone(), own_record(gateway)));
    hosts
}

/// Records a host that has announced itself.
pub(crate) fn on_announcement(gateway: &Gateway, host: &HostId, record: HostRecord) {
    upsert(gateway, host, record, "greeting");
}

/// Applies a host's record from the store.
pub(crate) fn apply_host_record(gateway: &Rc<Gateway>, object: &StoredObject) {
    let host = HostId::from(object.name.as_str());
    match parse_record(object) {
        Some(record) if record.away.is_some() && host == gateway.settings.host => {
            log::warn!("another host has marked this one as out of reach; registering again");
            let task = gateway.clone();
            gateway.spawn(async move { register_again(&task).await });
        }
        Some(record) => {
            turns::record_away(gateway, &host, &record);
            match record.away {
                Some(_) => drop_from_roster(gateway, &host),
                None => upsert(gateway, &host, record, "store"),
            }
        }
        None => log::warn!("failed to parse the record of host {}; ignoring it", object.name),
    }
}

pub(crate) fn parse_record(object: &StoredObject) -> Option<HostRecord> {
    serde_json::from_value(object.content.clone()).ok()
}

fn upsert(gateway: &Gateway, host: &HostId, record: HostRecord, source: &str) {
    let (address, incarnation) = (record.address, record.incarnation);
    if gateway.roster.borrow_mut().upsert(host, record) {
        gateway.decisions.log(
            LineRate::Rare,
            "host",
            json!({"peer": host, "address": address, "incarnation": incarnation, "by": source}),
        );
    }
    refresh_allowance_hosts(gateway);
}

/// Removes a host from the roster after its record was removed from the store.
pub(crate) fn on_removed(gateway: &Gateway, host: &str) {
    turns::record_removed(gateway, host);
    drop_from_roster(gateway, host);
}

fn drop_from_roster(gateway: &Gateway, host: &str) {
    gateway.roster.borrow_mut().remove(host);
    gateway.decisions.log(LineRate::Rare, "host", json!({"peer": host, "what": "removed"}));
    refresh_allowance_hosts(gateway);
}

/// Returns the peer address of another host.
pub(crate) fn address_of(gateway: &Gateway, host: &str) -> Option<SocketAddr> {
    let roster = gateway.roster.borrow();
    roster.peers().find(|(id, _)| ***id == *host).map(|(_, record)| record.address)
}

/// Reads the list of hosts from the store. Used by hosts that do not watch that collection.
pub(crate) async fn refresh_from_store(gateway: &Rc<Gateway>) -> Result<(), StoreError> {
    let objects = gateway.adapter.store.list(Collection::Hosts).await?.objects;
    apply_host_list(gateway, &objects);
    Ok(())
}

/// Applies the records of all hosts. Hosts without a record were removed.
pub(crate) fn apply_host_list(gateway: &Rc<Gateway>, objects: &[StoredObject]) {
    objects.iter().for_each(|object| apply_host_record(gateway, object));
    let is_missing = |host: &HostId| objects.iter().all(|object| *object.name != **host);
    let others: Vec<HostId> =
        gateway.roster.borrow().peers().map(|(host, _)| host.clone()).collect();
    others.into_iter().filter(is_missing).for_each(|host| on_removed(gateway, &host));
}

/// Records that the store has answered with the current state of the hosts.
pub(crate) fn record_store_contact(gateway: &Gateway) {
    turns::refresh_peers(gateway);
    record_contact_at(gateway, Instant::now());
}

/// Records that this host knew the current state of the hosts at a time.
pub(crate) fn record_contact_at(gateway: &Gateway, at: Instant) {
    gateway.roster.borrow_mut().record_store_contact(at);
}

/// Updates this host's shares of the allowances after a change of the roster.
pub(crate) fn refresh_allowance_hosts(gateway: &Gateway) {
    let now = Instant::now();
    let allowance_hosts = gateway.roster.borrow().allowance_hosts(now);
    if allowance_hosts == *gateway.shares.borrow().hosts() {
        return;
    }
    gateway.decisions.log(
        LineRate::Rare,
        "allowance_part",
        json!({
            "hosts": allowance_hosts.host_count(),
            "trusted": allowance_hosts.usable_fraction(),
        }),
    );
    let table = gateway.routing_table.borrow();
    let rules = table.as_ref().and_then(|table| table.teams.as_ref());
    let no_rules = std::collections::BTreeMap::new();
    gateway.placement.borrow_mut().set_limit_hosts(now, allowance_hosts.clone());
    gateway.shares.borrow_mut().set_hosts(now, allowance_hosts, rules.unwrap_or(&no_rules));
}

/// Returns whether the roster has another host with this address.
pub(crate) fn has_host_at(gateway: &Gateway, address: SocketAddr) -> bool {
    host_at(gateway, address).is_some()
}

/// Returns the other host with this address.
pub(crate) fn host_at(gateway: &Gateway, address: SocketAddr) -> Option<HostId> {
    let roster = gateway.roster.borrow();
    roster.peers().find(|(_, record)| record.address == address).map(|(host, _)| host.clone())
}

/// Returns the peer addresses of the other hosts, or the seeds while the roster has none.
pub(crate) fn peers_or_seeds(gateway: &Gateway) -> Vec<SocketAddr> {
    let known: Vec<SocketAddr> =
        gateway.roster.borrow().peers().map(|(_, record)| record.address).collect();
    if !known.is_empty() {
        return known;
    }
    let own = own_address(gateway);
    gateway.seeds.borrow().iter().copied().filter(|seed| *seed != own).collect()
}
