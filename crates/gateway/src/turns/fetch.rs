//! Fetches a turn and those before it from the store hosts that hold them.
//!
//! `trefoilring_core::turns::ChainSearch` decides whom to ask. What has come stays in the cache of turns if
//! the caller's time ends before the chain is complete, so that the caller's next attempt goes on from
//! there.

use {
    super::{
        CachedTurn, Holder, RetainedTurn, TurnLookup,
        cache::{PartialChain, TurnCache},
    },
    crate::http::Progress,
    futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
    smol::{
        Timer,
        lock::{Semaphore, SemaphoreGuard},
    },
    std::{
        cell::RefCell,
        collections::BTreeMap,
        future::pending,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{HostId, RequestId},
        turns::{ChainSearch, HolderReply, TransferRate},
    },
};

/// Maximum number of chains that are fetched at the same time. More of them would only share the link,
/// so that all take longer.
const TRANSFERS_MAX: usize = 4;
/// Maximum number of turns in a chain. A reply that leads further is not followed.
const CHAIN_TURNS_MAX: usize = 10_000;

/// The transfers of turns between this host and others.
pub(super) struct Transfers {
    /// Limits those to this host.
    slots: Semaphore,
    /// Rate of those to this host.
    received: RefCell<TransferRate>,
    /// Rate of those to other hosts.
    sent: RefCell<TransferRate>,
}

impl Default for Transfers {
    fn default() -> Self {
        let slots = Semaphore::new(TRANSFERS_MAX);
        Self { slots, received: RefCell::default(), sent: RefCell::default() }
    }
}

impl Transfers {
    /// Waits until another transfer to this host may begin. It may run until the guard is dropped.
    pub(super) async fn begin(&self) -> SemaphoreGuard<'_> {
        self.slots.acquire().await
    }

    /// Returns the number of bytes to request at once.
    pub(super) fn part_bytes(&self) -> usize {
        self.received.borrow().part_bytes()
    }

    /// Records how long turns took that were requested.
    pub(super) fn on_received(&self, bytes: usize, took: Duration) {
        self.received.borrow_mut().on_transfer(bytes, took);
    }

    /// Returns how long turns should take to another host.
    pub(super) fn duration_to_send(&self, bytes: usize) -> Duration {
        self.sent.borrow().duration_of(bytes)
    }

    /// Records how long turns took that another host has stored.
    pub(super) fn on_sent(&self, bytes: usize, took: Duration) {
        self.sent.borrow_mut().on_transfer(bytes, took);
    }
}

/// What is asked of a holder: a turn and those before it, up to a number of bytes. With no bytes, only
/// whether it holds the turn.
pub(super) struct Question {
    pub(super) holder: Holder,
    pub(super) turn: RequestId,
    pub(super) bytes_max: usize,
    pub(super) progress: Progress,
}

/// Sends a question. Returns `None` if no reply came.
pub(super) type Ask<'a> = &'a dyn Fn(Question) -> LocalBoxFuture<'a, Option<TurnLookup>>;

/// How a chain was fetched, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FetchReport {
    pub(super) bytes: usize,
    /// Bytes that an earlier attempt had fetched.
    pub(super) resumed_bytes: usize,
    pub(super) parts: usize,
    /// Hosts that have sent parts or were to do so.
    pub(super) sources: usize,
}

/// A chain that is being fetched. What has come is kept in the cache when it is dropped.
pub(super) struct ChainFetch<'a> {
    cache: &'a RefCell<TurnCache>,
    transfers: &'a Transfers,
    ask: Ask<'a>,
    id: RequestId,
    team: &'a str,
    /// The turns that have come, the newest first.
    turns: Vec<RetainedTurn>,
    /// The turn before the last one of `turns`, if it is remembered.
    remembered: Option<Rc<CachedTurn>>,
    pub(super) report: FetchReport,
}

/// A request for a part of the chain.
struct PartRequest<'a> {
    source: HostId,
    turn: RequestId,
    began: Instant,
    progress: Progress,
    reply: LocalBoxFuture<'a, Option<TurnLookup>>,
}

