//! Messages of a program's history, in the common chat-completions format.

/// One message of a history.
///
/// The scheduler interprets only the role and the content. All other fields (tool calls, names) are
/// kept unchanged, so that an engine receives what the caller sent.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Message {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text or structured content. Null for an assistant message that contains only tool calls.
    #[serde(default)]
    pub content: serde_json::Value,
    /// All other fields, unchanged.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Token counts of one turn, as reported by the engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Usage {
    /// Number of tokens in the complete prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
}

/// Estimated bytes per token, used until an engine has reported a count.
pub const BYTES_PER_TOKEN: u64 = 4;

impl Message {
    /// Creates a message with text content.
    pub fn text(role: &str, content: &str) -> Self {
        Self { role: role.into(), content: content.into(), other: Default::default() }
    }

    /// Estimates the number of tokens from the content's length. Returns at least one.
    pub fn estimated_tokens(&self) -> u64 {
        let bytes = match &self.content {
            serde_json::Value::String(text) => text.len(),
            other => other.to_string().len(),
        };
        (bytes as u64).div_ceil(BYTES_PER_TOKEN).max(1)
    }
}
