//! Detects crashes of upstreams, and refuses content that crashes the upstreams that run it.
//!
//! When a connection breaks, this module checks whether the upstream's process has ended. If it
//! has, the attempts that it cut off are reported to the hosts that collect the crashes of the
//! service ([`reports`]). `trefoilring_core::crashes` decides which content is to blame. Hosts with
//! disks keep what they know there ([`disk`]).

mod disk;
mod reports;

pub(crate) use {
    disk::CrashLogFile,
    reports::{CrashReport, adopt_blame, blamed_contents, clear_content, collect_report, start},
};

use {
    crate::{call::Call, gateway::Gateway, http::ListenerState, relay, time::within},
    event_listener::Event,
    serde_json::json,
    smol::Timer,
    std::{
        cell::Cell,
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        crashes::{CrashLog, CrashedAttempt, UpstreamCrash},
        ids::{ContentHash, ServiceId, UpstreamId},
        placement::UpstreamKey,
        verdict::{Reason, Refusal, Verdict},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Delays between the checks whether an upstream has ended. A process that is killed may close its
/// connections shortly before its listener.
const CHECK_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(100), Duration::from_millis(400)];
/// Timeout of one check. A process that has ended refuses connections at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time that a request waits for the first check and its report before it is retried.
const REPORT_WAIT_MAX: Duration = Duration::from_millis(150);
/// Number of upstreams that may crash while they run one request. Its caller may send it again, and
/// if the pause has no crashes, the content is to blame.
const CRASHES_PER_CALL_MAX: u32 = 2;
/// An upstream that was known to leave for this long has not crashed: it stops as planned.
const PLANNED_STOP_NOTICE: Duration = Duration::from_millis(500);
/// How long the departure of an upstream is remembered. Upstreams may serve for many seconds after
/// they have left the list.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// What this host knows about crashes.
#[derive(Default)]
pub(crate) struct CrashWatch {
    log: CrashLog,
    /// Upstreams whose connections broke a moment ago.
    checks: HashMap<UpstreamKey, Check>,
    /// Number of attempts with suspect content in flight. Invariant: each is above zero.
    suspects_in_flight: HashMap<UpstreamKey, u32>,
    /// When upstreams began to leave or were delisted.
    departures: HashMap<UpstreamId, Instant>,
    announcements: reports::Announcements,
}

/// The check whether an upstream has ended.
struct Check {
    /// Attempts that broke and were not reported.
    attempts: Vec<CrashedAttempt>,
    /// Notified when the first check has ended and its report was delivered.
    first_result: Rc<Event>,
    has_first_result: bool,
    has_crashed: Rc<Cell<bool>>,
}

/// An attempt whose connection broke.
#[derive(Clone, Debug)]
pub(crate) struct BrokenAttempt {
    pub(crate) key: UpstreamKey,
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) sent_at: Instant,
}

impl CrashWatch {
    /// Creates the watch of a host that has kept a log of former crashes.
    pub(crate) fn new(log: CrashLog) -> Self {
        Self { log, ..Self::default() }
    }

    /// Returns whether the content took part in a crash.
    pub(crate) fn is_suspect(&self, call: &Call) -> bool {
        !self.log.is_empty() && self.log.is_suspect(call.content())
    }

    /// Returns the upstreams to which this host has sent suspect content that is still in flight.
    pub(crate) fn upstreams_with_suspects(&self) -> impl Iterator<Item = UpstreamKey> {
        self.suspects_in_flight.keys().copied()
    }

    /// Records that suspect content was sent to an upstream.
    pub(crate) fn record_suspect_sent(&mut self, key: UpstreamKey) {
        *self.suspects_in_flight.entry(key).or_default() += 1;
    }

    /// Records that suspect content is no longer in flight at an upstream.
    pub(crate) fn record_suspect_end(&mut self, key: UpstreamKey) {
        if let Some(count) = self.suspects_in_flight.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.suspects_in_flight.remove(&key);
            }
        }
    }

    /// Records that an upstream begins to leave or was delisted.
    pub(crate) fn record_departure(&mut self, now: Instant, upstream: &UpstreamId) {
        self.departures.retain(|_, at| now.duration_since(*at) < DEPARTURE_TTL);
        self.departures.entry(upstream.clone()).or_insert(now);
    }

    /// Records that an upstream accepts work.
    pub(crate) fn record_arrival(&mut self, upstream: &UpstreamId) {
        self.departures.remove(upstream);
    }

    fn stops_as_planned(&self, now: Instant, upstream: &UpstreamId) -> bool {
        let departed_at = self.departures.get(upstream);
        departed_at.is_some_and(|at| now.duration_since(*at) >= PLANNED_STOP_NOTICE)
    }
}

