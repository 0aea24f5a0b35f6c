//! Learns which failure domains are evacuated: from the store, and from other hosts while the store is
//! unavailable. `trefoilring_core::placement` (evacuation.rs) has the rules.

use {
    crate::{
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
        roster,
        store::{Change, Collection, Revision, StoredObject},
        time::within,
    },
    event_listener::Event,
    futures_util::future::join_all,
    rand::{RngExt, seq::IndexedRandom},
    serde_json::json,
    smol::Timer,
    std::{
        cell::RefCell,
        collections::BTreeSet,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::DomainId,
        placement::{EvacuationChange, Evacuations, PauseGuard, Placement, WaitQueues},
    },
    trefoilring_observe::decisions::{Decisions, LineRate},
};

/// Mean interval at which other hosts are asked while the store is unavailable. With
/// [`HOSTS_ASKED`] hosts at a time, what one of 350 hosts knows is known to all after about six
/// intervals.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Number of other hosts that are asked at the same time.
const HOSTS_ASKED: usize = 3;
/// Timeout of a question to another host.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// The evacuated failure domains as this host knows them.
pub(crate) struct EvacuationWatch {
    is_enabled: bool,
    known: RefCell<Evacuations>,
    pause: RefCell<PauseGuard>,
    /// Notified when the evacuations were read anew after a suspension of the process.
    confirmed: Event,
}

/// What a change of the evacuated domains affects.
struct Affected<'a> {
    placement: &'a RefCell<Placement>,
    wait_queues: &'a RefCell<WaitQueues<Rc<Event>>>,
    decisions: &'a Decisions,
}

impl<'a> From<&'a Gateway> for Affected<'a> {
    fn from(gateway: &'a Gateway) -> Self {
        let Gateway { placement, wait_queues, decisions, .. } = gateway;
        Self { placement, wait_queues, decisions }
    }
}

impl EvacuationWatch {
    /// Creates a watch. It is enabled in deployments that have evacuations.
    pub(crate) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            known: RefCell::default(),
            pause: RefCell::default(),
            confirmed: Event::new(),
        }
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns whether the evacuated domains are known, so that requests may be sent.
    pub(crate) fn is_known(&self) -> bool {
        !self.is_enabled || self.known.borrow().known().is_some()
    }

    /// Returns the evacuated domains with the store's revision, for other hosts.
    pub(crate) fn known_domains(&self) -> Option<(Revision, Vec<DomainId>)> {
        let known = self.known.borrow();
        let (revision, domains) = known.known()?;
        Some((revision, domains.iter().cloned().collect()))
    }

    /// Returns the number of evacuated domains.
    pub(crate) fn domain_count(&self) -> usize {
        self.known.borrow().known().map_or(0, |(_, domains)| domains.len())
    }

    /// Returns whether the process was suspended and the evacuations must be read anew.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.pause.borrow().is_unconfirmed()
    }

    /// Records that the evacuations were read, by a call that was sent at `asked_at`.
    pub(crate) fn on_read(&self, asked_at: Instant) {
        if self.pause.borrow_mut().on_read(asked_at) {
            self.confirmed.notify(usize::MAX);
        }
    }

    fn update(
        &self,
        affected: &Affected<'_>,
        source: &str,
        age: Option<Duration>,
        update: impl FnOnce(&mut Evacuations) -> bool,
    ) {
        let mut evacuations = self.known.borrow_mut();
        let before = evacuations.known().map(|(_, domains)| domains.clone());
        if !self.is_enabled || !update(&mut evacuations) {
            return;
        }
        let Some((revision, domains)) = evacuations.known() else { return };
        affected.placement.borrow_mut().set_evacuated_domains(Instant::now(), revision, domains);
        affected.decisions.log(
            LineRate::Rare,
            "evacuations",
            json!({
                "domains": domains,
                "before": before,
                "revision": revision,
                "by": source,
                "age_ms": age.map(|age| age.as_millis() as u64),
                "upstreams_evacuated": affected.placement.borrow().evacuated_count(),
            }),
        );
        // Requests that wait for an evacuated domain go elsewhere, or are refused.
        affected.wait_queues.borrow().wakers().for_each(|waker| {
            waker.notify(1);
        });
    }
}

