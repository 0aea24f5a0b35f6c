//! Stand-in for the users' platform's object store, under `/trefoilring/objects/`: JSON objects by
//! kind and name, lists, watches and conditional changes. Not the Object API of
//! [`objects`](crate::objects).

use {
    super::{Body, Handler, Server, full_body, loopback, serve},
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    serde_json::{Value, json},
    smol::Timer,
    std::{
        collections::BTreeMap,
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
const OBJECTS: &str = "/trefoilring/objects/";

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Requests are answered with 503 and have no effect.
    Busy,
    /// Requests have no effect, and their connections are closed without a response.
    ClosesConnections,
    /// Writes take effect, and their connections are closed without a response.
    DropsResponses,
    /// Writes are answered with 429 and have no effect, as beyond the store's rate. Reads succeed.
    RejectsWrites,
    /// Requests about objects of this kind are answered with 503 and have no effect.
    RejectsKind(&'static str),
}

/// An object store on loopback.
pub struct StoreStandin {
    /// Listening address.
    pub address: SocketAddr,
    endpoint: Arc<Endpoint>,
    _server: Server,
}

/// Addresses of workers and hosts, and those that are returned in their place. May change at any
/// time.
pub type ReplacedAddresses = Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>;

/// One listening address of a store. Each has its own fault.
struct Endpoint {
    store: Arc<Store>,
    fault: Mutex<StoreFault>,
    replaced_addresses: ReplacedAddresses,
}

struct Store {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Changes, oldest first. Each is a tuple of its revision, the object's kind, whether the
    /// object was removed, and the object.
    history: Vec<(u64, String, bool, Value)>,
    /// A watch that starts at an earlier revision gets 410.
    history_start: u64,
    calls: u64,
    /// The longest wait that a watch of each kind has asked for, in milliseconds.
    longest_waits_ms: BTreeMap<String, u64>,
    /// Contents that are not JSON values: what stands for them, in quotes, and their texts.
    raw_contents: Vec<(String, String)>,
}

impl StoreStandin {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let store = Arc::new(Store { state: Mutex::default() });
        Self::open(loopback::address().into(), store, ReplacedAddresses::default()).await
    }

    /// Opens another listening address for the same store, with its own fault.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn open_address(&self) -> io::Result<Self> {
        self.open_view(ReplacedAddresses::default()).await
    }

    /// Opens another listening address like [`Self::open_address`], for a host that reaches workers or
    /// other hosts through proxies.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn open_view(&self, replaced_addresses: ReplacedAddresses) -> io::Result<Self> {
        Self::open(self.address.ip(), self.endpoint.store.clone(), replaced_addresses).await
    }

    async fn open(
        address: IpAddr,
        store: Arc<Store>,
        replaced_addresses: ReplacedAddresses,
    ) -> io::Result<Self> {
        let endpoint = Arc::new(Endpoint { store, fault: Mutex::default(), replaced_addresses });
        let server = serve(address, endpoint.clone()).await?;
        Ok(Self { address: server.address, endpoint, _server: server })
    }

    /// Sets the fault of this address.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.endpoint.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the fault of this address.
    pub fn fault(&self) -> StoreFault {
        *self.endpoint.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates or replaces an object without a version check, in place of an operator or a worker.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.endpoint.store.lock().change(kind, name, Some(spec));
    }

    /// Creates or replaces an object whose content is this text, which need not be valid JSON.
    pub fn put_raw(&self, kind: &str, name: &str, text: &str) {
        let mut state = self.endpoint.store.lock();
        let placeholder = format!("raw-content-{}", state.raw_contents.len());
        state.raw_contents.push((format!("\"{placeholder}\""), text.to_string()));
        state.change(kind, name, Some(placeholder.into()));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.endpoint.store.lock().change(kind, name, None);
    }

    /// Drops the history. A watch that starts at an earlier revision gets 410.
    pub fn compact(&self) {
        let mut state = self.endpoint.store.lock();
        state.history_start = state.revision;
        state.history.clear();
    }

    /// Returns an object's `spec`.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.endpoint.store.lock();
        state.objects.get(&(kind.into(), name.into())).map(|object| object["spec"].clone())
    }

    /// Returns an object's `status`, if it has one.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.endpoint.store.lock();
        let object = state.objects.get(&(kind.into(), name.into()))?;
        Some(object["status"].clone()).filter(|status| !status.is_null())
    }

    /// Returns the longest wait that a watch of a kind has asked for.
    pub fn longest_wait(&self, kind: &str) -> Duration {
        let state = self.endpoint.store.lock();
        Duration::from_millis(state.longest_waits_ms.get(kind).copied().unwrap_or_default())
    }

    /// Returns the number of calls so far, over all addresses.
    pub fn calls(&self) -> u64 {
        self.endpoint.store.lock().calls
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn change(&mut self, kind: &str, name: &str, spec: Option<Value>) -> Value {
        self.revision += 1;
        let key = (kind.to_string(), name.to_string());
        let meta = json!({"name": name, "rev": self.revision, "created": 1, "finalizers": [],
                          "deleting": false});
        let object = json!({"meta": meta, "spec": spec, "status": null});
        let is_removal = spec.is_none();
        if is_removal {
            self.objects.remove(&key);
        } else {
            self.objects.insert(key, object.clone());
        }
        self.history.push((self.revision, kind.into(), is_removal, object.clone()));
        object
    }

    /// Replaces an object's `status` alone.
    fn change_status(&mut self, kind: &str, name: &str, status: Value) -> StatusAndBody {
        let revision = self.revision + 1;
        let Some(object) = self.objects.get_mut(&(kind.into(), name.into())) else {
            return (StatusCode::NOT_FOUND, Value::Null);
        };
        object["status"] = status;
        object["meta"]["rev"] = revision.into();
        let object = object.clone();
        self.revision = revision;
        self.history.push((revision, kind.into(), false, object.clone()));
        (StatusCode::OK, object)
    }

    fn list(&self, kind: &str) -> Value {
        let of_kind = self.objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
        let items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
        json!({"items": items, "has_more": false, "at": self.revision})
    }

    fn events_after(&self, kind: &str, after: u64) -> Option<Value> {
        let later =
            self.history.iter().filter(|(at, object_kind, ..)| *at > after && object_kind == kind);
        let events: Vec<Value> = later
            .map(|(_, _, is_removal, object)| json!({"deleted": is_removal, "object": object}))
            .collect();
        (!events.is_empty()).then(|| json!({"events": events, "at": self.revision}))
    }

    fn write(
        &mut self,
        method: &Method,
        kind: &str,
        name: Option<&str>,
        body: &Value,
    ) -> StatusAndBody {
        let meta = &body["meta"];
        let name = name.or(meta["name"].as_str()).unwrap_or_default().to_string();
        let present = self.objects.get(&(kind.into(), name.clone())).cloned();
        let expected = body["meta"]["rev"].as_u64();
        match (method, present) {
            (&Method::POST, Some(object)) => (StatusCode::CONFLICT, object),
            (&Method::POST, None) => {
                (StatusCode::OK, self.change(kind, &name, Some(body["spec"].clone())))
            }
            (_, None) => (StatusCode::NOT_FOUND, Value::Null),
            (_, Some(object)) if expected.is_some_and(|rev| object["meta"]["rev"] != rev) => {
                (StatusCode::CONFLICT, object)
            }
            (&Method::DELETE, Some(_)) => (StatusCode::OK, self.change(kind, &name, None)),
            (_, Some(_)) => (StatusCode::OK, self.change(kind, &name, Some(body["spec"].clone()))),
        }
    }
}

