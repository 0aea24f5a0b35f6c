use {
    super::*,
    std::collections::{BTreeMap, BTreeSet},
};

pub(super) fn record(id: &str, domain: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: domain.into(),
        version: "v1".into(),
        slots: 4,
        is_leaving: false,
        cold_left: None,
        incarnation: Some(1),
    }
}

fn placement(records: &[UpstreamRecord]) -> Placement {
    let mut placement = Placement::new("a".into());
    for record in records {
        placement.upsert(record.clone());
    }
    placement
}

fn choose_id(placement: &mut Placement, now: Instant, session: Option<&str>) -> String {
    let request = PlacementRequest {
        service: "llm",
        session,
        object: None,
        version: None,
        avoided_versions: &[],
        refused_by: &[],
        is_behind_others: false,
        ..PlacementRequest::default()
    };
    match placement.choose(now, &request) {
        Choice::Use(key) => {
            placement.record(key).expect("chosen upstreams are known").id.to_string()
        }
        other => format!("{other:?}"),
    }
}

fn key(placement: &Placement, id: &str) -> UpstreamKey {
    placement.by_id[id]
}

#[test]
fn own_domain_is_preferred_until_its_upstream_is_busier() {
    let now = Instant::now();
    let mut placement = placement(&[record("near", "a"), record("far", "b")]);
    assert_eq!(choose_id(&mut placement, now, None), "near");
    let near = key(&placement, "near");
    placement.record_sent(Instant::now(), near);
    assert_eq!(choose_id(&mut placement, now, None), "far");
}

#[test]
fn session_stays_until_its_upstream_is_full() {
    let now = Instant::now();
    let mut placement = placement(&[record("one", "a"), record("two", "a")]);
    let first = choose_id(&mut placement, now, Some("line"));
    let first_key = key(&placement, &first);
    for _ in 0..3 {
        placement.record_sent(Instant::now(), first_key);
        assert_eq!(choose_id(&mut placement, now, Some("line")), first);
    }
    placement.record_sent(Instant::now(), first_key);
    assert_ne!(choose_id(&mut placement, now, Some("line")), first);
}

#[test]
fn reported_load_is_used_and_decays() {
    let now = Instant::now();
    let mut placement = placement(&[record("one", "a"), record("two", "a")]);
    let one = key(&placement, "one");
    placement.record_load(
        now,
        one,
        LoadReport { running: 3, waiting: 0, slots: 4, slowdown: None },
    );
    assert_eq!(choose_id(&mut placement, now, None), "two");
    let two = key(&placement, "two");
    placement.record_sent(Instant::now(), two);
    assert_eq!(choose_id(&mut placement, now, None), "two");
    assert_eq!(choose_id(&mut placement, now + Duration::from_secs(2), None), "one");
}

#[test]
fn leaving_and_removed_upstreams_get_no_requests() {
    let now = Instant::now();
    let mut placement = placement(&[record("one", "a")]);
    placement.upsert(UpstreamRecord { is_leaving: true, ..record("one", "a") });
    assert_eq!(choose_id(&mut placement, now, None), "NoUpstream");
    assert!(placement.remove("one"));
    assert!(!placement.remove("one"));
    assert_eq!(choose_id(&mut placement, now, None), "NoUpstream");
}

#[test]
fn upstream_is_ejected_after_three_failures() {
    let now = Instant::now();
    let mut placement = placement(&[record("near", "a"), record("far", "b")]);
    let near = key(&placement, "near");
    for _ in 0..3 {
        placement.record_sent(Instant::now(), near);
        placement.record_end(now, near, Outcome::Failed);
    }
    assert_eq!(choose_id(&mut placement, now, None), "far");
    let far = key(&placement, "far");
    let refused_by_far = PlacementRequest {
        service: "llm",
        session: None,
        object: None,
        version: None,
        avoided_versions: &[],
        refused_by: &[far],
        is_behind_others: false,
        ..PlacementRequest::default()
    };
    assert_eq!(placement.choose(now, &refused_by_far), Choice::AllRefused, "near is ejected");
    let later = now + Duration::from_millis(600);
    assert_eq!(
        placement.choose(later, &refused_by_far),
        Choice::Use(near),
        "near is used when all others refuse"
    );
    assert_eq!(choose_id(&mut placement, later, None), "far", "near still has a penalty");
    assert_eq!(choose_id(&mut placement, now + Duration::from_secs(6), None), "near");
    placement.remove("far");
    assert_eq!(
        choose_id(&mut placement, now, None),
        "near",
        "an ejected upstream is better than none"
    );
}

