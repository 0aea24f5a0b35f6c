//! Messages of a program's history, in the common chat-completions form.

/// One message of a history.
///
/// Only the role and the content are read here; all other fields (tool calls, names) are kept as
/// they came, so that an engine sees what the caller sent.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Message {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text or structured content; null for an assistant message that only calls tools.
    #[serde(default)]
    pub content: serde_json::Value,
    /// All other fields, unread.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Tokens that one turn used, as the engine reported them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Usage {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// Bytes that one token stands for where no engine has counted yet.
pub const BYTES_PER_TOKEN: u64 = 4;

impl Message {
    /// Makes a plain text message.
    pub fn text(role: &str, content: &str) -> Self {
        Self { role: role.into(), content: content.into(), other: Default::default() }
    }

    /// Estimates the message's tokens from its length, at least one.
    pub fn estimated_tokens(&self) -> u64 {
        let bytes = match &self.content {
            serde_json::Value::String(text) => text.len(),
            other => other.to_string().len(),
        };
        (bytes as u64).div_ceil(BYTES_PER_TOKEN).max(1)
    }
}
