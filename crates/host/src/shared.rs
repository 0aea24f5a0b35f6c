//! State of one host that its control and traffic threads share.

use {
    crate::{
        control::ControlHandle, observe::events::EventLog, observe::metrics::Metrics, peers::Peers,
        relay::Relays, running_calls::RunningCalls, withdrawals::Withdrawals,
    },
    smol::Executor,
    std::{
        collections::BTreeSet,
        future::Future,
        sync::{
            Arc, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    trefoilring_clients::{HostList, ObjectApi},
    trefoilring_config::settings::Settings,
    trefoilring_core::{
        call::Caller,
        catalog::Catalog,
        ids::{KeyId, Member, TeamId},
    },
};

/// Created once at the start of the host.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) member: Member,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) control: ControlHandle,
    pub(crate) peers: Peers,
    pub(crate) relays: Relays,
    pub(crate) withdrawals: Withdrawals,
    pub(crate) events: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) objects: ObjectApi,
    pub(crate) host_list: HostList,
    pub(crate) lease: Lease,
    pub(crate) is_draining: AtomicBool,
    /// Set when an operator has requested a drain.
    pub(crate) is_drain_requested: AtomicBool,
    /// Whether the configuration was confirmed recently enough to accept keys.
    pub(crate) has_fresh_keys: AtomicBool,
    /// Number of calls that this host runs as their home. A drain waits for them.
    pub(crate) running_calls: RunningCalls,
    pub(crate) catalog: RwLock<Arc<Catalog>>,
    /// Always the valid keys of `catalog`, cached so that the last check of a call is a lookup and
    /// not a scan over all keys.
    pub(crate) valid_keys: RwLock<Arc<BTreeSet<(KeyId, TeamId)>>>,
}

impl Shared {
    /// Returns the declarations in force.
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        self.catalog.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether a caller's key is still valid for its team.
    pub(crate) fn has_valid_key(&self, caller: &Caller) -> bool {
        let keys = self.valid_keys.read().unwrap_or_else(PoisonError::into_inner).clone();
        keys.contains(&(caller.key.clone(), caller.team.clone()))
    }

    /// Runs a task on the traffic threads until it ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// The end of the host's lease, readable from every thread without a request to the control thread.
pub(crate) struct Lease {
    base: Instant,
    /// Microseconds after `base`; 0 if there is no lease.
    until_us: AtomicU64,
}

impl Lease {
    pub(crate) fn new(base: Instant) -> Self {
        Self { base, until_us: AtomicU64::new(0) }
    }

    /// Sets the end of the lease; `None` if this host has no lease.
    pub(crate) fn set(&self, until: Option<Instant>) {
        let after_base = until.map(|until| until.saturating_duration_since(self.base));
        let until_us = after_base.map_or(0, |after| after.as_micros() as u64);
        self.until_us.store(until_us, Ordering::Release);
    }

    /// Returns whether the lease holds now. Call this immediately before each effect: a process
    /// that was paused for longer than its lease then sees the lease as expired, because the
    /// monotonic clock keeps running.
    pub(crate) fn holds(&self) -> bool {
        let until = Duration::from_micros(self.until_us.load(Ordering::Acquire));
        self.base.elapsed() < until
    }
}