#[test]
fn new_incarnation_under_the_same_id_starts_with_clean_state() {
    let now = Instant::now();
    let mut placement = placement(&[record("one", "a")]);
    let old = key(&placement, "one");
    placement.record_sent(Instant::now(), old);
    assert!(placement.upsert(UpstreamRecord { incarnation: Some(2), ..record("one", "a") }));
    assert!(placement.record(old).is_none());
    assert_eq!(placement.service_load(now, "llm"), (1, 0.0));
}

#[test]
fn refusal_by_all_upstreams_returns_all_refused() {
    let now = Instant::now();
    let mut placement = placement(&[record("one", "a")]);
    let one = key(&placement, "one");
    let request = PlacementRequest {
        service: "llm",
        session: None,
        object: None,
        version: None,
        avoided_versions: &[],
        refused_by: &[one],
        is_behind_others: false,
        ..PlacementRequest::default()
    };
    assert_eq!(placement.choose(now, &request), Choice::AllRefused);
}

/// Simulates 1000 requests, one every 10 ms, to five upstreams. A request takes 50 ms. At the
/// upstream "bad", requests for which `fails` returns true end immediately with `outcome` instead.
/// `fails` receives the number of requests sent to "bad" so far. Returns that number at the end.
fn count_sent_to_bad(outcome: Outcome, fails: impl Fn(usize) -> bool) -> usize {
    const REQUESTS: usize = 1000;
    const STEP: Duration = Duration::from_millis(10);
    const WORK: Duration = Duration::from_millis(50);
    let start = Instant::now();
    let ids = ["bad", "good-1", "good-2", "good-3", "good-4"];
    let mut placement = placement(&ids.map(|id| record(id, "a")));
    let (mut in_flight, mut to_bad) = (std::collections::VecDeque::new(), 0);
    for number in 0..REQUESTS {
        let now = start + STEP * number as u32;
        while let Some((_, key)) = in_flight.pop_front_if(|(at, _): &mut (Instant, _)| *at <= now) {
            placement.record_end(now, key, Outcome::Done);
        }
        let request = PlacementRequest {
            service: "llm",
            session: None,
            object: None,
            version: None,
            avoided_versions: &[],
            refused_by: &[],
            is_behind_others: false,
            ..PlacementRequest::default()
        };
        let Choice::Use(key) = placement.choose(now, &request) else {
            panic!("all upstreams accept work")
        };
        placement.record_sent(Instant::now(), key);
        if key == placement.by_id["bad"] {
            to_bad += 1;
            if fails(to_bad) {
                placement.record_end(now, key, outcome);
                continue;
            }
        }
        in_flight.push_back((now + WORK, key));
    }
    to_bad
}

#[test]
fn failing_upstream_gets_less_than_its_share() {
    let all = count_sent_to_bad(Outcome::Errored, |_| true);
    assert!(all <= 30, "{all} of 1000; a healthy upstream would get a fifth");
    let some = count_sent_to_bad(Outcome::Errored, |number| number % 5 < 2);
    assert!(some <= 100, "{some} of 1000; expected at most 100, half of an even share");
    // A tool that answers one request in a hundred with an error still gets most of its share.
    let few = count_sent_to_bad(Outcome::Errored, |number| number % 100 == 0);
    assert!(few >= 150, "{few} of 1000");
}

