//! Keeps streams at the software version that began them: notes new streams at other hosts while
//! versions mix, and finds the origin of the streams that callers take up again.
//!
//! Notes are sent after the first event is passed on, so that no stream waits for them. A note that
//! is lost with its host leaves the stream unknown, and an unknown stream is refused.

use {
    crate::{
        call::{Call, RETRY_AFTER_DEFAULT},
        gateway::Gateway,
        peers::{self, PeerReply, PeerRequest},
        registrations,
    },
    futures_util::future::join_all,
    serde_json::json,
    smol::Timer,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::{HostId, RequestId, ServiceId},
        rendezvous::rank,
        stream_origins::{
            LOOKUP_HOSTS, NOTE_HOLDERS, OriginReport, StreamOrigin, StreamOrigins, UnknownOrigin,
            resolve_origin,
        },
        verdict::{Reason, Refusal},
    },
    trefoilring_observe::decisions::LineRate,
};

/// Time over which notes are gathered into one message to each host.
const NOTE_INTERVAL: Duration = Duration::from_millis(3);
/// Timeout of a message with notes.
const NOTE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a question to the hosts that may know a stream. The caller waits for it.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of streams in one message.
const NOTES_MAX: usize = 512;

/// The origins that this host knows, and the notes that wait to be sent.
#[derive(Default)]
pub(crate) struct OriginNotes {
    pub(crate) origins: StreamOrigins,
    pending: Vec<(RequestId, StreamOrigin)>,
}

/// Records the versions of the listed upstreams. Must be called after each change of the upstreams.
pub(crate) fn refresh_versions(gateway: &Rc<Gateway>) {
    let listed: BTreeSet<_> = gateway
        .placement
        .borrow()
        .records()
        .map(|record| (record.service.clone(), record.version.clone()))
        .collect();
    let has_new = gateway.origin_notes.borrow_mut().origins.set_listed(Instant::now(), &listed);
    if has_new {
        on_new_version(gateway);
    }
}

/// Records that changes of the upstreams or of the routes to them may have been missed.
pub(crate) fn restart_watch(gateway: &Rc<Gateway>) {
    gateway.origin_notes.borrow_mut().origins.restart_watch(Instant::now());
    note_recorded(gateway);
}

fn on_new_version(gateway: &Rc<Gateway>) {
    let versions = gateway.origin_notes.borrow().origins.all_versions(Instant::now());
    gateway.decisions.log(
        LineRate::Rare,
        "versions",
        json!({
            "in_use":
                versions.iter().map(|one| (&one.service, &one.version)).collect::<Vec<_>>(),
        }),
    );
    note_recorded(gateway);
}

/// Notes the streams at other hosts that began while a single version was known.
fn note_recorded(gateway: &Rc<Gateway>) {
    let recorded = gateway.origin_notes.borrow().origins.recorded(Instant::now());
    note(gateway, recorded);
}

/// Records that the first event of a stream is passed on. The stream may continue one that began as
/// another request.
pub(crate) fn record_begun(gateway: &Rc<Gateway>, call: &Call, origin: &StreamOrigin) {
    let now = Instant::now();
    let metadata = &call.metadata;
    let resumed = metadata.resumed_request.as_ref().filter(|_| metadata.last_event.is_some());
    let requests = [Some(&metadata.request_id), resumed].into_iter().flatten();
    let needs_note = {
        let origins = &mut gateway.origin_notes.borrow_mut().origins;
        requests.clone().for_each(|request| origins.record(now, request, origin));
        origins.needs_note(now, &origin.service, call.route.services().count() > 1)
    };
    if needs_note {
        note(gateway, requests.map(|request| (request.as_str().into(), origin.clone())));
    }
}

fn note(gateway: &Rc<Gateway>, streams: impl IntoIterator<Item = (RequestId, StreamOrigin)>) {
    let mut notes = gateway.origin_notes.borrow_mut();
    let was_empty = notes.pending.is_empty();
    notes.pending.extend(streams);
    if was_empty && !notes.pending.is_empty() {
        gateway.spawn(send_notes(gateway.clone()));
    }
}

async fn send_notes(gateway: Rc<Gateway>) {
    Timer::after(NOTE_INTERVAL).await;
    let pending = std::mem::take(&mut gateway.origin_notes.borrow_mut().pending);
    let mut by_holder: HashMap<SocketAddr, Vec<(RequestId, StreamOrigin)>> = HashMap::new();
    for (request, origin) in pending {
        for holder in holders(&gateway, &request, NOTE_HOLDERS) {
            by_holder.entry(holder).or_default().push((request.clone(), origin.clone()));
        }
    }
    for (holder, streams) in by_holder {
        for streams in streams.chunks(NOTES_MAX) {
            let request = PeerRequest::NoteStreams { streams: streams.to_vec() };
            let gateway = gateway.clone();
            gateway.clone().spawn(async move {
                let deadline = Instant::now() + NOTE_TIMEOUT;
                if peers::send_request(&gateway, holder, &request, deadline).await.is_none() {
                    gateway.metrics.count("stream_notes_lost", 1);
                }
            });
        }
    }
}

