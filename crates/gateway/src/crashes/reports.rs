//! Reports of crashes between hosts.
//!
//! Two hosts collect the crashes of a service, chosen by rendezvous hashing, so that a crash costs
//! two messages for each host that had requests at the upstream, at any number of hosts. They are
//! hosts with disks, where there are any: those outlive the loss of all processes. Only the blame of
//! content, which is rare, is announced to all hosts. Each host also asks another one for its blamed
//! contents at intervals, which covers restarts and lost announcements.

use {
    super::{disk, log_content},
    crate::{
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
        time::within,
    },
    futures_util::future::join_all,
    rand::{RngExt, seq::IndexedRandom},
    serde_json::json,
    smol::{Timer, channel::Sender},
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        crashes::{CrashedAttempt, UpstreamCrash},
        ids::{ContentHash, ServiceId, UpstreamId},
        rendezvous::rank,
    },
    trefoilring_observe::decisions::LineRate,
};

/// Number of hosts that collect the crashes of a service. With two, a restart of one loses none.
const COLLECTORS: usize = 2;
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time that the requests of the reporting host wait for a collector's reply.
const REPLY_WAIT_MAX: Duration = Duration::from_millis(50);
/// Maximum number of attempts in one report.
const ATTEMPTS_MAX: usize = 64;
/// Minimum time between two announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Mean interval at which a host asks another one for its blamed contents.
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// First pause of a host that knows no other host yet. Doubles up to [`SYNC_INTERVAL`].
const FIRST_SYNC_PAUSE: Duration = Duration::from_millis(20);
/// Time after its start at which a host is ready even if no other host has replied.
const FIRST_SYNC_MAX: Duration = Duration::from_secs(1);
/// Timeout of a request for the blamed contents.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);

/// A crash, as it is sent to the collectors. Times are relative to the moment of sending, because
/// the hosts' clocks differ.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct CrashReport {
    service: ServiceId,
    upstream: UpstreamId,
    upstream_count: usize,
    /// Content, time since it was sent, and time since its connection broke.
    attempts: Vec<(ContentHash, Duration, Duration)>,
}

impl CrashReport {
    fn new(now: Instant, crash: &UpstreamCrash) -> Self {
        let relative = |attempt: &CrashedAttempt| {
            (attempt.content, now - attempt.sent_at, now - attempt.broke_at)
        };
        Self {
            service: crash.service.clone(),
            upstream: crash.upstream.clone(),
            upstream_count: crash.upstream_count,
            attempts: crash.attempts.iter().take(ATTEMPTS_MAX).map(relative).collect(),
        }
    }

    fn into_crash(self, now: Instant) -> UpstreamCrash {
        let at = |ago: Duration| now.checked_sub(ago).unwrap_or(now);
        let attempts = self.attempts.into_iter().take(ATTEMPTS_MAX);
        let absolute = |(content, sent_ago, broke_ago)| CrashedAttempt {
            content,
            sent_at: at(sent_ago),
            broke_at: at(broke_ago),
        };
        UpstreamCrash {
            service: self.service,
            upstream: self.upstream,
            upstream_count: self.upstream_count,
            attempts: attempts.map(absolute).collect(),
        }
    }
}

/// Changes that were not announced to the other hosts yet.
#[derive(Default)]
pub(crate) struct Announcements {
    blamed: Vec<ContentHash>,
    cleared: Vec<ContentHash>,
    is_sending: bool,
}

impl Announcements {
    /// Takes the changes as messages. Ends the sending if there are none. `rest_of` returns for how
    /// long a content is still blamed.
    fn take(&mut self, rest_of: impl Fn(ContentHash) -> Option<Duration>) -> Vec<PeerRequest> {
        let blamed = std::mem::take(&mut self.blamed).into_iter();
        let contents: Vec<(ContentHash, Duration)> =
            blamed.filter_map(|content| Some((content, rest_of(content)?))).collect();
        let cleared = std::mem::take(&mut self.cleared);
        let mut requests = Vec::new();
        if !contents.is_empty() {
            requests.push(PeerRequest::BlameContents { contents });
        }
        if !cleared.is_empty() {
            requests.push(PeerRequest::ClearContents { contents: cleared });
        }
        self.is_sending = !requests.is_empty();
        requests
    }
}