#[test]
fn upstream_that_is_down_gets_occasional_requests() {
    let all = count_sent_to_bad(Outcome::Failed, |_| true);
    assert!(all <= 5, "{all} in ten seconds; expected at most 5");
    // An upstream that breaks one answer in fifty still gets at least half of its share.
    let few = count_sent_to_bad(Outcome::Failed, |number| number % 50 == 0);
    assert!(few >= 100, "{few} of 1000");
}

#[test]
fn session_leaves_an_upstream_that_failed() {
    let now = Instant::now();
    let mut placement = placement(&[record("one", "a"), record("two", "a")]);
    let first = choose_id(&mut placement, now, Some("line"));
    let first_key = key(&placement, &first);
    placement.record_sent(Instant::now(), first_key);
    placement.record_end(now, first_key, Outcome::Errored);
    assert_ne!(choose_id(&mut placement, now, Some("line")), first);
}

#[test]
fn slow_upstream_is_avoided_until_it_recovers() {
    const TYPICAL_PAUSE: Duration = Duration::from_millis(30);
    let start = Instant::now();
    let mut placement = placement(&[record("slow", "a"), record("sound", "b")]);
    let (slow, healthy) = (key(&placement, "slow"), key(&placement, "sound"));
    for event in 0..100 {
        let key = if event % 2 == 0 { slow } else { healthy };
        placement.record_pause(start, key, TYPICAL_PAUSE * (1 + event % 3));
    }
    assert_eq!(
        choose_id(&mut placement, start, Some("line")),
        "slow",
        "pauses of up to three times the typical one add no penalty"
    );
    for _ in 0..3 {
        placement.record_pause(start, slow, TYPICAL_PAUSE * 10);
    }
    assert_eq!(choose_id(&mut placement, start, None), "sound");
    assert_eq!(choose_id(&mut placement, start, Some("line")), "sound");
    assert_eq!(choose_id(&mut placement, start + Duration::from_secs(10), None), "slow");
}

#[test]
fn uniform_slowdown_adds_no_lasting_penalty() {
    let start = Instant::now();
    let mut placement = placement(&[record("one", "a"), record("two", "b")]);
    let keys = [key(&placement, "one"), key(&placement, "two")];
    let pause = |second: u64| Duration::from_millis(if second < 2 { 20 } else { 200 });
    for event in 0..1000_u64 {
        let now = start + Duration::from_millis(10 * event);
        keys.iter().for_each(|key| placement.record_pause(now, *key, pause(event / 100)));
    }
    let end = start + Duration::from_secs(10);
    assert_eq!(choose_id(&mut placement, end, None), "one");
    assert_eq!(placement.service_load(end, "llm"), (2, 0.0));
}

#[test]
fn upstream_that_says_it_leaves_gets_no_work_until_it_starts_again() {
    let now = Instant::now();
    let mut placement = placement(&[record("near", "a"), record("far", "b")]);
    let near = key(&placement, "near");
    assert_eq!(choose_id(&mut placement, now, Some("session")), "near");
    assert!(placement.record_leaving(now, near, None));
    assert!(!placement.record_leaving(now, near, None), "it is known");
    assert_eq!(choose_id(&mut placement, now, Some("session")), "far", "the session moves");
    // Its entry does not say so, now or later.
    placement.upsert(UpstreamRecord { slots: 5, ..record("near", "a") });
    assert!(placement.is_excluded(near));
    let far = key(&placement, "far");
    placement.record_leaving(now, far, None);
    assert_eq!(choose_id(&mut placement, now, None), "NoUpstream");
    placement.upsert(UpstreamRecord { incarnation: Some(2), ..record("near", "a") });
    assert_eq!(choose_id(&mut placement, now, None), "near");
    // An answer of the former process comes late.
    assert!(!placement.record_leaving(now, near, None));
    assert_eq!(choose_id(&mut placement, now, None), "near");
    assert_eq!(placement.leaving_count(), 1);
}

/// Chooses an upstream for a request on an object, which has none of `refused_by`.
fn choose_for_object(placement: &mut Placement, now: Instant, object: &str) -> UpstreamKey {
    let request = PlacementRequest {
        service: "llm",
        session: None,
        object: Some(object),
        version: None,
        avoided_versions: &[],
        refused_by: &[],
        is_behind_others: false,
        ..PlacementRequest::default()
    };
    let Choice::Use(key) = placement.choose(now, &request) else { panic!("no upstream") };
    key
}

