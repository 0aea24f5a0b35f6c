//! Metrics: cadence counts them, a table in memory keeps them for `/metrics`.
//!
//! Names are `trefoilring.{what}`, with the unit as the last word where it isn't a count. A tag in
//! the name's last part keeps the table flat: reasons and event kinds are few and fixed.

use {
    cadence::{MetricSink, StatsdClient, prelude::*},
    std::{
        collections::BTreeMap,
        fmt::Write,
        io,
        sync::{Arc, Mutex},
    },
};

/// Counts and gauges of one host.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    table: Table,
}

type Table = Arc<Mutex<BTreeMap<String, i64>>>;

/// Keeps totals of what cadence emits.
struct TableSink {
    table: Table,
}

impl MetricSink for TableSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let (name, rest) = metric.split_once(':').ok_or_else(invalid)?;
        let (value, kind) = rest.split_once('|').ok_or_else(invalid)?;
        let value: i64 = value.parse().map_err(|_| invalid())?;
        let mut table = self.table.lock().map_err(|_| invalid())?;
        let entry = table.entry(name.to_string()).or_default();
        *entry = if kind.starts_with('g') { value } else { *entry + value };
        Ok(metric.len())
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let table = Table::default();
        let sink = TableSink { table: table.clone() };
        Self { client: Arc::new(StatsdClient::from_sink("trefoilring", sink)), table }
    }
}

impl Metrics {
    /// Adds to a counter.
    pub fn count(&self, name: &str, count: i64) {
        if let Err(error) = self.client.count(name, count) {
            log::debug!("metric {name}: {error}");
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Err(error) = self.client.gauge(name, value) {
            log::debug!("metric {name}: {error}");
        }
    }

    /// All metrics, one `name value` a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Ok(table) = self.table.lock() {
            for (name, value) in table.iter() {
                let _ = writeln!(text, "{name} {value}");
            }
        }
        text
    }

    /// The value of one metric, zero if it was never set.
    pub fn get(&self, name: &str) -> i64 {
        let full_name = format!("trefoilring.{name}");
        self.table.lock().map_or(0, |table| table.get(&full_name).copied().unwrap_or_default())
    }
}
