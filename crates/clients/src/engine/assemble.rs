//! Assembles the events of a turn into the message of the answer.

use {
    super::chat::ChatEvent,
    serde_json::{Map, Value, json},
    trefoilring_core::message::{Message, Usage},
};

/// Maximum number of tool calls of an answer. Fragments with a higher index are ignored.
const MAX_TOOL_CALLS: usize = 256;

/// Merges the events of a turn until it ends. Text accumulates; for the usage and the finish
/// reason, the last value received counts.
#[derive(Clone, Debug, Default)]
pub struct ChatAssembler {
    content: Option<String>,
    tool_calls: Vec<Map<String, Value>>,
    other: Map<String, Value>,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl ChatAssembler {
    /// Merges the next event.
    pub fn push(&mut self, event: &ChatEvent) {
        for (field, value) in &event.delta {
            self.merge_field(field, value);
        }
        if event.finish_reason.is_some() {
            self.finish_reason.clone_from(&event.finish_reason);
        }
        self.usage = event.usage.or(self.usage);
    }

    /// Returns the token usage, if the engine has reported it yet.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Returns why generation ended, if the engine has reported it yet.
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// Returns the message assembled so far.
    pub fn message(&self) -> Message {
        let mut other = self.other.clone();
        if !self.tool_calls.is_empty() {
            let calls = self.tool_calls.iter().cloned().map(Value::Object).collect();
            other.insert("tool_calls".into(), Value::Array(calls));
        }
        let content = self.content.clone().map_or(Value::Null, Value::String);
        Message { role: "assistant".into(), content, other }
    }

    /// Returns the answer as a chat completion, for a caller that did not request a stream.
    pub fn completion(&self, id: &str, model: &str) -> Value {
        let usage = self.usage.unwrap_or_default();
        json!({
            "id": id,
            "object": "chat.completion",
            "model": model,
            "choices": [{
                "index": 0,
                "message": self.message(),
                "finish_reason": self.finish_reason,
            }],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
            },
        })
    }

    fn merge_field(&mut self, field: &str, value: &Value) {
        match (field, value) {
            ("role", _) | (_, Value::Null) => (),
            ("content", Value::String(text)) => {
                self.content.get_or_insert_default().push_str(text);
            }
            ("tool_calls", Value::Array(calls)) => {
                calls.iter().for_each(|call| self.merge_tool_call(call))
            }
            _ => merge_value(&mut self.other, field, value),
        }
    }

    /// Merges a fragment of a tool call into the call with its index. Text fields are appended.
    fn merge_tool_call(&mut self, fragment: &Value) {
        let Value::Object(fragment) = fragment else { return };
        let index = fragment.get("index").and_then(Value::as_u64).unwrap_or_default() as usize;
        if index >= MAX_TOOL_CALLS {
            return;
        }
        if self.tool_calls.len() <= index {
            self.tool_calls.resize_with(index + 1, Map::new);
        }
        let call = &mut self.tool_calls[index];
        let fields = fragment.iter().filter(|(field, _)| *field != "index");
        fields.for_each(|(field, value)| merge_value(call, field, value));
    }
}

/// Appends strings, merges objects recursively and replaces all other values. The fields `id`,
/// `type` and `name` are never split over fragments, so they are replaced.
fn merge_value(into: &mut Map<String, Value>, field: &str, value: &Value) {
    let is_never_split = matches!(field, "id" | "type" | "name");
    match (into.get_mut(field), value) {
        (Some(Value::String(present)), Value::String(more)) if !is_never_split => {
            present.push_str(more)
        }
        (Some(Value::Object(present)), Value::Object(more)) => {
            more.iter().for_each(|(field, value)| merge_value(present, field, value));
        }
        (Some(_), Value::Null) => (),
        _ => {
            into.insert(field.into(), value.clone());
        }
    }
}

#[cfg(test)]
mod tests;