#[test]
fn requests_on_an_object_meet_at_one_upstream_from_all_hosts() {
    let now = Instant::now();
    let ids = ["i-1", "i-2", "i-3", "i-4"];
    let records = ids.map(|id| record(id, "a"));
    let mut hosts: Vec<Placement> = (0..5).map(|_| placement(&records)).collect();
    // Hosts have different loads in mind.
    for (host, id) in hosts.iter_mut().zip(ids) {
        host.record_sent(now, key(host, id));
        host.record_sent(now, key(host, id));
    }
    let mut objects_of: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..400 {
        let object = format!("object-{number}");
        let chosen: BTreeSet<String> = hosts
            .iter_mut()
            .map(|host| {
                let key = choose_for_object(host, now, &object);
                host.record(key).expect("a known upstream").id.to_string()
            })
            .collect();
        assert_eq!(chosen.len(), 1, "{object}: {chosen:?}");
        *objects_of.entry(chosen.into_iter().next().expect("one")).or_default() += 1;
    }
    assert!(objects_of.values().all(|objects| (70..=130).contains(objects)), "{objects_of:?}");
}

#[test]
fn full_or_leaving_upstream_loses_its_objects_and_keeps_them_afterwards() {
    let now = Instant::now();
    let slots = record("i-1", "a").slots;
    let mut placement = placement(&["i-1", "i-2", "i-3"].map(|id| record(id, "a")));
    let objects: Vec<String> = (0..60).map(|number| format!("object-{number}")).collect();
    let choose_all = |placement: &mut Placement| -> Vec<UpstreamKey> {
        objects.iter().map(|object| choose_for_object(placement, now, object)).collect()
    };
    let before = choose_all(&mut placement);
    let full = before[0];
    for _ in 0..slots {
        placement.record_sent(now, full);
    }
    let meanwhile = choose_all(&mut placement);
    for (before, meanwhile) in before.iter().zip(&meanwhile) {
        assert!(if *before == full { *meanwhile != full } else { meanwhile == before });
    }
    let moved: BTreeSet<UpstreamKey> = before
        .iter()
        .zip(&meanwhile)
        .filter(|(old, _)| **old == full)
        .map(|(_, new)| *new)
        .collect();
    assert_eq!(moved.len(), 2, "the objects of a full upstream go to all others");
    for _ in 0..slots {
        placement.record_end(now, full, Outcome::Done);
    }
    assert_eq!(choose_all(&mut placement), before);
}

/// Chooses for a turn that continues a stored one, which the upstream `previous` ran.
fn choose_after(placement: &mut Placement, now: Instant, previous: &str) -> String {
    let request = PlacementRequest {
        service: "llm",
        session: Some("line"),
        previous_upstream: Some(previous),
        is_retained: true,
        ..PlacementRequest::default()
    };
    let Choice::Use(key) = placement.choose(now, &request) else { panic!("no upstream") };
    placement.record(key).expect("a known upstream").id.to_string()
}

/// Guards against turns that come to another host than the one before and read their whole prompt
/// again at another upstream.
#[test]
fn turn_goes_to_the_upstream_that_ran_the_one_before_at_another_host() {
    let now = Instant::now();
    let mut host = placement(&["one", "two", "three"].map(|id| record(id, "a")));
    for id in ["one", "two", "three", "one"] {
        assert_eq!(choose_after(&mut host, now, id), id, "whatever the host remembers");
    }
    let one = key(&host, "one");
    for _ in 0..4 {
        host.record_sent(now, one);
    }
    assert_ne!(choose_after(&mut host, now, "one"), "one", "it is full");
    let two = key(&host, "two");
    host.record_broken_attempt(now, two);
    assert_eq!(choose_after(&mut host, now, "two"), "three", "it failed, and the other is full");
    assert_eq!(choose_after(&mut host, now, "gone"), "three", "it is not known");
}

