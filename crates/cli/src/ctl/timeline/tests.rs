use {
    super::{
        filter::Filter,
        html, json_lines,
        read::{Entry, read_log},
        steps::{Phase, steps},
        text, trace,
    },
    expect_test::expect,
    serde_json::{Value, json},
};

const START_US: u64 = 1_790_000_000_000_000;

/// Returns one line of a log. `extra_fields` are added to the event.
fn line(host: &str, sequence: u64, after_us: u64, kind: &str, extra_fields: Value) -> String {
    let mut event = json!({
        "at": { "wall_us": START_US + after_us, "count": 0 },
        "host": host, "sequence": sequence, "kind": kind,
    });
    let (Value::Object(event), Value::Object(extra_fields)) = (&mut event, extra_fields) else {
        panic!("events are objects")
    };
    event.extend(extra_fields);
    format!("{}\n", Value::Object(event.clone()))
}

fn call_fields(program: &str, step: &str, details: Value) -> Value {
    json!({
        "program": program, "step": step, "request": format!("r-{step}"), "team": "north",
        "details": details,
    })
}

/// Events of a host that is killed during a call, and of a host that takes over its journal.
fn takeover() -> Vec<Entry> {
    let killed_host_log = [
        line("a-1", 1, 0, "host_started", json!({})),
        line("a-1", 2, 1000, "program_created", json!({ "program": "p" })),
        line("a-1", 3, 2000, "call_received", call_fields("p", "s1", json!({}))),
        line("a-1", 4, 2500, "call_queued", call_fields("p", "s1", json!({ "service": "llm" }))),
        line("a-1", 5, 9500, "call_sent", call_fields("p", "s1", json!({}))),
        line(
            "a-1",
            6,
            29_500,
            "call_ended",
            call_fields("p", "s1", json!({ "first_byte_ms": 15 })),
        ),
        line("a-1", 7, 31_500, "call_recorded", call_fields("p", "s1", json!({}))),
        line("a-1", 10, 40_000, "call_received", call_fields("p", "s2", json!({}))),
        "{\"at\":{\"wall_us\":".to_owned(),
    ];
    let takeover_host_log = [
        line("b-1", 1, 500, "host_started", json!({})),
        line("b-1", 2, 45_000, "host_lost", json!({ "details": { "host": "a-1" } })),
        line("b-1", 3, 50_000, "journal_taken_over", json!({ "epoch": 2 })),
        line("b-1", 4, 51_000, "call_received", call_fields("p", "s2", json!({}))),
        line(
            "b-1",
            5,
            52_000,
            "call_refused",
            call_fields(
                "p",
                "s2",
                json!({ "reason": "upstream_failed", "verdict": "may_have_run" }),
            ),
        ),
        line("b-1", 6, 60_000, "call_received", call_fields("q", "s3", json!({}))),
    ];
    let mut entries = Vec::new();
    read_log("b.jsonl", &takeover_host_log.concat(), &mut entries);
    read_log("a.jsonl", &killed_host_log.concat(), &mut entries);
    entries.sort_by_cached_key(Entry::sort_key);
    entries
}

fn entries_of_program(program: &str) -> Vec<Entry> {
    let filter = Filter { program: Some(program.into()), ..Filter::default() };
    filter.apply(takeover())
}

#[test]
fn a_program_is_shown_with_gaps_and_events_of_its_hosts() {
    let entries = entries_of_program("p");
    expect![[r#"
        2026-09-21T14:13:20.001000Z       +0.000 ms  a-1            program_created    program=p
        2026-09-21T14:13:20.002000Z       +1.000 ms  a-1            call_received      program=p step=s1 request=r-s1 team=north
        2026-09-21T14:13:20.002500Z       +0.500 ms  a-1            call_queued        program=p step=s1 request=r-s1 team=north service="llm"
        2026-09-21T14:13:20.009500Z       +7.000 ms  a-1            call_sent          program=p step=s1 request=r-s1 team=north
        2026-09-21T14:13:20.029500Z      +20.000 ms  a-1            call_ended         program=p step=s1 request=r-s1 team=north first_byte_ms=15
        2026-09-21T14:13:20.031500Z       +2.000 ms  a-1            call_recorded      program=p step=s1 request=r-s1 team=north
        --- gap: 2 events of a-1 are missing here
        2026-09-21T14:13:20.040000Z       +8.500 ms  a-1            call_received      program=p step=s2 request=r-s2 team=north
        --- unreadable: a.jsonl:9: EOF while parsing a value at line 1 column 17
        2026-09-21T14:13:20.045000Z       +5.000 ms  b-1            host_lost          host="a-1"
        2026-09-21T14:13:20.050000Z       +5.000 ms  b-1            journal_taken_over epoch=2
        2026-09-21T14:13:20.051000Z       +1.000 ms  b-1            call_received      program=p step=s2 request=r-s2 team=north
        2026-09-21T14:13:20.052000Z       +1.000 ms  b-1            call_refused       program=p step=s2 request=r-s2 team=north reason="upstream_failed" verdict="may_have_run"

        step                     upstream           attempts admission ms     queue ms first byte ms    answer ms     store ms     other ms     total ms  end
        s1                       -                         1        0.500        7.000       15.000        5.000        2.000        0.000       29.500  call_recorded
        s2                       -                         0        0.000        0.000        0.000        0.000        0.000       12.000       12.000  upstream_failed (may_have_run)
    "#]].assert_eq(&text::render(&entries, &steps(&entries)));
}

#[test]
fn the_time_of_a_step_is_divided_among_its_phases() {
    let steps = steps(&entries_of_program("p"));
    let step = &steps[0];
    let phases = Phase::ALL.map(|phase| step.phase_us(phase));
    assert_eq!(phases, [500, 7000, 15_000, 5000, 2000, 0]);
    assert_eq!(step.total_us(), phases.iter().sum::<u64>());
    assert_eq!(steps[1].refusal.as_deref(), Some("upstream_failed (may_have_run)"));
}

/// Name of the case, sequence numbers and kinds of the events in the log, and the number of missing
/// events in each gap.
type GapCase<'a> = (&'a str, &'a [(u64, &'a str)], &'a [u64]);

