//! The event log: one JSON line per event. The timeline over all hosts is built from these logs.
//!
//! Events are stamped where they occur and written by a separate thread, so that a slow disk never
//! blocks the control or traffic threads. When the writer falls behind, events are dropped, and the
//! gap in the sequence numbers shows it.

use {
    super::{log::wall_us, metrics::Metrics},
    std::{
        collections::{BTreeMap, VecDeque},
        fs::{File, OpenOptions},
        io::{self, BufWriter, Write},
        path::Path,
        sync::{Arc, Mutex},
    },
    trefoilring_core::{
        call::Call,
        event::{Event, Kind},
        hlc::{Clock, Stamp},
        ids::{Epoch, HostId, ProgramId, TeamId, UpstreamId},
    },
};

/// Maximum number of events queued for the writer.
const WRITER_QUEUE_EVENTS: usize = 65_536;
/// Number of recent events kept in memory for queries from operators and tests.
const RECENT_EVENTS: usize = 8192;

/// The event log of one host. Clones share one log.
#[derive(Clone)]
pub struct EventLog {
    inner: Arc<Inner>,
}

struct Inner {
    host: HostId,
    metrics: Metrics,
    state: Mutex<State>,
    writer: Option<smol::channel::Sender<Event>>,
}

#[derive(Default)]
struct State {
    clock: Clock,
    sequence: u64,
    recent: VecDeque<Event>,
}

/// Optional fields of an event: the objects that it concerns and its details.
#[derive(Clone, Debug, Default)]
pub struct EventFields {
    pub(crate) program: Option<ProgramId>,
    pub(crate) step: Option<trefoilring_core::ids::StepKey>,
    pub(crate) request: Option<trefoilring_core::ids::RequestId>,
    pub(crate) team: Option<TeamId>,
    pub(crate) upstream: Option<UpstreamId>,
    pub(crate) epoch: Option<Epoch>,
    pub(crate) details: BTreeMap<String, serde_json::Value>,
}

impl EventFields {
    /// Returns the fields that identify a call.
    pub fn for_call(call: &Call) -> Self {
        Self {
            program: Some(call.program.clone()),
            step: Some(call.step.clone()),
            request: Some(call.request.clone()),
            team: Some(call.caller.team.clone()),
            ..Self::default()
        }
    }

    /// Returns the fields that identify a program.
    pub fn for_program(program: &ProgramId) -> Self {
        Self { program: Some(program.clone()), ..Self::default() }
    }

    /// Sets the upstream.
    pub fn upstream(mut self, upstream: &UpstreamId) -> Self {
        self.upstream = Some(upstream.clone());
        self
    }

    /// Sets the epoch of the journal's owner.
    pub fn epoch(mut self, epoch: Epoch) -> Self {
        self.epoch = Some(epoch);
        self
    }

    /// Adds a detail under `name`, replacing an earlier one of that name.
    pub fn with(mut self, name: &str, value: impl Into<serde_json::Value>) -> Self {
        self.details.insert(name.into(), value.into());
        self
    }
}

impl EventLog {
    /// Opens the log. Without a path, events are kept only in memory.
    pub fn open(host: HostId, path: Option<&Path>, metrics: Metrics) -> io::Result<Self> {
        let writer = match path {
            Some(path) => {
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                Some(spawn_writer(file)?)
            }
            None => None,
        };
        Ok(Self { inner: Arc::new(Inner { host, metrics, state: Mutex::default(), writer }) })
    }

    /// Stamps an event, queues it for the writer and counts it in the metrics.
    pub fn record(&self, kind: Kind, fields: EventFields) {
        let Ok(mut state) = self.inner.state.lock() else { return };
        let at = state.clock.tick(wall_us());
        state.sequence += 1;
        let event = Event {
            at,
            host: self.inner.host.clone(),
            sequence: state.sequence,
            kind,
            program: fields.program,
            step: fields.step,
            request: fields.request,
            team: fields.team,
            upstream: fields.upstream,
            epoch: fields.epoch,
            details: fields.details,
        };
        if let Some(writer) = &self.inner.writer
            && writer.try_send(event.clone()).is_err()
        {
            self.inner.metrics.count("events_dropped", 1);
        }
        if state.recent.len() == RECENT_EVENTS {
            state.recent.pop_front();
        }
        state.recent.push_back(event);
        drop(state);
        if let Ok(serde_json::Value::String(name)) = serde_json::to_value(kind) {
            self.inner.metrics.count(&format!("event.{name}"), 1);
        }
    }

    /// Advances the clock past a stamp received from another host.
    pub fn observe(&self, remote: Stamp) {
        if let Ok(mut state) = self.inner.state.lock() {
            state.clock.observe(remote);
        }
    }

    /// Returns a stamp to send to another host.
    pub fn stamp(&self) -> Stamp {
        self.inner.state.lock().map_or_else(|_| Stamp::default(), |mut s| s.clock.tick(wall_us()))
    }

    /// Returns the most recent events, oldest first.
    pub fn recent(&self) -> Vec<Event> {
        self.inner.state.lock().map_or_else(|_| Vec::new(), |s| s.recent.iter().cloned().collect())
    }
}

fn spawn_writer(file: File) -> io::Result<smol::channel::Sender<Event>> {
    let (sender, receiver) = smol::channel::bounded::<Event>(WRITER_QUEUE_EVENTS);
    let write = move || {
        let mut out = BufWriter::new(file);
        while let Ok(event) = receiver.recv_blocking() {
            if let Err(error) = write_line(&mut out, &event) {
                log::error!("failed to write the event log: {error}");
            }
            // Flush whenever the queue is empty, so that few events are lost if the host is killed.
            if receiver.is_empty()
                && let Err(error) = out.flush()
            {
                log::error!("failed to flush the event log: {error}");
            }
        }
    };
    std::thread::Builder::new().name("events".into()).spawn(write)?;
    Ok(sender)
}

fn write_line(out: &mut impl Write, event: &Event) -> io::Result<()> {
    serde_json::to_writer(&mut *out, event)?;
    out.write_all(b"\n")
}
