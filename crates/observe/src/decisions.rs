//! One JSON line on standard output for each decision.
//!
//! Lines are formatted where the decision is made and written by a thread of its own, in batches, so
//! that a reader that is slow never holds up traffic. Two bounds keep the volume down: each kind of
//! line has a rate, and the buffer a size. What is left out is counted, and the count written.

use {
    crate::log::wall_us,
    serde::Serialize,
    std::{
        collections::HashMap,
        io::{self, Write},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// Bytes that may wait for the writer.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// How long the writer gathers lines: each write wakes a thread.
const BATCH: Duration = Duration::from_millis(200);
/// Window over which lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How much of what is decided is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weight {
    /// Ordinary outcomes: up to 40 lines of a kind a second.
    Routine,
    /// Refusals and failures: up to 200 lines of a kind a second.
    Trouble,
    /// Starts, stops, dependencies: never left out by rate.
    Rare,
}

impl Weight {
    fn lines_per_s(self) -> u32 {
        match self {
            Self::Routine => 40,
            Self::Trouble => 200,
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
    wake: Condvar,
}

#[derive(Default)]
struct State {
    buffer: Vec<u8>,
    kinds: HashMap<&'static str, Kind>,
    is_closed: bool,
    left_out: u64,
}

struct Kind {
    window_start: Instant,
    lines: u32,
    left_out: u64,
}

#[derive(Serialize)]
struct Line<'a, T> {
    wall_us: u64,
    host: &'a str,
    kind: &'a str,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    fields: T,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl Decisions {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(host: &str, out: impl Write + Send + 'static) -> io::Result<Self> {
        let decisions = Self::without_writer(host);
        let shared = decisions.shared.clone();
        std::thread::Builder::new()
            .name("decisions".into())
            .spawn(move || write_batches(&shared, out))?;
        Ok(decisions)
    }

    /// Makes a log that nobody writes out, as tests want it.
    pub fn without_writer(host: &str) -> Self {
        let shared = Shared { state: Mutex::default(), wake: Condvar::new() };
        Self { host: host.into(), shared: Arc::new(shared) }
    }

    /// Notes a decision. `fields` must serialize as a map.
    pub fn note(&self, weight: Weight, kind: &'static str, fields: impl Serialize) {
        let Ok(mut state) = self.shared.state.lock() else { return };
        let Some(left_out) = state.admit(Instant::now(), weight, kind) else { return };
        let line = Line { wall_us: wall_us(), host: &self.host, kind, left_out, fields };
        let Ok(mut text) = serde_json::to_vec(&line) else {
            debug_assert!(false, "fields of {kind} are no map");
            return;
        };
        text.push(b'\n');
        if state.buffer.len() + text.len() > BUFFER_BYTES_MAX {
            state.left_out += 1;
            return;
        }
        let was_empty = state.buffer.is_empty();
        state.buffer.extend_from_slice(&text);
        drop(state);
        if was_empty {
            self.shared.wake.notify_one();
        }
    }

    /// Takes what waits to be written.
    pub fn take(&self) -> String {
        let Ok(mut state) = self.shared.state.lock() else { return String::new() };
        String::from_utf8_lossy(&std::mem::take(&mut state.buffer)).into_owned()
    }

    /// Returns how many lines the full buffer has kept out.
    pub fn dropped(&self) -> u64 {
        self.shared.state.lock().map_or(0, |state| state.left_out)
    }

    /// Writes what waits and ends the writer.
    pub fn close(&self) {
        if let Ok(mut state) = self.shared.state.lock() {
            state.is_closed = true;
        }
        self.shared.wake.notify_one();
    }
}

impl State {
    /// Returns how many lines of the kind were left out before this one, or `None` to leave it out.
    fn admit(&mut self, now: Instant, weight: Weight, kind: &'static str) -> Option<u64> {
        let fresh = Kind { window_start: now, lines: 0, left_out: 0 };
        let entry = self.kinds.entry(kind).or_insert(fresh);
        if now.duration_since(entry.window_start) >= WINDOW {
            entry.window_start = now;
            entry.lines = 0;
        }
        if entry.lines >= weight.lines_per_s() {
            entry.left_out += 1;
            return None;
        }
        entry.lines += 1;
        Some(std::mem::take(&mut entry.left_out))
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
            std::thread::sleep(BATCH);
        }
        let Ok(mut state) = shared.state.lock() else { return };
        let batch = std::mem::take(&mut state.buffer);
        drop(state);
        // Nobody is left to tell when the output itself fails.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        if is_closed {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
