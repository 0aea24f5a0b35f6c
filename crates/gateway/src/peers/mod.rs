//! Requests between hosts: one JSON message in each direction over HTTP.

mod client;
mod message;

pub(crate) use {
    client::{
        EncodedRequest, Patience, announce, is_in_reach, is_lost, is_suspect, mark_suspect,
        send_announcement, send_bulk_or_relay, send_bulk_request, send_request,
        send_request_or_relay,
    },
    message::{
        ChargeDecision, CollectionNews, Ownership, PeerReply, PeerRequest, SettlementStatus,
    },
};

use {
    self::message::{DecodeError, MessageFormat},
    crate::{
        allowance,
        call::{AnswerBody, AnswerTruncated, BodyError, read_body},
        callers, cold, crashes,
        gateway::Gateway,
        http::Progress,
        inbound::{self, Accepted, InboundConnection},
        leaving, ledger,
        listen::listen,
        relay, roster, stream_origins, turns, upstream_limits, watch,
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header},
    http_body_util::BodyExt,
    hyper::{
        body::{Body, Frame, Incoming, SizeHint},
        service::service_fn,
    },
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    trefoilring_core::turns::PART_BYTES_MAX,
};

/// Maximum size of a message. A configuration has at most one megabyte; a turn has the input of a
/// request and an answer.
const MESSAGE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Maximum size of a head beside the headers of a caller, which a request that is passed on has.
const HEAD_BYTES_MAX: usize = 16 * 1024;

/// Maximum time for processing another host's request. The callers that wait for the result time out
/// earlier.
const REQUEST_WAIT_MAX: Duration = Duration::from_secs(5);

/// How long the reply to a request to release a ledger waits for the store. Shorter than the sender's
/// timeout, so that a missing reply means that this host is lost, not that the store is slow.
const RELEASE_WAIT_MAX: Duration = Duration::from_millis(200);

/// How long nothing may come of another host's request. How long all of it takes depends on its size and
/// on the link.
const REQUEST_SILENCE_MAX: Duration = Duration::from_secs(5);

/// Listens for connections of other hosts. Returns the bound address.
pub(crate) async fn start(gateway: &Rc<Gateway>) -> io::Result<SocketAddr> {
    let options = gateway.memory.sockets().peers();
    listen(gateway, gateway.settings.peers_listen, &options, serve).await
}

async fn serve(gateway: Rc<Gateway>, accepted: Accepted) {
    let service_gateway = gateway.clone();
    let create_service = move |connection: Rc<InboundConnection>| {
        service_fn(move |request: Request<Incoming>| {
            let (gateway, connection) = (service_gateway.clone(), connection.clone());
            Box::pin(async move {
                connection.on_request_start(request.body());
                let answering = Answering(connection);
                let mut response = respond(&gateway, &answering.0, request).await;
                if answering.0.is_body_unread() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| ReplyBody { body, _answering: answering }))
            })
        })
    };
    let head_bytes_max = HEAD_BYTES_MAX + callers::head_bytes_max(&gateway);
    inbound::serve(&gateway.other_connections, accepted, head_bytes_max, create_service).await;
}

/// Marks a connection as answering until its reply has been passed on.
struct Answering(Rc<InboundConnection>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.on_request_end();
    }
}

