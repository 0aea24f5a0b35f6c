//! HTTP client that acts as a caller. Reads JSON responses and streams of server-sent events.

use {
    derive_more::{Display, Error, From},
    http_types::{Body, Method, Request, Response, Url},
    serde_json::Value,
    smol::{
        io::{AsyncBufReadExt, BufReader},
        net::TcpStream,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// A request without a valid response. The caller can't tell whether the request ran.
#[derive(Debug, Display, Error, From)]
pub enum CallerError {
    /// The connection failed.
    #[display("connection: {_0}")]
    Io(std::io::Error),
    /// The request's URL or the response is malformed.
    #[display("malformed request URL or response: {detail}")]
    Malformed {
        /// The cause.
        #[error(not(source))]
        detail: String,
    },
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The body as JSON; null if the body is not JSON.
    pub json: Value,
    /// The body as received.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns whether the status is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns a text field of the JSON body, or an empty text if there is none.
    pub fn text(&self, field: &str) -> &str {
        self.json.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns the text of a completion's first choice, or an empty text if there is none.
    pub fn completion(&self) -> &str {
        let content = self.json.pointer("/choices/0/message/content");
        content.and_then(Value::as_str).unwrap_or_default()
    }
}

/// A streamed response, read to its end.
#[derive(Clone, Debug)]
pub struct SseReply {
    /// HTTP status.
    pub status: u16,
    /// The data of all events except the final `[DONE]`.
    pub events: Vec<String>,
    /// Whether the final `[DONE]` arrived.
    pub is_complete: bool,
    /// Time from the request to the first event with text.
    pub time_to_first_text: Option<Duration>,
    /// Time from the request to the end of the response.
    pub total: Duration,
}

impl SseReply {
    /// Returns the concatenated text of all events.
    pub fn text(&self) -> String {
        let content = |event: &String| {
            let event: Value = serde_json::from_str(event).ok()?;
            Some(event.pointer("/choices/0/delta/content")?.as_str()?.to_string())
        };
        self.events.iter().filter_map(content).collect()
    }
}

/// A caller with one key. Uses a new connection for each request, like requests that pass through a
/// load balancer.
#[derive(Clone, Debug)]
pub struct CallerClient {
    key: String,
}

impl CallerClient {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: impl Into<String>) -> Self {
        Self { key: key.into() }
    }

    /// Sends a request with additional `headers` and reads the complete response.
    pub async fn send(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Reply, CallerError> {
        let mut response = self.send_request(host, method, path, headers, body).await?;
        let body = response.body_bytes().await.map_err(malformed)?;
        let json = serde_json::from_slice(&body).unwrap_or_default();
        Ok(Reply { status: response.status().into(), json, body })
    }

    /// Sends a POST request with additional `headers` and reads the events of its response.
    pub async fn stream(
        &self,
        host: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<SseReply, CallerError> {
        let started = Instant::now();
        let response = self.send_request(host, Method::Post, path, headers, Some(body)).await?;
        let status = response.status().into();
        let mut reply = SseReply {
            status,
            events: Vec::new(),
            is_complete: false,
            time_to_first_text: None,
            total: Duration::ZERO,
        };
        let mut reader = BufReader::new(response);
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line).await? == 0 {
                break;
            }
            match line.trim_end().strip_prefix("data: ") {
                Some("[DONE]") => reply.is_complete = true,
                Some(data) => {
                    let has_text =
                        data.contains("\"content\":\"") && !data.contains("\"content\":\"\"");
                    if has_text {
                        reply.time_to_first_text.get_or_insert_with(|| started.elapsed());
                    }
                    reply.events.push(data.to_string());
                }
                None => (),
            }
        }
        reply.total = started.elapsed();
        Ok(reply)
    }

    async fn send_request(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Response, CallerError> {
        let url = Url::parse(&format!("http://{host}{path}"));
        let url = url.map_err(|error| CallerError::Malformed { detail: error.to_string() })?;
        let mut request = Request::new(method, url);
        request.insert_header("Authorization", format!("Bearer {}", self.key));
        request.insert_header("Connection", "close");
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        if let Some(body) = body {
            request.set_body(Body::from_string(body.to_string()));
            request.set_content_type(http_types::mime::JSON);
        }
        let stream = TcpStream::connect(host).await?;
        stream.set_nodelay(true)?;
        async_h1::connect(stream, request).await.map_err(malformed)
    }
}

fn malformed(error: http_types::Error) -> CallerError {
    CallerError::Malformed { detail: error.to_string() }
}
