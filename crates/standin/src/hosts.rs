//! Stand-in for the platform's host list, which lists upstreams.

use {
    crate::{
        faults::Faults,
        request::{ReceivedRequest, json_response, text_response},
        server::{RequestHandler, RunningStandin, ServerOptions, start as serve},
    },
    http_types::Response,
    std::{
        collections::VecDeque,
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    trefoilring_clients::UpstreamRecord,
};

/// Body size limit; the largest body is a host list.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of past lists that are kept to emulate the lag.
const MAX_SNAPSHOTS: usize = 1024;

/// Settings of the host list stand-in. The fault `lag_ms` sets how far the list lags.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Address and initial faults.
    pub server: ServerOptions,
    /// Upstreams listed at the start.
    pub upstreams: Vec<UpstreamRecord>,
}

/// A host list stand-in.
#[derive(Debug)]
pub struct HostListStandin {
    /// Invariant: not empty, oldest first.
    snapshots: Mutex<VecDeque<Snapshot>>,
}

/// The list in force from a point in time on.
#[derive(Clone, Debug)]
struct Snapshot {
    valid_from: Instant,
    upstreams: Arc<Vec<UpstreamRecord>>,
}

/// The state of an upstream, as set by `POST /standin/hosts/{upstream}`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Listed as serving.
    Live,
    /// Listed as leaving: it gets no new work.
    Leaving,
    /// Not listed.
    Removed,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct UpstreamList {
    upstreams: Vec<UpstreamRecord>,
}

#[derive(serde::Deserialize)]
struct SetStateBody {
    state: UpstreamState,
}

/// Starts the host list and its HTTP server.
pub fn start(options: Options) -> io::Result<RunningStandin<HostListStandin>> {
    let first = Snapshot { valid_from: Instant::now(), upstreams: Arc::new(options.upstreams) };
    serve(HostListStandin { snapshots: Mutex::new([first].into()) }, options.server)
}

impl HostListStandin {
    /// Returns the current list, without lag.
    pub fn upstreams(&self) -> Vec<UpstreamRecord> {
        self.snapshots().back().map(|snapshot| snapshot.upstreams.to_vec()).unwrap_or_default()
    }

    /// Replaces the current list. While the fault `lag_ms` is set, callers get the previous list
    /// until the lag has passed.
    pub fn set(&self, upstreams: Vec<UpstreamRecord>) {
        let mut snapshots = self.snapshots();
        if snapshots.len() == MAX_SNAPSHOTS {
            snapshots.pop_front();
        }
        snapshots
            .push_back(Snapshot { valid_from: Instant::now(), upstreams: Arc::new(upstreams) });
    }

    /// Adds an upstream, or replaces the one with the same name.
    pub fn add(&self, record: UpstreamRecord) {
        let mut upstreams = self.upstreams();
        upstreams.retain(|other| other.upstream != record.upstream);
        upstreams.push(record);
        self.set(upstreams);
    }

    /// Sets the state of an upstream. Returns whether it was in the list.
    pub fn set_state(&self, upstream: &str, state: UpstreamState) -> bool {
        let mut upstreams = self.upstreams();
        let Some(at) = upstreams.iter().position(|other| &*other.upstream == upstream) else {
            return false;
        };
        match state {
            UpstreamState::Live => upstreams[at].is_leaving = false,
            UpstreamState::Leaving => upstreams[at].is_leaving = true,
            UpstreamState::Removed => drop(upstreams.remove(at)),
        }
        self.set(upstreams);
        true
    }

    fn snapshots(&self) -> MutexGuard<'_, VecDeque<Snapshot>> {
        self.snapshots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the list as it was `lag` ago, or the oldest one if none is that old.
    fn lagged(&self, lag: Duration) -> Arc<Vec<UpstreamRecord>> {
        let snapshots = self.snapshots();
        let past = snapshots.iter().rev().find(|snapshot| snapshot.valid_from.elapsed() >= lag);
        past.or(snapshots.front()).map(|snapshot| snapshot.upstreams.clone()).unwrap_or_default()
    }

    fn handle_set_state(&self, request: &ReceivedRequest, upstream: &str) -> Response {
        match request.json::<SetStateBody>() {
            Err(error) => error.into(),
            Ok(SetStateBody { state }) if self.set_state(upstream, state) => {
                self.current_list_response()
            }
            Ok(_) => text_response(404, format!("no upstream {upstream:?}")),
        }
    }

    fn current_list_response(&self) -> Response {
        json_response(&UpstreamList { upstreams: self.upstreams() })
    }
}

impl RequestHandler for HostListStandin {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    async fn handle(&self, request: ReceivedRequest, faults: &Faults) -> Response {
        match (&*request.method, request.path()) {
            ("GET", "/v1/hosts") => {
                let upstreams = self.lagged(Duration::from_millis(faults.lag_ms)).to_vec();
                json_response(&UpstreamList { upstreams })
            }
            _ => text_response(404, "no such call"),
        }
    }

    fn handle_control(&self, request: &ReceivedRequest) -> Option<Response> {
        match (&*request.method, request.path()) {
            ("GET", "/standin/hosts") => Some(self.current_list_response()),
            ("POST", "/standin/hosts") => Some(match request.json::<UpstreamList>() {
                Err(error) => error.into(),
                Ok(list) => {
                    self.set(list.upstreams);
                    self.current_list_response()
                }
            }),
            ("POST", path) => {
                let upstream = path.strip_prefix("/standin/hosts/")?;
                Some(self.handle_set_state(request, upstream))
            }
            _ => None,
        }
    }
}
