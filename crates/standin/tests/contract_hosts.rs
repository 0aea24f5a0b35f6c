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
    let hosts = start(Options { upstreams: upstreams.clone(), ..Options::default() }).unwrap();
    let client = HostList::new(hosts.address());
    block_on(async {
        assert_eq!(client.upstreams().await.unwrap(), upstreams);
        assert!(hosts.set_state("a", UpstreamState::Leaving));
        assert!(hosts.set_state("b", UpstreamState::Removed));
        assert!(!hosts.set_state("b", UpstreamState::Live));
        hosts.add(record("c"));
        let now = client.upstreams().await.unwrap();
        let leaving = UpstreamRecord { is_leaving: true, ..record("a") };
        assert_eq!(now, [leaving, record("c")]);
        hosts.control().change(|faults| faults.lag_ms = 3_600_000);
        assert_eq!(client.upstreams().await.unwrap(), upstreams);
    });
}

#[test]
fn an_outage_is_not_reported_as_an_empty_list() {
    let hosts = start(Options::default()).unwrap();
    let client = HostList::new(hosts.address());
    for down in [Outage::Unavailable, Outage::Closed, Outage::Refused] {
        hosts.control().change(|faults| faults.down = down);
        assert!(block_on(client.upstreams()).is_err(), "{down:?}");
    }
    drop(hosts);
    assert_eq!(block_on(client.upstreams()).unwrap_err().verdict, Verdict::NotRun);
}
