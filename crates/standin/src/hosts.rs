//! Stand-in for the platform's host list.

use {
    crate::{
        faults::Faults,
        request::{Received, json_response, text_response},
        server::{Running, ServerOptions, Service, start as serve},
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

/// The largest list that is taken.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Lists that are kept for the lag.
const MAX_KEPT: usize = 1024;

/// How the stand-in behaves. `faults.lag_ms` is how far the list lags.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Where and how it serves.
    pub server: ServerOptions,
    /// Upstreams at the start.
    pub upstreams: Vec<UpstreamRecord>,
}

/// The stand-in.
#[derive(Debug)]
pub struct Hosts {
    /// Invariant: not empty, oldest first.
    lists: Mutex<VecDeque<Snapshot>>,
}

/// The list from a time on.
#[derive(Clone, Debug)]
struct Snapshot {
    at: Instant,
    upstreams: Arc<Vec<UpstreamRecord>>,
}

/// The state that `POST /standin/hosts/{upstream}` sets.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It serves.
    Live,
    /// It gets no new work.
    Leaving,
    /// It is not in the list.
    Removed,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct Page {
    upstreams: Vec<UpstreamRecord>,
}

#[derive(serde::Deserialize)]
struct SetState {
    state: HostState,
}

/// Starts the stand-in.
pub fn start(options: Options) -> io::Result<Running<Hosts>> {
    let first = Snapshot { at: Instant::now(), upstreams: Arc::new(options.upstreams) };
    serve(Hosts { lists: Mutex::new([first].into()) }, options.server)
}

impl Hosts {
    /// The list as it truly is.
    pub fn upstreams(&self) -> Vec<UpstreamRecord> {
        self.lists().back().map(|snapshot| snapshot.upstreams.to_vec()).unwrap_or_default()
    }

    /// Replaces the list.
    pub fn set(&self, upstreams: Vec<UpstreamRecord>) {
        let mut lists = self.lists();
        if lists.len() == MAX_KEPT {
            lists.pop_front();
        }
        lists.push_back(Snapshot { at: Instant::now(), upstreams: Arc::new(upstreams) });
    }

    /// Adds an upstream, or replaces the one of the same name.
    pub fn add(&self, record: UpstreamRecord) {
        let mut upstreams = self.upstreams();
        upstreams.retain(|other| other.upstream != record.upstream);
        upstreams.push(record);
        self.set(upstreams);
    }

    /// Sets the state of an upstream. Returns whether it is in the list.
    pub fn set_state(&self, upstream: &str, state: HostState) -> bool {
        let mut upstreams = self.upstreams();
        let Some(at) = upstreams.iter().position(|other| &*other.upstream == upstream) else {
            return false;
        };
        match state {
            HostState::Live => upstreams[at].is_leaving = false,
            HostState::Leaving => upstreams[at].is_leaving = true,
            HostState::Removed => drop(upstreams.remove(at)),
        }
        self.set(upstreams);
        true
    }

    fn lists(&self) -> MutexGuard<'_, VecDeque<Snapshot>> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The list as it was `lag` ago; the first one where there is none so old.
    fn lagging(&self, lag: Duration) -> Arc<Vec<UpstreamRecord>> {
        let lists = self.lists();
        let seen = lists.iter().rev().find(|snapshot| snapshot.at.elapsed() >= lag);
        seen.or(lists.front()).map(|snapshot| snapshot.upstreams.clone()).unwrap_or_default()
    }

    fn control_state(&self, request: &Received, upstream: &str) -> Response {
        match request.json::<SetState>() {
            Err(refused) => refused.into(),
            Ok(SetState { state }) if self.set_state(upstream, state) => self.truth(),
            Ok(_) => text_response(404, format!("no upstream {upstream:?}")),
        }
    }

    fn truth(&self) -> Response {
        json_response(&Page { upstreams: self.upstreams() })
    }
}

impl Service for Hosts {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    async fn handle(&self, request: Received, faults: &Faults) -> Response {
        match (&*request.method, request.path()) {
            ("GET", "/v1/hosts") => {
                let upstreams = self.lagging(Duration::from_millis(faults.lag_ms)).to_vec();
                json_response(&Page { upstreams })
            }
            _ => text_response(404, "no such call"),
        }
    }

    fn control(&self, request: &Received) -> Option<Response> {
        match (&*request.method, request.path()) {
            ("GET", "/standin/hosts") => Some(self.truth()),
            ("POST", "/standin/hosts") => Some(match request.json::<Page>() {
                Err(refused) => refused.into(),
                Ok(page) => {
                    self.set(page.upstreams);
                    self.truth()
                }
            }),
            ("POST", path) => {
                let upstream = path.strip_prefix("/standin/hosts/")?;
                Some(self.control_state(request, upstream))
            }
            _ => None,
        }
    }
}
