//! Stores turns on this host's disk.

use {
    super::{RetainedTurn, TurnLookup, TurnWriteOutcome},
    crate::{files, gateway::Gateway, settings::GatewaySettings, time::within},
    event_listener::Event,
    serde_json::json,
    smol::channel::Sender,
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, HashSet},
        fs, io,
        path::{Path, PathBuf},
        rc::Rc,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::RequestId,
        turns::{DiskId, HeldTrees, InsertError, PullRound, TreeId, TurnHead, TurnIndex},
    },
    trefoilring_observe::decisions::LineRate,
    trefoilring_turnlog::{
        AppendError, Location, Opened, ReadError, RecordLog, RecordReader, SegmentId,
    },
};

/// Folder of the log in the data folder.
const LOG_FOLDER: &str = "turns";
/// File in the log's folder that identifies the disk's contents.
const IDENTITY_FILE: &str = "disk.json";
/// Part of the disk that the log may fill, in tenths. The rest is for other files.
const DISK_TENTHS: u64 = 9;
/// Maximum size of the turns that wait to be written. A disk that stalls must not fill the memory.
const PENDING_BYTES_MAX: usize = 24 * 1024 * 1024;
/// Maximum number of turns in a reply.
const REPLY_TURNS_MAX: usize = 1024;
/// Maximum number of turns in a list of held turns.
const LISTED_TURNS_MAX: usize = 4096;
/// Interval at which turns are forgotten whose time has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Identifies the contents of the disk.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
struct DiskIdentity {
    disk: DiskId,
    /// Whether this host has fetched what a lost disk held. True if no disk was lost.
    has_recovered: bool,
}

/// The turns on this host's disk.
pub(crate) struct TurnStore {
    folder: PathBuf,
    identity: Cell<DiskIdentity>,
    log: Arc<Mutex<RecordLog>>,
    reader: RecordReader,
    index: RefCell<TurnIndex<Location>>,
    pending: RefCell<Vec<PendingWrite>>,
    pending_bytes: Cell<usize>,
    has_pending: Event,
    pub(super) pull: RefCell<PullRound>,
    /// Notified when the other hosts have changed, or this host must ask them again.
    pub(super) must_pull: Event,
    /// Whether operators have asked to empty this host.
    pub(super) is_leaving: Cell<bool>,
    /// Whether this host takes turns.
    pub(super) is_accepting: Cell<bool>,
}

struct PendingWrite {
    turns: Vec<RetainedTurn>,
    reply: Sender<TurnWriteOutcome>,
}

impl TurnStore {
    /// Reads the turns from the disk.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be read or written.
    pub(super) fn open(data_folder: &Path, settings: &GatewaySettings) -> io::Result<Self> {
        let folder = data_folder.join(LOG_FOLDER);
        let mut identity = read_or_create_identity(&folder, settings.is_first_start)?;
        let bytes_max = settings.disk_bytes_max / 10 * DISK_TENTHS;
        let (mut index, now) = (TurnIndex::default(), Instant::now());
        let mut unreadable = 0;
        // How long ago the turns were stored is not known, since clocks may step: their time begins
        // again.
        let Opened { log, damaged, torn_bytes } =
            RecordLog::open(&folder, bytes_max, |location, record| {
                match rmp_serde::from_slice::<RetainedTurn>(record) {
                    Ok(turn) => {
                        unreadable += usize::from(index.insert(now, turn.head, location).is_err());
                    }
                    Err(error) => {
                        log::error!("a stored turn can't be decoded: {error}");
                        unreadable += 1;
                    }
                }
            })?;
        if damaged + unreadable > 0 {
            log::error!(
                "{}: {damaged} damaged and {unreadable} unusable records; fetching the turns from \
                 other hosts",
                folder.display()
            );
            identity.has_recovered = false;
        }
        if torn_bytes > 0 {
            log::warn!("{}: dropped {torn_bytes} bytes of unfinished writes", folder.display());
        }
        let reader = log.reader();
        Ok(Self {
            folder,
            identity: Cell::new(identity),
            log: Arc::new(Mutex::new(log)),
            reader,
            index: RefCell::new(index),
            pending: RefCell::default(),
            pending_bytes: Cell::new(0),
            has_pending: Event::new(),
            pull: RefCell::new(PullRound::new(identity.has_recovered)),
            must_pull: Event::new(),
            is_leaving: Cell::new(false),
            is_accepting: Cell::new(true),
        })
    }