/// Starts to exchange blamed contents with other hosts.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    gateway.spawn(sync(gateway.clone()));
    let waiting = gateway.clone();
    gateway.spawn(async move {
        Timer::after(FIRST_SYNC_MAX).await;
        waiting.has_synced_blame.set(true);
    });
}

/// Reports a crash to its collectors. Returns when one of them has replied, or after
/// [`REPLY_WAIT_MAX`].
pub(super) async fn report(gateway: &Rc<Gateway>, crash: UpstreamCrash) {
    gateway.metrics.count("upstream_crashes", 1);
    let contents: Vec<ContentHash> = crash.attempts.iter().map(|attempt| attempt.content).collect();
    let collectors = collectors(gateway, &crash.service);
    gateway.decisions.log(
        LineRate::Failure,
        "upstream",
        json!({
            "upstream": crash.upstream,
            "service": crash.service,
            "what": "crashed",
            "contents": contents.iter().map(|content| format!("{content:016x}")).collect::<Vec<_>>(),
            "reported_to": collectors,
        }),
    );
    gateway.crash_watch.borrow_mut().log.record(Instant::now(), &crash);
    let is_collector = collectors.contains(&None);
    if is_collector {
        judge(gateway, &contents);
        disk::save_later(gateway);
    }
    let others: Vec<SocketAddr> = collectors.into_iter().flatten().collect();
    if others.is_empty() {
        return;
    }
    let (sender, replies) = smol::channel::bounded(others.len());
    let unanswered = Rc::new(RefCell::new(others.len()));
    for address in others {
        let delivery = Delivery {
            address,
            crash: crash.clone(),
            is_collector,
            unanswered: unanswered.clone(),
            sender: sender.clone(),
        };
        gateway.spawn(deliver(gateway.clone(), delivery));
    }
    drop(sender);
    if !is_collector {
        // Fails when no collector has replied.
        let _ = within(Instant::now() + REPLY_WAIT_MAX, replies.recv()).await;
    }
}

/// The delivery of a report to one of its collectors.
struct Delivery {
    address: SocketAddr,
    crash: UpstreamCrash,
    /// Whether the reporting host is a collector, too.
    is_collector: bool,
    /// Number of collectors that have not replied, shared by all deliveries of a report.
    unanswered: Rc<RefCell<usize>>,
    sender: Sender<()>,
}

async fn deliver(gateway: Rc<Gateway>, delivery: Delivery) {
    let Delivery { address, crash, is_collector, unanswered, sender } = delivery;
    let report = CrashReport::new(Instant::now(), &crash);
    let request = PeerRequest::ReportCrash { report };
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let reply = peers::send_request(&gateway, address, &request, deadline).await;
    if let Some(PeerReply::Blamed { contents }) = reply {
        adopt_blame(&gateway, contents);
        // The reporting host may have stopped to wait.
        let _ = sender.try_send(());
        return;
    }
    *unanswered.borrow_mut() -= 1;
    if *unanswered.borrow() == 0 && !is_collector {
        // No collector can be reached, so this host decides with what it knows.
        let contents: Vec<ContentHash> =
            crash.attempts.iter().map(|attempt| attempt.content).collect();
        judge(&gateway, &contents);
    }
}

