//! Requests that crash every upstream that runs them, and requests that fail for other reasons.

#[allow(dead_code)] // Other test files use the rest.
mod support;

use {
    serde_json::json,
    std::net::SocketAddr,
    support::{TEST_TIMEOUT, caller, create, options, post, turn_body},
    trefoilring_site::{CallerClient, Reply, Site, SiteOptions, UpstreamSpec},
    trefoilring_standin::Faults,
};

/// Text in the body of the requests that crash upstreams.
const MARKER: &str = "crashing";
/// Maximum number of upstreams that one content may crash: three, and three more retries.
const CRASHES_MAX: usize = 6;
/// Number of upstreams of each service.
const UPSTREAMS: usize = 10;
/// Status of requests that are refused because of their content.
const QUARANTINED: u16 = 422;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Turn,
    Call,
}

fn options_with_many_upstreams() -> SiteOptions {
    let upstream = |service: &str, number: usize| UpstreamSpec {
        upstream: format!("{service}-{number}").as_str().into(),
        service: service.into(),
        domain: ["a", "b", "c"][number % 3].into(),
    };
    let numbers = 1..=UPSTREAMS;
    let upstreams = numbers.flat_map(|number| [upstream("llm", number), upstream("desk", number)]);
    SiteOptions { upstreams: upstreams.collect(), ..options() }
}

/// Sends a request with this content in a new program.
async fn send(caller: &CallerClient, host: SocketAddr, kind: Kind, content: &str) -> Reply {
    let program = create(caller, host).await;
    match kind {
        Kind::Turn => {
            let headers = [("Trefoil-Program", &*program), ("Idempotency-Key", "step")];
            post(caller, host, "/v1/chat/completions", &headers, &turn_body(content)).await
        }
        Kind::Call => {
            let path = format!("/v1/programs/{program}/calls/desk/deposits");
            let body = json!({ "text": content });
            post(caller, host, &path, &[("Idempotency-Key", "step")], &body).await
        }
    }
}

fn set_faults(site: &Site, faults: &Faults) {
    site.engines.values().for_each(|engine| engine.control().set(faults.clone()));
    site.tools.values().for_each(|tool| tool.control().set(faults.clone()));
}

fn crashed(site: &Site) -> usize {
    let engines = site.engines.values().filter(|engine| engine.control().is_stopped());
    let tools = site.tools.values().filter(|tool| tool.control().is_stopped());
    engines.count() + tools.count()
}

#[test]
fn request_that_crashes_upstreams_is_refused_by_all_hosts() {
    for kind in [Kind::Turn, Kind::Call] {
        smol::block_on(async {
            let site = Site::start(options_with_many_upstreams(), TEST_TIMEOUT).await.unwrap();
            set_faults(&site, &Faults { crash_on: MARKER.into(), ..Faults::default() });
            let (caller, hosts) = (caller(), site.addresses());
            for number in 0..12 {
                send(&caller, hosts[number % hosts.len()], kind, MARKER).await;
            }
            let crashes = crashed(&site);
            assert!(crashes <= CRASHES_MAX, "{kind:?}: {crashes} crashes");
            for host in &hosts {
                let reply = send(&caller, *host, kind, MARKER).await;
                assert_eq!(reply.status, QUARANTINED, "{kind:?}: {reply:?}");
                let other = send(&caller, *host, kind, "other").await;
                assert!(other.is_success(), "{kind:?}: {other:?}");
            }
            assert_eq!(crashed(&site), crashes, "{kind:?}");
            site.stop().await;
        });
    }
}

#[test]
fn request_that_crashes_upstreams_is_refused_after_the_loss_of_any_host() {
    for lost in ["host-a", "host-b", "host-c"] {
        smol::block_on(async {
            let mut site = Site::start(options_with_many_upstreams(), TEST_TIMEOUT).await.unwrap();
            set_faults(&site, &Faults { crash_on: MARKER.into(), ..Faults::default() });
            let caller = caller();
            for host in site.addresses().iter().cycle().take(6) {
                send(&caller, *host, Kind::Call, MARKER).await;
            }
            drop(site.remove_host(lost));
            for host in site.addresses().iter().cycle().take(6) {
                send(&caller, *host, Kind::Call, MARKER).await;
            }
            let crashes = crashed(&site);
            assert!(crashes <= CRASHES_MAX, "{lost}: {crashes} crashes");
            site.stop().await;
        });
    }
}

#[test]
fn requests_whose_answers_are_lost_are_not_quarantined() {
    smol::block_on(async {
        let site = Site::start(options_with_many_upstreams(), TEST_TIMEOUT).await.unwrap();
        set_faults(&site, &Faults { lose_answer_every: 1, ..Faults::default() });
        let (caller, hosts) = (caller(), site.addresses());
        for kind in [Kind::Turn, Kind::Call] {
            for number in 0..6 {
                let reply = send(&caller, hosts[number % hosts.len()], kind, "lost").await;
                assert_ne!(reply.status, QUARANTINED, "{kind:?}: {reply:?}");
            }
        }
        site.stop().await;
    });
}