/// Checks that a call may be sent: its content is not blamed for crashes, and not too many upstreams
/// have crashed while they ran it.
///
/// # Errors
///
/// Returns the refusal of the call.
pub(crate) fn check(gateway: &Gateway, call: &Call, verdict: Verdict) -> Result<(), Refusal> {
    let watch = gateway.crash_watch.borrow();
    if watch.log.is_empty() {
        return Ok(());
    }
    match watch.log.blamed_for(Instant::now(), call.content()) {
        None if call.crash_count.get() >= CRASHES_PER_CALL_MAX => {
            let detail = "the upstreams that ran this request have crashed";
            Err(Refusal::may_have_run(Reason::UpstreamFailed, detail))
        }
        None => Ok(()),
        Some(rest) => {
            let detail = "this content has crashed the upstreams that ran it".into();
            let reason = Reason::Quarantined;
            Err(Refusal { verdict, reason, detail, retry_after: Some(rest) })
        }
    }
}

/// Handles an attempt whose connection broke before its answer was complete. Returns when it is
/// known whether the upstream has crashed, or after [`REPORT_WAIT_MAX`].
pub(crate) async fn on_broken(gateway: &Rc<Gateway>, call: &Call, broken: BrokenAttempt) {
    let now = Instant::now();
    let content = call.content();
    gateway.metrics.count("broken_attempts", 1);
    gateway.decisions.log(
        LineRate::Failure,
        "broken",
        json!({
            "request": call.metadata.request_id,
            "content": format!("{content:016x}"),
            "upstream": broken.upstream,
            "in_flight_ms": now.duration_since(broken.sent_at).as_millis() as u64,
            "stranded": gateway.relay.is_stranded(),
        }),
    );
    if gateway.crash_watch.borrow().stops_as_planned(now, &broken.upstream) {
        return;
    }
    let attempt = CrashedAttempt { content, sent_at: broken.sent_at, broke_at: now };
    let (first_result, has_crashed) = {
        let mut watch = gateway.crash_watch.borrow_mut();
        let is_new = !watch.checks.contains_key(&broken.key);
        let check = watch.checks.entry(broken.key).or_insert_with(|| Check {
            attempts: Vec::new(),
            first_result: Rc::new(Event::new()),
            has_first_result: false,
            has_crashed: Rc::default(),
        });
        check.attempts.push(attempt);
        if is_new {
            gateway.spawn(check_upstream(gateway.clone(), call.service.clone(), broken));
        }
        if check.has_first_result {
            return;
        }
        (check.first_result.listen(), check.has_crashed.clone())
    };
    within(now + REPORT_WAIT_MAX, first_result).await;
    call.crash_count.update(|count| count + u32::from(has_crashed.get()));
}

/// Checks several times whether an upstream has ended. If so, reports the attempts that broke.
async fn check_upstream(gateway: Rc<Gateway>, service: ServiceId, broken: BrokenAttempt) {
    let BrokenAttempt { key, upstream, address, .. } = broken;
    for delay in CHECK_DELAYS {
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let is_first_check = delay.is_zero();
        let target = CheckedUpstream { service: &service, upstream: &upstream, address };
        if has_ended(&gateway, target, is_first_check).await {
            let attempts = match gateway.crash_watch.borrow_mut().checks.get_mut(&key) {
                Some(check) => {
                    check.has_crashed.set(true);
                    std::mem::take(&mut check.attempts)
                }
                None => return,
            };
            let upstream_count = gateway.placement.borrow().upstream_count(&service);
            let crash = UpstreamCrash { service, upstream, upstream_count, attempts };
            reports::report(&gateway, crash).await;
            break;
        }
        notify_first_result(&gateway, key);
    }
    notify_first_result(&gateway, key);
    gateway.crash_watch.borrow_mut().checks.remove(&key);
}

/// An upstream that may have ended.
#[derive(Clone, Copy)]
struct CheckedUpstream<'a> {
    service: &'a str,
    upstream: &'a UpstreamId,
    address: SocketAddr,
}

