//! Passes the store's changes on to the other hosts of the failure domain, and gets them from a host
//! that does. `trefoilring_core::watch_sharing` has the rules and the reason.

use {
    super::{apply_changes, apply_listing, start_collection, start_own_collection},
    crate::{
        gateway::{Gateway, Stage},
        peers::{self, CollectionNews, PeerReply, PeerRequest},
        registrations, roster,
        store::{Change, Collection, Revision, StoredObject},
        time::within,
    },
    event_listener::Event,
    rand::RngExt,
    serde_json::json,
    smol::Timer,
    std::{
        cell::{Cell, RefCell},
        future::Future,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::HostId,
        registrations::StoreOutage,
        watch_sharing::{
            ChangeLog, ChangesAfter, FOLLOW_MARGIN, FOLLOW_WAIT, FOLLOWED_FOR, Following,
            ObjectChange, ReaderCandidate, Source, is_in_contact, rank_readers,
        },
    },
    trefoilring_observe::decisions::LineRate,
};

/// Collections whose changes a reader passes on.
pub(super) const SHARED: [Collection; 4] =
    [Collection::Configuration, Collection::Upstreams, Collection::Hosts, Collection::Evacuations];
/// Maximum size of a configuration that a reader passes on. A larger one is read from the store by
/// each host: it would occupy the reader's link for as long as it has followers.
const CONFIGURATION_BYTES_MAX: usize = 64 * 1024;
/// Maximum size of what a reader keeps and passes on of another collection.
const COLLECTION_BYTES_MAX: usize = 512 * 1024;
/// Maximum time for which a host that starts waits for the list of hosts, to find a reader.
const START_WAIT_MAX: Duration = Duration::from_secs(1);
/// Maximum time for which a reader leaves changes of the upstreams unread, to read several at once.
const READER_DELAY_MAX: Duration = Duration::from_millis(800);
/// Interval at which a host that reads the store itself looks for a reader.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Collections that a host does not watch at once after it has listed them at its start. Upstreams are
/// not among them: new versions are expected to be known by all hosts within a second.
const DELAYED_AT_START: [Collection; 2] = [Collection::Configuration, Collection::Hosts];
/// Time after the first look for a reader for which a host that has listed these does not watch
/// them. Hosts that start together find a reader at their second look. A change of that time is
/// known at the end of it at the latest, within the 3 s in which hosts must act on changes.
const FIRST_WATCH_DELAY: Duration = Duration::from_millis(1200);
/// Maximum time for which the first listing of the hosts waits for this host's registration. A listing
/// with its own record is all that a host needs to join the others.
const REGISTRATION_WAIT_MAX: Duration = Duration::from_millis(150);

/// How this host watches the store.
#[derive(Default)]
pub(crate) struct Watches {
    configuration: Watched,
    upstreams: Watched,
    hosts: Watched,
    retirements: Watched,
    ledgers: Watched,
    evacuations: Watched,
    following: RefCell<Following>,
    /// The host that this one asks for changes. While it is set, the store is not watched.
    reader: RefCell<Option<HostId>>,
    /// Notified when the watches must be begun again: this host has got a reader or a follower.
    interrupted: Event,
    /// Notified when the watches may go on: this host has a reader or is needed as one no more, or
    /// is needed again.
    resumed: Event,
    /// Last time that the store answered a list or watch of its current state.
    last_answer: Cell<Option<Instant>>,
    /// Last time that another host asked this one for changes.
    followed_at: Cell<Option<Instant>>,
    /// When this host became a reader the last time.
    followed_since: Cell<Option<Instant>>,
    /// Notified when the store has answered, or has failed to.
    answered: Event,
    /// Time until which a host that has just started does not watch what it has listed.
    first_watch_at: Cell<Option<Instant>>,
    /// Whether this host has written its record.
    is_registered: Cell<bool>,
    /// Notified when this host has written its record.
    registered: Event,
    /// Whether this host has looked for a reader since its start. Before that it reads only the list
    /// of hosts.
    has_looked: Cell<bool>,
}

