//! Requests as the stand-ins receive them, and constructors for responses.

use {
    http_types::{Body, Response, StatusCode, Url},
    smol::net::TcpStream,
    std::future::pending,
};

/// A completely received request.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    /// Method in upper case.
    pub method: String,
    /// Path and query.
    pub url: Url,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The connection, to detect that the caller disconnects.
    pub connection: CallerConnection,
}

impl ReceivedRequest {
    pub(crate) fn path(&self) -> &str {
        self.url.path()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| &**value)
    }

    /// Returns a decoded query parameter.
    pub(crate) fn query_param(&self, name: &str) -> Option<String> {
        let mut pairs = self.url.query_pairs();
        pairs.find(|(other, _)| other == name).map(|(_, value)| value.into_owned())
    }

    /// Returns a numeric query parameter, or `default` if it is absent. If the value is not a whole
    /// number, returns a 400 response that names the parameter.
    pub(crate) fn query_number(&self, name: &str, default: u64) -> Result<u64, ErrorResponse> {
        match self.query_param(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| {
                error_response(400, format!("{name}={text}: expected a whole number"))
            }),
        }
    }

    /// Returns a numeric header, or `None` if it is absent. If the value is not a whole number,
    /// returns a 400 response that names the header.
    pub(crate) fn header_number(&self, name: &str) -> Result<Option<u64>, ErrorResponse> {
        let Some(text) = self.header(name) else { return Ok(None) };
        let number = text.parse();
        number
            .map(Some)
            .map_err(|_| error_response(400, format!("{name}: {text}: expected a whole number")))
    }

    /// Parses the body as JSON, or returns 400 with the cause.
    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, ErrorResponse> {
        serde_json::from_slice(&self.body)
            .map_err(|error| error_response(400, format!("body: {error}")))
    }

    pub(crate) fn contains(&self, text: &str) -> bool {
        let in_headers =
            self.headers.iter().any(|(name, value)| name.contains(text) || value.contains(text));
        in_headers || self.url.as_str().contains(text) || body_contains(&self.body, text)
    }
}

/// Returns whether a body contains `text`. Always false for an empty text.
pub(crate) fn body_contains(body: &[u8], text: &str) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|window| window == text.as_bytes())
}

/// A caller's connection.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnection(pub(crate) TcpStream);

impl CallerConnection {
    /// Waits until the caller has closed the connection.
    pub(crate) async fn closed(&self) {
        match self.0.peek(&mut [0]).await {
            Ok(0) | Err(_) => (),
            // The caller has already sent its next request. A disconnect is then detected when the
            // next request is read.
            Ok(_) => pending().await,
        }
    }
}

/// A response that rejects a request, for use with `?`.
#[derive(Debug)]
pub(crate) struct ErrorResponse(Box<Response>);

impl From<Response> for ErrorResponse {
    fn from(response: Response) -> Self {
        Self(Box::new(response))
    }
}

impl From<ErrorResponse> for Response {
    fn from(error: ErrorResponse) -> Self {
        *error.0
    }
}

/// Creates a response that rejects a request.
pub(crate) fn error_response(status: u16, text: impl Into<String>) -> ErrorResponse {
    text_response(status, text).into()
}

/// Creates a response with a plain-text body.
pub(crate) fn text_response(status: u16, text: impl Into<String>) -> Response {
    let mut response = empty_response(status);
    response.set_body(text.into());
    response
}

/// Creates a response with a JSON body.
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

/// Creates a response without a body.
pub(crate) fn empty_response(status: u16) -> Response {
    Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError))
}
