//! Turns whose callers send only their new input: puts the prompt together, and keeps the turn once
//! its answer is complete.

use {
    super::{Call, RETRY_AFTER_DEFAULT},
    crate::{
        gateway::Gateway,
        memory::DropSignal,
        turns::{self, CachedTurn, NotRetained, RetainedTurn},
    },
    bytes::{BufMut, Bytes, BytesMut},
    memchr::memchr,
    std::rc::Rc,
    trefoilring_core::{
        ids::UpstreamId,
        memory::Phase,
        turns::{TreeId, TurnHead},
        verdict::{Reason, Refusal},
    },
};

/// Maximum size of a prompt with all turns before it.
pub(crate) const PROMPT_BYTES_MAX: usize = 32 * 1024 * 1024;

/// A turn that is kept once its answer is complete.
pub(crate) struct RetainedCall {
    /// The turn that this one continues.
    previous: Option<Rc<CachedTurn>>,
    tree: TreeId,
    /// Body of the request as the caller sent it.
    input: Bytes,
}

impl RetainedCall {
    /// Returns the upstream that ran the turn that this one continues, if its head names one.
    pub(super) fn previous_upstream(&self) -> Option<&UpstreamId> {
        self.previous.as_ref()?.turn.head.upstream.as_ref()
    }
}

/// Puts the prompt of a request together, if its route keeps turns.
///
/// # Errors
///
/// Returns a refusal if the turn that the request continues does not exist or can't be found, or if
/// the new turn could not be kept.
pub(super) async fn prepare(gateway: &Rc<Gateway>, call: &mut Call) -> Result<(), Refusal> {
    if !call.route.retains_turns || !call.route.kind.is_stream() {
        return Ok(());
    }
    if call.metadata.last_event.is_some() {
        // The events that the caller has are not known here, and the turn could not be kept.
        let detail = "a turn that is kept can't be taken up; send it again from its start";
        return Err(Refusal::not_run(Reason::NoUpstream, detail).retry_after(RETRY_AFTER_DEFAULT));
    }
    let program = call.metadata.program.as_ref();
    let tree: TreeId =
        program.map_or(call.metadata.request_id.as_str(), |program| &program.id).into();
    if !turns::has_enough_stores(gateway) {
        let detail = "too few hosts that could keep the turn are in reach";
        return Err(
            Refusal::not_run(Reason::StoreUnavailable, detail).retry_after(RETRY_AFTER_DEFAULT)
        );
    }
    let previous = match call.metadata.previous_turn.as_deref() {
        None => None,
        Some("") => return Err(turns::not_found()),
        Some(id) => Some(turns::find(gateway, id, team_of(call), &tree, call.deadline).await?),
    };
    let input = call.body.clone();
    // The prompt is held beside its parts, which the cache of turns counts.
    let prompt_size = previous.as_ref().map(|previous| prompt_bytes(previous, &input));
    let prompt_size = prompt_size.transpose()?.unwrap_or_default();
    // The turn is encoded once more, for the hosts that will keep it.
    reserve(gateway, call, 2 * input.len() + prompt_size).await?;
    if let Some(previous) = &previous {
        call.body = prompt(previous, &input)?;
    }
    let tree = previous.as_ref().map_or(tree, |previous| previous.turn.head.tree.clone());
    call.retained = Some(RetainedCall { previous, tree, input });
    Ok(())
}

/// Keeps the turn of a call whose answer `upstream` has completed.
///
/// # Errors
///
/// Returns an error if the turn may not survive a loss of hosts: the answer must not end then.
pub(super) async fn keep(
    gateway: &Rc<Gateway>,
    call: &Call,
    retained: &RetainedCall,
    output: Bytes,
    upstream: Option<UpstreamId>,
) -> Result<(), NotRetained> {
    let head = TurnHead {
        id: call.metadata.request_id.as_str().into(),
        team: team_of(call).into(),
        previous: retained.previous.as_ref().map(|previous| previous.turn.head.id.clone()),
        tree: retained.tree.clone(),
        retention: call.route.retention(),
        upstream,
    };
    let turn = RetainedTurn { head, input: retained.input.clone(), output };
    turns::retain(gateway, turn, retained.previous.clone(), call.deadline).await
}

fn team_of(call: &Call) -> &str {
    call.team.as_ref().map_or("", |team| &team.id)
}

/// Returns the size of a prompt with the turns before it.
fn prompt_bytes(previous: &CachedTurn, input: &Bytes) -> Result<usize, Refusal> {
    let size = previous.chain().map(|turn| turn.turn.bytes()).sum::<usize>() + input.len();
    if size > PROMPT_BYTES_MAX {
        let detail = format!("the prompt has {size} bytes with the turns before it");
        return Err(Refusal::not_run(Reason::TooLarge, detail));
    }
    Ok(size)
}

/// Reserves the memory of a request that is kept.
async fn reserve(gateway: &Rc<Gateway>, call: &mut Call, bytes: usize) -> Result<(), Refusal> {
    let reserved = match call.memory.take() {
        Some(reservation) => {
            let grown = reservation.wait_to_grow(bytes).await;
            grown.map(|()| reservation)
        }
        None => {
            let team = call.team.as_ref().map(|team| &team.id);
            let signal = Rc::new(DropSignal::default());
            let reserved = gateway.memory.wait_for_body(team, bytes, &signal).await;
            reserved.inspect(|reservation| reservation.set_phase(Phase::Working))
        }
    };
    let reservation = reserved.map_err(|denied| {
        let detail = "the host holds as many prompts and turns as it has memory for";
        Refusal::not_run(Reason::Overloaded, detail).retry_after(denied.retry_after)
    })?;
    call.memory = Some(reservation);
    Ok(())
}

/// Returns the inputs and outputs of all turns before a request, and its own input.
fn prompt(previous: &CachedTurn, input: &Bytes) -> Result<Bytes, Refusal> {
    let size = prompt_bytes(previous, input)?;
    let mut chain: Vec<&RetainedTurn> = previous.chain().map(|turn| &turn.turn).collect();
    chain.reverse();
    let mut prompt = BytesMut::with_capacity(size);
    for turn in chain {
        prompt.put_slice(&turn.input);
        prompt.put_slice(&turn.output);
    }
    prompt.put_slice(input);
    Ok(prompt.freeze())
}

/// Appends the data of an event and a line feed. The lines of an event with several are joined by
/// line feeds. An event without data appends nothing.
pub(super) fn append_output(event: &[u8], output: &mut BytesMut) {
    let mut rest = event;
    while !rest.is_empty() {
        let end = memchr(b'\n', rest).unwrap_or(rest.len());
        let line = &rest[..end];
        rest = &rest[(end + 1).min(rest.len())..];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let data = match line.strip_prefix(b"data:") {
            Some(data) => data.strip_prefix(b" ").unwrap_or(data),
            None if line == b"data" => b"",
            None => continue,
        };
        // The line feed joins the line to the next one, or ends the event.
        output.put_slice(data);
        output.put_u8(b'\n');
    }
}

#[cfg(test)]
mod tests;