/// Guards against hosts that each choose another upstream for one session, on routes whose turns do
/// not name the upstream of the turn before.
#[test]
fn hosts_with_different_loads_in_mind_mostly_choose_alike_for_a_session() {
    const SESSIONS: usize = 400;
    let now = Instant::now();
    let ids: Vec<String> = (0..12).map(|number| format!("i-{number}")).collect();
    let records: Vec<_> =
        ids.iter().map(|id| UpstreamRecord { slots: 12, ..record(id, "a") }).collect();
    let mut hosts = [placement(&records), placement(&records)];
    for (number, id) in ids.iter().enumerate() {
        for (host, shift) in hosts.iter_mut().zip([0, 5]) {
            // Each host is wrong by up to one request.
            let running = 6 + ((number + shift) % 3) as u32;
            let key = key(host, id);
            host.record_load(
                now,
                key,
                LoadReport { running, waiting: 0, slots: 12, slowdown: None },
            );
        }
    }
    let chosen = hosts.each_mut().map(|host| -> Vec<String> {
        let sessions = (0..SESSIONS).map(|number| format!("session-{number}"));
        sessions.map(|session| choose_id(host, now, Some(&session))).collect()
    });
    let alike = chosen[0].iter().zip(&chosen[1]).filter(|(one, other)| one == other).count();
    assert!(alike >= SESSIONS * 9 / 10, "{alike} of {SESSIONS}");
    for id in &ids {
        let count = chosen[0].iter().filter(|chosen| *chosen == id).count();
        assert!((20..=50).contains(&count), "{id} is chosen for {count}, expected about 33");
    }
}

/// Guards against an upstream that one absurd figure puts out of use, or makes look idle for good.
#[test]
fn absurd_reports_count_for_a_moment_only() {
    let now = Instant::now();
    let report =
        |running, waiting, slots, slowdown| LoadReport { running, waiting, slots, slowdown };
    let absurd = [
        report(u32::MAX, u32::MAX, 0, None),
        report(u32::MAX, 0, u32::MAX, Some(1e300)),
        report(0, 0, 4, Some(f64::NAN)),
        report(0, 0, 4, Some(f64::INFINITY)),
        report(0, 0, 4, Some(1e300)),
    ];
    for report in absurd {
        let mut placement = placement(&[record("one", "a"), record("two", "a")]);
        let (one, two) = (key(&placement, "one"), key(&placement, "two"));
        placement.record_load(now, one, report);
        placement.record_sent(now, two);
        assert_eq!(placement.record(one).map(|record| record.slots), Some(4), "{report:?}");
        let later = now + Duration::from_secs(5);
        assert_eq!(choose_id(&mut placement, later, None), "one", "{report:?}");
    }
}

/// Guards against new work for an engine whose report says that work takes long there now.
#[test]
fn upstream_that_reports_a_slowdown_gets_no_new_work_until_it_is_over() {
    let now = Instant::now();
    let mut placement = placement(&[record("one", "a"), record("two", "a")]);
    let one = key(&placement, "one");
    let report = |percent: f64| LoadReport {
        running: 0,
        waiting: 0,
        slots: 4,
        slowdown: Some(percent / 100.0),
    };
    placement.record_load(now, one, report(250.0));
    let two = key(&placement, "two");
    placement.record_sent(now, two);
    assert_eq!(choose_id(&mut placement, now, None), "two");
    assert_eq!(choose_id(&mut placement, now + Duration::from_secs(3), None), "one");
    placement.record_load(now, one, report(100.0));
    assert_eq!(choose_id(&mut placement, now, None), "one");
}

