use super::*;

fn route(id: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |&(service, weight): &(&str, u32)| RouteTarget { service: service.into(), weight };
    Route {
        id: id.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 0,
        targets: targets.iter().map(target).collect(),
        upstreams_max: None,
        is_open: false,
        program_idle_max: None,
        retains_turns: false,
        has_affinity: false,
    }
}

fn table(routes: Vec<Route>) -> RoutingTable {
    let team = TeamRules {
        id: "malabar".into(),
        priority: None,
        rate_per_s: Some(5.0),
        burst_requests: 5.0,
    };
    let teams = Some(vec![(team, vec!["key-1".to_string(), "key-2".to_string()])]);
    RoutingTable::new(7, routes, BTreeMap::new(), CallerLimits::default(), teams)
}

#[test]
fn longest_matching_prefix_is_selected() {
    let table = table(vec![
        route("short", "/a/", &[("one", 1)]),
        route("long", "/a/b/", &[("two", 1)]),
        route("other", "/b/", &[("two", 1)]),
    ]);
    let cases = [
        ("shop.example", "/a/x", Some("short")),
        ("shop.example", "/a/b/x", Some("long")),
        ("SHOP.example:8080", "/a/b/", Some("long")),
        ("shop.example", "/a/bx", Some("short")),
        ("shop.example", "/ab/", None),
        ("shop.example", "/a", None),
        ("elsewhere.example", "/a/x", None),
    ];
    for (host, path, expected) in cases {
        let found = table.route(host, path).map(|route| &*route.id);
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn targets_are_selected_by_weight() {
    let split = route("split", "/a/", &[("one", 90), ("none", 0), ("two", 10)]);
    let selected = |random| split.target(random).map(|service| &**service);
    assert_eq!(selected(0), Some("one"));
    assert_eq!(selected(89), Some("one"));
    assert_eq!(selected(90), Some("two"));
    assert_eq!(selected(100), Some("one"));
    assert_eq!(route("off", "/a/", &[("one", 0)]).target(3), None);
}

#[test]
fn key_lookup_returns_the_team_of_the_key() {
    let table = table(vec![]);
    assert_eq!(table.team_of("key-2").map(|team| &*team.id), Some("malabar"));
    assert_eq!(table.team_of("key-3"), None);
    assert_eq!(RoutingTable::default().team_of("key-1"), None);
}

#[test]
fn only_requests_that_may_run_twice_are_repeatable() {
    let stream = |is_resumable| RouteKind::Stream { is_resumable, pause_max: None };
    assert!(RouteKind::Idempotent.is_repeatable());
    assert!(stream(true).is_repeatable());
    assert!(!stream(false).is_repeatable());
    assert!(!RouteKind::NonIdempotent.is_repeatable());
}