/// Records a report of another host, on disk if there is one. Returns the contents in it that are
/// blamed.
pub(crate) async fn collect_report(
    gateway: &Rc<Gateway>,
    report: CrashReport,
) -> Vec<(ContentHash, Duration)> {
    let now = Instant::now();
    let crash = report.into_crash(now);
    let contents: Vec<ContentHash> = crash.attempts.iter().map(|attempt| attempt.content).collect();
    gateway.crash_watch.borrow_mut().log.record(now, &crash);
    judge(gateway, &contents);
    disk::save(gateway).await;
    let (now, log) = (Instant::now(), &gateway.crash_watch.borrow().log);
    let blamed = |content: &ContentHash| Some((*content, log.blamed_for(now, *content)?));
    contents.iter().filter_map(blamed).collect()
}

/// Decides whether contents that took part in a crash are to blame, and announces those that are.
fn judge(gateway: &Rc<Gateway>, contents: &[ContentHash]) {
    let now = Instant::now();
    for &content in contents {
        let is_newly_blamed = gateway.crash_watch.borrow_mut().log.judge(now, content);
        if is_newly_blamed {
            log_content(gateway, content, "blamed", "crashes");
            gateway.crash_watch.borrow_mut().announcements.blamed.push(content);
        }
    }
    announce(gateway);
}

/// Blames contents that another host blames.
pub(crate) fn adopt_blame(gateway: &Rc<Gateway>, contents: Vec<(ContentHash, Duration)>) {
    let now = Instant::now();
    let mut has_changed = false;
    for (content, rest) in contents {
        if gateway.crash_watch.borrow_mut().log.adopt_blame(now, content, rest) {
            log_content(gateway, content, "blamed", "peer");
            has_changed = true;
        }
    }
    if has_changed {
        disk::save_later(gateway);
    }
}

/// Clears a content that got a complete answer at another host.
pub(crate) fn clear_content(gateway: &Rc<Gateway>, content: ContentHash) {
    let was_suspected = {
        let log = &mut gateway.crash_watch.borrow_mut().log;
        log.record_cleared(Instant::now(), content);
        log.clear(content)
    };
    if was_suspected {
        log_content(gateway, content, "cleared", "peer");
    }
    disk::save_later(gateway);
}

/// Returns the contents that this host blames.
pub(crate) fn blamed_contents(gateway: &Gateway) -> Vec<(ContentHash, Duration)> {
    gateway.crash_watch.borrow().log.blamed(Instant::now())
}

/// Tells the collectors that a content got a complete answer, and all hosts if it was blamed.
pub(super) fn announce_cleared(
    gateway: &Rc<Gateway>,
    service: &ServiceId,
    content: ContentHash,
    was_blamed: bool,
) {
    if was_blamed {
        gateway.crash_watch.borrow_mut().announcements.cleared.push(content);
        announce(gateway);
        return;
    }
    let request = PeerRequest::ClearContents { contents: vec![content] };
    for address in collectors(gateway, service).into_iter().flatten() {
        gateway.spawn(peers::send_announcement(gateway.clone(), address, request.clone()));
    }
}

/// Announces the changes to all hosts, unless that is under way.
fn announce(gateway: &Rc<Gateway>) {
    let announcements = &mut gateway.crash_watch.borrow_mut().announcements;
    let is_empty = announcements.blamed.is_empty() && announcements.cleared.is_empty();
    if !is_empty && !announcements.is_sending {
        announcements.is_sending = true;
        gateway.spawn(send_announcements(gateway.clone()));
    }
}

async fn send_announcements(gateway: Rc<Gateway>) {
    loop {
        let requests = {
            let watch = &mut *gateway.crash_watch.borrow_mut();
            let (now, log) = (Instant::now(), &watch.log);
            watch.announcements.take(|content| log.blamed_for(now, content))
        };
        if requests.is_empty() {
            return;
        }
        peers::announce(&gateway, requests);
        Timer::after(ANNOUNCEMENT_INTERVAL).await;
    }
}