/// The state of one collection's watch.
#[derive(Default)]
pub(crate) struct Watched {
    /// The revision up to which this host has applied the changes. `None` before the collection was
    /// listed.
    pub(super) revision: Cell<Option<Revision>>,
    pub(super) outage: Cell<StoreOutage>,
    /// When the store last answered with the current state, here or at this host's reader.
    current_at: Cell<Option<Instant>>,
    /// The state and the latest changes, while this host has followers.
    log: RefCell<Option<ChangeLog<Change>>>,
    /// Whether the reader has changes that it does not pass on. The next watch must return at once,
    /// since one that waits for a change leaves the revision as it is.
    is_behind_reader: Cell<bool>,
    pub(super) is_started: Cell<bool>,
    /// Whether this host needs the collection for itself.
    is_own: Cell<bool>,
}

impl Watched {
    pub(super) fn is_behind_reader(&self) -> bool {
        self.is_behind_reader.get()
    }

    /// Returns whether the last call for the collection failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.outage.get().is_ongoing()
    }

    pub(super) fn is_own(&self) -> bool {
        self.is_own.get()
    }

    /// Returns the time since the store last answered with the current state.
    pub(crate) fn age(&self) -> Option<Duration> {
        Some(self.current_at.get()?.elapsed())
    }
}

impl Watches {
    pub(crate) fn of(&self, collection: Collection) -> &Watched {
        match collection {
            Collection::Configuration => &self.configuration,
            Collection::Upstreams => &self.upstreams,
            Collection::Hosts => &self.hosts,
            Collection::Retirements => &self.retirements,
            Collection::Ledgers => &self.ledgers,
            Collection::Evacuations => &self.evacuations,
        }
    }

    /// Returns whether other hosts use this one as their reader.
    pub(crate) fn is_followed(&self) -> bool {
        self.followed_at.get().is_some_and(|at| at.elapsed() < FOLLOWED_FOR)
    }

    /// Returns whether this host gets the changes from another one.
    pub(crate) fn has_reader(&self) -> bool {
        self.reader.borrow().is_some()
    }

    /// Records that the store has answered with a complete listing.
    pub(super) fn on_listed(
        &self,
        collection: Collection,
        objects: Vec<StoredObject>,
        revision: Revision,
    ) {
        let watched = self.of(collection);
        self.on_applied(collection, revision);
        if self.is_followed() {
            let objects = objects.into_iter().map(|object| with_size(Change::Put(object)));
            let log = ChangeLog::new(revision, objects.collect(), bytes_max(collection));
            *watched.log.borrow_mut() = Some(log);
        }
    }

    /// Records that the store has answered with changes, or that there are none.
    pub(super) fn on_changes(
        &self,
        collection: Collection,
        changes: Vec<Change>,
        revision: Revision,
    ) {
        self.on_applied(collection, revision);
        let mut log = self.of(collection).log.borrow_mut();
        if !self.is_followed() {
            *log = None;
        } else if let Some(log) = log.as_mut() {
            log.push(revision, changes.into_iter().map(with_size).collect());
        }
    }

    /// Has the pending watches begun again.
    pub(crate) fn interrupt(&self) {
        self.interrupted.notify(usize::MAX);
    }

    /// Records that the store has not answered.
    pub(super) fn on_store_failure(&self) {
        self.answered.notify(usize::MAX);
    }

    fn on_applied(&self, collection: Collection, revision: Revision) {
        let watched = self.of(collection);
        watched.revision.set(Some(revision));
        watched.is_behind_reader.set(false);
        watched.current_at.set(Some(Instant::now()));
        self.on_answer(collection);
        self.answered.notify(usize::MAX);
    }

    fn on_answer(&self, collection: Collection) {
        // Watches of hosts may be answered with an old state.
        if collection != Collection::Hosts {
            self.last_answer.set(Some(Instant::now()));
        }
    }

    /// Records that this host needs a collection for itself.
    pub(super) fn set_own(&self, collection: Collection) {
        self.of(collection).is_own.set(true);
        self.resumed.notify(usize::MAX);
    }

