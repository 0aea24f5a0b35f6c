//! Questions between hosts: one JSON message each way over HTTP.

mod message;
mod reach;

pub(crate) use {
    message::{ChargeDecision, Copied, Kept, Question, Reply},
    reach::{ask, is_lost, is_suspect, reach},
};

use {
    crate::{allowance, gateway::Gateway, ledger, listen::listen, roster, watch},
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    smol::net::TcpStream,
    smol_hyper::rt::FuturesIo,
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Largest message: a configuration has a megabyte at most.
const MESSAGE_BYTES_MAX: usize = 2 * 1024 * 1024;

/// The longest that another host's question is worked on: callers' patience ends before.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Listens for other hosts.
pub(crate) async fn start(gateway: &Rc<Gateway>) -> io::Result<SocketAddr> {
    listen(gateway, gateway.settings.peers_listen, serve).await
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    crate::http::set_options(&stream);
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(respond(&gateway, request).await) }
    });
    let serving = http1::Builder::new()
        .auto_date_header(false)
        .serve_connection(FuturesIo::new(stream), service);
    if let Err(error) = serving.await {
        log::debug!("a host's connection ended: {error}");
    }
}

async fn respond(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let refuse = |status: StatusCode| {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        response
    };
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_BYTES_MAX).collect().await else {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let question: Question = match serde_json::from_slice(&body.to_bytes()) {
        Ok(question) => question,
        Err(error) => {
            log::warn!("a host's question can't be read: {error}");
            return refuse(StatusCode::BAD_REQUEST);
        }
    };
    let reply = answer(gateway, question).await;
    match serde_json::to_vec(&reply) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(error) => {
            log::error!("a reply can't be written: {error}");
            refuse(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

async fn answer(gateway: &Rc<Gateway>, question: Question) -> Reply {
    match question {
        Question::Greet { host, record } => {
            roster::greeted_by(gateway, &host, record);
            Reply::Done
        }
        Question::Lend { team, tokens } => {
            Reply::Lent { tokens: allowance::lend(gateway, &team, tokens) }
        }
        Question::Charge { charge, wait } => {
            let deadline = Instant::now() + wait.min(WAIT_MAX);
            let decision = ledger::charge(gateway, &charge, deadline).await;
            Reply::Charged { decision }
        }
        Question::Refund { refunds } => {
            ledger::refund(gateway, &refunds);
            Reply::Done
        }
        Question::OutageNotes { partition } => {
            Reply::OutageNotes { notes: gateway.outage_notes.notes_of(partition) }
        }
        Question::IsLedgerKept { partition, writer } => {
            // Whoever asks has just read the ledger's record.
            gateway.store_answers.notify(usize::MAX);
            Reply::LedgerKept { kept: ledger::ownership(gateway, partition, &writer) }
        }
        Question::CopyLedger { partition, update, keeper, witness } => {
            match ledger::apply_replica_update(gateway, partition, update, keeper, witness) {
                Some(copied) => Reply::Copied { copied },
                None => Reply::Done,
            }
        }
        Question::EndCopy { partition, copy } => {
            match ledger::end_replication(gateway, partition, copy) {
                Some(copied) => Reply::Copied { copied },
                None => Reply::Done,
            }
        }
        Question::Consent { partition, copy, to } => {
            Reply::Consented { is_given: ledger::decide_vote(gateway, partition, &copy, to) }
        }
        Question::Configuration { newer_than } => {
            Reply::Configuration { object: watch::newer_configuration(gateway, newer_than) }
        }
        Question::Hosts => Reply::Hosts { hosts: roster::all(gateway) },
        Question::Ping => Reply::Done,
        Question::Relay { to, question, wait } => {
            let reply = match *question {
                // One hop is enough: more could go round in circles.
                Question::Relay { .. } => None,
                _ if is_suspect(gateway, to) || !roster::is_known(gateway, to) => None,
                question => ask(gateway, to, &question, Instant::now() + wait.min(WAIT_MAX)).await,
            };
            Reply::Relayed { reply: reply.map(Box::new) }
        }
        Question::Upstreams => {
            Reply::Upstreams { records: gateway.placement.borrow().records().cloned().collect() }
        }
    }
}
