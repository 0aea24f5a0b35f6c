//! Formats a timeline as text.

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

/// Formats entries, one per line, followed by a table of the steps and their phases.
pub(super) fn render(entries: &[Entry], steps: &[Step]) -> String {
    let mut text = String::new();
    let mut previous_us = None;
    for entry in entries {
        let (at, ..) = entry.sort_key();
        let since_us = previous_us.map_or(0, |previous| at.wall_us.saturating_sub(previous));
        let line = match entry {
            Entry::Event(event) => {
                previous_us = Some(at.wall_us);
                event_line(event, since_us)
            }
            Entry::Gap(gap) => {
                format!("--- gap: {} events of {} are missing here", gap.missing, gap.host)
            }
            Entry::Unreadable(line) => {
                format!("--- unreadable: {}:{}: {}", line.file, line.line, line.detail)
            }
        };
        // Writing to a string does not fail.
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
        format_wall_time(event.at.wall_us),
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

/// Returns the name of a kind as written in the logs.
pub(super) fn kind_name(kind: Kind) -> String {
    match serde_json::to_value(kind) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{kind:?}"),
    }
}

/// Formats a wall-clock time in UTC with a constant width.
pub(super) fn format_wall_time(us: u64) -> String {
    let (seconds, micros) = (us / MICROS_PER_S, us % MICROS_PER_S);
    let time = i64::try_from(seconds).ok();
    let time = time.and_then(|seconds| OffsetDateTime::from_unix_timestamp(seconds).ok());
    match time.and_then(|time| time.format(&Rfc3339).ok()) {
        Some(text) => format!("{}.{micros:06}Z", text.trim_end_matches('Z')),
        None => format!("{us} us"),
    }
}

/// Formats a table of steps with the milliseconds in each phase.
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