    /// Records that another host asks for changes.
    fn on_follower(&self) {
        let was_followed = self.is_followed();
        self.followed_at.set(Some(Instant::now()));
        if was_followed {
            return;
        }
        self.followed_since.set(self.followed_at.get());
        for collection in SHARED {
            // Followers need the state too, so the collection is listed again.
            let watched = self.of(collection);
            watched.revision.set(None);
            *watched.log.borrow_mut() = None;
        }
        self.interrupted.notify(usize::MAX);
        self.resumed.notify(usize::MAX);
    }

    /// Returns whether this host has just become a reader, and may be listing the collections.
    fn is_beginning(&self) -> bool {
        self.followed_since.get().is_some_and(|since| since.elapsed() < FOLLOW_WAIT)
    }

    /// Records that this host has written its record.
    pub(crate) fn on_registered(&self) {
        self.is_registered.set(true);
        self.registered.notify(usize::MAX);
    }

    /// Waits until this host is registered, or [`REGISTRATION_WAIT_MAX`].
    pub(super) async fn until_registered(&self) {
        let registered = self.registered.listen();
        if !self.is_registered.get() {
            within(Instant::now() + REGISTRATION_WAIT_MAX, registered).await;
        }
    }

    /// Waits while the first watch of a collection that was listed at the start can be left out. Returns
    /// whether it has waited, so that the source may have changed.
    pub(super) async fn has_delayed_first_watch(&self, collection: Collection) -> bool {
        let interrupted = self.interrupted.listen();
        let watched = self.of(collection);
        let is_calm = watched.revision.get().is_some()
            && !watched.is_behind_reader()
            && !watched.outage.get().is_ongoing()
            && !self.is_followed();
        let until = self.first_watch_at.get().filter(|at| is_calm && Instant::now() < *at);
        let Some(until) = until.filter(|_| DELAYED_AT_START.contains(&collection)) else {
            return false;
        };
        within(until, interrupted).await;
        true
    }

    /// Returns whether a collection must be read from the store now.
    fn reads_store(&self, collection: Collection) -> bool {
        let is_own = self.of(collection).is_own.get();
        let is_found = self.has_looked.get() || collection == Collection::Hosts;
        let is_needed = (is_own && is_found) || self.is_followed();
        !SHARED.contains(&collection) || (is_needed && !self.has_reader())
    }

    /// Waits until a collection must be read from the store.
    pub(super) async fn until_reading(&self, collection: Collection) {
        while !self.reads_store(collection) {
            let watched = self.of(collection);
            if !watched.is_own.get() {
                // Nobody follows the collection until its next listing.
                watched.revision.set(None);
                *watched.log.borrow_mut() = None;
            }
            self.resumed.listen().await;
        }
    }

    /// Waits for an answer of the store, unless the watch must be begun again meanwhile.
    pub(super) async fn unless_interrupted<T>(
        &self,
        collection: Collection,
        answer: impl Future<Output = T>,
    ) -> Option<T> {
        if !SHARED.contains(&collection) {
            return Some(answer.await);
        }
        let interrupted = self.interrupted.listen();
        let interruption = async {
            interrupted.await;
            None
        };
        smol::future::or(async { Some(answer.await) }, interruption).await
    }
}

/// Returns a change with the size in which it is passed on.
fn with_size(change: Change) -> (Change, usize) {
    // What can't be serialized can't be passed on.
    let bytes = serde_json::to_vec(&change).map_or(usize::MAX / 2, |text| text.len());
    (change, bytes)
}

fn bytes_max(collection: Collection) -> usize {
    match collection {
        Collection::Configuration => CONFIGURATION_BYTES_MAX,
        _ => COLLECTION_BYTES_MAX,
    }
}

/// Starts to watch the store, directly or through a reader.
pub(super) fn start(gateway: &Rc<Gateway>) {
    gateway.spawn(follow(gateway.clone()));
}

/// Returns the shared collections that this host needs.
fn shared(gateway: &Gateway) -> impl Iterator<Item = Collection> {
    let has_evacuations = gateway.evacuations.is_enabled();
    SHARED.into_iter().filter(move |one| *one != Collection::Evacuations || has_evacuations)
}