type StatusAndBody = (StatusCode, Value);

impl Handler for Endpoint {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Option<Response<Body>> {
        self.store.lock().calls += 1;
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let is_write = request.method() != Method::GET;
        match fault {
            StoreFault::Busy => {
                return Some(respond(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            StoreFault::ClosesConnections => return None,
            StoreFault::RejectsWrites if is_write => {
                return Some(respond(StatusCode::TOO_MANY_REQUESTS, &Value::Null));
            }
            StoreFault::RejectsKind(kind) if is_about(request.uri().path(), kind) => {
                return Some(respond(StatusCode::SERVICE_UNAVAILABLE, &Value::Null));
            }
            StoreFault::None
            | StoreFault::DropsResponses
            | StoreFault::RejectsWrites
            | StoreFault::RejectsKind(_) => {}
        }
        let (status, body) = self.store.handle(&request).await;
        if fault == StoreFault::DropsResponses && is_write {
            return None;
        }
        let mut text = self.replace_addresses(body).to_string();
        for (placeholder, content) in &self.store.lock().raw_contents {
            text = text.replace(placeholder, content);
        }
        Some(respond_with_text(status, text))
    }
}

/// Returns whether a path names a kind or an object of it.
fn is_about(path: &str, kind: &str) -> bool {
    path.strip_prefix(OBJECTS).is_some_and(|rest| rest.split('/').next() == Some(kind))
}

impl Endpoint {
    fn replace_addresses(&self, mut body: Value) -> Value {
        let replaced = self.replaced_addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if replaced.is_empty() {
            return body;
        }
        let listed = body["items"].as_array_mut().into_iter().flatten();
        listed.for_each(|object| replace_address(object, &replaced));
        let changed = body["events"].as_array_mut().into_iter().flatten();
        changed.for_each(|event| replace_address(&mut event["object"], &replaced));
        body
    }
}

fn replace_address(object: &mut Value, replaced: &[(SocketAddr, SocketAddr)]) {
    let Some(spec) = object["spec"].as_object_mut() else { return };
    // The former stands in the entries of workers, the latter in those of hosts.
    for field in ["addr", "address"] {
        let Some(Value::String(address)) = spec.get_mut(field) else { continue };
        if let Some((_, to)) = replaced.iter().find(|(from, _)| from.to_string() == *address) {
            *address = to.to_string();
        }
    }
}

impl Store {
    async fn handle(&self, request: &Request<Bytes>) -> StatusAndBody {
        let Some(path) = request.uri().path().strip_prefix(OBJECTS) else {
            return (StatusCode::NOT_FOUND, Value::Null);
        };
        let (kind, name) = match path.split_once('/') {
            // Clients percent-encode `-`. Other escapes are not decoded.
            Some((kind, name)) => (kind, Some(name.replace("%2D", "-"))),
            None => (path, None),
        };
        let query = |wanted: &str| -> Option<u64> {
            let pairs = request.uri().query().unwrap_or_default().split('&');
            pairs
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == wanted)?
                .1
                .parse()
                .ok()
        };
        if request.method() != Method::GET {
            let mut body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
            if let Some(revision) = query("rev") {
                body["meta"]["rev"] = revision.into();
            }
            if let Some(name) = name.as_deref().and_then(|name| name.strip_suffix("/status")) {
                return self.lock().change_status(kind, name, body["status"].clone());
            }
            return self.lock().write(request.method(), kind, name.as_deref(), &body);
        }
        match (name, query("watch")) {
            (Some(name), _) => {
                let object = self.lock().objects.get(&(kind.into(), name)).cloned();
                object
                    .map_or((StatusCode::NOT_FOUND, Value::Null), |object| (StatusCode::OK, object))
            }
            (None, None) => (StatusCode::OK, self.lock().list(kind)),
            (None, Some(after)) => {
                let wait_ms = query("wait_ms").unwrap_or_default();
                {
                    let mut state = self.lock();
                    let longest = state.longest_waits_ms.entry(kind.to_string()).or_default();
                    *longest = wait_ms.max(*longest);
                }
                self.watch(kind, after, Instant::now() + Duration::from_millis(wait_ms)).await
            }
        }
    }

    async fn watch(&self, kind: &str, after: u64, deadline: Instant) -> StatusAndBody {
        loop {
            {
                let state = self.lock();
                if after < state.history_start {
                    return (StatusCode::GONE, Value::Null);
                }
                if let Some(events) = state.events_after(kind, after) {
                    return (StatusCode::OK, events);
                }
                if Instant::now() >= deadline {
                    return (StatusCode::OK, json!({"events": [], "at": state.revision}));
                }
            }
            Timer::after(WATCH_POLL_INTERVAL).await;
        }
    }
}

fn respond(status: StatusCode, body: &Value) -> Response<Body> {
    respond_with_text(status, body.to_string())
}

fn respond_with_text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
