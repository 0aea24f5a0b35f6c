//! Reads server-sent events, with a limit on their size.

use {
    derive_more::{Display, Error, From},
    http_types::Body,
    smol::io::{AsyncBufReadExt, AsyncReadExt, BufReader, Take},
};

/// Maximum size of an event, including field names, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An error while reading an event.
#[derive(Debug, Display, Error, From)]
pub(super) enum SseError {
    #[display("the stream broke: {_0}")]
    Read(std::io::Error),
    #[display("an event is larger than {MAX_EVENT_BYTES} bytes")]
    #[from(skip)]
    TooLong,
    #[display("an event is not UTF-8")]
    #[from(skip)]
    NotUtf8,
}

/// Reads the data of events from a body.
///
/// Invariant: partially read events are stored here and not in a future, so that a caller can drop
/// the future of [`EventReader::next`] without losing data.
#[derive(Debug)]
pub(super) struct EventReader {
    /// The limit applies to one line; it is reset before each read.
    reader: Take<BufReader<Body>>,
    /// The current line, as far as read.
    line: Vec<u8>,
    /// The data of the current event, as far as read.
    data: Option<String>,
    /// Size of the current event, without the current line.
    event_bytes: usize,
}

impl EventReader {
    pub(super) fn new(body: Body) -> Self {
        let reader = BufReader::new(body).take(0);
        Self { reader, line: Vec::new(), data: None, event_bytes: 0 }
    }

    /// Returns the data of the next event, or `None` at the end of the body.
    ///
    /// Skips comments and fields other than `data`. Drops an event that is incomplete at the end of
    /// the body.
    pub(super) async fn next(&mut self) -> Result<Option<String>, SseError> {
        loop {
            let Some(line) = self.read_line().await? else {
                return Ok(None);
            };
            self.event_bytes += line.len();
            if self.event_bytes > MAX_EVENT_BYTES {
                return Err(SseError::TooLong);
            }
            if line.is_empty() {
                self.event_bytes = 0;
                match self.data.take() {
                    Some(data) => return Ok(Some(data)),
                    None => continue,
                }
            }
            if let Some(value) = line.strip_prefix("data:") {
                append_data(&mut self.data, value.strip_prefix(' ').unwrap_or(value));
            }
        }
    }

    /// Returns the next line without its line break, or `None` at the end of the body.
    async fn read_line(&mut self) -> Result<Option<String>, SseError> {
        self.reader.set_limit((MAX_EVENT_BYTES + 1 - self.line.len()) as u64);
        self.reader.read_until(b'\n', &mut self.line).await?;
        match self.line.last() {
            Some(b'\n') => self.line.pop(),
            Some(_) if self.line.len() > MAX_EVENT_BYTES => return Err(SseError::TooLong),
            _ => return Ok(None),
        };
        let mut line = std::mem::take(&mut self.line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        String::from_utf8(line).map(Some).map_err(|_| SseError::NotUtf8)
    }
}

fn append_data(data: &mut Option<String>, value: &str) {
    match data {
        None => *data = Some(value.into()),
        Some(data) => {
            data.push('\n');
            data.push_str(value);
        }
    }
}

#[cfg(test)]
mod tests;
