//! Calls of the platform: host list, engines, Object API.

use {
    super::{CapacityError, figure::Figures, size, wire::CountingRelay},
    error_stack::{Report, ResultExt},
    std::{net::SocketAddr, time::Duration},
    trefoilring_clients::{Engine, HostList, ObjectApi, UpstreamRecord},
    trefoilring_standin::{engine, hosts, objects},
};

/// Lengths of the host list.
const LISTS: [usize; 3] = [60, 200, size::WORKERS as usize];
/// Calls over which bytes are counted.
const CALLS: usize = 20;
/// The longest that a call of the store may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Measures the platform's clients. The stand-ins run on other threads, so that the time is that
/// of the clients alone.
pub fn measure(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    for upstreams in LISTS {
        host_list(figures, upstreams)?;
    }
    polls(figures)?;
    store(figures)
}

fn host_list(figures: &mut Figures, upstreams: usize) -> Result<(), Report<CapacityError>> {
    let upstreams_list = (0..upstreams).map(record).collect();
    let options = hosts::Options { upstreams: upstreams_list, ..hosts::Options::default() };
    let standin = hosts::start(options).change_context(CapacityError)?;
    let relay = CountingRelay::start(standin.address())?;
    let list = HostList::new(relay.address());
    let read = || {
        let found = smol::block_on(list.upstreams()).change_context(CapacityError)?;
        let is_whole = found.len() == upstreams;
        let error = || Report::new(CapacityError).attach("the host list is not whole");
        is_whole.then_some(()).ok_or_else(error)
    };
    let bytes = counted(&relay, read)?;
    figures.count(
        format!("hostlist.bytes.{upstreams}"),
        "B",
        "one reading of the host list",
        bytes,
    );
    let what = format!("read a host list of {upstreams} upstreams");
    figures.time(format!("hostlist.cpu.{upstreams}"), &what, || read().map(|()| 1))
}

fn polls(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let standin = engine::start(engine::Options::default()).change_context(CapacityError)?;
    let relay = CountingRelay::start(standin.address())?;
    let client = Engine::new(relay.address());
    let poll = || {
        smol::block_on(client.load()).change_context(CapacityError)?;
        smol::block_on(client.cache_events(0)).change_context(CapacityError)?;
        Ok(())
    };
    let bytes = counted(&relay, poll)?;
    figures.count("poll.bytes", "B", "load and cache events of one engine, nothing new", bytes);
    figures.time("poll.cpu", "ask one engine for load and cache events", || poll().map(|()| 1))
}

fn store(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let standin = objects::start(objects::Options::default()).change_context(CapacityError)?;
    let relay = CountingRelay::start(standin.address())?;
    let api = ObjectApi::new(relay.address(), STORE_TIMEOUT);
    let value = vec![b'x'; 1_000];
    smol::block_on(api.put("roster/a", 0, value.clone())).change_context(CapacityError)?;
    let read = || smol::block_on(api.get("roster/a")).change_context(CapacityError).map(|_| ());
    let bytes = counted(&relay, read)? - value.len() as f64;
    figures.count("store.call.bytes", "B", "a read at the store, beside the value", bytes);
    figures.time("store.call.cpu", "a read of 1,000 bytes at the store", || read().map(|()| 1))
}

/// Bytes of one call, both ways, once the connection is there.
fn counted(
    relay: &CountingRelay,
    call: impl Fn() -> Result<(), Report<CapacityError>>,
) -> Result<f64, Report<CapacityError>> {
    call()?;
    let before = relay.bytes();
    for _ in 0..CALLS {
        call()?;
    }
    Ok((relay.bytes() - before) / CALLS as f64)
}

fn record(number: usize) -> UpstreamRecord {
    let address = [10, 30, (number / 250) as u8, (number % 250 + 1) as u8];
    let model = format!("model-{:02}", number % size::MODELS);
    UpstreamRecord {
        upstream: format!("worker-{number:03}").into(),
        service: model.as_str().into(),
        address: SocketAddr::from((address, 8_000)),
        domain: format!("domain-{:02}", number % size::DOMAINS).into(),
        is_leaving: false,
        models: vec![model],
    }
}
