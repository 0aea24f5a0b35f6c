//! Decision lines: one JSON line on standard output for each decision.
//!
//! The calling thread formats a line, and a separate thread writes lines in batches, so that a slow
//! reader never blocks traffic. Two limits bound the volume: a rate for each kind of line, and the
//! size of the buffer. The next line of a kind carries the number of lines that the rate limit has
//! suppressed. [`Decisions::dropped`] returns the number of lines that a full buffer has dropped.

use {
    crate::{log::wall_us, rate::RateLimits},
    serde::Serialize,
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// Maximum size of the lines that wait for the writer.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// How long the writer collects lines before each write, to limit thread wake-ups.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Selects the rate limit of a kind of decision line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineRate {
    /// Ordinary outcomes: up to 40 lines per kind and second.
    Routine,
    /// Refusals and failures: up to 200 lines per kind and second.
    Failure,
    /// Starts and stops of the host, and changes in its dependencies: no rate limit.
    Rare,
}

impl LineRate {
    fn lines_per_s(self) -> u32 {
        match self {
            Self::Routine => 40,
            Self::Failure => 200,
            Self::Rare => u32::MAX,
        }
    }
}

/// Writes decision lines. Clones share the buffer.
#[derive(Clone)]
pub struct Decisions {
    host: Arc<str>,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Wakes the writer when the buffer gets its first line, and on [`Decisions::close`].
    wake: Condvar,
}

#[derive(Default)]
struct State {
    buffer: Vec<u8>,
    /// Rate limits by kind of line.
    rates: RateLimits<&'static str>,
    is_closed: bool,
    /// Lines dropped because the buffer was full.
    dropped: u64,
}

#[derive(Serialize)]
struct Line<'a, T> {
    wall_us: u64,
    host: &'a str,
    kind: &'a str,
    /// Lines of this kind that the rate limit suppressed since the previous line.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    fields: T,
}

pub(crate) fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl Decisions {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(host: &str, out: impl Write + Send + 'static) -> io::Result<Self> {
        let decisions = Self::without_writer(host);
        let shared = decisions.shared.clone();
        std::thread::Builder::new()
            .name("decisions".into())
            .spawn(move || write_batches(&shared, out))?;
        Ok(decisions)
    }

    /// Creates an instance without a writer thread, for tests. Lines stay in the buffer until
    /// [`Self::take`].
    pub fn without_writer(host: &str) -> Self {
        let shared = Shared { state: Mutex::default(), wake: Condvar::new() };
        Self { host: host.into(), shared: Arc::new(shared) }
    }

    /// Logs a decision, unless the rate limit of `line_rate` suppresses it or the buffer is full.
    /// `fields` must serialize as a map.
    pub fn log(&self, line_rate: LineRate, kind: &'static str, fields: impl Serialize) {
        let Ok(mut state) = self.shared.state.lock() else { return };
        let Some(left_out) = state.rates.admit(Instant::now(), kind, line_rate.lines_per_s())
        else {
            return;
        };
        let line = Line { wall_us: wall_us(), host: &self.host, kind, left_out, fields };
        let Ok(mut text) = serde_json::to_vec(&line) else {
            debug_assert!(false, "fields of {kind} must serialize as a map");
            return;
        };
        text.push(b'\n');
        if state.buffer.len() + text.len() > BUFFER_BYTES_MAX {
            state.dropped += 1;
            return;
        }
        let was_empty = state.buffer.is_empty();
        state.buffer.extend_from_slice(&text);
        drop(state);
        if was_empty {
            self.shared.wake.notify_one();
        }
    }

    /// Removes and returns the buffered lines.
    pub fn take(&self) -> String {
        let Ok(mut state) = self.shared.state.lock() else { return String::new() };
        String::from_utf8_lossy(&std::mem::take(&mut state.buffer)).into_owned()
    }

    /// Returns the number of lines dropped because the buffer was full.
    pub fn dropped(&self) -> u64 {
        self.shared.state.lock().map_or(0, |state| state.dropped)
    }

    /// Makes the writer thread write the buffered lines and exit. Returns without waiting for the
    /// thread to exit.
    pub fn close(&self) {
        if let Ok(mut state) = self.shared.state.lock() {
            state.is_closed = true;
        }
        self.shared.wake.notify_one();
    }
}

fn write_batches(shared: &Shared, mut out: impl Write) {
    loop {
        let Ok(state) = shared.state.lock() else { return };
        let waited =
            shared.wake.wait_while(state, |state| state.buffer.is_empty() && !state.is_closed);
        let Ok(state) = waited else { return };
        let is_closed = state.is_closed;
        drop(state);
        if !is_closed {
            std::thread::sleep(BATCH_INTERVAL);
        }
        let Ok(mut state) = shared.state.lock() else { return };
        let batch = std::mem::take(&mut state.buffer);
        drop(state);
        // A failure of the output can't be reported: this is the reporting channel.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        if is_closed {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
