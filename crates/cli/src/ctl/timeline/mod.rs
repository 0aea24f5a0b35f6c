//! The command `timeline`: merges the event logs of several hosts.

mod filter;
mod html;
mod read;
mod steps;
#[cfg(test)]
mod tests;
mod text;
mod trace;

use {
    super::{
        context::{Context, Output, write_stdout},
        error::CtlError,
    },
    clap::ArgMatches,
    filter::Filter,
    read::Entry,
    serde_json::json,
    std::{fs, path::PathBuf},
    steps::{Step, steps},
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Merges logs, filters the entries and writes them in the requested format.
pub(super) fn run(context: &Context, matches: &ArgMatches) -> Result<(), CtlError> {
    let filter = Filter::try_from(matches)?;
    let logs: Vec<&PathBuf> = matches.get_many("logs").into_iter().flatten().collect();
    let entries = filter.apply(read::merge(&logs)?);
    let steps = steps(&entries);
    let format = matches.get_one::<String>("format").map(String::as_str);
    let text = match (format, context.output) {
        (Some("trace"), _) => trace::render(&entries, &steps),
        (Some("html"), _) => html::render(&entries, &steps),
        (Some("json"), _) | (None, Output::Json) => json_lines(&entries, &steps),
        _ => text::render(&entries, &steps),
    };
    match matches.get_one::<PathBuf>("write") {
        None => write_stdout(text.as_bytes()),
        Some(path) => {
            let name = path.display().to_string();
            fs::write(path, text).map_err(|error| CtlError::File { name, error })
        }
    }
}

/// Formats entries and steps as JSON lines. Events have the same form as in the logs; other entries
/// are objects with the single key `gap`, `unreadable` or `summary`.
fn json_lines(entries: &[Entry], steps: &[Step]) -> String {
    let entries = entries.iter().map(|entry| match entry {
        Entry::Event(event) => json!(event),
        Entry::Gap(gap) => json!({ "gap": gap }),
        Entry::Unreadable(line) => json!({ "unreadable": line }),
    });
    let steps = steps.iter().map(|step| json!({ "summary": step }));
    entries.chain(steps).map(|line| format!("{line}\n")).collect()
}

impl TryFrom<&ArgMatches> for Filter {
    type Error = CtlError;

    fn try_from(matches: &ArgMatches) -> Result<Self, CtlError> {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        Ok(Self {
            program: text("program"),
            request: text("request"),
            step: text("step"),
            upstream: text("upstream"),
            team: text("team"),
            host: text("host"),
            from_us: time_us_arg(matches, "from")?,
            to_us: time_us_arg(matches, "to")?,
            last_us: matches.get_one::<u64>("last-ms").map(|ms| ms.saturating_mul(1000)),
        })
    }
}

fn time_us_arg(matches: &ArgMatches, flag: &str) -> Result<Option<u64>, CtlError> {
    let Some(value) = matches.get_one::<String>(flag) else { return Ok(None) };
    let time = OffsetDateTime::parse(value, &Rfc3339).ok();
    let us = time.and_then(|time| u64::try_from(time.unix_timestamp_nanos() / 1000).ok());
    us.map(Some).ok_or_else(|| {
        CtlError::Usage(format!(
            "--{flag}: {value:?} is not accepted; accepted: a time since 1970 such as \
             2026-01-31T08:00:00Z"
        ))
    })
}
