//! Logs as JSON lines.
//!
//! simplelog has no JSON output, but its `CombinedLogger` accepts any [`SharedLogger`]. This module
//! implements one that writes JSON. The library still sets the global level filter.
//!
//! A thread of its own writes the lines, so that a reader of standard error that is late, or never
//! reads, stops no other thread. Three limits bound the volume: a rate for each place in the code, the
//! size of a message, and the number of lines that wait. Lines that find no room are dropped and
//! counted.

use {
    crate::{decisions::is_zero, rate::RateLimits},
    log::{LevelFilter, Log, Metadata, Record, SetLoggerError},
    simplelog::{CombinedLogger, Config, SharedLogger},
    std::{
        io::{self, Write},
        sync::{Mutex, OnceLock},
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
    tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard},
};

/// Maximum number of lines that wait for the writer.
const LINES_MAX: usize = 256;
/// Maximum size of a message. The rest is cut off.
const MESSAGE_BYTES_MAX: usize = 2048;
/// Maximum number of lines from one place in the code.
const LINES_PER_S: u32 = 50;

/// Counts the lines that the process has dropped.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// The JSON fields of one log line.
#[derive(serde::Serialize)]
struct Line<'a> {
    wall_us: u64,
    level: &'a str,
    target: &'a str,
    host: &'a str,
    message: String,
    /// Lines of this place in the code that the rate limit suppressed since the previous one.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    /// Lines that were dropped since the last line that found room.
    #[serde(skip_serializing_if = "is_zero")]
    dropped: u64,
}

/// Writes the lines of the process that wait when it is dropped. Gives up after about a second if nobody
/// reads them.
pub struct LogWriter {
    _guard: WorkerGuard,
}

/// Passes each record with a level of at most `level` to the writer.
struct JsonLogger {
    level: LevelFilter,
    host: String,
    state: Mutex<State>,
}

struct State {
    out: NonBlocking,
    /// Rate limits by module and line.
    rates: RateLimits<(Option<&'static str>, Option<u32>)>,
    /// Number of dropped lines that a line has told.
    told_dropped: u64,
}

/// Sends all logs of this process to standard error as JSON lines. Call it once per process, and keep the
/// writer until its end.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn init(level: LevelFilter, host: &str) -> Result<LogWriter, SetLoggerError> {
    let (logger, writer) = JsonLogger::start(level, host, io::stderr());
    let counter = logger.dropped_counter();
    CombinedLogger::init(vec![Box::new(logger)])?;
    if let Some(counter) = counter {
        // Set once, as the logger is.
        let _ = DROPPED.set(counter);
    }
    Ok(writer)
}

/// Returns the number of lines that found no room since the start of the process.
pub fn dropped() -> u64 {
    DROPPED.get().map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Returns a message, cut off at [`MESSAGE_BYTES_MAX`].
fn bounded(mut message: String) -> String {
    message.truncate(message.floor_char_boundary(MESSAGE_BYTES_MAX));
    message
}

impl JsonLogger {
    /// Starts the writer.
    fn start(
        level: LevelFilter,
        host: &str,
        out: impl Write + Send + 'static,
    ) -> (Self, LogWriter) {
        let builder = NonBlockingBuilder::default().lossy(true).thread_name("log");
        let (out, guard) = builder.buffered_lines_limit(LINES_MAX).finish(out);
        let state = State { out, rates: RateLimits::default(), told_dropped: 0 };
        let logger = Self { level, host: host.into(), state: Mutex::new(state) };
        (logger, LogWriter { _guard: guard })
    }

    fn dropped_counter(&self) -> Option<ErrorCounter> {
        Some(self.state.lock().ok()?.out.error_counter())
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Ok(mut state) = self.state.lock() else { return };
        let place = (record.module_path_static(), record.line());
        let Some(left_out) = state.rates.admit(Instant::now(), place, LINES_PER_S) else { return };
        let counter = state.out.error_counter();
        let dropped = counter.dropped_lines() as u64;
        let line = Line {
            wall_us: wall_us(),
            level: record.level().as_str(),
            target: record.target(),
            host: &self.host,
            message: bounded(record.args().to_string()),
            left_out,
            dropped: dropped - state.told_dropped,
        };
        let Ok(mut text) = serde_json::to_string(&line) else { return };
        text.push('\n');
        // Never fails: a line without room is counted.
        let _ = state.out.write_all(text.as_bytes());
        if counter.dropped_lines() as u64 == dropped {
            state.told_dropped = dropped;
        }
    }

    /// Does nothing: the writer flushes when no line waits.
    fn flush(&self) {}
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

#[cfg(test)]
mod tests;
