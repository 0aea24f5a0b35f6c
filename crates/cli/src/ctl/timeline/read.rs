//! Reads event logs and merges them into one order over all processes.

use {
    crate::ctl::fault::CtlError,
    std::{collections::BTreeMap, fs, path::Path},
    trefoilring_core::{
        event::{Event, Kind},
        hlc::Stamp,
        ids::HostId,
    },
};

/// One entry of a time line.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Entry {
    Event(Event),
    Gap(Gap),
    Unreadable(Unreadable),
}

/// Events of one host that are missing from its log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(super) struct Gap {
    /// The host whose events are missing.
    pub host: HostId,
    /// The event before the gap, if there is one.
    pub after: Option<Stamp>,
    /// The event after the gap.
    pub before: Stamp,
    /// Events missing.
    pub missing: u64,
}

/// A line that is no event, such as the last one of a process that was killed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub(super) struct Unreadable {
    /// File as it was named.
    pub file: String,
    /// Line from 1.
    pub line: usize,
    /// What is wrong with it.
    pub detail: String,
    /// The event before the line.
    pub after: Stamp,
}

impl Entry {
    /// Where the entry stands in the order. What is missing stands after what is known.
    pub fn order(&self) -> (Stamp, u8, HostId, u64) {
        match self {
            Self::Event(event) => (event.at, 0, event.host.clone(), event.sequence),
            Self::Gap(gap) => (gap.after.unwrap_or_default(), 1, gap.host.clone(), 0),
            Self::Unreadable(line) => (line.after, 2, "".into(), line.line as u64),
        }
    }
}

/// Reads files and merges their entries.
pub(super) fn merge(files: &[impl AsRef<Path>]) -> Result<Vec<Entry>, CtlError> {
    let mut entries = Vec::new();
    for file in files {
        let name = file.as_ref().display().to_string();
        // A process that was killed may have left half a character.
        let bytes = fs::read(file).map_err(|error| CtlError::File { name: name.clone(), error })?;
        read_log(&name, &String::from_utf8_lossy(&bytes), &mut entries);
    }
    entries.sort_by_cached_key(Entry::order);
    // The same file given twice, or a copy of it, must not show each event twice.
    entries.dedup();
    Ok(entries)
}

/// Reads one log in the order in which it was written, in which gaps show.
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

/// Finds what is missing between two events of one host in one log. A process counts from 1.
fn gap_before(event: &Event, last: Option<&(u64, Stamp)>) -> Option<Gap> {
    let is_new_process = event.kind == Kind::HostStarted
        || last.is_none_or(|(sequence, _)| event.sequence <= *sequence);
    let seen = match last {
        Some((sequence, _)) if !is_new_process => *sequence,
        _ => 0,
    };
    let missing = event.sequence.saturating_sub(seen + 1);
    let after = last.map(|(_, at)| *at);
    (missing > 0).then(|| Gap { host: event.host.clone(), after, before: event.at, missing })
}
