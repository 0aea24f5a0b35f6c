//! Serves the requests of one connection and applies faults to them.

use {
    super::{Control, RequestHandler},
    crate::{
        faults::{HangPhase, Outage},
        request::{
            CallerConnection, ErrorResponse, ReceivedRequest, body_contains, error_response,
            text_response,
        },
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

/// All open connections, so that a crash can close them.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections {
    open: Arc<Mutex<OpenConnections>>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    last_id: u64,
    streams: BTreeMap<u64, TcpStream>,
}

impl Connections {
    /// Registers a connection until the returned guard is dropped.
    pub(super) fn add(&self, stream: TcpStream) -> ConnectionGuard {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.last_id += 1;
        let id = open.last_id;
        open.streams.insert(id, stream);
        ConnectionGuard { id, connections: self.clone() }
    }

    pub(super) fn close_all(&self) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.streams.values() {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

/// Removes the connection from [`Connections`] when dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    id: u64,
    connections: Connections,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut open = self.connections.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.streams.remove(&self.id);
    }
}

/// Serves the requests of one connection until it ends or a fault drops a response.
pub(super) async fn serve<S: RequestHandler>(stream: TcpStream, handler: Arc<S>, control: Control) {
    let connection = CallerConnection(stream.clone());
    let endpoint = |request: Request| {
        let (handler, control, connection) = (handler.clone(), control.clone(), connection.clone());
        async move {
            let response = respond(request, connection, &*handler, &control).await;
            response.ok_or_else(|| http_types::format_err!("a fault dropped the response"))
        }
    };
    let mut server = Server::new(stream, endpoint);
    // async-h1 panics on a header that is not ASCII. Catching the panic ends only this connection.
    let served = AssertUnwindSafe(server.accept()).catch_unwind().await;
    match served {
        Ok(Ok(())) => (),
        Ok(Err(error)) => log::debug!("connection closed: {error}"),
        Err(_) => log::warn!(
            "connection closed: the server panicked, probably because of a malformed request head"
        ),
    }
}

/// Handles a request. `None` closes the connection without a response.
async fn respond<S: RequestHandler>(
    mut request: Request,
    connection: CallerConnection,
    handler: &S,
    control: &Control,
) -> Option<Response> {
    let body = match read_body(&mut request, handler.max_body_bytes()).await {
        Ok(body) => body,
        Err(error) => return Some(error.into()),
    };
    let request = to_received_request(&request, body, connection);
    if request.path().starts_with("/standin/") {
        let response = control.handle_common(&request).or_else(|| handler.handle_control(&request));
        return Some(response.unwrap_or_else(|| text_response(404, "no such switch")));
    }
    let interrupted = async {
        control.wait_until_stopped_or(|faults| faults.down != Outage::None).await;
        (control.faults().down == Outage::Unavailable).then(|| text_response(503, "down"))
    };
    interrupted.or(respond_with_faults(request, handler, control)).await
}

/// Handles a request under all faults except `down`.
async fn respond_with_faults<S: RequestHandler>(
    request: ReceivedRequest,
    handler: &S,
    control: &Control,
) -> Option<Response> {
    let faults = control.faults();
    control.record_request(&request, &faults.planted);
    if faults.latency_ms > 0 {
        Timer::after(Duration::from_millis(faults.latency_ms)).await;
    }
    hang(control, &request.connection, HangPhase::Before).await?;
    if body_contains(&request.body, &faults.crash_on) {
        control.crash();
        return None;
    }
    let (method, connection) = (request.method.clone(), request.connection.clone());
    let response = handler.handle(request, &faults).await;
    hang(control, &connection, HangPhase::After).await?;
    let is_lost = control.should_drop_response(&method, control.faults().lose_answer_every);
    (!is_lost).then_some(response)
}

/// Waits while requests hang in this phase. Returns `None` if the caller disconnects.
async fn hang(control: &Control, connection: &CallerConnection, phase: HangPhase) -> Option<()> {
    if control.faults().hang != phase {
        return Some(());
    }
    let cleared = async {
        control.wait_until(|faults| faults.hang != phase).await;
        Some(())
    };
    let disconnected = async {
        connection.closed().await;
        None
    };
    cleared.or(disconnected).await
}

async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Vec<u8>, ErrorResponse> {
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
    read.map_err(|error| error_response(400, format!("body: {error}")))?;
    if body.len() > max_bytes {
        return Err(too_large().into());
    }
    // A truncated request must have no effect. async-h1 reports the end of a truncated body without
    // an error.
    match expected {
        Some(length) if length != body.len() => Err(error_response(400, "the body was cut")),
        _ => Ok(body),
    }
}

fn to_received_request(
    request: &Request,
    body: Vec<u8>,
    connection: CallerConnection,
) -> ReceivedRequest {
    let headers = request.iter().flat_map(|(name, values)| {
        let name = name.as_str().to_ascii_lowercase();
        values.iter().map(move |value| (name.clone(), value.as_str().to_owned()))
    });
    ReceivedRequest {
        method: request.method().to_string(),
        url: request.url().clone(),
        headers: headers.collect(),
        body,
        connection,
    }
}
