//! A request as the stand-ins see it, and answers to it.

use {
    http_types::{Body, Response, StatusCode, Url},
    smol::net::TcpStream,
    std::future::pending,
};

/// A whole request.
#[derive(Debug)]
pub(crate) struct Received {
    /// Upper-case method.
    pub method: String,
    /// Path and query.
    pub url: Url,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The connection, to notice that the caller went away.
    pub peer: Peer,
}

impl Received {
    pub(crate) fn path(&self) -> &str {
        self.url.path()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| &**value)
    }

    /// Returns a query parameter, decoded.
    pub(crate) fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.url.query_pairs();
        pairs.find(|(other, _)| other == name).map(|(_, value)| value.into_owned())
    }

    /// Returns a numeric query parameter, or an answer that names it.
    pub(crate) fn number(&self, name: &str, default: u64) -> Result<u64, Refused> {
        match self.query(name) {
            None => Ok(default),
            Some(text) => text
                .parse()
                .map_err(|_| refused(400, format!("{name}={text}: expected a whole number"))),
        }
    }

    /// Returns a numeric header, or an answer that names it.
    pub(crate) fn number_header(&self, name: &str) -> Result<Option<u64>, Refused> {
        let Some(text) = self.header(name) else { return Ok(None) };
        let number = text.parse();
        number
            .map(Some)
            .map_err(|_| refused(400, format!("{name}: {text}: expected a whole number")))
    }

    /// Reads the body as JSON, or returns an answer that says what is wrong.
    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, Refused> {
        serde_json::from_slice(&self.body).map_err(|error| refused(400, format!("body: {error}")))
    }

    pub(crate) fn contains(&self, text: &str) -> bool {
        let in_headers =
            self.headers.iter().any(|(name, value)| name.contains(text) || value.contains(text));
        in_headers || self.url.as_str().contains(text) || body_contains(&self.body, text)
    }
}

/// Returns whether a body contains a text.
pub(crate) fn body_contains(body: &[u8], text: &str) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|window| window == text.as_bytes())
}

/// The caller's end of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Peer(pub(crate) TcpStream);

impl Peer {
    /// Completes when the caller has closed the connection.
    pub(crate) async fn closed(&self) {
        match self.0.peek(&mut [0]).await {
            Ok(0) | Err(_) => (),
            // The caller has sent its next request early; whether it then closes shows when that
            // request is read.
            Ok(_) => pending().await,
        }
    }
}

/// An answer that refuses a request, for use with `?`.
#[derive(Debug)]
pub(crate) struct Refused(Box<Response>);

impl From<Response> for Refused {
    fn from(response: Response) -> Self {
        Self(Box::new(response))
    }
}

impl From<Refused> for Response {
    fn from(refused: Refused) -> Self {
        *refused.0
    }
}

/// Refuses a request with a status and one sentence.
pub(crate) fn refused(status: u16, text: impl Into<String>) -> Refused {
    text_response(status, text).into()
}

/// Makes an answer of plain text.
pub(crate) fn text_response(status: u16, text: impl Into<String>) -> Response {
    let mut response = empty_response(status);
    response.set_body(text.into());
    response
}

/// Makes an answer of JSON.
pub(crate) fn json_response(value: &impl serde::Serialize) -> Response {
    let body = match serde_json::to_vec(value) {
        Ok(body) => body,
        Err(error) => return text_response(500, error.to_string()),
    };
    let mut response = empty_response(200);
    response.set_body(Body::from_bytes(body));
    response.insert_header("content-type", "application/json");
    response
}

/// Makes an answer without a body.
pub(crate) fn empty_response(status: u16) -> Response {
    Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError))
}
