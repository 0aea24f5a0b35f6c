//! The cost of running a request at an upstream, in milliseconds.
//!
//! Load pattern: turns compete for engines that batch their requests. A request in a batch slows the
//! others a little, a request beyond the slots waits for one of them to end, and prompt tokens that
//! are read hold up the whole batch. The cost is the time that the request is expected to take at
//! an upstream, plus the time that it costs others there.

use super::parts::{PromptPart, SharedPrefix, total_tokens};

/// Time that a request takes while nothing is known of its service. About that of a short turn.
pub(super) const TIME_DEFAULT_MS: f64 = 100.0;
/// Part of a request's time that a full batch adds: the steps get longer, and the other requests'
/// prompts are read meanwhile. In the replay of `tests/placement_replay.rs`, 0.3 gave 5% more turn
/// time at p95 than 1.0, and 2.0 the same.
const BATCH_SHARE: f64 = 1.0;
/// Range around the number of slots, as a fraction of them, in which the queue's delay sets in. An
/// estimate of the load is about this wrong, since reports are old and other hosts send meanwhile.
const QUEUE_MARGIN: f64 = 0.3;
/// Prompt tokens that an engine reads per ms, of engines that read 147 to 328.
const READ_TOKENS_PER_MS: f64 = 200.0;
/// Prompt tokens of a request whose parts are not known: those that it shares with others, and those of
/// its session.
const SHARED_TOKENS_DEFAULT: u64 = 15_000;
const SESSION_TOKENS_DEFAULT: u64 = 5000;
/// Price of another failure domain: the delay of the longer way there and back, and the cost of the
/// traffic. Above what noise in learned speeds makes of a request's time. In the replay of
/// `tests/placement_replay.rs`, 8 and 20 ms changed the turn time at p95 by 3% at most.
const DOMAIN_MS: f64 = 8.0;
/// Part of a request's time that a limited upstream is preferred by. What its limit allows at this
/// host is lost if it is not used soon.
const LIMITED_SHARE: f64 = 0.1;
/// How often a session's next turn comes to another host, as measured at a large customer.
const OTHER_HOST_SHARE: f64 = 0.4;

/// What the cost at an upstream depends on.
pub(super) struct CostInputs {
    /// Requests running or waiting at the upstream, as a fraction of its slots, with this one and with the
    /// load that trouble counts for.
    pub(super) load: f64,
    /// Requests that run beside this one, which slow down while its prompt is read.
    pub(super) running: f64,
    /// How much longer work takes there than usual.
    pub(super) slowdown: f64,
    /// Prompt tokens that must be read there.
    pub(super) unread_tokens: u64,
    /// Whether the upstream is in another failure domain than this host.
    pub(super) is_far: bool,
    /// Whether the upstream limits its requests.
    pub(super) is_limited: bool,
}

/// Returns the cost of a request at an upstream, where requests of its service take `time_ms`.
pub(super) fn cost_ms(time_ms: f64, inputs: &CostInputs) -> f64 {
    let queued = 1.0 + inputs.load * BATCH_SHARE + queue(inputs.load);
    let work_ms = time_ms * queued + read_ms(inputs.unread_tokens) * (1.0 + inputs.running);
    let domain_ms = if inputs.is_far { DOMAIN_MS } else { 0.0 };
    let limited_ms = if inputs.is_limited { time_ms * LIMITED_SHARE } else { 0.0 };
    inputs.slowdown * work_ms + domain_ms - limited_ms
}

/// Returns the time in the queue as a multiple of a request's time: zero while slots are free, and
/// one for each time that the slots are taken over.
fn queue(load: f64) -> f64 {
    let above = load - (1.0 - QUEUE_MARGIN);
    if above <= 0.0 {
        0.0
    } else if above < 2.0 * QUEUE_MARGIN {
        above * above / (4.0 * QUEUE_MARGIN)
    } else {
        load - 1.0
    }
}

/// Returns the time that reading prompt tokens costs a request and the others at its upstream.
fn read_ms(tokens: u64) -> f64 {
    tokens as f64 / READ_TOKENS_PER_MS
}

/// Returns the additional cost up to which an upstream that ranks higher for a session is worth it,
/// since another host then chooses it for the session's next turn, which need not be read again.
/// `running` requests would run beside it.
pub(super) fn ranked_margin_ms(tokens: PromptTokens, running: f64) -> f64 {
    let unread_tokens = if tokens.is_known { tokens.own } else { tokens.total() };
    read_ms(unread_tokens) * (1.0 + running) * OTHER_HOST_SHARE
}

/// The tokens of a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptTokens {
    /// Tokens that other requests share.
    pub(super) shared: u64,
    /// Tokens of the request or its session alone.
    pub(super) own: u64,
    /// Whether the request names the parts of its prompt.
    is_known: bool,
}

impl PromptTokens {
    /// Returns the tokens of a prompt with the given parts.
    pub(super) fn of(prompt: &[PromptPart], prefix: Option<SharedPrefix>) -> Self {
        if prompt.is_empty() {
            return Self {
                shared: SHARED_TOKENS_DEFAULT,
                own: SESSION_TOKENS_DEFAULT,
                is_known: false,
            };
        }
        let shared = prefix.map_or(0, |prefix| prefix.tokens);
        Self { shared, own: total_tokens(prompt).saturating_sub(shared), is_known: true }
    }

    pub(super) fn total(self) -> u64 {
        self.shared.saturating_add(self.own)
    }
}
