//! Cost of calls to the platform: host list, engines, Object API.

use {
    super::{CapacityError, design_size, figure::Figures, wire::CountingRelay},
    error_stack::{Report, ResultExt},
    std::{net::SocketAddr, time::Duration},
    trefoilring_clients::{Engine, HostList, ObjectApi, UpstreamRecord},
    trefoilring_standin::{engine, hosts, objects},
};

/// Measured lengths of the host list, as a number of upstreams.
const LIST_LENGTHS: [usize; 3] = [60, 200, design_size::WORKERS as usize];
/// Number of calls over which bytes are averaged.
const CALLS: usize = 20;
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Measures the clients of the platform's APIs. The stand-ins run on other threads, so the
/// processor time is that of the clients only.
pub fn measure(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    for upstreams in LIST_LENGTHS {
        measure_host_list(figures, upstreams)?;
    }
    measure_polls(figures)?;
    measure_store(figures)
}

fn measure_host_list(figures: &mut Figures, upstreams: usize) -> Result<(), Report<CapacityError>> {
    let records = (0..upstreams).map(upstream_record).collect();
    let options = hosts::Options { upstreams: records, ..hosts::Options::default() };
    let standin = hosts::start(options).change_context(CapacityError)?;
    let relay = CountingRelay::start(standin.address())?;
    let client = HostList::new(relay.address());
    let read = || {
        let received = smol::block_on(client.upstreams()).change_context(CapacityError)?;
        let is_complete = received.len() == upstreams;
        let error = || Report::new(CapacityError).attach("the host list is incomplete");
        is_complete.then_some(()).ok_or_else(error)
    };
    let bytes = bytes_per_call(&relay, read)?;
    figures.add_constant(
        format!("hostlist.bytes.{upstreams}"),
        "B",
        "one read of the host list",
        bytes,
    );
    let description = format!("read a host list of {upstreams} upstreams");
    figures
        .measure_cpu_time(format!("hostlist.cpu.{upstreams}"), &description, || read().map(|()| 1))
}

fn measure_polls(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let standin = engine::start(engine::Options::default()).change_context(CapacityError)?;
    let relay = CountingRelay::start(standin.address())?;
    let client = Engine::new(relay.address());
    let poll = || {
        smol::block_on(client.load()).change_context(CapacityError)?;
        smol::block_on(client.cache_events(0)).change_context(CapacityError)?;
        Ok(())
    };
    let bytes = bytes_per_call(&relay, poll)?;
    figures.add_constant(
        "poll.bytes",
        "B",
        "load and cache events of one engine, without new events",
        bytes,
    );
    figures.measure_cpu_time("poll.cpu", "poll one engine for load and cache events", || {
        poll().map(|()| 1)
    })
}

fn measure_store(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let standin = objects::start(objects::Options::default()).change_context(CapacityError)?;
    let relay = CountingRelay::start(standin.address())?;
    let api = ObjectApi::new(relay.address(), STORE_TIMEOUT);
    let value = vec![b'x'; 1_000];
    smol::block_on(api.put("roster/a", 0, value.clone())).change_context(CapacityError)?;
    let read = || smol::block_on(api.get("roster/a")).change_context(CapacityError).map(|_| ());
    let bytes = bytes_per_call(&relay, read)? - value.len() as f64;
    figures.add_constant("store.call.bytes", "B", "a store read, excluding the value", bytes);
    figures.measure_cpu_time("store.call.cpu", "a store read of 1,000 bytes", || read().map(|()| 1))
}

/// Returns the bytes of one call in both directions, on a connection that is already open.
fn bytes_per_call(
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

fn upstream_record(number: usize) -> UpstreamRecord {
    let address = [10, 30, (number / 250) as u8, (number % 250 + 1) as u8];
    let model = format!("model-{:02}", number % design_size::MODELS);
    UpstreamRecord {
        upstream: format!("worker-{number:03}").into(),
        service: model.as_str().into(),
        address: SocketAddr::from((address, 8_000)),
        domain: format!("domain-{:02}", number % design_size::DOMAINS).into(),
        is_leaving: false,
        models: vec![model],
    }
}