/// Guards against prompt parts that every upstream reads: sessions with the same part meet at few
/// upstreams, the same ones from all hosts.
#[test]
fn sessions_with_a_shared_part_meet_at_few_upstreams() {
    const PARTS: u64 = 10;
    let now = Instant::now();
    let ids: Vec<String> = (0..20).map(|number| format!("i-{number}")).collect();
    let records: Vec<_> = ids.iter().map(|id| record(id, "a")).collect();
    let mut used: BTreeMap<u64, BTreeSet<UpstreamId>> = BTreeMap::new();
    let mut hosts = [placement(&records), placement(&records)];
    for number in 0..2000 {
        let part = number % PARTS;
        let prompt = [
            PromptPart { id: part, tokens: 12_600 },
            PromptPart { id: PARTS + number, tokens: 1200 },
        ];
        let session = format!("session-{number}");
        let request = PlacementRequest {
            service: "llm",
            session: Some(&session),
            prompt: &prompt,
            is_retained: true,
            ..PlacementRequest::default()
        };
        let host = &mut hosts[(number / PARTS % 2) as usize];
        let Choice::Use(key) = host.choose(now, &request) else { panic!("no upstream") };
        let id = host.record(key).expect("a known upstream").id.clone();
        if number >= 500 {
            used.entry(part).or_default().insert(id);
        }
    }
    assert!(used.values().all(|upstreams| (2..=4).contains(&upstreams.len())), "{used:?}");
}

/// Guards against an engine that is slow for good and gets as much as the others, or nothing. Its
/// reports say that work takes as long as usual there.
#[test]
fn upstream_that_is_always_slow_gets_less_work_but_some() {
    const PAUSE: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let ids = ["slow", "one", "two"];
    let mut placement = placement(&ids.map(|id| record(id, "a")));
    let keys = ids.map(|id| key(&placement, id));
    let mut now = start;
    for _ in 0..500 {
        now += PAUSE;
        let pauses = [PAUSE * 2, PAUSE, PAUSE];
        keys.iter().zip(pauses).for_each(|(key, pause)| placement.record_pause(now, *key, pause));
        placement.record_load(now, keys[0], LoadReport { slots: 4, ..LoadReport::default() });
    }
    let mut sent = BTreeMap::new();
    for _ in 0..10 {
        let id = choose_id(&mut placement, now, None);
        let key = key(&placement, &id);
        placement.record_sent(now, key);
        *sent.entry(id).or_insert(0) += 1;
    }
    assert!((1..=2).contains(&sent["slow"]), "{sent:?}");
}

fn choose_version(placement: &mut Placement, now: Instant, version: &str) -> String {
    let request =
        PlacementRequest { service: "llm", version: Some(version), ..PlacementRequest::default() };
    match placement.choose(now, &request) {
        Choice::Use(key) => placement.record(key).expect("it is known").id.to_string(),
        other => format!("{other:?}"),
    }
}

/// Guards against streams that can't be taken up while all upstreams of their version leave, although
/// these go on serving.
#[test]
fn stream_goes_on_at_a_leaving_upstream_while_it_serves_if_its_version_has_no_other() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let leaving = |id: &str, version: &str| UpstreamRecord {
        version: version.into(),
        is_leaving: true,
        ..record(id, "a")
    };
    let mut placement = placement(&[
        UpstreamRecord { version: "v2".into(), ..record("two", "a") },
        record("one", "a"),
        record("other", "a"),
    ]);
    placement.upsert(leaving("one", "v1"));
    placement.record_departure("one", Some(at(0)));
    assert_eq!(choose_version(&mut placement, at(100), "v1"), "other", "it accepts work");
    placement.upsert(leaving("other", "v1"));
    placement.record_departure("other", Some(at(1000)));
    assert_ne!(choose_version(&mut placement, at(1100), "v1"), "NoUpstream");
    assert_eq!(choose_id(&mut placement, at(1100), None), "two", "new streams go elsewhere");
    assert_eq!(choose_version(&mut placement, at(2000), "v1"), "other", "one may have ended");
    assert_eq!(
        choose_version(&mut placement, at(2800), "v1"),
        "NoUpstream",
        "a request takes time"
    );
    // An answer of an upstream said so before its entry did.
    let two = key(&placement, "two");
    placement.record_leaving(at(4000), two, Some(at(2500)));
    assert_eq!(choose_version(&mut placement, at(4000), "v2"), "two");
    assert_eq!(choose_version(&mut placement, at(4300), "v2"), "NoUpstream");
    placement.upsert(leaving("two", "v2"));
    placement.record_departure("two", Some(at(4200)));
    assert_eq!(choose_version(&mut placement, at(5600), "v2"), "two");
    assert_eq!(choose_version(&mut placement, at(5800), "v2"), "NoUpstream", "since the answer");
    // Nothing is known of when it began to leave.
    placement.upsert(UpstreamRecord { incarnation: Some(2), ..leaving("two", "v2") });
    assert_eq!(choose_version(&mut placement, at(6000), "v2"), "NoUpstream");
    placement.set_drain_time(Duration::from_secs(5));
    assert_ne!(choose_version(&mut placement, at(4000), "v1"), "NoUpstream");
}

