//! Faults that can be switched while a stand-in runs.

/// How a stand-in is out of order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It serves.
    #[default]
    None,
    /// Every request gets 503.
    Unavailable,
    /// Every request is read and its connection closed without an answer or effect.
    Closed,
    /// Connections are refused. Over HTTP this needs `refuse_ms`, after which it serves again.
    Refused,
}

/// When a request hangs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hang {
    /// Requests are answered.
    #[default]
    None,
    /// A request waits before it has an effect.
    Before,
    /// The effect happens and the answer waits.
    After,
}

/// All fault switches; the default is none. Those that a stand-in has no use for do nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether it is out of order. A change cuts all requests under way.
    pub down: Down,
    /// How long connections are refused; 0 means until switched back in process.
    pub refuse_ms: u64,
    /// Time added before each request.
    pub latency_ms: u64,
    /// Every n-th answer to a request other than GET is lost after the effect; 0 for none.
    pub lose_answer_every: u32,
    /// Whether requests hang.
    pub hang: Hang,
    /// The stand-in dies at a request whose body contains this text; empty for never.
    pub crash_on: String,
    /// Whether an old fencing number is refused.
    pub checks_fencing: bool,
    /// How late cache events show.
    pub cache_event_delay_ms: u64,
    /// Every n-th cache event is lost; 0 for none.
    pub cache_event_lose_every: u32,
    /// How old the load report and the host list are.
    pub lag_ms: u64,
    /// Requests that contain this text in path, headers or body are counted; empty for none.
    pub planted: String,
}

impl Faults {
    /// Returns the faults with the fields that a JSON object names replaced.
    pub(crate) fn patched(&self, patch: &[u8]) -> Result<Self, String> {
        let patch: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(patch).map_err(|error| error.to_string())?;
        let mut fields = serde_json::to_value(self).map_err(|error| error.to_string())?;
        if let Some(fields) = fields.as_object_mut() {
            fields.extend(patch);
        }
        let faults: Self = serde_json::from_value(fields).map_err(|error| error.to_string())?;
        match faults.down == Down::Refused && faults.refuse_ms == 0 {
            true => Err("down: \"refused\" needs refuse_ms above 0".into()),
            false => Ok(faults),
        }
    }
}