/// Returns whether an upstream has ended. An open connection shows that it runs, except in the first
/// check, when the connection's end may not have been seen. A host that reaches no upstream can't tell
/// and asks others. One that does asks whether others reach this upstream before it takes it for ended.
async fn has_ended(
    gateway: &Rc<Gateway>,
    target: CheckedUpstream<'_>,
    is_first_check: bool,
) -> bool {
    let CheckedUpstream { service, upstream, address } = target;
    let is_stranded = gateway.relay.is_stranded();
    if !is_stranded && !is_first_check && gateway.connections.has_idle(address) {
        return false;
    }
    let idle_max = gateway.idle_connections_max(service);
    let own = match is_stranded {
        true => ListenerState::Unknown,
        false => check_listener(gateway, address, idle_max).await,
    };
    let (listener, is_asked) = match own {
        ListenerState::Present => (own, false),
        ListenerState::Unknown => (relay::ask_for_listener(gateway, upstream).await, true),
        // A cut of the link to this upstream alone, or one that ends link by link, looks the same.
        ListenerState::Absent => match relay::is_seen_by_others(gateway, upstream).await {
            true => (ListenerState::Present, true),
            false => (own, false),
        },
    };
    let has_ended = listener == ListenerState::Absent;
    gateway.decisions.log(
        LineRate::Failure,
        "listener_check",
        json!({
            "upstream": upstream,
            "address": address,
            "listener": listener,
            "by": if is_asked { "peer" } else { "this host" },
            "has_ended": has_ended,
        }),
    );
    has_ended
}

/// Returns whether a process listens at the address of an upstream, as far as this host can tell.
/// `Absent` means that this host reaches other upstreams.
async fn check_listener(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    idle_max: usize,
) -> ListenerState {
    let deadline = Instant::now() + CHECK_TIMEOUT;
    let listener = gateway.connections.probe_listener(address, deadline, idle_max).await;
    relay::record_connects(gateway);
    if listener != ListenerState::Absent {
        return listener;
    }
    if !relay::reaches_another(gateway, address, deadline).await {
        return ListenerState::Unknown;
    }
    // A cut may have ended between the two checks, so that only the first one was refused.
    let listener = gateway.connections.probe_listener(address, deadline, idle_max).await;
    relay::record_connects(gateway);
    listener
}

/// Checks an upstream for another host. Returns `Unknown` if this host does not know the upstream or
/// can't tell either.
pub(crate) async fn check_for_peer(gateway: &Rc<Gateway>, upstream: &UpstreamId) -> ListenerState {
    let known = {
        let placement = gateway.placement.borrow();
        placement.find(upstream).map(|(_, record)| (record.address, record.service.clone()))
    };
    let Some((address, service)) = known.filter(|_| !gateway.relay.is_stranded()) else {
        return ListenerState::Unknown;
    };
    check_listener(gateway, address, gateway.idle_connections_max(&service)).await
}

fn notify_first_result(gateway: &Gateway, key: UpstreamKey) {
    if let Some(check) = gateway.crash_watch.borrow_mut().checks.get_mut(&key) {
        check.has_first_result = true;
        check.first_result.notify(usize::MAX);
    }
}

/// Handles a complete answer: its content does not crash upstreams.
pub(crate) fn on_answered(gateway: &Rc<Gateway>, call: &Call) {
    if gateway.crash_watch.borrow().log.is_empty() {
        return;
    }
    let content = call.content();
    let was_blamed = {
        let mut watch = gateway.crash_watch.borrow_mut();
        let was_blamed = watch.log.blamed_for(Instant::now(), content).is_some();
        if !watch.log.clear(content) {
            return;
        }
        if was_blamed {
            watch.log.record_cleared(Instant::now(), content);
        }
        was_blamed
    };
    disk::save_later(gateway);
    log_content(gateway, content, "cleared", "answer");
    reports::announce_cleared(gateway, &call.service, content, was_blamed);
}

fn log_content(gateway: &Gateway, content: ContentHash, what: &str, by: &str) {
    gateway.metrics.count(&format!("content.{what}"), 1);
    gateway.decisions.log(
        LineRate::Failure,
        "content",
        json!({"content": format!("{content:016x}"), "what": what, "by": by}),
    );
}
