//! Remembers which software version of a service began each stream, so that the stream goes on only
//! at that version.
//!
//! Load pattern: upstreams of several versions serve side by side for the time of a release, or
//! always. Callers whose connections break take their streams up again at any host, most of them at
//! the moment at which many hosts are lost. A host knows the streams that it began itself. While it
//! can't be sure that all hosts see a single version, it also notes each stream at a few other hosts
//! ([`NOTE_HOLDERS`]). A host that is asked to go on with a stream that it does not know asks these
//! holders. Without an answer that names the version, the stream goes on only if the hosts have seen
//! nothing but one version for [`WATCH_MIN`]; otherwise it is refused.

#[cfg(test)]
mod tests;

use {
    crate::ids::{RequestId, ServiceId, SoftwareVersion},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Number of hosts that hold the note of a stream besides the host that began it. If six of ten
/// hosts are lost at once, a note survives at 87 of 100 streams.
pub const NOTE_HOLDERS: usize = 4;
/// Number of hosts that are asked for a stream. Exceeds [`NOTE_HOLDERS`], because hosts may differ
/// in which others they can reach.
pub const LOOKUP_HOSTS: usize = 6;
/// How long a host must have seen a single version before it concludes that a stream began at that
/// version. Longer than a stream lasts with all attempts of its caller.
const WATCH_MIN: Duration = Duration::from_secs(10);
/// How long a version counts as in use after its last upstream was delisted. A host that can't reach
/// the store may still use the upstream for as long as it serves.
const DELISTED_VERSION_TTL: Duration = Duration::from_secs(60);
/// How long a version is known before new streams begin at it, if there is another one. The other
/// hosts see it meanwhile, and ask for notes.
const NEW_VERSION_DELAY: Duration = Duration::from_secs(1);
/// How long the origin of a stream is kept.
const STREAM_TTL: Duration = Duration::from_secs(30);
/// Maximum number of streams kept, to bound the memory. About ten times those of [`STREAM_TTL`], with
/// notes, at the load that the system is designed for.
const STREAMS_MAX: usize = 16_384;

/// The service and software version whose upstream made the first event of a stream.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Software version of the upstream.
    pub version: SoftwareVersion,
}

/// What a host knows about a stream and about the versions of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct OriginReport {
    /// Origin of the stream, if the host knows one.
    pub origin: Option<StreamOrigin>,
    /// Whether the request id began streams of different origins.
    pub is_ambiguous: bool,
    /// Versions of the service that may be in use.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether the host has watched the upstreams long enough to conclude from `versions`.
    pub has_history: bool,
}

/// Why the origin of a stream can't be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownOrigin {
    /// No host that could be asked knows the origin, and several versions may be in use.
    NotNoted,
    /// The request id began streams of different origins.
    Ambiguous,
    /// The route no longer leads to the service that began the stream.
    OtherService,
}

/// A stream whose first event was passed on.
#[derive(Debug)]
struct Stream {
    /// `None` if the request id began streams of different origins.
    origin: Option<StreamOrigin>,
    recorded_at: Instant,
}

/// When a version is in use, as far as this host knows.
#[derive(Debug)]
struct VersionUse {
    known_since: Instant,
    /// When it was listed or named last; `None` while it is listed.
    last_listed: Option<Instant>,
}

impl VersionUse {
    fn is_in_use(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < DELISTED_VERSION_TTL;
        self.last_listed.is_none_or(is_recent)
    }

    fn is_new(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.known_since) < NEW_VERSION_DELAY
    }
}

/// The versions and streams that a host knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    versions: HashMap<ServiceId, BTreeMap<SoftwareVersion, VersionUse>>,
    /// Since when the host has seen all changes of the upstreams. `None` until it has their list.
    watched_since: Option<Instant>,
    streams: HashMap<RequestId, Stream>,
}

impl StreamOrigins {
    /// Records that changes of the upstreams or of their routes may have been missed until now.
    pub fn restart_watch(&mut self, now: Instant) {
        self.watched_since = Some(now);
    }

    /// Sets the versions of all listed upstreams. Returns whether a version is new to its service,
    /// so that the streams that began before must be noted.
    pub fn set_listed(
        &mut self,
        now: Instant,
        listed: &BTreeSet<(ServiceId, SoftwareVersion)>,
    ) -> bool {
        self.watched_since.get_or_insert(now);
        self.remove_expired_versions(now);
        for (service, versions) in &mut self.versions {
            for (version, version_use) in versions {
                let is_listed = listed.contains(&(service.clone(), version.clone()));
                if version_use.last_listed.is_none() && !is_listed {
                    version_use.last_listed = Some(now);
                }
            }
        }
        let mut has_new = false;
        for (service, version) in listed {
            let versions = self.versions.entry(service.clone()).or_default();
            let version_use = versions.entry(version.clone()).or_insert_with(|| {
                has_new = true;
                VersionUse { known_since: now, last_listed: None }
            });
            version_use.last_listed = None;
        }
        has_new
    }

    /// Records a version that another host has named. Returns whether it is new to the service.
    pub fn record_version(&mut self, now: Instant, origin: &StreamOrigin) -> bool {
        let versions = self.versions.entry(origin.service.clone()).or_default();
        let mut is_new = false;
        let version_use = versions.entry(origin.version.clone()).or_insert_with(|| {
            is_new = true;
            VersionUse { known_since: now, last_listed: Some(now) }
        });
        version_use.last_listed = version_use.last_listed.and(Some(now));
        is_new
    }