enum Event {
    Part(Option<TurnLookup>),
    Located(HostId, Option<TurnLookup>),
    Timer,
}

impl<'a> ChainFetch<'a> {
    /// Begins to fetch a turn of a team and those before it. Goes on where an earlier fetch stopped.
    pub(super) fn new(
        cache: &'a RefCell<TurnCache>,
        transfers: &'a Transfers,
        ask: Ask<'a>,
        id: &str,
        team: &'a str,
    ) -> Self {
        let partial = cache.borrow_mut().take_partial(id, team);
        let turns = partial.map(|partial| partial.turns).unwrap_or_default();
        let resumed_bytes = turns.iter().map(RetainedTurn::bytes).sum();
        let report = FetchReport { resumed_bytes, ..FetchReport::default() };
        Self { cache, transfers, ask, id: id.into(), team, turns, remembered: None, report }
    }

    /// Fetches the chain from the hosts of a search, each of which is in `holders`. Returns whether it is
    /// complete; if not, no host is left that may send the rest.
    pub(super) async fn run(
        &mut self,
        search: &mut ChainSearch,
        holders: &BTreeMap<HostId, Holder>,
    ) -> bool {
        let mut slot = self.transfers.slots.try_acquire();
        // A host that does not have the rest of a chain says nothing about its newest turn.
        if slot.is_some() && self.turns.is_empty() {
            search.assume_source(Instant::now());
        }
        let mut questions = FuturesUnordered::new();
        let mut part: Option<PartRequest<'a>> = None;
        let mut last_source: Option<HostId> = None;
        loop {
            if let Some(part) = &part {
                search.on_heard(part.progress.last_at());
            }
            for host in search.poll(Instant::now()) {
                match holders.get(&host) {
                    Some(holder) => questions.push(self.locate(holder.clone())),
                    None => search.on_failed(Instant::now(), &host, HolderReply::Unknown),
                }
            }
            if search.is_over() {
                return false;
            }
            // A silent source holds up no other transfer.
            slot.take_if(|_| search.is_silent(Instant::now()));
            match search.source() {
                None => part = None,
                Some(source) if part.as_ref().is_some_and(|part| part.source == *source) => {}
                Some(source) => {
                    let source = source.clone();
                    if slot.is_none() {
                        slot = Some(self.transfers.begin().await);
                        search.on_heard(Instant::now());
                    }
                    self.report.sources += usize::from(last_source.as_ref() != Some(&source));
                    last_source = Some(source.clone());
                    part = holders.get(&source).map(|holder| self.request_part(holder));
                    if part.is_none() {
                        search.on_failed(Instant::now(), &source, HolderReply::Unknown);
                    }
                }
            }
            match next_event(&mut part, &mut questions, search.wake_at()).await {
                Event::Timer => {}
                Event::Located(host, Some(TurnLookup::Found { .. })) => {
                    search.on_holds(Instant::now(), &host);
                }
                Event::Located(host, lookup) => {
                    search.on_failed(
                        Instant::now(),
                        &host,
                        reply_without_turn(lookup.as_ref(), true),
                    );
                }
                Event::Part(lookup) => {
                    let Some(ended) = part.take() else { continue };
                    search.on_heard(Instant::now());
                    match self.on_part(&ended, lookup) {
                        Ok(()) if self.next().is_none() => return true,
                        Ok(()) => {}
                        Err(reply) => search.on_failed(Instant::now(), &ended.source, reply),
                    }
                }
            }
        }
    }

    /// Returns the chain once it is complete: its turns, the newest first, and the turn before them, if
    /// it was remembered.
    pub(super) fn take(&mut self) -> (Vec<RetainedTurn>, Option<Rc<CachedTurn>>) {
        (std::mem::take(&mut self.turns), self.remembered.take())
    }

    /// Returns the turn that is fetched next. `None` if the chain is complete.
    fn next(&self) -> Option<RequestId> {
        match self.turns.last() {
            None => Some(self.id.clone()),
            Some(_) if self.remembered.is_some() => None,
            Some(oldest) => oldest.head.previous.clone(),
        }
    }