async fn follow(gateway: Rc<Gateway>) {
    let watches = &gateway.watches;
    shared(&gateway).for_each(|collection| start_own_collection(&gateway, collection));
    let deadline = Instant::now() + START_WAIT_MAX;
    watches.first_watch_at.set(Some(deadline));
    let hosts = &watches.hosts;
    while hosts.revision.get().is_none()
        && !hosts.outage.get().is_ongoing()
        && within(deadline, watches.answered.listen()).await.is_some()
    {}
    loop {
        let now = Instant::now();
        let source = choose_source(&gateway, now);
        set_reader(&gateway, &source);
        if !watches.has_looked.replace(true) {
            watches.first_watch_at.set(Some(now + FIRST_WATCH_DELAY));
            watches.resumed.notify(usize::MAX);
        }
        match source {
            Source::Reader(reader) => ask_reader(&gateway, &reader).await,
            Source::Store { until } => {
                let recheck_at = now + RECHECK_INTERVAL;
                Timer::at(until.map_or(recheck_at, |until| until.min(recheck_at))).await;
            }
        };
    }
}

fn choose_source(gateway: &Gateway, now: Instant) -> Source {
    let watches = &gateway.watches;
    if watches.hosts.revision.get().is_none() {
        return Source::Store { until: None };
    }
    let settings = &gateway.settings;
    let roster = gateway.roster.borrow();
    let mut candidates =
        vec![ReaderCandidate { host: settings.host.clone(), serves_callers: true }];
    let others = roster.peers().filter(|(_, record)| record.shares_watches);
    candidates.extend(others.filter(|(_, record)| record.domain == settings.domain).map(
        |(host, record)| ReaderCandidate {
            host: host.clone(),
            serves_callers: record.serves_callers,
        },
    ));
    let ranked: Vec<HostId> =
        rank_readers(&settings.domain, &candidates).into_iter().cloned().collect();
    let is_in_reach = |host: &HostId| {
        let record = roster.peers().find(|(id, _)| *id == host);
        record.is_some_and(|(_, record)| !peers::is_suspect(gateway, record.address))
    };
    let is_followed = watches.is_followed();
    let following = watches.following.borrow();
    following.source(now, &settings.host, &ranked, is_followed, is_in_reach)
}

/// Stops or resumes the watches of the store when the source changes.
fn set_reader(gateway: &Gateway, source: &Source) {
    let watches = &gateway.watches;
    let reader = match source {
        Source::Reader(reader) => Some(reader.clone()),
        Source::Store { .. } => None,
    };
    if *watches.reader.borrow() == reader {
        return;
    }
    gateway.decisions.log(LineRate::Failure, "store_reader", json!({"reader": reader}));
    let has_reader = reader.is_some();
    *watches.reader.borrow_mut() = reader;
    if has_reader {
        watches.interrupted.notify(usize::MAX);
    } else {
        watches.resumed.notify(usize::MAX);
    }
}

