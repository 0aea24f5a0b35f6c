//! Periodic sweeps: reads the host list, releases engine memory of ended programs, and finds
//! journals without an owner.
//!
//! When a program ends, its home releases the memory that engines hold for it. If the home fails
//! first or the release is lost, a sweep finds the memory: the dispatcher's host queries each
//! engine for the programs that it holds memory for, queries the homes of these programs, and
//! releases the memory of those that have ended.

use {
    crate::{
        control::{Control, dispatch, home::Home},
        journal_store,
        shared::Shared,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_clients::{Engine, UpstreamRecord},
    trefoilring_core::{
        catalog::ServiceKind,
        ids::{JournalId, ProgramId, ServiceId, UpstreamId, journal_of},
    },
    trefoilring_proto::PeerClient,
};

/// Interval between reads of the host list. Short, so that an upstream stops getting new work soon
/// after it is marked as leaving.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between sweeps of engine memory.
const MEMORY_SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Interval for listing the journals in the store. Only delegates list them.
const JOURNAL_SCAN_INTERVAL: Duration = Duration::from_secs(60);
/// Minimum idle time of memory to be released. Memory used more recently may belong to a program
/// whose creation is still in progress.
const MIN_IDLE: Duration = Duration::from_secs(5);
/// Timeout for queries of an engine, and for the query for ended programs.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Timers and cached state of the sweeps.
pub(super) struct Sweeper {
    next_host_list_read: Instant,
    next_memory_sweep: Instant,
    next_journal_scan: Instant,
    upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
    /// Journals that had an owner at some time, or were seen in the store.
    known_journals: BTreeSet<JournalId>,
}

impl Sweeper {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            next_host_list_read: now,
            next_memory_sweep: now + MEMORY_SWEEP_INTERVAL,
            next_journal_scan: now + MEMORY_SWEEP_INTERVAL,
            upstreams: BTreeMap::new(),
            known_journals: BTreeSet::new(),
        }
    }

    pub(super) fn next_wake(&self) -> Instant {
        self.next_host_list_read.min(self.next_memory_sweep).min(self.next_journal_scan)
    }

    pub(super) fn set_upstreams(&mut self, records: &[UpstreamRecord]) {
        self.upstreams = records.iter().map(|r| (r.upstream.clone(), r.clone())).collect();
    }

    /// Records the owned journals as known, and returns the known journals that have no owner at
    /// present.
    pub(super) fn unowned_journals(&mut self, owned: &BTreeSet<JournalId>) -> Vec<JournalId> {
        self.known_journals.extend(owned.iter().cloned());
        self.known_journals.difference(owned).cloned().collect()
    }

    /// Removes a deleted journal.
    pub(super) fn remove_journal(&mut self, journal: &JournalId) {
        self.known_journals.remove(journal);
    }
}

impl Control {
    pub(super) fn tick_sweeper(&mut self, now: Instant) {
        if now >= self.sweeper.next_host_list_read {
            self.sweeper.next_host_list_read = now + HOST_LIST_INTERVAL;
            self.shared.spawn(read_host_list(self.shared.clone()));
        }
        if now >= self.sweeper.next_memory_sweep {
            self.sweeper.next_memory_sweep = now + MEMORY_SWEEP_INTERVAL;
            self.sweep_engines();
            self.take_over_unowned(now);
            self.retire_journals(now);
        }
        if now >= self.sweeper.next_journal_scan {
            self.sweeper.next_journal_scan = now + JOURNAL_SCAN_INTERVAL;
            if self.membership.is_delegate() {
                self.shared.spawn(list_journals(self.shared.clone()));
            }
        }
    }

    /// Releases the engine memory of ended programs and removes them from the dispatchers.
    pub(super) fn release_ended_programs(&mut self) {
        for release in std::mem::take(&mut self.homes.pending_releases) {
            for upstream in &release.upstreams {
                let Some(record) = self.sweeper.upstreams.get(upstream) else { continue };
                let (upstream, program) = (upstream.clone(), release.program.clone());
                dispatch::release_memory(&self.shared, upstream, record.address, program);
            }
            self.dispatchers.on_program_ended(Instant::now(), &release.program);
        }
    }

    fn sweep_engines(&self) {
        let catalog = self.shared.catalog();
        let is_engine = |service: &ServiceId| {
            catalog.services.get(service).is_some_and(|s| s.kind == ServiceKind::Engine)
        };
        let is_local = |service: &ServiceId| {
            matches!(self.find_dispatcher(service), Ok(Home::Local)) && is_engine(service)
        };
        let local = self.sweeper.upstreams.values().filter(|record| is_local(&record.service));
        for record in local.cloned() {
            self.shared.spawn(sweep_engine(self.shared.clone(), record));
        }
    }

    fn on_journals_listed(&mut self, journals: Vec<JournalId>) {
        self.sweeper.known_journals.extend(journals);
        self.take_over_unowned(Instant::now());
    }
}

async fn read_host_list(shared: Arc<Shared>) {
    match shared.host_list.upstreams().await {
        Ok(records) => shared.control.submit(move |control| control.set_upstreams(records)),
        // The previous list stays in use.
        Err(error) => log::debug!("failed to read the host list: {error}"),
    }
}

async fn list_journals(shared: Arc<Shared>) {
    match journal_store::list(&shared).await {
        Ok(journals) => shared.control.submit(move |control| control.on_journals_listed(journals)),
        Err(error) => log::debug!("failed to list journals: {error}"),
    }
}

async fn sweep_engine(shared: Arc<Shared>, record: UpstreamRecord) {
    let engine = Engine::new(record.address).with_timeout(REQUEST_TIMEOUT);
    let Ok(held) = engine.cached_programs().await else { return };
    let min_idle_ms = MIN_IDLE.as_millis() as u64;
    let mut by_journal: BTreeMap<JournalId, Vec<ProgramId>> = BTreeMap::new();
    for program in held.into_iter().filter(|held| held.idle_ms >= min_idle_ms) {
        if let Some(journal) = journal_of(&program.program) {
            by_journal.entry(journal).or_default().push(program.program);
        }
    }
    for (journal, programs) in by_journal {
        for program in ended_programs(&shared, journal, programs).await {
            let upstream = record.upstream.clone();
            dispatch::release_memory(&shared, upstream, record.address, program);
        }
    }
}

/// Queries the home of a journal for the programs that have ended. Returns none if the home can't
/// be reached.
async fn ended_programs(
    shared: &Arc<Shared>,
    journal: JournalId,
    programs: Vec<ProgramId>,
) -> Vec<ProgramId> {
    let find = move |control: &mut Control, reply: super::Reply<_>| {
        let _ = reply.try_send(control.find_home(Some(&journal)));
    };
    match shared.control.request(find).await {
        Ok(Ok(Home::Local)) => {
            let find_ended = move |control: &mut Control, reply: super::Reply<_>| {
                let _ = reply.try_send(control.homes.ended(programs));
            };
            shared.control.request(find_ended).await.unwrap_or_default()
        }
        Ok(Ok(Home::Remote(address))) => {
            let link = shared.peers.link(address);
            let send = |client: PeerClient, context| async move {
                client.ended_programs(context, programs).await
            };
            link.call(REQUEST_TIMEOUT, send).await.unwrap_or_default()
        }
        Ok(Err(refusal)) if refusal.reason == trefoilring_core::verdict::Reason::NotFound => {
            // The journal no longer exists, so none of its programs is alive.
            programs
        }
        _ => Vec::new(),
    }
}
