use super::*;

fn lines(decisions: &Decisions) -> Vec<serde_json::Value> {
    let text = decisions.take();
    text.lines().map(|line| serde_json::from_str(line).expect("each line is JSON")).collect()
}

#[test]
fn line_contains_host_kind_and_fields() {
    let decisions = Decisions::without_writer("host-1");
    decisions.log(LineRate::Rare, "start", serde_json::json!({"version": "1"}));
    let lines = lines(&decisions);
    assert_eq!(lines[0]["host"], "host-1");
    assert_eq!(lines[0]["kind"], "start");
    assert_eq!(lines[0]["version"], "1");
    assert!(lines[0].get("left_out").is_none());
}

#[test]
fn lines_beyond_a_full_buffer_are_dropped_and_counted() {
    let decisions = Decisions::without_writer("host-1");
    let filler = "x".repeat(BUFFER_BYTES_MAX / 2);
    for _ in 0..3 {
        decisions.log(LineRate::Rare, "filler", serde_json::json!({"text": filler}));
    }
    assert_eq!(decisions.dropped(), 2);
    assert_eq!(lines(&decisions).len(), 1);
}