#[test]
fn gaps_are_distinguished_from_restarts() {
    let (start, seen) = ("host_started", "host_seen");
    let cases: [GapCase<'_>; 6] = [
        ("whole", &[(1, start), (2, seen)], &[]),
        ("lost in the middle", &[(1, start), (5, seen)], &[3]),
        ("lost at the start", &[(4, seen), (5, seen)], &[3]),
        ("restarted", &[(7, seen), (1, start)], &[6]),
        ("restarted further on", &[(1, start), (2, start)], &[1]),
        ("start lost", &[(1, start), (2, seen), (2, seen)], &[1]),
    ];
    for (name, events, expected) in cases {
        let log: String = events
            .iter()
            .enumerate()
            .map(|(at, (sequence, kind))| line("h", *sequence, at as u64, kind, json!({})))
            .collect();
        let mut entries = Vec::new();
        read_log("h.jsonl", &log, &mut entries);
        let missing: Vec<u64> = entries
            .iter()
            .filter_map(|entry| match entry {
                Entry::Gap(gap) => Some(gap.missing),
                _ => None,
            })
            .collect();
        assert_eq!(missing, expected, "{name}");
    }
}

#[test]
fn entries_are_filtered_by_time() {
    let count = |filter: Filter| {
        let events = filter.apply(takeover());
        events.iter().filter(|entry| matches!(entry, Entry::Event(_))).count()
    };
    let from_us = Some(START_US + 45_000);
    assert_eq!(count(Filter { from_us, ..Filter::default() }), 5);
    assert_eq!(count(Filter { to_us: from_us, ..Filter::default() }), 10);
    assert_eq!(count(Filter { last_us: Some(8000), ..Filter::default() }), 2);
    assert_eq!(count(Filter { upstream: Some("none".into()), ..Filter::default() }), 0);
    assert_eq!(count(Filter::default()), 14);
}

#[test]
fn json_trace_and_html_contain_the_same_entries() {
    let entries = entries_of_program("p");
    let steps = steps(&entries);
    let json = json_lines(&entries, &steps);
    let values: Vec<Value> = json.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(values.len(), entries.len() + steps.len());
    assert_eq!(values.iter().filter(|value| value.get("gap").is_some()).count(), 1);

    let trace: Value = serde_json::from_str(&trace::render(&entries, &steps)).unwrap();
    let events = trace["traceEvents"].as_array().unwrap();
    let count_of_type = |phase: &str| events.iter().filter(|event| event["ph"] == phase).count();
    assert_eq!(count_of_type("i"), entries.len());
    assert_eq!(count_of_type("X"), steps.iter().map(|step| step.spans.len()).sum::<usize>());
    assert!(events.iter().all(|event| event["pid"].is_u64() && event["tid"].is_u64()));

    let page = html::render(&entries, &steps);
    let bars = page.matches("<rect ").count();
    assert_eq!(bars, count_of_type("X"));
    assert!(page.contains("a-1: 2 events missing"), "{page}");
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "the page must not load other resources"
    );
}

#[test]
fn text_from_logs_is_escaped_in_html() {
    let markup = "<script>alert(1)</script>";
    let log = line("h", 1, 0, "call_received", call_fields(markup, markup, json!({})))
        + &line("h", 2, 9, "call_queued", call_fields(markup, markup, json!({})));
    let mut entries = Vec::new();
    read_log("h.jsonl", &log, &mut entries);
    let page = html::render(&entries, &steps(&entries));
    assert!(!page.contains("<script>"), "{page}");
}