/// Guards against streams that can go on nowhere once the entries of their version's upstreams are gone
/// without a report, although these serve for the drain time.
#[test]
fn upstream_without_an_entry_gets_streams_of_its_version_alone_while_it_serves() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let two = UpstreamRecord { version: "v2".into(), ..record("two", "a") };
    let mut placement = placement(&[two, record("one", "a")]);
    placement.record_missing("one", Some(at(0)));
    assert_eq!(choose_version(&mut placement, at(300), "v1"), "one", "it may return");
    // A later listing without the entry says nothing new.
    placement.record_missing("one", Some(at(400)));
    assert!(placement.delist(at(500), "one"));
    assert!(!placement.delist(at(500), "one"));
    assert_eq!(placement.ids().count(), 1);
    assert_eq!(placement.records().count(), 1);
    assert_eq!(choose_version(&mut placement, at(1000), "v1"), "one");
    assert_eq!(choose_id(&mut placement, at(1000), None), "two", "new streams go elsewhere");
    let one = key(&placement, "one");
    assert!(placement.has_said_leaving(one), "no request is sent to it again");
    assert_eq!(placement.next_departure(), Some(at(1750)));
    placement.remove_departed(at(1749));
    assert_eq!(choose_version(&mut placement, at(1749), "v1"), "one");
    assert_eq!(choose_version(&mut placement, at(1750), "v1"), "NoUpstream");
    placement.remove_departed(at(1750));
    assert!(placement.find("one").is_none());
    assert_eq!(placement.next_departure(), None);
}

#[test]
fn upstream_without_an_entry_is_forgotten_if_nothing_is_known_of_its_removal() {
    let now = Instant::now();
    let mut placement = placement(&[record("one", "a"), record("two", "a")]);
    placement.record_missing("one", None);
    assert!(placement.delist(now, "one"));
    assert!(placement.find("one").is_none());
    assert!(!placement.delist(now, "unknown"));
}

/// Guards against streams for an upstream after its drain time: it may have been gone for long when a host
/// that learned of it from another one misses its entry, and the listings after that tell no more.
#[test]
fn later_listing_does_not_tell_since_when_an_entry_is_missing() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut placement = placement(&[record("one", "a"), record("two", "a")]);
    placement.record_missing("one", None);
    placement.record_missing("one", Some(at(1500)));
    assert!(placement.delist(at(1600), "one"));
    assert_eq!(placement.next_departure(), None);
    assert_eq!(choose_version(&mut placement, at(1600), "v1"), "two");
    assert!(placement.find("one").is_none());
    // An entry that comes back and is missed again is another matter.
    placement.record_missing("two", None);
    placement.upsert(UpstreamRecord { is_leaving: false, ..record("two", "a") });
    placement.record_missing("two", Some(at(2000)));
    assert!(placement.delist(at(2100), "two"));
    assert_eq!(placement.next_departure(), Some(at(3750)));
}

