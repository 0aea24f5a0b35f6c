//! Slots: asked for at the pool's dispatcher, wherever it is, and given back there.

use {
    crate::{
        control::{
            Control, Reply,
            home::{Home, not_here},
        },
        peers,
        shared::Shared,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    trefoilring_core::{
        ids::ServiceId,
        sched::{Outcome, SlotGrant, SlotRelease, SlotRequest},
        verdict::{Reason, Refusal, Verdict},
    },
    trefoilring_proto::PeerClient,
};

/// How long the messages around a slot may take, beyond the wait.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts to get a slot while the dispatcher is being replaced.
const MAX_SLOT_ATTEMPTS: u32 = 20;
/// Pause before the dispatcher is looked up again.
const LOOKUP_PAUSE: Duration = Duration::from_millis(100);

/// Waits for a slot of a pool whose dispatcher this host is.
pub(crate) async fn slot_here(
    shared: &Arc<Shared>,
    request: SlotRequest,
) -> Result<SlotGrant, Refusal> {
    let job = move |control: &mut Control, reply: Reply<_>| {
        control.dispatchers.request(Instant::now(), request, reply);
    };
    shared.control.ask(job).await?
}

/// Gets a slot from the pool's dispatcher, wherever it is. Asking again is safe: a slot that was
/// granted and lost runs out at the dispatcher.
pub(super) async fn acquire(
    shared: &Arc<Shared>,
    request: SlotRequest,
) -> Result<SlotGrant, Refusal> {
    let mut last = not_here();
    for _ in 0..MAX_SLOT_ATTEMPTS {
        match ask_dispatcher(shared, request.clone()).await {
            Ok(Asked::Here(Err(refusal))) if refusal.reason == Reason::HomeUnavailable => {
                last = refusal;
            }
            Ok(Asked::Here(result)) => return result,
            Ok(Asked::At(address)) => match acquire_at(shared, address, request.clone()).await {
                Err(refusal) if refusal.reason == Reason::HomeUnavailable => {
                    shared.control.tell(move |control| control.peer_lost(address));
                    last = refusal;
                }
                result => return result,
            },
            Err(refusal) => last = refusal,
        }
        smol::Timer::after(LOOKUP_PAUSE).await;
    }
    // A slot is no effect: whatever became of the question, the call itself was not sent.
    Err(Refusal { verdict: Verdict::NotRun, ..last })
}

/// What came of asking for a slot here.
enum Asked {
    /// This host is the pool's dispatcher, and this is its answer.
    Here(Result<SlotGrant, Refusal>),
    /// Another host is.
    At(SocketAddr),
}

/// Asks the dispatcher if it is here, in one job of the control thread.
async fn ask_dispatcher(shared: &Arc<Shared>, request: SlotRequest) -> Result<Asked, Refusal> {
    let (grant, granted) = smol::channel::bounded(1);
    let job = move |control: &mut Control, reply: Reply<_>| {
        let found = control.find_dispatcher(&request.service);
        if found == Ok(Home::Here) {
            control.dispatchers.request(Instant::now(), request, grant);
        }
        let _ = reply.try_send(found);
    };
    match shared.control.ask(job).await?? {
        Home::At(address) => Ok(Asked::At(address)),
        Home::Here => match granted.recv().await {
            Ok(result) => Ok(Asked::Here(result)),
            // The pool went to another dispatcher while the request waited.
            Err(_) => Ok(Asked::Here(Err(not_here()))),
        },
    }
}

async fn find_dispatcher(shared: &Arc<Shared>, service: &ServiceId) -> Result<Home, Refusal> {
    let service = service.clone();
    let find = move |control: &mut Control, reply: Reply<_>| {
        let _ = reply.try_send(control.find_dispatcher(&service));
    };
    shared.control.ask(find).await?
}

async fn acquire_at(
    shared: &Shared,
    address: SocketAddr,
    request: SlotRequest,
) -> Result<SlotGrant, Refusal> {
    let patience = request.max_wait;
    let link = shared.peers.link(address);
    let ask =
        |client: PeerClient, context| async move { client.acquire_slot(context, request).await };
    let reply = link.call(patience + PEER_TIMEOUT, ask).await;
    reply.map_err(|error| peers::refusal(&error, Verdict::NotRun))?
}

/// Gives a slot back, in the background. A lost release is made up for by the slot's age.
pub(super) fn release(
    shared: &Arc<Shared>,
    service: &ServiceId,
    grant: &SlotGrant,
    outcome: Outcome,
) {
    let release = SlotRelease { service: service.clone(), ticket: grant.ticket, outcome };
    let owned = shared.clone();
    shared.spawn(async move {
        match find_dispatcher(&owned, &release.service).await {
            Ok(Home::Here) => owned.control.tell(move |control| {
                control.dispatchers.release(Instant::now(), release);
            }),
            Ok(Home::At(address)) => {
                let link = owned.peers.link(address);
                let ask = |client: PeerClient, context| async move {
                    client.release_slot(context, release).await
                };
                if let Err(error) = link.call(PEER_TIMEOUT, ask).await {
                    log::debug!("release: {error}");
                }
            }
            Err(refusal) => log::debug!("release: {refusal}"),
        }
    });
}

pub(super) fn parse_address(grant: &SlotGrant) -> Result<SocketAddr, Refusal> {
    grant.address.parse().map_err(|_| {
        let detail = format!("upstream {} has the address {:?}", grant.upstream, grant.address);
        Refusal::not_run(Reason::NoUpstream, detail)
    })
}
