//! Picks the entries that a question is about.

use {
    super::read::Entry,
    trefoilring_core::{
        event::{Event, Kind},
        hlc::Stamp,
    },
};

/// What to show. Empty fields match everything.
#[derive(Clone, Debug, Default)]
pub(super) struct Filter {
    pub program: Option<String>,
    pub request: Option<String>,
    pub step: Option<String>,
    pub upstream: Option<String>,
    pub team: Option<String>,
    pub host: Option<String>,
    /// Wall clock in microseconds since 1970.
    pub from_us: Option<u64>,
    /// Wall clock in microseconds since 1970.
    pub to_us: Option<u64>,
    /// Span before the last event.
    pub last_us: Option<u64>,
}

impl Filter {
    /// Returns the matching entries, and what happened to the hosts meanwhile: a takeover explains
    /// a late program, though it names none.
    pub fn apply(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let end_us = entries.iter().filter_map(event).map(|event| event.at.wall_us).max();
        let from_us = match (self.last_us, end_us) {
            (Some(last_us), Some(end_us)) => Some(end_us.saturating_sub(last_us)),
            _ => self.from_us,
        };
        let is_in_span = |stamp: Stamp| {
            from_us.is_none_or(|from| stamp.wall_us >= from)
                && self.to_us.is_none_or(|to| stamp.wall_us <= to)
        };
        let matching = |event: &Event| is_in_span(event.at) && self.matches(event);
        let matched: Vec<Stamp> = entries
            .iter()
            .filter_map(event)
            .filter(|event| matching(event))
            .map(|event| event.at)
            .collect();
        let Some((first, last)) = matched.iter().min().zip(matched.iter().max()) else {
            return Vec::new();
        };
        let is_meanwhile = |from: Stamp, to: Stamp| from <= *last && to >= *first;
        let keep = |entry: &Entry| match entry {
            Entry::Event(event) => {
                matching(event) || is_meanwhile(event.at, event.at) && self.explains(event)
            }
            Entry::Gap(gap) => is_meanwhile(gap.after.unwrap_or_default(), gap.before),
            Entry::Unreadable(line) => is_meanwhile(line.after, line.after),
        };
        entries.into_iter().filter(keep).collect()
    }

    fn matches(&self, event: &Event) -> bool {
        let is = |asked: &Option<String>, found: Option<&str>| {
            asked.as_ref().is_none_or(|asked| found == Some(asked))
        };
        is(&self.program, event.program.as_deref())
            && is(&self.request, event.request.as_deref())
            && is(&self.step, event.step.as_deref())
            && is(&self.upstream, event.upstream.as_deref())
            && is(&self.team, event.team.as_deref())
            && is(&self.host, Some(&event.host))
    }

    /// Whether an event that the filter does not match explains those that it does.
    fn explains(&self, event: &Event) -> bool {
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

fn event(entry: &Entry) -> Option<&Event> {
    match entry {
        Entry::Event(event) => Some(event),
        _ => None,
    }
}