/// Asks other hosts for their blamed contents, all kinds of hosts at the start and a random one
/// from then on.
async fn sync(gateway: Rc<Gateway>) {
    let mut pause = FIRST_SYNC_PAUSE;
    while !sync_at_start(&gateway).await {
        Timer::after(pause).await;
        pause = (pause * 2).min(SYNC_INTERVAL);
    }
    gateway.has_synced_blame.set(true);
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        Timer::after(SYNC_INTERVAL.mul_f64(jitter)).await;
        gateway.crash_watch.borrow_mut().log.expire(Instant::now());
        let peers: Vec<SocketAddr> =
            gateway.roster.borrow().peers().map(|(_, record)| record.address).collect();
        if let Some(address) = peers.choose(&mut rand::rng()) {
            sync_with(&gateway, *address).await;
        }
    }
}

/// Asks hosts with disks and others. Returns whether one with a disk has replied, or any other if none
/// has a disk, or there is no other host. Hosts without disks may have forgotten all at the same
/// moment.
async fn sync_at_start(gateway: &Rc<Gateway>) -> bool {
    let (with_disk, without_disk): (Vec<_>, Vec<_>) = {
        let roster = gateway.roster.borrow();
        if roster.is_listed() && roster.peers().next().is_none() {
            return true;
        }
        let records =
            roster.peers().map(|(_, record)| (record.address, record.turn_store.is_some()));
        records.partition(|(_, has_disk)| *has_disk)
    };
    let has_reply_without_disk = sync_with_some(gateway, &without_disk).await;
    match with_disk.is_empty() {
        true => has_reply_without_disk,
        false => sync_with_some(gateway, &with_disk).await,
    }
}

/// Asks some hosts of a group. Returns whether one has replied.
async fn sync_with_some(gateway: &Rc<Gateway>, group: &[(SocketAddr, bool)]) -> bool {
    let asked: Vec<SocketAddr> =
        group.sample(&mut rand::rng(), COLLECTORS).map(|(address, _)| *address).collect();
    let replies = join_all(asked.into_iter().map(|address| sync_with(gateway, address))).await;
    replies.contains(&true)
}

async fn sync_with(gateway: &Rc<Gateway>, address: SocketAddr) -> bool {
    let deadline = Instant::now() + SYNC_TIMEOUT;
    let reply = peers::send_request(gateway, address, &PeerRequest::BlamedContents, deadline).await;
    let Some(PeerReply::Blamed { contents }) = reply else { return false };
    adopt_blame(gateway, contents);
    true
}

struct Collector<'a> {
    host: &'a str,
    /// `None` stands for this host.
    address: Option<SocketAddr>,
}

impl AsRef<str> for Collector<'_> {
    fn as_ref(&self) -> &str {
        self.host
    }
}

/// Returns the hosts that collect the crashes of a service: those with disks that can be reached, and
/// any others if there are none. `None` stands for this host.
fn collectors(gateway: &Gateway, service: &str) -> Vec<Option<SocketAddr>> {
    let roster = gateway.roster.borrow();
    let is_reachable = |address: SocketAddr| !peers::is_suspect(gateway, address);
    let other = |(host, address)| Collector { host, address: Some(address) };
    let own = Collector { host: &gateway.settings.host, address: None };
    let has_disk = gateway.settings.data_folder.is_some();
    let with_disks = roster.turn_stores().map(|(host, record, _)| (&**host, record.address));
    let with_disks = with_disks.filter(|(_, address)| is_reachable(*address)).map(other);
    let mut candidates: Vec<Collector<'_>> = with_disks.collect();
    if candidates.is_empty() && !has_disk {
        let others = roster.lenders().map(|(host, address)| (&**host, address));
        candidates.extend(others.filter(|(_, address)| is_reachable(*address)).map(other));
        candidates.push(own);
    } else if has_disk {
        candidates.push(own);
    }
    let ranked = rank(service, &candidates);
    ranked.into_iter().take(COLLECTORS).map(|collector| collector.address).collect()
}

#[cfg(test)]
mod tests;
