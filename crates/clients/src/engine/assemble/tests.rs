use {super::*, serde_json::from_value};

fn event(delta: Value) -> ChatEvent {
    let delta = from_value(delta).unwrap();
    ChatEvent { json: String::new(), delta, finish_reason: None, usage: None }
}

#[test]
fn merges_fragments_of_text_and_tool_calls() {
    let mut assembler = ChatAssembler::default();
    let call = |index: u64, name: &str, arguments: &str| {
        event(json!({ "tool_calls": [{
            "index": index, "id": format!("call-{index}"), "type": "function",
            "function": { "name": name, "arguments": arguments },
        }]}))
    };
    let fragments = [
        event(json!({ "role": "assistant", "content": "boo" })),
        event(json!({ "role": "assistant", "content": "king" })),
        call(1, "reserve", "{}"),
        call(0, "book", "{\"crew\":"),
        event(json!({ "tool_calls": [{ "index": 0, "function": { "arguments": "7}" } }] })),
        event(json!({ "tool_calls": [{ "index": 9_999_999_999_u64, "id": "far" }] })),
        event(json!({ "content": null, "refusal": null })),
    ];
    fragments.iter().for_each(|fragment| assembler.push(fragment));
    let function = |name: &str, arguments: &str| json!({ "name": name, "arguments": arguments });
    let message = json!({
        "role": "assistant",
        "content": "booking",
        "tool_calls": [
            { "id": "call-0", "type": "function", "function": function("book", "{\"crew\":7}") },
            { "id": "call-1", "type": "function", "function": function("reserve", "{}") },
        ],
    });
    assert_eq!(json!(assembler.message()), message);
}
