//! A time line in the trace-event format that browsers' trace viewers open.
//!
//! Format: "Trace Event Format", the JSON object form. A host is a process, a program a thread;
//! spans are complete events, all else instant events.

use {
    super::{read::Entry, steps::Step, text::kind_name},
    serde_json::{Value, json},
    std::collections::BTreeMap,
    trefoilring_core::ids::HostId,
};

/// Thread of what concerns a host and no program.
const HOST_THREAD: usize = 0;

/// Numbers for hosts and programs, in the order in which they appear.
#[derive(Default)]
struct Numbers {
    hosts: BTreeMap<HostId, usize>,
    programs: BTreeMap<(usize, String), usize>,
    names: Vec<Value>,
}

impl Numbers {
    fn host(&mut self, host: &HostId) -> usize {
        let next = self.hosts.len() + 1;
        let number = *self.hosts.entry(host.clone()).or_insert(next);
        if number == next {
            self.name("process_name", number, HOST_THREAD, host);
            self.name("thread_name", number, HOST_THREAD, "host");
        }
        number
    }

    fn program(&mut self, host: usize, program: Option<&str>) -> usize {
        let Some(program) = program else { return HOST_THREAD };
        let next = self.programs.len() + 1;
        let number = *self.programs.entry((host, program.to_owned())).or_insert(next);
        if number == next {
            self.name("thread_name", host, number, program);
        }
        number
    }

    fn name(&mut self, kind: &str, pid: usize, tid: usize, name: &str) {
        let args = json!({ "name": name });
        self.names.push(json!({ "name": kind, "ph": "M", "pid": pid, "tid": tid, "args": args }));
    }
}

/// Writes the trace as JSON.
pub(super) fn write(entries: &[Entry], steps: &[Step]) -> String {
    let mut numbers = Numbers::default();
    let mut events = Vec::new();
    for step in steps {
        for span in &step.spans {
            let pid = numbers.host(&span.host);
            let tid = numbers.program(pid, Some(&step.program));
            let duration_us = span.to_us.saturating_sub(span.from_us);
            let args = json!({ "step": step.step, "request": step.request });
            events.push(json!({
                "name": span.phase.to_string(), "cat": "step", "ph": "X",
                "ts": span.from_us, "dur": duration_us, "pid": pid, "tid": tid, "args": args,
            }));
        }
    }
    events.extend(entries.iter().map(|entry| instant(entry, &mut numbers)));
    numbers.names.extend(events);
    let trace = json!({ "displayTimeUnit": "ms", "traceEvents": numbers.names });
    format!("{trace}\n")
}

fn instant(entry: &Entry, numbers: &mut Numbers) -> Value {
    let (at, ..) = entry.order();
    let (name, pid, tid, args) = match entry {
        Entry::Event(event) => {
            let pid = numbers.host(&event.host);
            let tid = numbers.program(pid, event.program.as_deref());
            (kind_name(event.kind), pid, tid, json!(event))
        }
        Entry::Gap(gap) => ("gap".to_owned(), numbers.host(&gap.host), HOST_THREAD, json!(gap)),
        Entry::Unreadable(line) => ("unreadable".to_owned(), 0, HOST_THREAD, json!(line)),
    };
    json!({
        "name": name, "cat": "event", "ph": "i", "s": "t",
        "ts": at.wall_us, "pid": pid, "tid": tid, "args": args,
    })
}
