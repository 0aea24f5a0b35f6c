//! Logs as JSON lines.
//!
//! simplelog has no JSON output, but its `CombinedLogger` accepts any [`SharedLogger`]. This module
//! implements one that writes JSON. The library still sets the global level filter.

use {
    log::{LevelFilter, Log, Metadata, Record, SetLoggerError},
    simplelog::{CombinedLogger, Config, SharedLogger},
    std::{
        io::{self, Write},
        sync::Mutex,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// The JSON fields of one log line.
#[derive(serde::Serialize)]
struct Line<'a> {
    wall_us: u64,
    level: &'a str,
    target: &'a str,
    host: &'a str,
    message: String,
}

/// Writes each record with a level of at most `level` to `out`.
struct JsonLogger<W> {
    level: LevelFilter,
    host: String,
    out: Mutex<W>,
}

/// Sends all logs of this process to standard error as JSON lines. Call it once per process.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn init(level: LevelFilter, host: &str) -> Result<(), SetLoggerError> {
    let out = Mutex::new(io::stderr());
    CombinedLogger::init(vec![Box::new(JsonLogger { level, host: host.into(), out })])
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

impl<W: Write + Send + 'static> Log for JsonLogger<W> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = Line {
            wall_us: wall_us(),
            level: record.level().as_str(),
            target: record.target(),
            host: &self.host,
            message: record.args().to_string(),
        };
        let Ok(mut text) = serde_json::to_string(&line) else { return };
        text.push('\n');
        // A failed write to the log must not stop the host.
        if let Ok(mut out) = self.out.lock() {
            let _ = out.write_all(text.as_bytes());
        }
    }

    fn flush(&self) {
        if let Ok(mut out) = self.out.lock() {
            let _ = out.flush();
        }
    }
}

impl<W: Write + Send + 'static> SharedLogger for JsonLogger<W> {
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
