//! Keeps the turns of programs whose callers send only their new input.
//!
//! The host that serves a turn writes it to the disks of several *store hosts* before its answer
//! ends ([`retain`]), remembers it, and finds the turns before it at the store hosts if it does not
//! ([`find`]). Store hosts append turns to a log ([`store_here`]) and fetch from each other what they
//! should hold after losses ([`pull`]). `trefoilring_core::turns` decides which hosts hold a turn and
//! when it is certain that none does; `docs/decisions/0024-retained-turns.md` has the reasons.

mod cache;
mod fetch;
mod find;
mod pull;
mod retain;
mod retire;
mod store;

pub(crate) use {
    cache::CachedTurn,
    find::{find, has_enough_stores, not_found},
    pull::refresh_peers,
    retain::{NotRetained, retain},
    retire::may_leave,
    store::{TurnStore, fetch_here, find_here, held_here, store_here},
};

use {
    crate::{
        gateway::Gateway,
        peers, roster,
        store::{Collection, StoredObject},
        watch,
    },
    bytes::Bytes,
    cache::TurnCache,
    fetch::Transfers,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{HostId, RequestId},
        roster::{HostRecord, TurnStoreRecord},
        turns::{InsertError, StoreHost, TurnHead, rank_holders},
    },
};

/// How long a store host that was slow is asked last.
const SLOW_DURATION: Duration = Duration::from_secs(2);

/// A turn with its contents, as it is sent between hosts and written to disks.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct RetainedTurn {
    pub(crate) head: TurnHead,
    /// Body of the request, as the caller sent it.
    pub(crate) input: Bytes,
    /// Data of the answer's events, each followed by a line feed.
    pub(crate) output: Bytes,
}

impl RetainedTurn {
    /// Returns the size of the contents.
    pub(crate) fn bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// What became of turns to store.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum TurnWriteOutcome {
    /// The turns are on the host's disk, synced.
    Stored,
    /// The host does not hold the turn that one of them continues.
    MissingPrevious,
    /// The host holds another turn with the id of one of them.
    Conflict,
    /// The host's disk is full.
    Full,
    /// The host leaves and takes no more turns.
    Leaving,
    /// The disk failed or is too slow, or the host stores no turns.
    Failed,
}

impl From<InsertError> for TurnWriteOutcome {
    fn from(error: InsertError) -> Self {
        match error {
            InsertError::MissingPrevious => Self::MissingPrevious,
            InsertError::Conflict => Self::Conflict,
        }
    }
}

/// What a store host knows of a turn.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum TurnLookup {
    /// The turn and those before it, the newest first, as many as were asked for.
    Found {
        turns: Vec<RetainedTurn>,
        /// The turn before the last one of `turns`, if the chain did not fit.
        rest: Option<RequestId>,
    },
    /// The host holds no such turn of the team.
    Absent {
        /// Whether the host has lost no turn, or has fetched what it had lost.
        is_complete: bool,
    },
    /// The turn can't be read at present.
    Unreadable,
}

/// The turns that a host remembers and stores.
pub(crate) struct Turns {
    cache: RefCell<TurnCache>,
    transfers: Transfers,
    /// `None` at a host without a disk.
    store: Option<TurnStore>,
    /// Peer addresses of store hosts that were slow, with the time until which they are asked last.
    slow_until: RefCell<HashMap<SocketAddr, Instant>>,
    /// Records of the store hosts that have been out of reach for long.
    away: RefCell<HashMap<HostId, HostRecord>>,
    /// When this host may next read the list of hosts to find out whether a turn exists.
    next_list_at: Cell<Instant>,
}

impl Turns {
    /// Opens the turns of a host. Its disk is read if it has one.
    ///
    /// # Errors
    ///
    /// Fails if the data folder can't be used.
    pub(crate) fn open(settings: &crate::GatewaySettings) -> io::Result<Self> {
        let store = match &settings.data_folder {
            Some(folder) => Some(TurnStore::open(folder, settings)?),
            None => None,
        };
        Ok(Self {
            cache: RefCell::new(TurnCache::new(settings.memory_bytes_max)),
            transfers: Transfers::default(),
            store,
            slow_until: RefCell::default(),
            away: RefCell::default(),
            next_list_at: Cell::new(Instant::now()),
        })
    }

    /// Returns the number of turns on this host's disk.
    pub(crate) fn stored_count(&self) -> usize {
        self.store.as_ref().map_or(0, TurnStore::turn_count)
    }

