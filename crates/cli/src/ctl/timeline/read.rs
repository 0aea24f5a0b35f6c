//! Reads event logs and merges them into one sequence, ordered by timestamp.

use {
    crate::ctl::error::CtlError,
    std::{collections::BTreeMap, fs, path::Path},
    trefoilring_core::{
        event::{Event, Kind},
        hlc::Stamp,
        ids::HostId,
    },
};

/// One entry of a timeline.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Entry {
    Event(Event),
    Gap(Gap),
    Unreadable(Unreadable),
}

/// A run of events that are missing from the log of one host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(super) struct Gap {
    pub host: HostId,
    /// Timestamp of the event before the gap; `None` at the start of a log.
    pub after: Option<Stamp>,
    /// Timestamp of the event after the gap.
    pub before: Stamp,
    /// Number of missing events.
    pub missing: u64,
}

/// A line that is not an event, such as the truncated last line of a killed process.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(super) struct Unreadable {
    /// File name as given by the user.
    pub file: String,
    /// Line number, counted from 1.
    pub line: usize,
    /// The parser's error.
    pub detail: String,
    /// Timestamp of the event before the line.
    pub after: Stamp,
}

impl Entry {
    /// Returns the sort key. A gap or an unreadable line sorts directly after the event before it.
    pub fn sort_key(&self) -> (Stamp, u8, HostId, u64) {
        match self {
            Self::Event(event) => (event.at, 0, event.host.clone(), event.sequence),
            Self::Gap(gap) => (gap.after.unwrap_or_default(), 1, gap.host.clone(), 0),
            Self::Unreadable(line) => (line.after, 2, "".into(), line.line as u64),
        }
    }
}

/// Reads files and merges their entries in the order of their timestamps.
pub(super) fn merge(files: &[impl AsRef<Path>]) -> Result<Vec<Entry>, CtlError> {
    let mut entries = Vec::new();
    for file in files {
        let name = file.as_ref().display().to_string();
        // The log of a killed process may end in the middle of a UTF-8 character.
        let bytes = fs::read(file).map_err(|error| CtlError::File { name: name.clone(), error })?;
        read_log(&name, &String::from_utf8_lossy(&bytes), &mut entries);
    }
    entries.sort_by_cached_key(Entry::sort_key);
    // If the same file or a copy of it is given twice, each event is shown once.
    entries.dedup();
    Ok(entries)
}

/// Reads one log in the order in which it was written. Gaps in the sequence numbers become entries.
pub(super) fn read_log(name: &str, text: &str, entries: &mut Vec<Entry>) {
    let mut last: BTreeMap<HostId, (u64, Stamp)> = BTreeMap::new();
    let mut after = Stamp::default();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str::<Event>(line) {
            Ok(event) => {
                after = event.at;
                entries.extend(gap_before(&event, last.get(&event.host)).map(Entry::Gap));
                last.insert(event.host.clone(), (event.sequence, event.at));
                entries.push(Entry::Event(event));
            }
            Err(error) => {
                let (file, detail) = (name.to_owned(), error.to_string());
                entries.push(Entry::Unreadable(Unreadable {
                    file,
                    line: index + 1,
                    detail,
                    after,
                }));
            }
        }
    }
}

/// Returns the gap between two events of one host in one log. The sequence numbers of each process
/// start at 1.
fn gap_before(event: &Event, last: Option<&(u64, Stamp)>) -> Option<Gap> {
    let is_new_process = event.kind == Kind::HostStarted
        || last.is_none_or(|(sequence, _)| event.sequence <= *sequence);
    let last_sequence = match last {
        Some((sequence, _)) if !is_new_process => *sequence,
        _ => 0,
    };
    let missing = event.sequence.saturating_sub(last_sequence + 1);
    let after = last.map(|(_, at)| *at);
    (missing > 0).then(|| Gap { host: event.host.clone(), after, before: event.at, missing })
}