    /// Returns the identity of the disk's contents.
    pub(super) fn disk(&self) -> DiskId {
        self.identity.get().disk
    }

    /// Returns whether a turn is stored.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.index.borrow().contains(id)
    }

    /// Returns the number of stored turns.
    pub(super) fn turn_count(&self) -> usize {
        self.index.borrow().len()
    }

    /// Returns the turns of the trees after `after`, about as many as asked for, and whether there are more.
    pub(super) fn held(&self, after: Option<&str>, turns_max: usize) -> (HeldTrees, bool) {
        let index = self.index.borrow();
        let mut trees: Vec<&TreeId> =
            index.trees().filter(|tree| after.is_none_or(|after| ***tree > *after)).collect();
        trees.sort_unstable();
        let (mut listed, mut count) = (Vec::new(), 0);
        let total = trees.len();
        for tree in trees {
            if count >= turns_max {
                break;
            }
            let turns = index.tree(tree).to_vec();
            count += turns.len();
            listed.push((tree.clone(), turns));
        }
        let has_more = listed.len() < total;
        (listed, has_more)
    }

    /// Returns whether turns wait to be written.
    pub(super) fn has_pending(&self) -> bool {
        self.pending_bytes.get() > 0
    }

    /// Records on disk that this host has fetched what a lost disk held.
    pub(super) async fn record_recovered(&self) {
        let identity = DiskIdentity { has_recovered: true, ..self.identity.get() };
        self.identity.set(identity);
        let folder = self.folder.clone();
        let written = smol::unblock(move || write_identity(&folder, identity)).await;
        if let Err(error) = written {
            // After a restart this host fetches the turns once more.
            log::error!("failed to write {IDENTITY_FILE}: {error}");
        }
    }

    /// Writes turns with the next batch.
    pub(super) async fn write(&self, turns: Vec<RetainedTurn>) -> TurnWriteOutcome {
        let bytes = self.pending_bytes.get() + turns.iter().map(RetainedTurn::bytes).sum::<usize>();
        if bytes > PENDING_BYTES_MAX {
            return TurnWriteOutcome::Failed;
        }
        let (reply, outcome) = smol::channel::bounded(1);
        // Empty turns count as well, so that `has_pending` sees them.
        self.pending_bytes.set(bytes + 1);
        self.pending.borrow_mut().push(PendingWrite { turns, reply });
        self.has_pending.notify(1);
        outcome.recv().await.unwrap_or(TurnWriteOutcome::Failed)
    }

    /// Writes what waits as one batch, and replies to those who wait for it.
    async fn write_pending(&self) {
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        let bytes: usize = pending.iter().map(|write| 1 + write.bytes()).sum();
        let mut batch = Batch::default();
        let outcomes: Vec<Result<(), InsertError>> = {
            let index = self.index.borrow();
            pending.iter().map(|write| batch.add_all(&index, &write.turns)).collect()
        };
        let written = self.append(batch).await;
        for (write, outcome) in pending.into_iter().zip(outcomes) {
            let outcome = match outcome {
                Ok(()) => written,
                Err(error) => error.into(),
            };
            // Fails if the peer no longer waits.
            let _ = write.reply.try_send(outcome);
        }
        self.pending_bytes.set(self.pending_bytes.get() - bytes);
    }

    async fn append(&self, batch: Batch) -> TurnWriteOutcome {
        let Batch { heads, records, .. } = batch;
        if records.is_empty() {
            return TurnWriteOutcome::Stored;
        }
        let log = self.log.clone();
        let appended = smol::unblock(move || lock(&log).append(&records)).await;
        let locations = match appended {
            Ok(locations) => locations,
            Err(AppendError::Full { .. }) => return TurnWriteOutcome::Full,
            Err(error) => {
                log::error!("failed to store {} turns: {error}", heads.len());
                return TurnWriteOutcome::Failed;
            }
        };
        let now = Instant::now();
        let mut index = self.index.borrow_mut();
        for (head, location) in heads.into_iter().zip(locations) {
            if let Err(error) = index.insert(now, head, location) {
                log::error!("failed to index a stored turn: {error}");
                return TurnWriteOutcome::Failed;
            }
        }
        TurnWriteOutcome::Stored
    }

    /// Reads turns from the disk until they have `bytes_max`, but at least one. Returns an error if one of
    /// them can't be read.
    async fn read(
        &self,
        turns: Vec<(RequestId, Location)>,
        bytes_max: usize,
    ) -> Result<Vec<RetainedTurn>, ()> {
        let reader = self.reader.clone();
        let outcome = smol::unblock(move || {
            let (mut read, mut bytes) = (Vec::new(), 0);
            for (id, location) in turns {
                if bytes >= bytes_max && !read.is_empty() {
                    break;
                }
                let turn = read_turn(&reader, location).map_err(|error| (id, error))?;
                bytes += turn.bytes();
                read.push(turn);
            }
            Ok(read)
        });
        outcome.await.map_err(|(id, error): (RequestId, ReadError)| {
            log::error!("failed to read turn {id}: {error}");
            if matches!(error, ReadError::Damaged) {
                self.index.borrow_mut().remove_damaged(&id);
                self.pull.borrow_mut().on_damage();
                self.must_pull.notify(usize::MAX);
            }
        })
    }

    /// Forgets the turns whose time has passed, and frees the space of segments without others.
    async fn expire(&self) {
        let forgotten = self.index.borrow_mut().expire(Instant::now());
        if forgotten == 0 {
            return;
        }
        let needed: HashSet<SegmentId> =
            self.index.borrow().locations().map(|location| location.segment).collect();
        let log = self.log.clone();
        let removed =
            smol::unblock(move || lock(&log).remove_segments(|segment| needed.contains(&segment)));
        if let Err(error) = removed.await {
            log::error!(
                "failed to remove segments of forgotten turns; trying again later: {error}"
            );
        }
    }
}

