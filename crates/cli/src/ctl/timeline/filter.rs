//! Filters the entries of a timeline.

use {
    super::read::Entry,
    trefoilring_core::{
        event::{Event, Kind},
        hlc::Stamp,
    },
};

/// Conditions that an event must meet. A field that is `None` matches every event.
#[derive(Clone, Debug, Default)]
pub(super) struct Filter {
    pub program: Option<String>,
    pub request: Option<String>,
    pub step: Option<String>,
    pub upstream: Option<String>,
    pub team: Option<String>,
    pub host: Option<String>,
    /// Start of the time span, in microseconds since the Unix epoch.
    pub from_us: Option<u64>,
    /// End of the time span, inclusive, in microseconds since the Unix epoch.
    pub to_us: Option<u64>,
    /// Time span before the last event; overrides `from_us`.
    pub last_us: Option<u64>,
}

impl Filter {
    /// Returns the matching entries and, between the first and the last match, host events, gaps
    /// and unreadable lines. A takeover, for example, explains a delayed program but names no
    /// program.
    pub fn apply(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let end_us = entries.iter().filter_map(as_event).map(|event| event.at.wall_us).max();
        let from_us = match (self.last_us, end_us) {
            (Some(last_us), Some(end_us)) => Some(end_us.saturating_sub(last_us)),
            _ => self.from_us,
        };
        let is_in_span = |stamp: Stamp| {
            from_us.is_none_or(|from| stamp.wall_us >= from)
                && self.to_us.is_none_or(|to| stamp.wall_us <= to)
        };
        let is_match = |event: &Event| is_in_span(event.at) && self.matches(event);
        let matched_stamps: Vec<Stamp> = entries
            .iter()
            .filter_map(as_event)
            .filter(|event| is_match(event))
            .map(|event| event.at)
            .collect();
        let Some((first, last)) = matched_stamps.iter().min().zip(matched_stamps.iter().max())
        else {
            return Vec::new();
        };
        let overlaps_matches = |from: Stamp, to: Stamp| from <= *last && to >= *first;
        let keep = |entry: &Entry| match entry {
            Entry::Event(event) => {
                is_match(event) || overlaps_matches(event.at, event.at) && self.is_context(event)
            }
            Entry::Gap(gap) => overlaps_matches(gap.after.unwrap_or_default(), gap.before),
            Entry::Unreadable(line) => overlaps_matches(line.after, line.after),
        };
        entries.into_iter().filter(keep).collect()
    }

    fn matches(&self, event: &Event) -> bool {
        let field_matches = |expected: &Option<String>, value: Option<&str>| {
            expected.as_ref().is_none_or(|expected| value == Some(expected))
        };
        field_matches(&self.program, event.program.as_deref())
            && field_matches(&self.request, event.request.as_deref())
            && field_matches(&self.step, event.step.as_deref())
            && field_matches(&self.upstream, event.upstream.as_deref())
            && field_matches(&self.team, event.team.as_deref())
            && field_matches(&self.host, Some(&event.host))
    }

    /// Returns whether an event without a program may explain matching events. Such events are
    /// shown even if they do not match, unless the filter selects a host.
    fn is_context(&self, event: &Event) -> bool {
        if self.host.is_some() || event.program.is_some() {
            return false;
        }
        matches!(
            event.kind,
            Kind::HostStarted
                | Kind::HostDraining
                | Kind::HostStopped
                | Kind::HostLost
                | Kind::LeaseLost
                | Kind::LeaseRegained
                | Kind::StoreDown
                | Kind::StoreUp
                | Kind::JournalTakenOver
                | Kind::JournalFenced
                | Kind::UpstreamLost
                | Kind::UpstreamEjected
                | Kind::UpstreamLeaving
                | Kind::KeyWithdrawn
                | Kind::ConfigInForce
        )
    }
}

fn as_event(entry: &Entry) -> Option<&Event> {
    match entry {
        Entry::Event(event) => Some(event),
        _ => None,
    }
}
