//! A time line as text for people.

use {
    super::{
        read::Entry,
        steps::{Phase, Step},
    },
    std::fmt::Write,
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
    trefoilring_core::event::{Event, Kind},
};

const MICROS_PER_S: u64 = 1_000_000;

/// Writes entries, one a line, then where the time of each step went.
pub(super) fn write(entries: &[Entry], steps: &[Step]) -> String {
    let mut text = String::new();
    let mut before_us = None;
    for entry in entries {
        let (at, ..) = entry.order();
        let since_us = before_us.map_or(0, |before| at.wall_us.saturating_sub(before));
        let line = match entry {
            Entry::Event(event) => {
                before_us = Some(at.wall_us);
                event_line(event, since_us)
            }
            Entry::Gap(gap) => {
                format!("--- gap: {} events of {} are missing here", gap.missing, gap.host)
            }
            Entry::Unreadable(line) => {
                format!("--- unreadable: {}:{}: {}", line.file, line.line, line.detail)
            }
        };
        // Writing to a string can't fail.
        let _ = writeln!(text, "{line}");
    }
    if !steps.is_empty() {
        text.push('\n');
        text.push_str(&step_table(steps));
    }
    text
}

fn event_line(event: &Event, since_us: u64) -> String {
    let mut line = format!(
        "{} {:>+12.3} ms  {:<14} {:<18}",
        wall(event.at.wall_us),
        since_us as f64 / 1000.0,
        event.host,
        kind_name(event.kind),
    );
    let ids = [
        ("program", event.program.as_deref()),
        ("step", event.step.as_deref()),
        ("request", event.request.as_deref()),
        ("team", event.team.as_deref()),
        ("upstream", event.upstream.as_deref()),
    ];
    for (name, id) in ids {
        if let Some(id) = id {
            let _ = write!(line, " {name}={id}");
        }
    }
    if let Some(epoch) = event.epoch {
        let _ = write!(line, " epoch={epoch}");
    }
    for (name, value) in &event.details {
        let _ = write!(line, " {name}={value}");
    }
    line.trim_end().to_owned()
}

/// Returns the name of a kind as it stands in logs.
pub(super) fn kind_name(kind: Kind) -> String {
    match serde_json::to_value(kind) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{kind:?}"),
    }
}

/// Returns a wall clock as text in UTC, always of the same width.
pub(super) fn wall(us: u64) -> String {
    let (seconds, micros) = (us / MICROS_PER_S, us % MICROS_PER_S);
    let time = i64::try_from(seconds).ok();
    let time = time.and_then(|seconds| OffsetDateTime::from_unix_timestamp(seconds).ok());
    match time.and_then(|time| time.format(&Rfc3339).ok()) {
        Some(text) => format!("{}.{micros:06}Z", text.trim_end_matches('Z')),
        None => format!("{us} us"),
    }
}

/// A table of steps with milliseconds by phase.
fn step_table(steps: &[Step]) -> String {
    let mut table = format!("{:<24} {:<18} {:>8}", "step", "upstream", "attempts");
    for phase in Phase::ALL {
        let _ = write!(table, " {:>12}", format!("{phase} ms"));
    }
    let _ = writeln!(table, " {:>12}  end", "total ms");
    for step in steps {
        let upstream = step.upstream.as_deref().unwrap_or("-");
        let _ = write!(table, "{:<24} {upstream:<18} {:>8}", step.step, step.attempts);
        for phase in Phase::ALL {
            let _ = write!(table, " {:>12.3}", step.phase_us(phase) as f64 / 1000.0);
        }
        let end = step.refusal.clone().unwrap_or_else(|| kind_name(step.end));
        let _ = writeln!(table, " {:>12.3}  {end}", step.total_us() as f64 / 1000.0);
    }
    table
}