impl PendingWrite {
    fn bytes(&self) -> usize {
        self.turns.iter().map(RetainedTurn::bytes).sum()
    }
}

/// Turns that are written with one sync.
#[derive(Default)]
struct Batch {
    heads: Vec<TurnHead>,
    records: Vec<Vec<u8>>,
    positions: HashMap<RequestId, usize>,
}

impl Batch {
    /// Adds turns that are not stored yet.
    fn add_all(
        &mut self,
        index: &TurnIndex<Location>,
        turns: &[RetainedTurn],
    ) -> Result<(), InsertError> {
        turns.iter().try_for_each(|turn| self.add(index, turn))
    }

    fn add(&mut self, index: &TurnIndex<Location>, turn: &RetainedTurn) -> Result<(), InsertError> {
        if let Some(position) = self.positions.get(&turn.head.id) {
            let is_same = self.heads[*position].is_same_turn(&turn.head);
            return if is_same { Ok(()) } else { Err(InsertError::Conflict) };
        }
        let follows_batch =
            turn.head.previous.as_ref().is_some_and(|id| self.positions.contains_key(id));
        match index.check(&turn.head) {
            Ok(false) => return Ok(()),
            Ok(true) => {}
            Err(InsertError::MissingPrevious) if follows_batch => {}
            Err(error) => return Err(error),
        }
        match rmp_serde::to_vec_named(turn) {
            Ok(record) => {
                self.positions.insert(turn.head.id.clone(), self.heads.len());
                self.heads.push(turn.head.clone());
                self.records.push(record);
                Ok(())
            }
            Err(error) => {
                log::error!("failed to serialize turn {}: {error}", turn.head.id);
                Err(InsertError::Conflict)
            }
        }
    }
}

fn lock(log: &Mutex<RecordLog>) -> MutexGuard<'_, RecordLog> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read_turn(reader: &RecordReader, location: Location) -> Result<RetainedTurn, ReadError> {
    let record = reader.read(location)?;
    rmp_serde::from_slice(&record).map_err(|_| ReadError::Damaged)
}

