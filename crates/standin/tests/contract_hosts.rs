//! Contract tests of the host list: the client against the stand-in over a socket.

mod common;

use {
    smol::block_on,
    trefoilring_clients::{HostList, UpstreamRecord},
    trefoilring_core::verdict::Verdict,
    trefoilring_standin::{
        Outage,
        hosts::{Options, UpstreamState, start},
    },
};

fn record(upstream: &str) -> UpstreamRecord {
    UpstreamRecord {
        upstream: upstream.into(),
        service: "agent-models".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "ankara-a".into(),
        is_leaving: false,
        models: vec!["m".into()],
    }
}

#[test]
fn the_list_shows_leaving_upstreams_and_lags_by_lag_ms() {
    let upstreams = vec![record("a"), record("b")];
    let host_list = start(Options { upstreams: upstreams.clone(), ..Options::default() }).unwrap();
    let client = HostList::new(host_list.address());
    block_on(async {
        assert_eq!(client.upstreams().await.unwrap(), upstreams);
        assert!(host_list.set_state("a", UpstreamState::Leaving));
        assert!(host_list.set_state("b", UpstreamState::Removed));
        assert!(!host_list.set_state("b", UpstreamState::Live));
        host_list.add(record("c"));
        let now = client.upstreams().await.unwrap();
        let leaving = UpstreamRecord { is_leaving: true, ..record("a") };
        assert_eq!(now, [leaving, record("c")]);
        host_list.control().change(|faults| faults.lag_ms = 3_600_000);
        assert_eq!(client.upstreams().await.unwrap(), upstreams);
    });
}

#[test]
fn an_outage_is_not_reported_as_an_empty_list() {
    let host_list = start(Options::default()).unwrap();
    let client = HostList::new(host_list.address());
    for down in [Outage::Unavailable, Outage::Closed, Outage::Refused] {
        host_list.control().change(|faults| faults.down = down);
        assert!(block_on(client.upstreams()).is_err(), "{down:?}");
    }
    drop(host_list);
    assert_eq!(block_on(client.upstreams()).unwrap_err().verdict, Verdict::NotRun);
}
