//! The platform's store: objects by kind and name, lists, watches and conditional changes.

use crate::{
    http::{Request, Response, Server},
    json::{self, Value, object},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

const PATH: &str = "/trefoilring/objects/";

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    server: Arc<Server>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Revision, kind, whether the object was removed, and the object.
    history: Vec<(u64, String, bool, Value)>,
}

impl Store {
    pub fn start(address: &str) -> io::Result<Self> {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let of_server = shared.clone();
        let server = Server::start(address, move |request| handle(&of_server, &request))?;
        Ok(Self { shared, server: Arc::new(server) })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Creates or replaces an object, as an operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.0.lock().unwrap().change(kind, name, Some(spec));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().change(kind, name, None);
        self.shared.1.notify_all();
    }

    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.shared.0.lock().unwrap();
        Some(state.objects.get(&(kind.into(), name.into()))?.get("status").clone())
    }
}

impl State {
    fn change(&mut self, kind: &str, name: &str, spec: Option<Value>) -> Value {
        let key = (kind.to_string(), name.to_string());
        let is_removal = spec.is_none();
        if let (Some(present), Some(spec)) = (self.objects.get(&key), &spec)
            && present.get("spec") == spec
        {
            // A write that changes nothing produces no event.
            return present.clone();
        }
        self.revision += 1;
        let meta = object([
            ("name", name.into()),
            ("rev", self.revision.into()),
            ("created", 1.into()),
            ("finalizers", Value::List(Vec::new())),
            ("deleting", Value::Bool(false)),
        ]);
        let spec = spec.unwrap_or(Value::Null);
        let written = object([("meta", meta), ("spec", spec), ("status", Value::Null)]);
        match is_removal {
            true => self.objects.remove(&key),
            false => self.objects.insert(key, written.clone()),
        };
        self.history.push((self.revision, kind.into(), is_removal, written.clone()));
        written
    }

    fn write(&mut self, method: &str, kind: &str, name: &str, body: &Value) -> (u16, Value) {
        let key = (kind.to_string(), name.to_string());
        let present = self.objects.get(&key).cloned();
        let expected = body.get("meta").get("rev").number();
        match (method, present) {
            ("POST", Some(present)) => (409, present),
            ("POST", None) => (200, self.change(kind, name, Some(body.get("spec").clone()))),
            (_, None) => (404, Value::Null),
            (_, Some(present))
                if expected
                    .is_some_and(|rev| present.get("meta").get("rev").number() != Some(rev)) =>
            {
                (409, present)
            }
            ("DELETE", Some(_)) => (200, self.change(kind, name, None)),
            _ => (200, self.change(kind, name, Some(body.get("spec").clone()))),
        }
    }

    fn write_status(&mut self, kind: &str, name: &str, status: Value) -> (u16, Value) {
        let revision = self.revision + 1;
        let Some(present) = self.objects.get_mut(&(kind.to_string(), name.to_string())) else {
            return (404, Value::Null);
        };
        present.set("status", status);
        let mut meta = present.get("meta").clone();
        meta.set("rev", revision.into());
        present.set("meta", meta);
        let present = present.clone();
        self.revision = revision;
        self.history.push((revision, kind.into(), false, present.clone()));
        (200, present)
    }

    fn events(&self, kind: &str, after: u64) -> Option<Value> {
        let later = self.history.iter().filter(|(at, of, ..)| *at > after && of == kind);
        let events: Vec<Value> = later
            .map(|(_, _, deleted, written)| {
                object([("deleted", Value::Bool(*deleted)), ("object", written.clone())])
            })
            .collect();
        let at = ("at", self.revision.into());
        (!events.is_empty()).then(|| object([("events", Value::List(events)), at]))
    }
}

fn handle(shared: &(Mutex<State>, Condvar), request: &Request) -> Response {
    let (status, body) = answer(shared, request);
    Response::new(status, body.to_string()).with("Content-Type", "application/json")
}

fn answer(shared: &(Mutex<State>, Condvar), request: &Request) -> (u16, Value) {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let Some(path) = path.strip_prefix(PATH) else { return (404, Value::Null) };
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind, Some(decode(name))),
        None => (path, None),
    };
    let parameter = |wanted: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == wanted).and_then(|(_, value)| value.parse::<u64>().ok())
    };
    if request.method != "GET" {
        let text = String::from_utf8_lossy(&request.body);
        let mut body = json::parse(&text).unwrap_or(object([]));
        if let Some(revision) = parameter("rev") {
            body.set("meta", object([("rev", revision.into())]));
        }
        let mut state = shared.0.lock().unwrap();
        let name = name
            .unwrap_or_else(|| body.get("meta").get("name").text().unwrap_or_default().to_string());
        let answer = match name.strip_suffix("/status") {
            Some(name) => state.write_status(kind, name, body.get("status").clone()),
            None => state.write(&request.method, kind, &name, &body),
        };
        shared.1.notify_all();
        return answer;
    }
    let mut state = shared.0.lock().unwrap();
    match (name, parameter("watch")) {
        (Some(name), _) => match state.objects.get(&(kind.to_string(), name)) {
            Some(present) => (200, present.clone()),
            None => (404, Value::Null),
        },
        (None, None) => {
            let items = state.objects.iter().filter(|((of, _), _)| of == kind);
            let items = items.map(|(_, present)| present.clone()).collect();
            let more = ("has_more", Value::Bool(false));
            (200, object([("items", Value::List(items)), more, ("at", state.revision.into())]))
        }
        (None, Some(after)) => {
            let wait = Duration::from_millis(parameter("wait_ms").unwrap_or_default());
            let deadline = Instant::now() + wait;
            loop {
                if let Some(events) = state.events(kind, after) {
                    return (200, events);
                }
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    let events = ("events", Value::List(Vec::new()));
                    return (200, object([events, ("at", state.revision.into())]));
                }
                state = shared.1.wait_timeout(state, left).unwrap().0;
            }
        }
    }
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((&first, after)) = rest.split_first() {
        let escaped = (first == b'%').then(|| after.get(..2)).flatten();
        let code =
            escaped.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match code {
            Some(code) => {
                bytes.push(code);
                rest = &after[2..];
            }
            None => {
                bytes.push(first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
