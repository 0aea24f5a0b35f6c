//! Memory of the request bodies of all connections.

use {
    smol::{
        Timer,
        channel::{Receiver, Sender, bounded},
    },
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    trefoilring_core::memory::{Account, Class, Denied, HolderKey, Phase},
};

/// The account keeps a quarter of its size for connections, which this interface bounds by their number.
const ACCOUNT_QUARTERS: usize = 3;
/// Maximum number of bodies that wait unread for memory at the same time.
const MAX_WAITING: usize = 64;
/// Maximum time that a body waits unread. Longer than the time after which those that stall are dropped.
const MAX_WAIT: Duration = Duration::from_millis(1500);
/// Interval at which a waiting body tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The memory for bodies.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    state: Mutex<State>,
    waiting: AtomicUsize,
}

#[derive(Debug)]
struct State {
    account: Account,
    /// Channels that tell holders that they are dropped.
    drops: HashMap<HolderKey, Sender<()>>,
}

impl BodyMemory {
    /// Creates the memory for bodies of `max_bytes` together.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        let account_bytes = (max_bytes / ACCOUNT_QUARTERS).saturating_mul(ACCOUNT_QUARTERS + 1);
        let state =
            State { account: Account::new(account_bytes, usize::MAX), drops: HashMap::new() };
        Arc::new(Self { state: Mutex::new(state), waiting: AtomicUsize::new(0) })
    }

    /// Locks the state. No code that holds the lock panics between two changes.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves memory for a body, and waits for it for a short time.
    ///
    /// # Errors
    ///
    /// Returns when to try again if there was no room in that time, or if too many others wait.
    pub async fn reserve(self: &Arc<Self>, bytes: usize) -> Result<BodyReservation, Duration> {
        let reserve = || {
            let mut state = self.state();
            let reserved = state.account.reserve(Instant::now(), Class::Body, None, bytes);
            let key = reserved.inspect_err(|denied| state.drop_victims(denied))?;
            let (sender, dropped) = bounded(1);
            state.drops.insert(key, sender);
            Ok(BodyReservation { memory: Arc::clone(self), key, dropped })
        };
        self.wait(reserve).await
    }

    async fn wait<T>(&self, mut reserve: impl FnMut() -> Result<T, Denied>) -> Result<T, Duration> {
        let end = Instant::now() + MAX_WAIT;
        let mut waiting = None;
        loop {
            let denied = match reserve() {
                Ok(reserved) => return Ok(reserved),
                Err(denied) => denied,
            };
            if waiting.is_none() {
                waiting = Some(Waiting::new(&self.waiting));
                if self.waiting.load(Ordering::Relaxed) > MAX_WAITING {
                    return Err(denied.retry_after);
                }
            }
            if Instant::now() >= end {
                return Err(denied.retry_after);
            }
            Timer::after(RETRY_INTERVAL).await;
        }
    }
}

impl State {
    fn drop_victims(&mut self, denied: &Denied) {
        for key in &denied.victims {
            self.account.mark_victim(*key);
            if let Some(sender) = self.drops.get(key) {
                // The channel holds one message; a second one has no further effect.
                let _ = sender.try_send(());
            }
        }
    }
}

/// Counts a body that waits unread.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory of a body until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    memory: Arc<BodyMemory>,
    key: HolderKey,
    dropped: Receiver<()>,
}

impl BodyReservation {
    /// Enlarges the reservation, and waits for memory for a short time.
    ///
    /// # Errors
    ///
    /// Returns when to try again if there was no room in that time, or if too many others wait.
    pub async fn grow(&self, bytes: usize) -> Result<(), Duration> {
        let resize = || {
            let mut state = self.memory.state();
            let resized = state.account.resize(Instant::now(), self.key, bytes);
            resized.inspect_err(|denied| state.drop_victims(denied))
        };
        self.memory.wait(resize).await
    }

    /// Records that the caller has sent bytes.
    pub fn record_progress(&self, bytes: usize) {
        self.memory.state().account.record_progress(Instant::now(), self.key, bytes);
    }

    /// Records that the body is complete. It is not dropped in favor of others from now on.
    pub fn set_complete(&self) {
        self.memory.state().account.set_phase(Instant::now(), self.key, Phase::Working);
    }

    /// Waits until the body is dropped in favor of others.
    pub async fn wait_until_dropped(&self) {
        // The sender lives as long as the reservation.
        let _ = self.dropped.recv().await;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.account.release(Instant::now(), self.key);
        state.drops.remove(&self.key);
    }
}