    /// Returns whether this host has lost no turn from its disk, or has fetched what it had lost.
    pub(crate) fn has_recovered(&self) -> bool {
        self.store.as_ref().is_none_or(|store| store.pull.borrow().has_recovered())
    }

    /// Returns the number of store hosts that do not answer and whose place others take.
    pub(crate) fn replaced_holder_count(&self) -> usize {
        self.store.as_ref().map_or(0, |store| store.pull.borrow().unresponsive_count())
    }

    fn is_slow(&self, address: SocketAddr) -> bool {
        self.slow_until.borrow().get(&address).is_some_and(|until| Instant::now() < *until)
    }

    fn record_slow(&self, address: SocketAddr) {
        self.slow_until.borrow_mut().insert(address, Instant::now() + SLOW_DURATION);
    }
}

/// Starts the tasks of a store host. It follows the other hosts from its start: it may have to take the
/// place of one that is lost before it has stored a turn itself.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    if gateway.turns.store.is_none() {
        return;
    }
    store::start(gateway);
    watch::start_own_collection(gateway, Collection::Retirements);
    if gateway.settings.callers_listen.is_none() {
        watch::start_own_collection(gateway, Collection::Hosts);
    }
    pull::start(gateway);
}

/// Returns what this host announces of its store.
pub(crate) fn own_record(gateway: &Gateway) -> Option<TurnStoreRecord> {
    let store = gateway.turns.store.as_ref()?;
    Some(TurnStoreRecord { disk: store.disk(), is_leaving: store.is_leaving.get() })
}

/// Records that a store host has been out of reach for long, or is back.
pub(crate) fn record_away(gateway: &Gateway, host: &HostId, record: &HostRecord) {
    let mut away = gateway.turns.away.borrow_mut();
    if record.away.is_some() && record.turn_store.is_some() {
        away.insert(host.clone(), record.clone());
    } else {
        away.remove(host);
    }
}

/// Records that a host's record was removed.
pub(crate) fn record_removed(gateway: &Gateway, host: &str) {
    gateway.turns.away.borrow_mut().remove(host);
}

/// Applies the operators' request to empty a host.
pub(crate) fn on_retirement(gateway: &Rc<Gateway>, object: &StoredObject) {
    if *object.name == *gateway.settings.host {
        retire::begin(gateway);
    }
}

/// A host that may hold turns.
#[derive(Clone, Debug)]
struct Holder {
    host: HostId,
    /// Address of the host; `None` for this host.
    address: Option<SocketAddr>,
}

/// Returns all store hosts, this one included if it is one.
fn store_hosts(gateway: &Gateway) -> Vec<StoreHost> {
    let roster = gateway.roster.borrow();
    let peers = roster.turn_stores().map(|(host, record, turn_store)| StoreHost {
        host: host.clone(),
        domain: record.domain.clone(),
        is_leaving: turn_store.is_leaving,
    });
    let own = own_record(gateway).map(|own| StoreHost {
        host: gateway.settings.host.clone(),
        domain: gateway.settings.domain.clone(),
        is_leaving: own.is_leaving,
    });
    peers.chain(own).collect()
}

/// Returns the store hosts by preference as holders of a tree: first those that this host reaches,
/// then those that were slow lately or are reached through another host, then the others.
fn holders_by_reachability(gateway: &Gateway, tree: &str) -> Vec<Holder> {
    let hosts = store_hosts(gateway);
    let roster = gateway.roster.borrow();
    let addresses: HashMap<&HostId, SocketAddr> =
        roster.turn_stores().map(|(host, record, _)| (host, record.address)).collect();
    let to_holder = |store_host: &StoreHost| Holder {
        host: store_host.host.clone(),
        address: addresses.get(&store_host.host).copied(),
    };
    let mut holders: Vec<Holder> = rank_holders(tree, &hosts).into_iter().map(to_holder).collect();
    holders.sort_by_key(|holder| match holder.address {
        Some(address) if !peers::is_in_reach(gateway, address) => 2,
        Some(address) => {
            u8::from(peers::is_suspect(gateway, address) || gateway.turns.is_slow(address))
        }
        None => 0,
    });
    holders
}

/// Returns the number of disks that a turn is written to, one more than may be lost at once.
fn copies(gateway: &Gateway) -> usize {
    gateway.settings.losses_max + 1
}

/// Registers this host again after its record has changed.
fn register_again(gateway: &Rc<Gateway>) {
    let task = gateway.clone();
    gateway.spawn(async move { roster::register_again(&task).await });
}