/// Starts to ask other hosts whenever the store is unavailable. Does nothing at hosts that serve no
/// callers, and in deployments without evacuations.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    if !gateway.evacuations.is_enabled || gateway.settings.callers_listen.is_none() {
        return;
    }
    gateway.placement.borrow_mut().await_evacuated_domains();
    gateway.spawn(ask_other_hosts(gateway.clone()));
}

/// Returns until when requests must wait for the evacuations to be read anew, if they must, and has
/// them read.
fn check_pause(gateway: &Gateway) -> Option<Instant> {
    if !gateway.evacuations.is_enabled {
        return None;
    }
    let (until, is_new) = gateway.evacuations.pause.borrow_mut().tick(Instant::now());
    if is_new {
        gateway.decisions.log(LineRate::Rare, "evacuations", json!({"what": "suspended"}));
        gateway.watches.interrupt();
    }
    until
}

/// Returns whether requests must wait because this process was suspended.
pub(crate) fn must_wait(gateway: &Gateway) -> bool {
    check_pause(gateway).is_some()
}

/// Waits until requests may be sent. Does not wait unless this process was suspended.
pub(crate) async fn until_confirmed(gateway: &Gateway) {
    loop {
        let confirmed = gateway.evacuations.confirmed.listen();
        let Some(until) = check_pause(gateway) else { return };
        within(until, confirmed).await;
    }
}

async fn ask_other_hosts(gateway: Rc<Gateway>) {
    loop {
        Timer::after(ASK_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        check_pause(&gateway);
        if !gateway.watches.of(Collection::Evacuations).is_failing() {
            continue;
        }
        let asked_at = Instant::now();
        let in_reach: Vec<SocketAddr> = roster::peers_or_seeds(&gateway)
            .into_iter()
            .filter(|address| !peers::is_suspect(&gateway, *address))
            .collect();
        let chosen: Vec<SocketAddr> =
            in_reach.sample(&mut rand::rng(), HOSTS_ASKED).copied().collect();
        let deadline = Instant::now() + ASK_TIMEOUT;
        let asked = chosen.into_iter().map(|address| {
            peers::send_request(&gateway, address, &PeerRequest::Evacuations, deadline)
        });
        for reply in join_all(asked).await {
            if let Some(PeerReply::Evacuations { known: Some((revision, domains)) }) = reply {
                let domains = domains.into_iter().collect();
                gateway.evacuations.update(&(&*gateway).into(), "peer", None, |evacuations| {
                    evacuations.on_state(revision, domains)
                });
                gateway.evacuations.on_read(asked_at);
            }
        }
    }
}

/// Applies all operators' entries. An entry evacuates the domain that it is named after, whatever its
/// content.
pub(crate) fn on_listing(gateway: &Gateway, revision: Revision, objects: &[StoredObject]) {
    let domains: BTreeSet<DomainId> =
        objects.iter().map(|object| object.name.as_str().into()).collect();
    let age = gateway.watches.of(Collection::Evacuations).age();
    gateway.evacuations.update(&gateway.into(), "store", age, |evacuations| {
        evacuations.on_state(revision, domains)
    });
}

/// Applies changes of the operators' entries.
pub(crate) fn on_changes(gateway: &Gateway, revision: Revision, changes: &[Change]) {
    let changes = changes.iter().map(|change| match change {
        Change::Put(object) => EvacuationChange::Begun(object.name.as_str().into()),
        Change::Removed(name) => EvacuationChange::Ended(name.as_str().into()),
    });
    let age = gateway.watches.of(Collection::Evacuations).age();
    gateway.evacuations.update(&gateway.into(), "store", age, |evacuations| {
        evacuations.on_changes(revision, changes)
    });
}