/// Returns the reachable hosts that hold the notes of a request's stream, by rank.
fn holders(gateway: &Gateway, request: &str, count: usize) -> Vec<SocketAddr> {
    struct Holder<'a>(&'a HostId, SocketAddr);
    impl AsRef<str> for Holder<'_> {
        fn as_ref(&self) -> &str {
            self.0
        }
    }
    let roster = gateway.roster.borrow();
    let peers = roster.peers().map(|(host, record)| Holder(host, record.address));
    let reachable: Vec<Holder<'_>> =
        peers.filter(|holder| !peers::is_suspect(gateway, holder.1)).collect();
    rank(request, &reachable).into_iter().take(count).map(|holder| holder.1).collect()
}

/// Records the streams that another host notes here.
pub(crate) fn on_noted(gateway: &Rc<Gateway>, streams: &[(RequestId, StreamOrigin)]) {
    let now = Instant::now();
    let mut has_new = false;
    {
        let origins = &mut gateway.origin_notes.borrow_mut().origins;
        for (request, origin) in streams {
            origins.record(now, request, origin);
            has_new |= origins.record_version(now, origin);
        }
    }
    if has_new {
        on_new_version(gateway);
    }
}

/// Records the versions that another host names, for a host that may not see them in the store.
pub(crate) fn on_versions(gateway: &Rc<Gateway>, versions: &[StreamOrigin]) {
    let now = Instant::now();
    let has_new = {
        let origins = &mut gateway.origin_notes.borrow_mut().origins;
        versions.iter().fold(false, |has_new, one| origins.record_version(now, one) | has_new)
    };
    if has_new {
        on_new_version(gateway);
    }
}

/// Returns what this host knows of a stream.
pub(crate) fn report(gateway: &Gateway, request: Option<&str>, service: &str) -> OriginReport {
    gateway.origin_notes.borrow().origins.report(Instant::now(), request, service)
}

/// Finds the service and version at which a call must go on, if it takes a stream up again.
///
/// # Errors
///
/// Returns a refusal if the origin of the stream is not certain.
pub(crate) async fn origin_to_continue(
    gateway: &Rc<Gateway>,
    call: &Call,
) -> Result<Option<StreamOrigin>, Refusal> {
    if !call.route.kind.is_stream() || call.metadata.last_event.is_none() {
        return Ok(None);
    }
    let request = call.metadata.resumed_request.as_deref();
    let own = report(gateway, request, &call.service);
    let services: Vec<ServiceId> = call.route.services().cloned().collect();
    let is_known = own.origin.is_some() || own.is_ambiguous;
    // Others may know upstreams of the version that have left before this host has started.
    let has_upstream = own.origin.as_ref().is_none_or(|origin| {
        let placement = gateway.placement.borrow();
        placement.can_continue(Instant::now(), &origin.service, &origin.version)
    });
    let (is_alone, replies) = match is_known && has_upstream {
        true => (false, Vec::new()),
        false => ask_holders(gateway, call, request).await,
    };
    let resolved = resolve_origin(&own, &replies, &services, is_alone);
    gateway.metrics.count(if resolved.is_ok() { "taken_up" } else { "not_taken_up" }, 1);
    gateway.decisions.log(
        LineRate::Failure,
        "take_up",
        json!({
            "request": call.metadata.request_id,
            "begun_as": request,
            "after_event": call.metadata.last_event,
            "service": resolved.as_ref().ok().map(|origin| &origin.service),
            "version": resolved.as_ref().ok().map(|origin| &origin.version),
            "unknown": resolved.as_ref().err().map(|unknown| format!("{unknown:?}")),
            "known_here": is_known,
            "replies": replies.len(),
            "noted": replies.iter().filter(|reply| reply.origin.is_some()).count(),
        }),
    );
    match resolved {
        Ok(origin) => Ok(Some(origin)),
        Err(unknown) => {
            let detail = match unknown {
                UnknownOrigin::NotNoted => "the version that began the stream is not known",
                UnknownOrigin::Ambiguous => "the request id began streams of several versions",
                UnknownOrigin::OtherService => "the route has left the service of the stream",
            };
            Err(Refusal::not_run(Reason::NoUpstream, detail).retry_after(RETRY_AFTER_DEFAULT))
        }
    }
}

/// Asks the hosts that may know a stream. Returns whether there are no other hosts, and the replies.
async fn ask_holders(
    gateway: &Rc<Gateway>,
    call: &Call,
    request: Option<&str>,
) -> (bool, Vec<OriginReport>) {
    if gateway.roster.borrow().peers().next().is_none() {
        return (true, Vec::new());
    }
    let holders = holders(gateway, request.unwrap_or(&call.metadata.request_id), LOOKUP_HOSTS);
    let question = PeerRequest::StreamOrigin {
        request: request.map(RequestId::from),
        service: call.service.clone(),
    };
    let asked_at = Instant::now();
    let deadline = call.deadline.min(asked_at + LOOKUP_TIMEOUT);
    let questions = holders.into_iter().map(async |holder| {
        match peers::send_request(gateway, holder, &question, deadline).await {
            Some(PeerReply::StreamOrigin { report, departing }) => {
                registrations::on_departing(gateway, departing, asked_at);
                Some(report)
            }
            _ => None,
        }
    });
    let replies: Vec<OriginReport> = join_all(questions).await.into_iter().flatten().collect();
    let named = replies.iter().flat_map(|reply| &reply.versions);
    let service = &call.service;
    let named: Vec<StreamOrigin> = named
        .map(|version| StreamOrigin { service: service.clone(), version: version.clone() })
        .collect();
    on_versions(gateway, &named);
    (false, replies)
}
