//! Reads server-sent events, bounded.

use {
    derive_more::{Display, Error, From},
    http_types::Body,
    smol::io::{AsyncBufReadExt, AsyncReadExt, BufReader, Take},
};

/// The largest event, with its field names.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why no event could be read.
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
/// Invariant: what was read of an event is kept here and not in a future, so that a caller may drop
/// a wait and come back.
#[derive(Debug)]
pub(super) struct EventReader {
    /// The limit bounds one line; it is set anew before each read.
    reader: Take<BufReader<Body>>,
    /// The line read so far.
    line: Vec<u8>,
    /// Data of the event so far.
    data: Option<String>,
    /// Bytes of the event so far, without the line under way.
    event_bytes: usize,
}

impl EventReader {
    pub(super) fn new(body: Body) -> Self {
        let reader = BufReader::new(body).take(0);
        Self { reader, line: Vec::new(), data: None, event_bytes: 0 }
    }

    /// Returns the data of the next event, or `None` at the end of the body.
    ///
    /// Lines of other fields and comments are skipped. An event that the end cuts off is dropped.
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

    /// Returns a line without its end.
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