/// Asks a reader for the changes since the last ones, and applies them.
async fn ask_reader(gateway: &Rc<Gateway>, reader: &HostId) {
    let watches = &gateway.watches;
    let revision_of = |collection| (collection, watches.of(collection).revision.get());
    let after = shared(gateway).map(revision_of).collect();
    let request = PeerRequest::FollowStore { after, wait: FOLLOW_WAIT };
    let asked_at = Instant::now();
    let reply = match roster::address_of(gateway, reader) {
        Some(address) => {
            let deadline = Instant::now() + FOLLOW_WAIT + FOLLOW_MARGIN;
            peers::send_request(gateway, address, &request, deadline).await
        }
        None => None,
    };
    let now = Instant::now();
    let Some(PeerReply::StoreChanges { collections, contact_age }) = reply else {
        gateway.metrics.count("store_follow_failed", 1);
        watches.following.borrow_mut().on_failure(now, rand::rng().random());
        return;
    };
    gateway.metrics.count("store_followed", 1);
    watches.following.borrow_mut().on_answer();
    // The store has answered the reader, so this host's own outage has ended as well.
    registrations::on_store_success(gateway);
    for (collection, news) in collections {
        let watched = watches.of(collection);
        let is_newer =
            |revision: Revision| watched.revision.get().is_none_or(|known| revision > known);
        let change_age = watched.age().unwrap_or_default() + READER_DELAY_MAX;
        match news {
            _ if !SHARED.contains(&collection) => continue,
            CollectionNews::Changes { changes, revision } if is_newer(revision) => {
                apply_changes(gateway, collection, changes, revision, change_age);
                watched.revision.set(Some(revision));
            }
            CollectionNews::State { objects, revision } if is_newer(revision) => {
                apply_listing(gateway, collection, &objects, revision, change_age);
                watched.revision.set(Some(revision));
            }
            CollectionNews::Changes { .. } | CollectionNews::State { .. } => {}
            CollectionNews::ReadStore => {
                watched.is_behind_reader.set(true);
                watches.following.borrow_mut().on_failure(now, 0.0);
                continue;
            }
        }
        watched.current_at.set(now.checked_sub(contact_age));
        if collection == Collection::Evacuations {
            gateway.evacuations.on_read(asked_at);
        }
        super::on_store_answer(gateway, collection);
    }
    if let Some(contact_at) = now.checked_sub(contact_age) {
        roster::record_contact_at(gateway, contact_at);
    }
}

/// Answers a host that asks for changes, as soon as there are some.
pub(crate) async fn news_for_follower(
    gateway: &Rc<Gateway>,
    after: Vec<(Collection, Option<Revision>)>,
    wait: Duration,
) -> PeerReply {
    if after.len() > SHARED.len() {
        // The state of each would be copied.
        log::warn!("a host asks for the changes of {} collections; ignoring it", after.len());
        return PeerReply::NotReading;
    }
    let watches = &gateway.watches;
    let deadline = Instant::now() + wait.min(FOLLOW_WAIT);
    watches.on_follower();
    let asked = after.iter().map(|(collection, _)| *collection);
    asked
        .filter(|collection| SHARED.contains(collection))
        .for_each(|collection| start_collection(gateway, collection));
    loop {
        let answered = watches.answered.listen();
        if gateway.stage.get() != Stage::Serving || watches.has_reader() {
            return PeerReply::NotReading;
        }
        let (now, last_answer) = (Instant::now(), watches.last_answer.get());
        match (news_after(watches, &after), last_answer) {
            (Some(collections), Some(last_answer)) if is_in_contact(now, Some(last_answer)) => {
                if now >= deadline || collections.iter().any(|(_, news)| news.is_worth_a_reply()) {
                    let contact_age = now.saturating_duration_since(last_answer);
                    return PeerReply::StoreChanges { collections, contact_age };
                }
            }
            _ if watches.is_beginning() && now < deadline => {}
            _ => return PeerReply::NotReading,
        }
        within(deadline, answered).await;
    }
}

/// Returns the news of each collection after a revision; `None` if one of them is not watched.
fn news_after(
    watches: &Watches,
    after: &[(Collection, Option<Revision>)],
) -> Option<Vec<(Collection, CollectionNews)>> {
    let news_of = |(collection, revision): &(Collection, Option<Revision>)| {
        let log = watches.of(*collection).log.borrow();
        let news = match log.as_ref()?.after(*revision) {
            ChangesAfter::Changes(changes, revision) => {
                CollectionNews::Changes { changes, revision }
            }
            ChangesAfter::State(objects, revision) => {
                let objects = objects.into_iter().filter_map(|change| match change {
                    Change::Put(object) => Some(object),
                    Change::Removed(_) => None,
                });
                CollectionNews::State { objects: objects.collect(), revision }
            }
            ChangesAfter::ReadStore => CollectionNews::ReadStore,
        };
        Some((*collection, news))
    };
    after.iter().map(news_of).collect()
}

impl ObjectChange for Change {
    fn name(&self) -> &str {
        match self {
            Self::Put(object) => &object.name,
            Self::Removed(name) => name,
        }
    }

    fn is_removal(&self) -> bool {
        matches!(self, Self::Removed(_))
    }
}
