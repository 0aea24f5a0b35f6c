//! Parses request targets into routes.

use {
    crate::{path, problem::Problem},
    trefoilring_core::{
        ids::{ProgramId, ServiceId, journal_of},
        verdict::Reason,
    },
};

/// Maximum length of a program id or service name, in bytes.
const MAX_ID_BYTES: usize = 200;

/// A route of the interface with its parameters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Route {
    Health,
    Ready,
    Metrics,
    Programs,
    Program(ProgramId),
    History(ProgramId),
    Children(ProgramId),
    Chat,
    Call(ProgramId, Target),
    Open(Target),
}

/// A service and the path to call at it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    pub service: ServiceId,
    /// Path and query in canonical form, without the leading slash.
    pub path: String,
}

impl TryFrom<&str> for Route {
    type Error = Problem;

    fn try_from(target: &str) -> Result<Self, Problem> {
        let (path, query) = match target.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (target, None),
        };
        let path = path.strip_prefix('/').unwrap_or(path);
        let parts: Vec<&str> = path.splitn(6, '/').collect();
        match parts.as_slice() {
            ["healthz"] => Ok(Self::Health),
            ["readyz"] => Ok(Self::Ready),
            ["metrics"] => Ok(Self::Metrics),
            ["v1", "chat", "completions"] => Ok(Self::Chat),
            ["v1", "programs"] => Ok(Self::Programs),
            ["v1", "programs", id] => Ok(Self::Program(parse_program_id(id)?)),
            ["v1", "programs", id, "history"] => Ok(Self::History(parse_program_id(id)?)),
            ["v1", "programs", id, "children"] => Ok(Self::Children(parse_program_id(id)?)),
            ["v1", "programs", id, "calls", rest @ ..] if !rest.is_empty() => {
                Ok(Self::Call(parse_program_id(id)?, parse_service_target(&rest.join("/"), query)?))
            }
            ["v1", "open", rest @ ..] if !rest.is_empty() => {
                Ok(Self::Open(parse_service_target(&rest.join("/"), query)?))
            }
            _ => Err(Problem::not_run(Reason::NotFound, "no such route")),
        }
    }
}

/// Parses a program id from a header or a path.
pub(crate) fn parse_program_id(id: &str) -> Result<ProgramId, Problem> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.@:".contains(&byte);
    let is_valid = id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed);
    if is_valid && journal_of(id).is_some() {
        return Ok(id.into());
    }
    Err(Problem::not_run(Reason::NotFound, "no program has this id: it is malformed"))
}

fn parse_service_target(rest: &str, query: Option<&str>) -> Result<Target, Problem> {
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    if service.is_empty() || service.len() > MAX_ID_BYTES || !service.bytes().all(is_allowed) {
        return Err(Problem::not_run(Reason::NotFound, "no service has this name"));
    }
    Ok(Target { service: service.into(), path: path::canonical(path, query)? })
}