    fn locate(&self, holder: Holder) -> LocalBoxFuture<'a, (HostId, Option<TurnLookup>)> {
        let host = holder.host.clone();
        let (turn, progress) = (self.id.clone(), Progress::begin());
        let reply = (self.ask)(Question { holder, turn, bytes_max: 0, progress });
        Box::pin(async move { (host, reply.await) })
    }

    fn request_part(&self, holder: &Holder) -> PartRequest<'a> {
        let turn = self.next().unwrap_or_else(|| self.id.clone());
        let (began, progress) = (Instant::now(), Progress::begin());
        let question = Question {
            holder: holder.clone(),
            turn: turn.clone(),
            bytes_max: self.transfers.part_bytes(),
            progress: progress.clone(),
        };
        PartRequest {
            source: holder.host.clone(),
            turn,
            began,
            progress,
            reply: (self.ask)(question),
        }
    }

    /// Adds a part to the chain. Returns what the host's reply means if it is none.
    fn on_part(
        &mut self,
        part: &PartRequest<'a>,
        lookup: Option<TurnLookup>,
    ) -> Result<(), HolderReply> {
        let Some(TurnLookup::Found { turns, .. }) = lookup else {
            // The rest of a chain may be forgotten meanwhile.
            return Err(reply_without_turn(lookup.as_ref(), self.turns.is_empty()));
        };
        if !self.follows(&turns) {
            log::error!("host {} replied with other turns than {}", part.source, part.turn);
            return Err(HolderReply::Unknown);
        }
        let bytes = turns.iter().map(RetainedTurn::bytes).sum();
        self.transfers.on_received(bytes, part.began.elapsed());
        self.report.parts += 1;
        self.report.bytes += bytes;
        self.turns.extend(turns);
        let next = self.next();
        let mut cache = self.cache.borrow_mut();
        let remembered = next.and_then(|next| cache.get(&next));
        self.remembered = remembered.filter(|turn| *turn.turn.head.team == *self.team);
        Ok(())
    }

    /// Returns whether turns are the next ones of the chain, the newest first.
    fn follows(&self, turns: &[RetainedTurn]) -> bool {
        let follows =
            |pair: &[RetainedTurn]| pair[0].head.previous.as_ref() == Some(&pair[1].head.id);
        turns.first().is_some_and(|newest| Some(&newest.head.id) == self.next().as_ref())
            && self.turns.len() + turns.len() <= CHAIN_TURNS_MAX
            && turns.iter().all(|turn| *turn.head.team == *self.team)
            && turns.windows(2).all(follows)
    }
}

impl Drop for ChainFetch<'_> {
    fn drop(&mut self) {
        if !self.turns.is_empty() {
            let turns = std::mem::take(&mut self.turns);
            self.cache.borrow_mut().insert_partial(PartialChain { turns });
        }
    }
}

/// Returns what a reply without the turn means. Only a host that does not have the newest turn of a chain
/// says something about its existence.
fn reply_without_turn(lookup: Option<&TurnLookup>, is_newest: bool) -> HolderReply {
    match lookup {
        Some(TurnLookup::Absent { is_complete }) if is_newest => {
            HolderReply::Absent { is_complete: *is_complete }
        }
        _ => HolderReply::Unknown,
    }
}

async fn next_event<'a>(
    part: &mut Option<PartRequest<'a>>,
    questions: &mut FuturesUnordered<LocalBoxFuture<'a, (HostId, Option<TurnLookup>)>>,
    wake_at: Option<Instant>,
) -> Event {
    let part = async {
        match part {
            Some(part) => Event::Part(part.reply.as_mut().await),
            None => pending().await,
        }
    };
    let located = async {
        match questions.next().await {
            Some((host, lookup)) => Event::Located(host, lookup),
            None => pending().await,
        }
    };
    let timer = async {
        match wake_at {
            Some(at) => Timer::at(at).await,
            None => pending().await,
        };
        Event::Timer
    };
    smol::future::or(part, smol::future::or(located, timer)).await
}
