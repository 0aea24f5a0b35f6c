//! JSON representations of programs for callers.

use trefoilring_core::{call::ProgramInfo, catalog::Budget, message::Message};

/// The JSON representation of a program.
#[derive(serde::Serialize)]
pub(crate) struct ProgramJson<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<&'a str>,
    class: &'a str,
    team: &'a str,
    /// Why the program ended; null while it is active.
    ended: Option<&'a str>,
    budget: Budget,
    spent: Spent,
    age_ms: u128,
    history_messages: usize,
}

/// The part of the budget spent by a program and its children.
#[derive(serde::Serialize)]
struct Spent {
    turns: u32,
    tokens: u64,
}

impl<'a> From<&'a ProgramInfo> for ProgramJson<'a> {
    fn from(info: &'a ProgramInfo) -> Self {
        Self {
            id: &info.program,
            parent: info.parent.as_deref(),
            class: &info.class,
            team: &info.team,
            ended: info.ended.as_deref(),
            budget: info.budget,
            spent: Spent { turns: info.turns, tokens: info.tokens },
            age_ms: info.age.as_millis(),
            history_messages: info.history_messages,
        }
    }
}

/// The messages of a program's history, as sent to callers.
#[derive(serde::Serialize)]
pub(crate) struct HistoryJson {
    pub messages: Vec<Message>,
}
