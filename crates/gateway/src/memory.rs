//! The memory of this host, shared by callers, upstreams and other hosts.

use {
    crate::{sockets::SocketLimits, time::within},
    event_listener::Event,
    rustix::process::{Resource, getrlimit},
    serde_json::json,
    slotmap::SecondaryMap,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::TeamId,
        memory::{Account, Class, Denied, HolderKey, Phase},
    },
    trefoilring_observe::decisions::{Decisions, LineRate},
};

/// What a host needs for itself: its code, the routing table, the lists of hosts and upstreams, and
/// idle connections to them. Measured in `docs/CAPACITY.md`.
const OWN_BYTES: u64 = 26 * 1024 * 1024;
/// Part of the memory that remembered turns take, see `turns::cache`.
const TURNS_FRACTION: u64 = 10;
/// Smallest account, as a part of the memory.
const ACCOUNT_FRACTION_MIN: u64 = 4;
/// Part of the descriptors that is kept for connections to upstreams, other hosts and the store, and
/// for files.
const DESCRIPTORS_KEPT_FRACTION: u64 = 4;
/// Maximum number of bodies that wait unread for memory at the same time. More would not find room in
/// [`WAIT_MAX`].
const WAITING_MAX: usize = 64;
/// Maximum time that a body waits unread. Longer than the time after which those that stall are
/// dropped; the caller's bytes wait in the kernel meanwhile.
const WAIT_MAX: Duration = Duration::from_millis(1500);
/// Interval at which a waiting body looks for others that have stalled.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Tells a holder that it is dropped.
#[derive(Debug, Default)]
pub(crate) struct DropSignal {
    is_set: Cell<bool>,
    event: Event,
}

impl DropSignal {
    pub(crate) fn set(&self) {
        self.is_set.set(true);
        self.event.notify(usize::MAX);
    }

    /// Waits until the holder is dropped.
    pub(crate) async fn wait(&self) {
        while !self.is_set.get() {
            let set = self.event.listen();
            if !self.is_set.get() {
                set.await;
            }
        }
    }
}

/// The memory account of this host.
pub(crate) struct HostMemory {
    account: RefCell<Account>,
    sockets: SocketLimits,
    signals: RefCell<SecondaryMap<HolderKey, Rc<DropSignal>>>,
    /// Notified when memory was released.
    released: Event,
    waiting: Cell<usize>,
    dropped: Cell<u64>,
    decisions: Decisions,
}

impl HostMemory {
    /// Creates the account of a host with this much memory.
    pub(crate) fn new(host_memory_bytes: u64, decisions: Decisions) -> Rc<Self> {
        let sockets = SocketLimits::new(host_memory_bytes);
        let bytes = host_memory_bytes
            .saturating_sub(OWN_BYTES + host_memory_bytes / TURNS_FRACTION)
            .saturating_sub(sockets.unaccepted_bytes_max() as u64)
            .max(host_memory_bytes / ACCOUNT_FRACTION_MIN);
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let connections = descriptors - descriptors / DESCRIPTORS_KEPT_FRACTION;
        let account = Account::new(
            usize::try_from(bytes).unwrap_or(usize::MAX),
            usize::try_from(connections).unwrap_or(usize::MAX),
        );
        Rc::new(Self {
            account: RefCell::new(account),
            sockets,
            signals: RefCell::default(),
            released: Event::new(),
            waiting: Cell::new(0),
            dropped: Cell::new(0),
            decisions,
        })
    }

    /// Returns what the host's sockets may hold.
    pub(crate) fn sockets(&self) -> SocketLimits {
        self.sockets
    }

    /// Returns the bytes that bodies and answers hold.
    pub(crate) fn used_bytes(&self) -> usize {
        self.account.borrow().used_bytes()
    }

