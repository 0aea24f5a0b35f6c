//! Formats a timeline in the JSON object form of the "Trace Event Format", which the trace viewers
//! of browsers open.
//!
//! Hosts map to processes and programs to threads. Spans are complete events; all other entries are
//! instant events.

use {
    super::{read::Entry, steps::Step, text::kind_name},
    serde_json::{Value, json},
    std::collections::BTreeMap,
    trefoilring_core::ids::HostId,
};

/// Thread number of entries without a program.
const HOST_THREAD: usize = 0;

/// Process and thread numbers of hosts and programs, assigned in the order of appearance.
#[derive(Default)]
struct TraceIds {
    hosts: BTreeMap<HostId, usize>,
    programs: BTreeMap<(usize, String), usize>,
    metadata: Vec<Value>,
}

impl TraceIds {
    fn pid(&mut self, host: &HostId) -> usize {
        let next = self.hosts.len() + 1;
        let number = *self.hosts.entry(host.clone()).or_insert(next);
        if number == next {
            self.add_metadata("process_name", number, HOST_THREAD, host);
            self.add_metadata("thread_name", number, HOST_THREAD, "host");
        }
        number
    }

    fn tid(&mut self, pid: usize, program: Option<&str>) -> usize {
        let Some(program) = program else { return HOST_THREAD };
        let next = self.programs.len() + 1;
        let number = *self.programs.entry((pid, program.to_owned())).or_insert(next);
        if number == next {
            self.add_metadata("thread_name", pid, number, program);
        }
        number
    }

    fn add_metadata(&mut self, kind: &str, pid: usize, tid: usize, name: &str) {
        let args = json!({ "name": name });
        self.metadata
            .push(json!({ "name": kind, "ph": "M", "pid": pid, "tid": tid, "args": args }));
    }
}

pub(super) fn render(entries: &[Entry], steps: &[Step]) -> String {
    let mut ids = TraceIds::default();
    let mut events = Vec::new();
    for step in steps {
        for span in &step.spans {
            let pid = ids.pid(&span.host);
            let tid = ids.tid(pid, Some(&step.program));
            let duration_us = span.to_us.saturating_sub(span.from_us);
            let args = json!({ "step": step.step, "request": step.request });
            events.push(json!({
                "name": span.phase.to_string(), "cat": "step", "ph": "X",
                "ts": span.from_us, "dur": duration_us, "pid": pid, "tid": tid, "args": args,
            }));
        }
    }
    events.extend(entries.iter().map(|entry| instant_event(entry, &mut ids)));
    ids.metadata.extend(events);
    let trace = json!({ "displayTimeUnit": "ms", "traceEvents": ids.metadata });
    format!("{trace}\n")
}

fn instant_event(entry: &Entry, ids: &mut TraceIds) -> Value {
    let (at, ..) = entry.sort_key();
    let (name, pid, tid, args) = match entry {
        Entry::Event(event) => {
            let pid = ids.pid(&event.host);
            let tid = ids.tid(pid, event.program.as_deref());
            (kind_name(event.kind), pid, tid, json!(event))
        }
        Entry::Gap(gap) => ("gap".to_owned(), ids.pid(&gap.host), HOST_THREAD, json!(gap)),
        Entry::Unreadable(line) => ("unreadable".to_owned(), 0, HOST_THREAD, json!(line)),
    };
    json!({
        "name": name, "cat": "event", "ph": "i", "s": "t",
        "ts": at.wall_us, "pid": pid, "tid": tid, "args": args,
    })
}
