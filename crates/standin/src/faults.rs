//! Faults that can be injected while a stand-in runs.

/// The kind of outage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every request is answered with 503.
    Unavailable,
    /// Every request is read, and its connection is closed without a response or an effect.
    Closed,
    /// Connections are refused. When set over HTTP or by a flag, this requires `refuse_ms`. The
    /// outage ends after that time.
    Refused,
}

/// The phase in which requests hang.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HangPhase {
    /// Requests don't hang.
    #[default]
    None,
    /// Requests hang before they have an effect.
    Before,
    /// Requests hang after their effect, before the response.
    After,
}

/// All faults; by default none is in force. A stand-in ignores the faults that don't apply to it.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Current outage. A change to anything but [`Outage::None`] interrupts all requests in flight.
    pub down: Outage,
    /// How long connections are refused. 0 means until the fault is cleared through
    /// [`Control`](crate::Control).
    pub refuse_ms: u64,
    /// Delay before each request is handled.
    pub latency_ms: u64,
    /// Every n-th response to a request other than GET is dropped after the effect; 0 for none.
    pub lose_answer_every: u32,
    /// Whether and in which phase requests hang.
    pub hang: HangPhase,
    /// A request whose body contains this text crashes the stand-in; empty for none.
    pub crash_on: String,
    /// Whether requests with a fencing number below the highest received are refused.
    pub checks_fencing: bool,
    /// Delay before cache events become visible.
    pub cache_event_delay_ms: u64,
    /// Every n-th cache event is lost; 0 for none.
    pub cache_event_lose_every: u32,
    /// Age of the load report and of the host list.
    pub lag_ms: u64,
    /// Text to search for. Requests that contain it in the path, a header or the body are counted;
    /// empty for none.
    pub planted: String,
}

impl Faults {
    /// Returns the faults with the fields of a JSON object replaced.
    pub(crate) fn with_patch(&self, patch: &[u8]) -> Result<Self, String> {
        let patch: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(patch).map_err(|error| error.to_string())?;
        let mut fields = serde_json::to_value(self).map_err(|error| error.to_string())?;
        if let Some(fields) = fields.as_object_mut() {
            fields.extend(patch);
        }
        let faults: Self = serde_json::from_value(fields).map_err(|error| error.to_string())?;
        match faults.down == Outage::Refused && faults.refuse_ms == 0 {
            true => Err("down: \"refused\" needs refuse_ms above 0".into()),
            false => Ok(faults),
        }
    }
}