    /// Returns the bytes that answers hold.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.account.borrow().answer_bytes()
    }

    /// Returns the bytes that connections hold.
    pub(crate) fn connection_bytes(&self) -> usize {
        self.account.borrow().connection_bytes()
    }

    /// Returns how many holders were dropped in favor of others.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Returns the event that is notified when memory was released.
    pub(crate) fn released(&self) -> &Event {
        &self.released
    }

    /// Reserves memory. Holders that stall are told to go if that makes room.
    ///
    /// # Errors
    ///
    /// Fails if there is no room at the moment.
    pub(crate) fn reserve(
        self: &Rc<Self>,
        class: Class,
        owner: Option<TeamId>,
        bytes: usize,
        signal: &Rc<DropSignal>,
    ) -> Result<Reservation, Denied> {
        let reserved = self.account.borrow_mut().reserve(Instant::now(), class, owner, bytes);
        let key = reserved.inspect_err(|denied| self.drop_victims(class, denied))?;
        self.signals.borrow_mut().insert(key, signal.clone());
        Ok(Reservation { memory: self.clone(), key })
    }

    /// Reserves memory for a body, and waits for it for a short time.
    ///
    /// # Errors
    ///
    /// Fails if there was no room in that time, or too many others wait.
    pub(crate) async fn wait_for_body(
        self: &Rc<Self>,
        owner: Option<&TeamId>,
        bytes: usize,
        signal: &Rc<DropSignal>,
    ) -> Result<Reservation, Denied> {
        self.wait(|| self.reserve(Class::Body, owner.cloned(), bytes, signal)).await
    }

    async fn wait<T>(&self, mut reserve: impl FnMut() -> Result<T, Denied>) -> Result<T, Denied> {
        let end = Instant::now() + WAIT_MAX;
        let mut waiting = None;
        loop {
            let released = self.released.listen();
            let denied = match reserve() {
                Ok(reserved) => return Ok(reserved),
                Err(denied) => denied,
            };
            let now = Instant::now();
            if waiting.is_none() {
                if self.waiting.get() >= WAITING_MAX {
                    return Err(denied);
                }
                waiting = Some(Waiting::new(&self.waiting));
            }
            if now >= end {
                return Err(denied);
            }
            within(end.min(now + WAIT_CHECK_INTERVAL), released).await;
        }
    }

    fn drop_victims(&self, class: Class, denied: &Denied) {
        if denied.victims.is_empty() {
            return;
        }
        for key in &denied.victims {
            self.account.borrow_mut().mark_victim(*key);
            if let Some(signal) = self.signals.borrow().get(*key) {
                signal.set();
            }
        }
        let count = denied.victims.len();
        self.dropped.set(self.dropped.get() + count as u64);
        self.decisions.log(
            LineRate::Failure,
            "memory_drop",
            json!({
                "for": format!("{class:?}").to_lowercase(),
                "dropped": count,
                "used_bytes": self.used_bytes(),
                "connection_bytes": self.connection_bytes(),
            }),
        );
    }
}

/// Counts a body that waits unread.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Memory that is reserved until this is dropped.
pub(crate) struct Reservation {
    memory: Rc<HostMemory>,
    key: HolderKey,
}

impl Reservation {
    /// Changes the size of the reservation.
    ///
    /// # Errors
    ///
    /// Fails if there is no room at the moment.
    pub(crate) fn resize(&self, class: Class, bytes: usize) -> Result<(), Denied> {
        let resized = self.memory.account.borrow_mut().resize(Instant::now(), self.key, bytes);
        resized.inspect_err(|denied| self.memory.drop_victims(class, denied))
    }

    /// Enlarges the reservation of a body, and waits for memory for a short time.
    ///
    /// # Errors
    ///
    /// Fails if there was no room in that time, or too many others wait.
    pub(crate) async fn wait_to_grow(&self, bytes: usize) -> Result<(), Denied> {
        self.memory.wait(|| self.resize(Class::Body, bytes)).await
    }

    /// Returns how many bytes may have arrived at a connection without being read.
    pub(crate) fn unread_bytes_max(&self) -> usize {
        self.memory.sockets.unread_bytes_max()
    }

    /// Records that the peer has sent or read bytes.
    pub(crate) fn record_progress(&self, bytes: usize) {
        self.memory.account.borrow_mut().record_progress(Instant::now(), self.key, bytes);
    }

    /// Sets whether the holder depends on its peer from now on.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.memory.account.borrow_mut().set_phase(Instant::now(), self.key, phase);
    }

    /// Names another holder that is told to go when this reservation is needed.
    pub(crate) fn set_signal(&self, signal: &Rc<DropSignal>) {
        self.memory.signals.borrow_mut().insert(self.key, signal.clone());
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.account.borrow_mut().release(Instant::now(), self.key);
        self.memory.signals.borrow_mut().remove(self.key);
        self.memory.released.notify(usize::MAX);
    }
}
