//! One connection of a caller.

use {
    super::{Control, Service},
    crate::{
        faults::{Down, Hang},
        request::{Peer, Received, Refused, body_contains, refused, text_response},
    },
    async_h1::server::Server,
    http_types::{Request, Response},
    smol::{Timer, future::FutureExt, io::AsyncReadExt, net::TcpStream},
    std::{
        collections::BTreeMap,
        net::Shutdown,
        panic::AssertUnwindSafe,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// All open connections, so that a crash can break them.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections {
    open: Arc<Mutex<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    next: u64,
    streams: BTreeMap<u64, TcpStream>,
}

impl Connections {
    /// Adds a connection until the guard is dropped.
    pub(super) fn add(&self, stream: TcpStream) -> Guard {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.next += 1;
        let id = open.next;
        open.streams.insert(id, stream);
        Guard { id, connections: self.clone() }
    }

    pub(super) fn close_all(&self) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.streams.values() {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

/// Keeps a connection in the list.
#[derive(Debug)]
pub(super) struct Guard {
    id: u64,
    connections: Connections,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut open = self.connections.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.streams.remove(&self.id);
    }
}

/// Serves the requests of one connection until it ends or an answer is to be lost.
pub(super) async fn serve<S: Service>(stream: TcpStream, service: Arc<S>, control: Control) {
    let peer = Peer(stream.clone());
    let endpoint = |request: Request| {
        let (service, control, peer) = (service.clone(), control.clone(), peer.clone());
        async move {
            let answer = answer(request, peer, &*service, &control).await;
            answer.ok_or_else(|| http_types::format_err!("the answer is lost"))
        }
    };
    let mut server = Server::new(stream, endpoint);
    // The library panics on a header that is not ASCII; that ends the connection only.
    let served = AssertUnwindSafe(server.accept()).catch_unwind().await;
    match served {
        Ok(Ok(())) => (),
        Ok(Err(error)) => log::debug!("connection ended: {error}"),
        Err(_) => log::warn!("connection ended: malformed head"),
    }
}

/// Answers a request; `None` closes the connection without an answer.
async fn answer<S: Service>(
    mut request: Request,
    peer: Peer,
    service: &S,
    control: &Control,
) -> Option<Response> {
    let body = match read_body(&mut request, service.max_body_bytes()).await {
        Ok(body) => body,
        Err(refused) => return Some(refused.into()),
    };
    let request = received(&request, body, peer);
    if request.path().starts_with("/standin/") {
        let response = control.common(&request).or_else(|| service.control(&request));
        return Some(response.unwrap_or_else(|| text_response(404, "no such switch")));
    }
    let cut = async {
        control.until_dead_or(|faults| faults.down != Down::None).await;
        (control.faults().down == Down::Unavailable).then(|| text_response(503, "down"))
    };
    cut.or(under_faults(request, service, control)).await
}

/// Answers a request with every fault but being down.
async fn under_faults<S: Service>(
    request: Received,
    service: &S,
    control: &Control,
) -> Option<Response> {
    let faults = control.faults();
    control.remember(&request, &faults.planted);
    if faults.latency_ms > 0 {
        Timer::after(Duration::from_millis(faults.latency_ms)).await;
    }
    hang(control, &request.peer, Hang::Before).await?;
    if body_contains(&request.body, &faults.crash_on) {
        control.crash();
        return None;
    }
    let (method, peer) = (request.method.clone(), request.peer.clone());
    let response = service.handle(request, &faults).await;
    hang(control, &peer, Hang::After).await?;
    let is_lost = control.loses_answer(&method, control.faults().lose_answer_every);
    (!is_lost).then_some(response)
}

/// Waits while requests hang at this place; `None` when the caller has gone meanwhile.
async fn hang(control: &Control, peer: &Peer, place: Hang) -> Option<()> {
    if control.faults().hang != place {
        return Some(());
    }
    let lifted = async {
        control.until(|faults| faults.hang != place).await;
        Some(())
    };
    let gone = async {
        peer.closed().await;
        None
    };
    lifted.or(gone).await
}

async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Vec<u8>, Refused> {
    let too_large = || {
        let mut response = text_response(413, format!("a body has at most {max_bytes} bytes"));
        response.insert_header("connection", "close");
        response
    };
    if request.len().is_some_and(|length| length > max_bytes) {
        return Err(too_large().into());
    }
    let (expected, mut body) = (request.len(), Vec::new());
    let mut limited = request.take_body().take(max_bytes as u64 + 1);
    let read = limited.read_to_end(&mut body).await;
    read.map_err(|error| refused(400, format!("body: {error}")))?;
    if body.len() > max_bytes {
        return Err(too_large().into());
    }
    // A request that was cut must have no effect; the library reports the end as if it were whole.
    match expected {
        Some(length) if length != body.len() => Err(refused(400, "the body was cut")),
        _ => Ok(body),
    }
}

fn received(request: &Request, body: Vec<u8>, peer: Peer) -> Received {
    let headers = request.iter().flat_map(|(name, values)| {
        let name = name.as_str().to_ascii_lowercase();
        values.iter().map(move |value| (name.clone(), value.as_str().to_owned()))
    });
    Received {
        method: request.method().to_string(),
        url: request.url().clone(),
        headers: headers.collect(),
        body,
        peer,
    }
}