/// The body of a reply to another host.
struct ReplyBody {
    body: AnswerBody,
    _answering: Answering,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = AnswerTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerTruncated>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn respond(
    gateway: &Rc<Gateway>,
    connection: &InboundConnection,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if relay::is_relayed(&request) {
        return relay::pass_on(gateway, connection, request).await;
    }
    let error_response = |status: StatusCode| {
        let mut response = Response::new(AnswerBody::from(Bytes::new()));
        *response.status_mut() = status;
        response
    };
    let format = MessageFormat::from_content_type(request.headers().get(header::CONTENT_TYPE));
    let progress = Progress::begin();
    let body = request.into_body().map_frame(|frame| {
        progress.record();
        frame
    });
    let reading = read_body(&gateway.memory, None, body, MESSAGE_BYTES_MAX);
    let (body, _memory) = match progress.wait_for(REQUEST_SILENCE_MAX, reading).await {
        Some(Ok(read)) => read,
        Some(Err(BodyError::TooLarge)) => return error_response(StatusCode::PAYLOAD_TOO_LARGE),
        Some(Err(BodyError::Connection(_))) => return error_response(StatusCode::BAD_REQUEST),
        Some(Err(BodyError::NoMemory { .. })) => {
            return error_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        Some(Err(BodyError::Dropped)) | None => {
            return error_response(StatusCode::REQUEST_TIMEOUT);
        }
    };
    connection.set_body_unread(false);
    let reply = match message::decode_request(format, &body) {
        Ok(peer_request) => reply_to(gateway, peer_request).await,
        Err(DecodeError::Unsupported { kind, error }) => {
            // The peer runs another build. It does without, or asks another host.
            gateway.metrics.count("peer_unsupported", 1);
            log::warn!("this build does not read peer requests of kind {kind}: {error}");
            PeerReply::Unsupported { kind }
        }
        Err(DecodeError::Malformed(error)) => {
            log::warn!("failed to parse a peer request; answering 400: {error}");
            return error_response(StatusCode::BAD_REQUEST);
        }
    };
    match format.encode(&reply) {
        Ok(bytes) => Response::new(AnswerBody::from(Bytes::from(bytes))),
        Err(error) => {
            log::error!("failed to serialize the reply to a peer; answering 500: {error}");
            error_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn reply_to(gateway: &Rc<Gateway>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Announce { host, record } => {
            roster::on_announcement(gateway, &host, record);
            PeerReply::Done
        }
        PeerRequest::Lend { team, tokens } => {
            PeerReply::Lent { tokens: allowance::lend(gateway, &team, tokens) }
        }
        PeerRequest::LendUpstreamToken { upstream, limit_per_s, named_ago } => {
            let outcome = upstream_limits::lend(gateway, &upstream, limit_per_s, named_ago);
            PeerReply::UpstreamTokenLent { outcome }
        }
        PeerRequest::LendColdToken { upstream, left, revision } => {
            let outcome = cold::lend(gateway, &upstream, left, revision);
            PeerReply::UpstreamTokenLent { outcome }
        }
        PeerRequest::Charge { charge, wait } => {
            let deadline = Instant::now() + wait.min(REQUEST_WAIT_MAX);
            let decision = ledger::charge(gateway, &charge, deadline).await;
            PeerReply::Charged { decision }
        }
        PeerRequest::Settle { settlements, wait } => {
            let deadline = Instant::now() + wait.min(REQUEST_WAIT_MAX);
            PeerReply::Settled { status: ledger::settle(gateway, &settlements, deadline).await }
        }
        PeerRequest::NoteOutage { partition, position } => {
            let wait_max = ledger::NOTE_WRITE_WAIT_MAX;
            let by = ledger::store_outage_note(gateway, partition, position, wait_max).await;
            PeerReply::OutageNoted { by }
        }
        PeerRequest::FenceLedger { partition, epoch } => {
            PeerReply::LedgerFenced { reply: ledger::fence_here(gateway, partition, epoch).await }
        }
        PeerRequest::ReleaseLedger { partition, writer } => {
            ledger::release(gateway, partition, &writer, RELEASE_WAIT_MAX).await;
            PeerReply::Done
        }
        PeerRequest::LedgerOwnership { partition, writer } => {
            // The sender has just read the ledger's record, so the store is available.
            gateway.store_recovered.notify(usize::MAX);
            PeerReply::LedgerOwnership { ownership: ledger::ownership(gateway, partition, &writer) }
        }
        PeerRequest::ReplicateLedger { partition, update, owner, witness } => {
            match ledger::apply_replica_update(gateway, partition, update, owner, witness) {
                Some(status) => PeerReply::ReplicaStatus { status, is_certain: true },
                None => PeerReply::Done,
            }
        }
        PeerRequest::EndReplication { partition, replication } => {
            match ledger::end_replication(gateway, partition, replication) {
                Some(status) => PeerReply::ReplicaStatus { status, is_certain: true },
                None => PeerReply::Done,
            }
        }
        PeerRequest::RequestVote { partition, replication, option } => PeerReply::Voted {
            is_granted: ledger::decide_vote(gateway, partition, &replication, option),
        },
        PeerRequest::Configuration { newer_than } => {
            PeerReply::Configuration { object: watch::newer_configuration(gateway, newer_than) }
        }
        PeerRequest::ReportCrash { report } => {
            PeerReply::Blamed { contents: crashes::collect_report(gateway, report).await }
        }
        PeerRequest::BlameContents { contents } => {
            crashes::adopt_blame(gateway, contents);
            PeerReply::Done
        }
        PeerRequest::ClearContents { contents } => {
            contents.into_iter().for_each(|content| crashes::clear_content(gateway, content));
            PeerReply::Done
        }
        PeerRequest::BlamedContents => {
            PeerReply::Blamed { contents: crashes::blamed_contents(gateway) }
        }
        PeerRequest::Hosts => PeerReply::Hosts { hosts: roster::all_hosts(gateway) },
        PeerRequest::Evacuations => {
            PeerReply::Evacuations { known: gateway.evacuations.known_domains() }
        }
        PeerRequest::Ping => PeerReply::Done,
        PeerRequest::FollowStore { after, wait } => {
            watch::news_for_follower(gateway, after, wait).await
        }
        PeerRequest::Relay { to, host, request, wait } => {
            let to = host.and_then(|host| roster::address_of(gateway, &host)).unwrap_or(to);
            let reply = match *request {
                // At most one relay, because longer paths could form loops.
                PeerRequest::Relay { .. } => None,
                _ if is_suspect(gateway, to) || !roster::has_host_at(gateway, to) => None,
                request => {
                    send_request(gateway, to, &request, Instant::now() + wait.min(REQUEST_WAIT_MAX))
                        .await
                }
            };
            PeerReply::Relayed { reply: reply.map(Box::new) }
        }
        PeerRequest::UpstreamLeaving { upstream, incarnation } => {
            leaving::on_told(gateway, upstream, incarnation);
            PeerReply::Done
        }
        PeerRequest::UpstreamListener { upstream } => {
            PeerReply::UpstreamListener { state: crashes::check_for_peer(gateway, &upstream).await }
        }
        PeerRequest::NoteStreams { streams } => {
            stream_origins::on_noted(gateway, &streams);
            PeerReply::Done
        }
        PeerRequest::StreamOrigin { request, service } => PeerReply::StreamOrigin {
            report: stream_origins::report(gateway, request.as_deref(), &service),
            departing: gateway.placement.borrow().departing(Instant::now(), &service),
        },
        PeerRequest::StoreTurns { turns } => {
            PeerReply::TurnsStored { outcome: turns::store_here(gateway, turns).await }
        }
        PeerRequest::FindTurn { id, team, bytes_max } => {
            let bytes_max = bytes_max.unwrap_or(PART_BYTES_MAX).min(PART_BYTES_MAX);
            PeerReply::TurnLookup { lookup: turns::find_here(gateway, &id, &team, bytes_max).await }
        }
        PeerRequest::FetchTurns { ids, bytes_max } => {
            let bytes_max = bytes_max.unwrap_or(PART_BYTES_MAX).min(PART_BYTES_MAX);
            let (turns, tried) = turns::fetch_here(gateway, &ids, bytes_max).await;
            PeerReply::Turns { turns, tried }
        }
        PeerRequest::HeldTurns { after } => {
            let (trees, has_more) = turns::held_here(gateway, after.as_deref());
            PeerReply::HeldTurns { trees, has_more, may_leave: turns::may_leave(gateway) }
        }
        PeerRequest::Versions => PeerReply::Versions {
            versions: gateway.origin_notes.borrow().origins.all_versions(Instant::now()),
        },
        PeerRequest::Upstreams => PeerReply::Upstreams { records: cold::records(gateway) },
    }
}