fn read_or_create_identity(folder: &Path, is_first_start: bool) -> io::Result<DiskIdentity> {
    match fs::read(folder.join(IDENTITY_FILE)) {
        Ok(bytes) => match serde_json::from_slice(&bytes) {
            Ok(identity) => return Ok(identity),
            Err(error) => log::error!(
                "{}: {IDENTITY_FILE} can't be decoded; treating the disk as lost: {error}",
                folder.display()
            ),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(error),
    }
    let identity = DiskIdentity { disk: rand::random(), has_recovered: is_first_start };
    write_identity(folder, identity)?;
    Ok(identity)
}

fn write_identity(folder: &Path, identity: DiskIdentity) -> io::Result<()> {
    files::replace(folder, IDENTITY_FILE, &serde_json::to_vec(&identity)?)
}

/// Starts to write and to forget turns.
pub(super) fn start(gateway: &Rc<Gateway>) {
    gateway.spawn(maintain_log(gateway.clone()));
}

/// Writes and forgets turns. Never both at once: a segment counts as needed only once the index has
/// its turns, which is after they are written.
async fn maintain_log(gateway: Rc<Gateway>) {
    let Some(store) = &gateway.turns.store else { return };
    let mut expire_at = Instant::now() + EXPIRY_INTERVAL;
    loop {
        let has_pending = store.has_pending.listen();
        if store.pending.borrow().is_empty() {
            within(expire_at, has_pending).await;
        }
        store.write_pending().await;
        if Instant::now() >= expire_at {
            store.expire().await;
            expire_at = Instant::now() + EXPIRY_INTERVAL;
        }
    }
}

/// Writes turns to this host's disk.
pub(crate) async fn store_here(
    gateway: &Rc<Gateway>,
    turns: Vec<RetainedTurn>,
) -> TurnWriteOutcome {
    let Some(store) = &gateway.turns.store else { return TurnWriteOutcome::Failed };
    if !store.is_accepting.get() {
        return TurnWriteOutcome::Leaving;
    }
    let (began, count) = (Instant::now(), turns.len());
    let outcome = store.write(turns).await;
    let took = began.elapsed();
    gateway.metrics.count("turns_written", count as i64);
    if outcome != TurnWriteOutcome::Stored {
        gateway.metrics.count("turn_writes_failed", 1);
        gateway.decisions.log(
            LineRate::Failure,
            "turn_write",
            json!({"turns": count, "outcome": outcome, "took_ms": took.as_millis() as u64}),
        );
    }
    outcome
}

/// Reads a turn of a team and those before it from this host's disk, until they have `bytes_max`. With no
/// bytes to read, only tells whether this host holds the turn.
pub(crate) async fn find_here(
    gateway: &Rc<Gateway>,
    id: &str,
    team: &str,
    bytes_max: usize,
) -> TurnLookup {
    // A host without a store has nothing to lose.
    let Some(store) = &gateway.turns.store else { return TurnLookup::Absent { is_complete: true } };
    let chain: Vec<(RequestId, Location)> = {
        let index = store.index.borrow();
        match index.get(id) {
            // Another team's turn looks like one that does not exist.
            Some((head, _)) if *head.team == *team => {
                let chain = index.chain(id).take(REPLY_TURNS_MAX);
                chain.map(|(head, location)| (head.id.clone(), location)).collect()
            }
            _ => Vec::new(),
        }
    };
    if chain.is_empty() {
        return TurnLookup::Absent { is_complete: store.pull.borrow().has_recovered() };
    }
    if bytes_max == 0 {
        return TurnLookup::Found { turns: Vec::new(), rest: Some(id.into()) };
    }
    match store.read(chain, bytes_max).await {
        Ok(turns) => {
            let rest = turns.last().and_then(|turn| turn.head.previous.clone());
            TurnLookup::Found { turns, rest }
        }
        Err(()) => TurnLookup::Unreadable,
    }
}

/// Reads turns from this host's disk until they have `bytes_max`, without those that it does not hold.
/// Returns them with the number of ids that were looked up.
pub(crate) async fn fetch_here(
    gateway: &Gateway,
    ids: &[RequestId],
    bytes_max: usize,
) -> (Vec<RetainedTurn>, usize) {
    let Some(store) = &gateway.turns.store else { return (Vec::new(), ids.len()) };
    let held: Vec<(RequestId, Location)> = {
        let index = store.index.borrow();
        let located = ids.iter().map(|id| index.get(id).map(|(_, at)| (id.clone(), at)));
        located.take_while(Option::is_some).flatten().collect()
    };
    if held.is_empty() {
        // The first one is not held any more.
        return (Vec::new(), ids.len().min(1));
    }
    match store.read(held, bytes_max).await {
        Ok(turns) => {
            let tried = turns.len();
            (turns, tried)
        }
        Err(()) => (Vec::new(), 0),
    }
}

/// Returns the turns that this host holds, of the trees after `after`, and whether there are more.
pub(crate) fn held_here(gateway: &Gateway, after: Option<&str>) -> (HeldTrees, bool) {
    let Some(store) = &gateway.turns.store else { return (Vec::new(), false) };
    store.held(after, LISTED_TURNS_MAX)
}
