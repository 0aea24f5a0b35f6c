//! Counters and gauges, emitted through cadence and stored in memory for `/metrics`.
//!
//! Names have the form `trefoilring.{what}`. The unit is the last word if the value isn't a count.
//! A tag, such as a reason or an event kind, is the last part of the name, which keeps the table
//! flat: the set of tags is small and fixed.

use {
    cadence::{MetricSink, StatsdClient, prelude::*},
    std::{
        collections::BTreeMap,
        fmt::Write,
        io,
        sync::{Arc, Mutex},
    },
};

/// Counters and gauges of one host. Clones share the values.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    table: Table,
}

type Table = Arc<Mutex<BTreeMap<String, i64>>>;

/// Parses the lines that cadence emits, adds up counters and stores the last value of gauges.
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
    /// Adds `count` to the counter `trefoilring.{name}`.
    pub fn count(&self, name: &str, count: i64) {
        if let Err(error) = self.client.count(name, count) {
            log::debug!("metric {name}: {error}");
        }
    }

    /// Sets the gauge `trefoilring.{name}`.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Err(error) = self.client.gauge(name, value) {
            log::debug!("metric {name}: {error}");
        }
    }

    /// Returns all metrics in the order of their names, one `name value` per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Ok(table) = self.table.lock() {
            for (name, value) in table.iter() {
                let _ = writeln!(text, "{name} {value}");
            }
        }
        text
    }

    /// Returns the value of the metric `trefoilring.{name}`, or zero if it was never set.
    pub fn get(&self, name: &str) -> i64 {
        let full_name = format!("trefoilring.{name}");
        self.table.lock().map_or(0, |table| table.get(&full_name).copied().unwrap_or_default())
    }
}