    fn remove_expired_versions(&mut self, now: Instant) {
        self.versions.retain(|_, versions| {
            versions.retain(|_, version_use| version_use.is_in_use(now));
            !versions.is_empty()
        });
    }

    /// Returns the versions of a service that may be in use.
    pub fn versions(&self, now: Instant, service: &str) -> BTreeSet<SoftwareVersion> {
        let versions = self.versions.get(service).into_iter().flatten();
        let in_use = versions.filter(|(_, version_use)| version_use.is_in_use(now));
        in_use.map(|(version, _)| version.clone()).collect()
    }

    /// Returns the versions of a service at which no stream should begin yet, because other hosts may
    /// not know them. Empty if all versions are as new.
    pub fn new_versions(&self, now: Instant, service: &str) -> Vec<SoftwareVersion> {
        let versions = self.versions.get(service).into_iter().flatten();
        let (new, known): (Vec<_>, Vec<_>) =
            versions.partition(|(_, version_use)| version_use.is_new(now));
        match known.is_empty() {
            true => Vec::new(),
            false => new.into_iter().map(|(version, _)| version.clone()).collect(),
        }
    }

    /// Returns the versions of all services that may be in use.
    pub fn all_versions(&self, now: Instant) -> Vec<StreamOrigin> {
        let of_service = |service: &ServiceId| {
            let origin = |version| StreamOrigin { service: service.clone(), version };
            self.versions(now, service).into_iter().map(origin).collect::<Vec<_>>()
        };
        self.versions.keys().flat_map(of_service).collect()
    }

    fn has_history(&self, now: Instant) -> bool {
        self.watched_since.is_some_and(|since| now.duration_since(since) >= WATCH_MIN)
    }

    /// Returns whether the origin of a new stream must be noted at other hosts. `has_targets` is
    /// whether the stream's route leads to several services.
    pub fn needs_note(&self, now: Instant, service: &str, has_targets: bool) -> bool {
        has_targets || !self.has_history(now) || self.versions(now, service).len() > 1
    }

    /// Records the origin of a stream that began here or was noted by another host. A request id
    /// that begins streams of different origins identifies none of them.
    pub fn record(&mut self, now: Instant, request: &str, origin: &StreamOrigin) {
        if let Some(stream) = self.streams.get_mut(request) {
            if is_kept(now, stream) && stream.origin.as_ref() != Some(origin) {
                stream.origin = None;
            } else {
                stream.origin = Some(origin.clone());
            }
            stream.recorded_at = now;
            return;
        }
        if self.streams.len() >= STREAMS_MAX {
            self.streams.retain(|_, stream| is_kept(now, stream));
        }
        if self.streams.len() < STREAMS_MAX {
            let stream = Stream { origin: Some(origin.clone()), recorded_at: now };
            self.streams.insert(request.into(), stream);
        }
    }

    /// Returns the streams that are kept and have one origin.
    pub fn recorded(&self, now: Instant) -> Vec<(RequestId, StreamOrigin)> {
        let kept = self.streams.iter().filter(|(_, stream)| is_kept(now, stream));
        kept.filter_map(|(request, stream)| Some((request.clone(), stream.origin.clone()?)))
            .collect()
    }

    /// Returns what this host knows of a stream of a service. `request` is the id of the request that
    /// began it, if the caller names it.
    pub fn report(&self, now: Instant, request: Option<&str>, service: &str) -> OriginReport {
        let stream = request.and_then(|request| self.streams.get(request));
        let stream = stream.filter(|stream| is_kept(now, stream));
        OriginReport {
            origin: stream.and_then(|stream| stream.origin.clone()),
            is_ambiguous: stream.is_some_and(|stream| stream.origin.is_none()),
            versions: self.versions(now, service),
            has_history: self.has_history(now),
        }
    }
}

/// Returns the origin of a stream from what this host and others know. `services` are those that the
/// stream's route leads to. `is_alone` is whether this host knows no other.
///
/// # Errors
///
/// Returns an error if the origin is not certain, or if the stream can't go on at its service.
pub fn resolve_origin(
    own: &OriginReport,
    replies: &[OriginReport],
    services: &[ServiceId],
    is_alone: bool,
) -> Result<StreamOrigin, UnknownOrigin> {
    let reports = || std::iter::once(own).chain(replies);
    let origins: BTreeSet<(&ServiceId, &SoftwareVersion)> = reports()
        .filter_map(|report| report.origin.as_ref())
        .map(|origin| (&origin.service, &origin.version))
        .collect();
    if origins.len() > 1 || reports().any(|report| report.is_ambiguous) {
        return Err(UnknownOrigin::Ambiguous);
    }
    if let Some((service, version)) = origins.first() {
        return match services.contains(service) {
            true => Ok(StreamOrigin { service: (*service).clone(), version: (*version).clone() }),
            false => Err(UnknownOrigin::OtherService),
        };
    }
    let versions: BTreeSet<&SoftwareVersion> =
        reports().flat_map(|report| &report.versions).collect();
    // Without a reply, this host may be cut off and miss a version that the others use.
    let is_heard = is_alone || !replies.is_empty();
    let has_history = reports().any(|report| report.has_history && !report.versions.is_empty());
    match (services, versions.first()) {
        ([service], Some(&version)) if versions.len() == 1 && is_heard && has_history => {
            Ok(StreamOrigin { service: service.clone(), version: version.clone() })
        }
        _ => Err(UnknownOrigin::NotNoted),
    }
}

fn is_kept(now: Instant, stream: &Stream) -> bool {
    now.saturating_duration_since(stream.recorded_at) < STREAM_TTL
}
