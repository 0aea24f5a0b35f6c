//! Counters and gauges, emitted through cadence and stored in memory for `/metrics`.
//!
//! Names have the form `trefoilring.{name}`. The unit is the last word if the value isn't a count.
//! A tag, such as a reason or an event kind, is the last part of the name. Separate labels aren't
//! needed, because the set of tags is small and fixed.

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
    values: Values,
}

type Values = Arc<Mutex<BTreeMap<String, i64>>>;

/// Parses the lines that cadence emits, adds up counters and stores the last value of gauges.
struct MemorySink {
    values: Values,
}

impl MetricSink for MemorySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let (name, rest) = metric.split_once(':').ok_or_else(invalid)?;
        let (value, kind) = rest.split_once('|').ok_or_else(invalid)?;
        let value: i64 = value.parse().map_err(|_| invalid())?;
        let mut values = self.values.lock().map_err(|_| invalid())?;
        let entry = values.entry(name.to_string()).or_default();
        *entry = if kind.starts_with('g') { value } else { *entry + value };
        Ok(metric.len())
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let values = Values::default();
        let sink = MemorySink { values: values.clone() };
        Self { client: Arc::new(StatsdClient::from_sink("trefoilring", sink)), values }
    }
}

impl Metrics {
    /// Adds `count` to the counter `trefoilring.{name}`.
    pub fn count(&self, name: &str, count: i64) {
        if let Err(error) = self.client.count(name, count) {
            log::debug!("can't update metric {name}: {error}");
        }
    }

    /// Sets the gauge `trefoilring.{name}`.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Err(error) = self.client.gauge(name, value) {
            log::debug!("can't update metric {name}: {error}");
        }
    }

    /// Returns all metrics in the order of their names, one `name value` per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Ok(values) = self.values.lock() {
            for (name, value) in values.iter() {
                let _ = writeln!(text, "{name} {value}");
            }
        }
        text
    }

    /// Returns the value of the metric `trefoilring.{name}`, or zero if it was never set.
    pub fn get(&self, name: &str) -> i64 {
        let full_name = format!("trefoilring.{name}");
        self.values.lock().map_or(0, |values| values.get(&full_name).copied().unwrap_or_default())
    }
}
