//! Acquires slots from a pool's dispatcher, on this host or another, and releases them there.

use {
    crate::{
        control::{
            Control, Reply,
            home::{Home, not_home},
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

/// Timeout for the messages about a slot, in addition to the wait for the slot.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts to get a slot while the dispatcher is being replaced.
const MAX_SLOT_ATTEMPTS: u32 = 20;
/// Pause before looking up the dispatcher again.
const LOOKUP_PAUSE: Duration = Duration::from_millis(100);

/// Waits for a slot of a pool whose dispatcher is this host.
pub(crate) async fn acquire_local_slot(
    shared: &Arc<Shared>,
    request: SlotRequest,
) -> Result<SlotGrant, Refusal> {
    let job = move |control: &mut Control, reply: Reply<_>| {
        control.dispatchers.request(Instant::now(), request, reply);
    };
    shared.control.request(job).await?
}

/// Gets a slot from the pool's dispatcher, on this host or another. Retrying is safe: a slot that
/// was granted and then lost expires at the dispatcher.
pub(super) async fn acquire(
    shared: &Arc<Shared>,
    request: SlotRequest,
) -> Result<SlotGrant, Refusal> {
    let mut last_refusal = not_home();
    for _ in 0..MAX_SLOT_ATTEMPTS {
        match request_if_local(shared, request.clone()).await {
            Ok(SlotReply::Local(Err(refusal))) if refusal.reason == Reason::HomeUnavailable => {
                last_refusal = refusal;
            }
            Ok(SlotReply::Local(result)) => return result,
            Ok(SlotReply::Remote(address)) => {
                match acquire_remote_slot(shared, address, request.clone()).await {
                    Err(refusal) if refusal.reason == Reason::HomeUnavailable => {
                        shared.control.submit(move |control| control.on_connection_failed(address));
                        last_refusal = refusal;
                    }
                    result => return result,
                }
            }
            Err(refusal) => last_refusal = refusal,
        }
        smol::Timer::after(LOOKUP_PAUSE).await;
    }
    // Acquiring a slot sends nothing to an upstream. Even if the outcome of the request is unknown,
    // the call itself was not sent.
    Err(Refusal { verdict: Verdict::NotRun, ..last_refusal })
}

/// Reply to a slot request that is served only if the dispatcher is on this host.
enum SlotReply {
    /// This host is the pool's dispatcher and granted or refused the slot.
    Local(Result<SlotGrant, Refusal>),
    /// The dispatcher is at this address.
    Remote(SocketAddr),
}

/// Requests a slot if the dispatcher is on this host. The lookup and the request are one job of the
/// control thread, so the dispatcher can't move in between.
async fn request_if_local(
    shared: &Arc<Shared>,
    request: SlotRequest,
) -> Result<SlotReply, Refusal> {
    let (grant_reply, grant_receiver) = smol::channel::bounded(1);
    let job = move |control: &mut Control, reply: Reply<_>| {
        let found = control.find_dispatcher(&request.service);
        if found == Ok(Home::Local) {
            control.dispatchers.request(Instant::now(), request, grant_reply);
        }
        let _ = reply.try_send(found);
    };
    match shared.control.request(job).await?? {
        Home::Remote(address) => Ok(SlotReply::Remote(address)),
        Home::Local => match grant_receiver.recv().await {
            Ok(result) => Ok(SlotReply::Local(result)),
            // The pool moved to another dispatcher while the request waited.
            Err(_) => Ok(SlotReply::Local(Err(not_home()))),
        },
    }
}

async fn find_dispatcher(shared: &Arc<Shared>, service: &ServiceId) -> Result<Home, Refusal> {
    let service = service.clone();
    let find = move |control: &mut Control, reply: Reply<_>| {
        let _ = reply.try_send(control.find_dispatcher(&service));
    };
    shared.control.request(find).await?
}

async fn acquire_remote_slot(
    shared: &Shared,
    address: SocketAddr,
    request: SlotRequest,
) -> Result<SlotGrant, Refusal> {
    let max_wait = request.max_wait;
    let link = shared.peers.link(address);
    let send =
        |client: PeerClient, context| async move { client.acquire_slot(context, request).await };
    let reply = link.call(max_wait + PEER_TIMEOUT, send).await;
    reply.map_err(|error| peers::refusal(&error, Verdict::NotRun))?
}

/// Releases a slot in the background. If the release is lost, the slot expires at the dispatcher.
pub(super) fn release(
    shared: &Arc<Shared>,
    service: &ServiceId,
    grant: &SlotGrant,
    outcome: Outcome,
) {
    let release = SlotRelease { service: service.clone(), ticket: grant.ticket, outcome };
    let task_shared = shared.clone();
    shared.spawn(async move {
        match find_dispatcher(&task_shared, &release.service).await {
            Ok(Home::Local) => task_shared.control.submit(move |control| {
                control.dispatchers.release(Instant::now(), release);
            }),
            Ok(Home::Remote(address)) => {
                let link = task_shared.peers.link(address);
                let send = |client: PeerClient, context| async move {
                    client.release_slot(context, release).await
                };
                if let Err(error) = link.call(PEER_TIMEOUT, send).await {
                    log::debug!("failed to release a slot: {error}");
                }
            }
            Err(refusal) => log::debug!("failed to release a slot: {refusal}"),
        }
    });
}

pub(super) fn parse_address(grant: &SlotGrant) -> Result<SocketAddr, Refusal> {
    grant.address.parse().map_err(|_| {
        let detail = format!("upstream {} has the address {:?}", grant.upstream, grant.address);
        Refusal::not_run(Reason::NoUpstream, detail)
    })
}