/// Guards against requests for an upstream after its drain time: its entry may be gone long after its
/// report.
#[test]
fn removal_of_the_entry_gives_an_upstream_that_has_reported_no_more_time() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut placement = placement(&[record("reported", "a"), record("said", "a")]);
    placement.upsert(UpstreamRecord { is_leaving: true, ..record("reported", "a") });
    placement.record_departure("reported", Some(at(0)));
    let said = key(&placement, "said");
    placement.record_leaving(at(0), said, Some(at(0)));
    for id in ["reported", "said"] {
        placement.record_missing(id, Some(at(1500)));
        assert!(placement.delist(at(1500), id));
    }
    assert_eq!(placement.next_departure(), Some(at(1750)));
    assert_eq!(choose_version(&mut placement, at(1800), "v1"), "NoUpstream");
}

/// Returns the record of an upstream at an address of its own.
fn record_at(id: &str, port: u16) -> UpstreamRecord {
    UpstreamRecord { address: ([127, 0, 0, 1], port).into(), ..record(id, "a") }
}

#[test]
fn next_owner_of_an_id_or_address_ends_the_time_of_an_upstream_without_an_entry() {
    let now = Instant::now();
    let delisted = || {
        let mut placement = placement(&[record_at("one", 1), record_at("two", 2)]);
        placement.record_missing("one", Some(now));
        placement.delist(now, "one");
        placement
    };
    let former = record_at("one", 1);
    let of_address = UpstreamRecord { address: former.address, ..record_at("three", 3) };
    let mut placement = delisted();
    placement.upsert(record_at("four", 4));
    assert!(placement.find("one").is_some());
    placement.upsert(of_address);
    assert!(placement.find("one").is_none());
    let mut placement = delisted();
    let old = key(&placement, "one");
    let v2 = "v2".into();
    placement.upsert(UpstreamRecord { incarnation: Some(2), version: v2, ..former.clone() });
    assert_ne!(key(&placement, "one"), old);
    assert!(!placement.serves_out(now, old) && !placement.is_excluded(key(&placement, "one")));
    // The same process is in use again.
    let mut placement = delisted();
    assert!(placement.upsert(former));
    assert!(!placement.is_excluded(key(&placement, "one")));
    assert_eq!((placement.ids().count(), placement.next_departure()), (2, None));
}

/// Guards against streams that can go on nowhere at a host that has started since their upstreams left.
#[test]
fn host_learns_from_another_how_long_an_upstream_that_leaves_serves() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut other = placement(&[record_at("one", 1), record_at("two", 2), record_at("gone", 3)]);
    other.record_missing("one", Some(at(0)));
    other.delist(at(100), "one");
    other.record_missing("gone", None);
    other.delist(at(100), "gone");
    let departing = other.departing(at(500), "llm");
    let names: Vec<_> = departing.iter().map(|(record, left)| (&*record.id, *left)).collect();
    assert_eq!(names, [("one", Duration::from_millis(1250))]);
    let (one, left) = departing.into_iter().next().expect("one leaves");

    let v2 = UpstreamRecord { version: "v2".into(), ..record_at("two", 2) };
    let mut placement = placement(&[v2]);
    assert!(placement.adopt_departing(at(520), one.clone(), at(500) + left));
    assert!(!placement.adopt_departing(at(520), one.clone(), at(500) + left));
    assert_eq!(placement.ids().count(), 1, "it has no entry here");
    assert!(placement.can_continue(at(1749), "llm", "v1"));
    assert!(!placement.can_continue(at(1750), "llm", "v1"));
    assert_eq!(choose_id(&mut placement, at(600), None), "two");
    assert_eq!(choose_version(&mut placement, at(1749), "v1"), "one");
    assert_eq!(choose_version(&mut placement, at(1750), "v1"), "NoUpstream");
    placement.remove_departed(at(1750));
    assert!(!placement.adopt_departing(at(1750), one.clone(), at(500) + left), "it is over");
    // Nobody serves for longer than the drain time.
    assert!(placement.adopt_departing(at(2000), one.clone(), at(9000)));
    assert_eq!(placement.next_departure(), Some(at(3750)));
    // One that has an entry is used by that.
    let two = key(&placement, "two");
    let told = placement.record(two).expect("it is known").clone();
    assert!(!placement.adopt_departing(at(2000), told, at(3000)));
    assert!(!placement.is_excluded(two));
}
