//! Parses and validates the JSON bodies of requests.

use {
    crate::{head::Head, problem::Problem},
    http_types::StatusCode,
    serde_json::{Map, Value},
    trefoilring_core::{
        call::Turn,
        catalog::Budget,
        ids::{ClassId, StepKey},
        message::Message,
    },
};

const MAX_STEP_CHARS: usize = 128;
const ROLES: [&str; 6] = ["system", "developer", "user", "assistant", "tool", "function"];

/// A request to create a program. The class is `None` if the caller did not name one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ProgramRequest {
    pub class: Option<ClassId>,
    pub budget: Option<PartialBudget>,
}

/// A budget with optional limits; missing ones are taken from the class. Invariant: no limit is
/// zero.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PartialBudget {
    turns: Option<u32>,
    tokens: Option<u64>,
    wall_ms: Option<u64>,
}

impl PartialBudget {
    /// Fills missing limits from `defaults`. Fails if a limit is missing and `defaults` is `None`.
    pub fn with_defaults(self, defaults: Option<Budget>) -> Result<Budget, Problem> {
        let budget = || {
            Some(Budget {
                turns: self.turns.or(defaults.map(|defaults| defaults.turns))?,
                tokens: self.tokens.or(defaults.map(|defaults| defaults.tokens))?,
                wall_ms: self.wall_ms.or(defaults.map(|defaults| defaults.wall_ms))?,
            })
        };
        let detail = "budget: without a known class, turns, tokens and wall_ms have to be given";
        budget().ok_or_else(|| Problem::bad_request(detail))
    }
}

#[derive(Default, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct RawProgram {
    class: Option<String>,
    budget: Option<RawBudget>,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBudget {
    turns: Option<u32>,
    tokens: Option<u64>,
    wall_ms: Option<u64>,
}

/// Parses a request to create a program. An empty body selects the defaults for all fields.
pub(crate) fn parse_program(head: &Head, body: &[u8]) -> Result<ProgramRequest, Problem> {
    if body.iter().all(u8::is_ascii_whitespace) {
        return ProgramRequest::try_from(RawProgram::default());
    }
    require_json(head)?;
    let raw: RawProgram = serde_json::from_slice(body).map_err(json_problem)?;
    ProgramRequest::try_from(raw)
}

impl TryFrom<RawProgram> for ProgramRequest {
    type Error = Problem;

    fn try_from(raw: RawProgram) -> Result<Self, Problem> {
        let class = raw.class.as_deref().map(parse_class).transpose()?;
        let budget = raw.budget.map(parse_budget).transpose()?;
        Ok(Self { class, budget })
    }
}

fn parse_budget(raw: RawBudget) -> Result<PartialBudget, Problem> {
    let RawBudget { turns, tokens, wall_ms } = raw;
    if turns.is_none() && tokens.is_none() && wall_ms.is_none() {
        return Err(Problem::bad_request("budget: turns, tokens or wall_ms has to be given"));
    }
    if turns == Some(0) || tokens == Some(0) || wall_ms == Some(0) {
        return Err(Problem::bad_request("budget: each part has to be above zero"));
    }
    Ok(PartialBudget { turns, tokens, wall_ms })
}

/// Parses a class name from a header or a body.
pub(crate) fn parse_class(name: &str) -> Result<ClassId, Problem> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_STEP_CHARS && name.bytes().all(is_allowed) {
        return Ok(name.into());
    }
    Err(Problem::bad_request("class: a name of letters, digits, - and _ has to be given"))
}

/// Parses the `Idempotency-Key` header, which carries the step key, if the request has one.
pub(crate) fn parse_step_key(head: &Head) -> Result<Option<StepKey>, Problem> {
    let Some(key) = head.single("idempotency-key")? else { return Ok(None) };
    let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if !key.is_empty() && key.len() <= MAX_STEP_CHARS && is_visible {
        return Ok(Some(key.into()));
    }
    let detail = format!("Idempotency-Key: 1 to {MAX_STEP_CHARS} visible characters are accepted");
    Err(Problem::bad_request(detail))
}

/// Parses a model turn from a chat-completions request.
pub(crate) fn parse_turn(head: &Head, body: &[u8]) -> Result<Turn, Problem> {
    require_json(head)?;
    let fields: Map<String, Value> = serde_json::from_slice(body).map_err(json_problem)?;
    RawTurn(fields).try_into()
}

/// The fields of a chat-completions request before validation.
struct RawTurn(Map<String, Value>);

impl TryFrom<RawTurn> for Turn {
    type Error = Problem;

    fn try_from(RawTurn(mut fields): RawTurn) -> Result<Self, Problem> {
        let model = match fields.remove("model") {
            Some(Value::String(model)) if !model.is_empty() => model,
            _ => return Err(Problem::bad_request("model: a name has to be given")),
        };
        let messages = match fields.remove("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => messages,
            _ => {
                return Err(Problem::bad_request("messages: an array of messages has to be given"));
            }
        };
        let messages =
            messages.into_iter().enumerate().map(|(index, raw)| parse_message(index, raw));
        let messages = messages.collect::<Result<Vec<_>, _>>()?;
        let is_streamed = match fields.remove("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(is_streamed)) => is_streamed,
            Some(_) => return Err(Problem::bad_request("stream: true or false is accepted")),
        };
        // A program's history stores one answer per turn.
        if fields.get("n").is_some_and(|n| !n.is_null() && n != 1) {
            return Err(Problem::bad_request("n: only 1 is accepted"));
        }
        Ok(Self { model, messages, is_streamed, options: fields })
    }
}

fn parse_message(index: usize, raw: Value) -> Result<Message, Problem> {
    let refused = |what: &str| Problem::bad_request(format!("messages[{index}]{what}"));
    let Value::Object(fields) = &raw else {
        return Err(refused(": an object has to be given"));
    };
    match fields.get("role") {
        Some(Value::String(role)) if ROLES.contains(&role.as_str()) => {}
        _ => return Err(refused(&format!(".role: accepted are {}", ROLES.join(", ")))),
    }
    let is_content =
        |content: &Value| content.is_null() || content.is_string() || content.is_array();
    if !fields.get("content").is_none_or(is_content) {
        return Err(refused(".content: text, an array of parts or null is accepted"));
    }
    serde_json::from_value(raw).map_err(|error| refused(&format!(": {error}")))
}

/// Rejects a body whose `Content-Type` is not JSON. A body without the header is parsed as JSON.
fn require_json(head: &Head) -> Result<(), Problem> {
    let Some(value) = head.single("content-type")? else { return Ok(()) };
    let essence = value.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    let detail = format!("Content-Type: {essence:?} is not accepted here, application/json is");
    Err(Problem::bad_request(detail).with_status(StatusCode::UnsupportedMediaType))
}

fn json_problem(error: serde_json::Error) -> Problem {
    let what = if error.is_data() { "the body is not accepted" } else { "malformed JSON" };
    Problem::bad_request(format!("{what}: {error}"))
}
