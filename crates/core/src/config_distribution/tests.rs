//! Tests of splitting, assembling, distributing and applying configurations.

use {
    super::{
        ApplyOutcome, ApplyPlan, ChangeComparison, Command, ConfigError, ConfigFetcher, Event,
        FetchSource, Freshness, LogEvent, Manifest, Options, Shard, assemble, decode_manifest,
        encode_manifest, plan_apply, resolve_apply, split, withdrawn_between,
    },
    crate::catalog::{Budget, Catalog, Class, Key, Service, ServiceKind, Team},
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 20_261_203;

fn team(rate_per_s: f64) -> Team {
    Team { rate_per_s, burst_requests: 10, classes: Vec::new() }
}

fn key(id: &str, team: &str, is_withdrawn: bool) -> Key {
    Key { id: id.into(), team: team.into(), is_withdrawn }
}

fn key_hash(id: usize) -> String {
    blake3::hash(&id.to_le_bytes()).to_hex().to_string()
}

/// A catalog with `teams` teams, each with one key.
fn catalog(teams: usize) -> Catalog {
    let mut catalog = Catalog { version: 1, ..Catalog::default() };
    let class = Class { target_ms: 30_000, budget: Budget::default() };
    catalog.classes.insert("counter".into(), class);
    let service = Service {
        kind: ServiceKind::Engine,
        models: vec!["appraiser".into()],
        repeatable: Vec::new(),
        open: Vec::new(),
        checks_fencing: true,
        deadline_ms: 60_000,
    };
    catalog.services.insert("appraiser-llm".into(), service);
    for number in 0..teams {
        let name = format!("team-{number:05}");
        catalog.teams.insert(name.as_str().into(), team(2.0));
        catalog.keys.insert(key_hash(number), key(&format!("{name}-main"), &name, false));
    }
    catalog
}

fn change_one_team(catalog: &Catalog, number: usize, rate: f64) -> Catalog {
    let mut changed = catalog.clone();
    changed.teams.insert(format!("team-{number:05}").as_str().into(), team(rate));
    changed
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Splitting and assembling a catalog returns the same catalog, and a change of one team
    /// changes at most one shard.
    #[test]
    fn split_then_assemble_returns_the_same_catalog(
        teams in 1_usize..600,
        changes in proptest::collection::vec((0_usize..600, 1.0_f64..9.0), 0..4),
    ) {
        let old = catalog(teams);
        let new = changes.iter().fold(old.clone(), |catalog, (number, rate)| {
            change_one_team(&catalog, number % teams, *rate)
        });
        let (manifest, shards) = split(&new, "change").expect("the catalog fits the size limits");
        prop_assert_eq!(
            &assemble(&manifest, &shards).expect("the manifest and shards are complete"),
            &new
        );
        let (_, old_shards) = split(&old, "change").expect("the catalog fits the size limits");
        let changed = shards.iter().filter(|shard| !old_shards.contains(shard)).count();
        prop_assert!(changed <= changes.len());
    }
}

#[test]
fn invalid_shards_are_reported() {
    let (manifest, shards) =
        split(&catalog(300), "change").expect("the catalog fits the size limits");
    let error = |manifest: &Manifest, shards: &[Shard]| {
        assemble(manifest, shards)
            .expect_err("the manifest or a shard is invalid")
            .current_context()
            .clone()
    };
    assert!(matches!(error(&manifest, &shards[1..]), ConfigError::MissingShard { .. }));

    let mut damaged = shards.clone();
    damaged[1].bytes[3] ^= 1;
    let hash = damaged[1].hash.clone();
    assert!(matches!(
        error(&manifest, &damaged),
        ConfigError::WrongHash { hash: named, .. } if named == hash
    ));

    let mut twice = manifest.clone();
    twice.shards.push(manifest.shards[1].clone());
    assert!(matches!(error(&twice, &shards), ConfigError::DuplicateItem { .. }));

    let mut orphan = catalog(3);
    orphan.teams.remove("team-00001");
    let (manifest, shards) = split(&orphan, "change").expect("the catalog fits the size limits");
    assert!(matches!(error(&manifest, &shards), ConfigError::UnknownTeam { .. }));

    assert!(decode_manifest(b"{").is_err());
}

#[test]
fn withdrawn_between_lists_keys_no_longer_valid() {
    let mut old = catalog(3);
    old.keys.insert("rotated-old".into(), key("rotating", "team-00000", false));
    type Case = (&'static str, fn(&mut Catalog), &'static [&'static str]);
    let cases: [Case; 6] = [
        ("nothing", |_| {}, &[]),
        (
            "withdrawn",
            |c| c.keys.get_mut(&key_hash(1)).unwrap().is_withdrawn = true,
            &["team-00001-main"],
        ),
        ("gone", |c| drop(c.keys.remove(&key_hash(2))), &["team-00002-main"]),
        (
            "moved to another team",
            |c| c.keys.get_mut(&key_hash(0)).unwrap().team = "team-00002".into(),
            &["team-00000-main"],
        ),
        ("its team is gone", |c| drop(c.teams.remove("team-00001")), &["team-00001-main"]),
        (
            "rotated under the same name",
            |c| {
                c.keys.remove("rotated-old");
                c.keys.insert("rotated-new".into(), key("rotating", "team-00000", false));
            },
            &[],
        ),
    ];
    for (case, change, expected) in cases {
        let mut new = old.clone();
        change(&mut new);
        let found = withdrawn_between(&old, &new);
        assert_eq!(found.iter().map(|id| &**id).collect::<Vec<_>>(), expected, "{case}");
    }
}

/// A store with a manifest, and the state machine of one host that fetches it.
struct TestHost {
    now: Instant,
    fetcher: ConfigFetcher,
    objects: BTreeMap<String, Vec<u8>>,
    manifest: (u64, Vec<u8>),
    in_force: Vec<u64>,
    withdrawn: Vec<String>,
    log_events: Vec<LogEvent>,
    fetched: Vec<FetchSource>,
    serves_damaged_shards: bool,
}

impl TestHost {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            fetcher: ConfigFetcher::new(Options::default(), 0),
            objects: BTreeMap::new(),
            manifest: (0, Vec::new()),
            in_force: Vec::new(),
            withdrawn: Vec::new(),
            log_events: Vec::new(),
            fetched: Vec::new(),
            serves_damaged_shards: false,
        }
    }

    fn current(&self) -> Option<(u64, Manifest)> {
        let (version, bytes) = &self.manifest;
        (*version > 0)
            .then(|| (*version, decode_manifest(bytes).expect("the stored manifest is valid")))
    }

    fn plan(&self, catalog: &Catalog, change: &str) -> ApplyPlan {
        let current = self.current();
        let current = current.as_ref().map(|(version, manifest)| (*version, manifest));
        plan_apply(current, catalog, change).expect("the catalog fits the size limits")
    }

    fn write(&mut self, plan: &ApplyPlan) -> bool {
        for shard in &plan.new_shards {
            self.objects.insert(shard.hash.clone(), shard.bytes.clone());
        }
        let is_current = self.manifest.0 == plan.if_version;
        if is_current {
            self.manifest = (plan.if_version + 2, plan.bytes.clone());
        }
        is_current
    }

    fn resolve(&self, plan: &ApplyPlan) -> ApplyOutcome {
        let current = self.current();
        resolve_apply(plan, current.as_ref().map(|(version, manifest)| (*version, manifest)))
    }

    /// Reports the current manifest to the host and serves its fetches until none are left.
    fn report_manifest(&mut self) {
        let event = Event::ManifestSeen { object_version: self.manifest.0, as_of: self.now };
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let mut commands = self.fetcher.handle(self.now, event);
        while let Some(command) = commands.pop() {
            let event = match command {
                Command::FetchManifest { from, .. } => {
                    self.fetched.push(from);
                    let (object_version, bytes) = self.manifest.clone();
                    Event::Manifest { object_version, bytes }
                }
                Command::FetchShard { hash, from } => {
                    self.fetched.push(from);
                    let Some(bytes) = self.objects.get(&hash) else { continue };
                    let mut bytes = bytes.clone();
                    if self.serves_damaged_shards {
                        bytes.push(b' ');
                    }
                    Event::Shard(Shard { hash, bytes })
                }
                Command::PutInForce { version, withdrawn, .. } => {
                    self.in_force.push(version);
                    self.withdrawn.extend(withdrawn.iter().map(ToString::to_string));
                    continue;
                }
                Command::Log(log_event) => {
                    self.log_events.push(log_event);
                    continue;
                }
            };
            commands.extend(self.fetcher.handle(self.now, event));
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle(Event::Tick);
    }
}

#[test]
fn accepted_change_is_put_in_force_with_withdrawn_keys() {
    let mut host = TestHost::new();
    let first = catalog(300);
    host.write(&host.plan(&first, "one"));
    host.report_manifest();
    let mut second = first.clone();
    second.keys.get_mut(&key_hash(7)).expect("the catalog has the key").is_withdrawn = true;
    host.write(&host.plan(&second, "two"));
    host.fetched.clear();
    host.report_manifest();
    assert_eq!(host.in_force, [1, 2]);
    assert_eq!(host.withdrawn, ["team-00007-main"]);
    assert_eq!(host.fetched.len(), 2, "the manifest and one shard");
    let expected = Catalog { version: 2, ..second };
    assert_eq!(**host.fetcher.catalog(), expected, "as by a copy of the whole");
    assert_eq!(host.fetcher.manifest().map(|(version, _)| version), Some(host.manifest.0));
}

#[test]
fn keys_become_stale_without_reports_and_fresh_after_one() {
    let mut host = TestHost::new();
    assert_eq!(host.fetcher.key_freshness(host.now), Freshness::Stale, "nothing is in force");
    host.write(&host.plan(&catalog(3), "one"));
    host.report_manifest();
    assert_eq!(host.fetcher.key_freshness(host.now), Freshness::Fresh);
    host.advance(Options::default().freshness_timeout);
    assert_eq!(host.fetcher.key_freshness(host.now), Freshness::Stale, "nobody was heard");
    host.report_manifest();
    assert_eq!(host.fetcher.key_freshness(host.now), Freshness::Fresh);
    // A newer manifest is known, but its shards can't be fetched yet.
    let plan = host.plan(&change_one_team(&catalog(3), 1, 9.0), "two");
    host.write(&plan);
    host.objects.clear();
    host.report_manifest();
    assert_eq!(host.fetcher.key_freshness(host.now), Freshness::Stale);
    host.write(&plan);
    for shard in &plan.new_shards {
        host.objects.insert(shard.hash.clone(), shard.bytes.clone());
    }
    host.advance(Options::default().retry_interval);
    host.report_manifest();
    assert_eq!(host.fetcher.key_freshness(host.now), Freshness::Fresh);
    assert_eq!(host.in_force, [1, 2]);
}

#[test]
fn version_in_force_never_decreases() {
    let mut host = TestHost::new();
    host.write(&host.plan(&catalog(3), "one"));
    let old = host.manifest.1.clone();
    host.write(&host.plan(&change_one_team(&catalog(3), 1, 9.0), "two"));
    host.report_manifest();
    // The store returns an old manifest under a new object version.
    host.manifest = (host.manifest.0 + 1, old.clone());
    host.report_manifest();
    assert_eq!(host.in_force, [2]);
    assert_eq!(host.log_events, [LogEvent::NotNewer { found: 1, in_force: 2 }]);
    // A host that restarts refuses the old version too, since the roster names the version that it
    // had in force.
    host.fetcher = ConfigFetcher::new(Options::default(), 0);
    host.fetcher.raise_min_version(2);
    host.report_manifest();
    assert_eq!(host.in_force, [2]);
    assert_eq!(host.fetcher.key_freshness(host.now), Freshness::Stale);
}

#[test]
fn damaged_shards_are_refused_and_fetched_from_elsewhere() {
    let mut host = TestHost::new();
    host.handle(Event::Sources(vec!["a1".into(), "a2".into()]));
    host.write(&host.plan(&catalog(3), "one"));
    host.serves_damaged_shards = true;
    host.report_manifest();
    assert_eq!(host.in_force, [0; 0]);
    assert!(matches!(host.log_events[0], LogEvent::Refused(ConfigError::WrongHash { .. })));
    host.serves_damaged_shards = false;
    host.advance(Options::default().retry_interval);
    assert_eq!(host.in_force, [1]);
    assert_eq!(host.fetched.first(), Some(&FetchSource::Host("a1".into())));
    assert_ne!(host.fetched.first(), host.fetched.last());
}

/// Each case changes the store between the planning of a change and the read-back, and names the
/// outcome that the operator's tool must determine.
#[test]
fn lost_answers_and_races_are_resolved() {
    type Between = fn(&mut TestHost, &ApplyPlan);
    let cases: [(&str, Between, ApplyOutcome); 5] = [
        ("lost before the effect", |_, _| {}, ApplyOutcome::NotAccepted),
        (
            "lost after the effect",
            |host, plan| assert!(host.write(plan)),
            ApplyOutcome::Accepted(2),
        ),
        (
            "lost after the effect, and another change came on top",
            |host, plan| {
                assert!(host.write(plan));
                let next = host.plan(&catalog(4), "other");
                assert!(host.write(&next));
            },
            ApplyOutcome::Accepted(2),
        ),
        (
            "another change came first",
            |host, plan| {
                let first = host.plan(&catalog(4), "other");
                assert!(host.write(&first));
                assert!(!host.write(plan));
            },
            ApplyOutcome::Conflict { version: 2, change: "other".into() },
        ),
        (
            "more changes came than a manifest remembers",
            |host, plan| {
                assert!(host.write(plan));
                for number in 0..20 {
                    let next = host.plan(&catalog(4 + number), "others");
                    assert!(host.write(&next));
                }
            },
            ApplyOutcome::Unknown { version: 22 },
        ),
    ];
    for (case, between, expected) in cases {
        let mut host = TestHost::new();
        host.write(&host.plan(&catalog(3), "base"));
        let plan = host.plan(&change_one_team(&catalog(3), 1, 7.0), "mine");
        between(&mut host, &plan);
        assert_eq!(host.resolve(&plan), expected, "{case}");
    }
}

#[test]
fn conflict_lists_both_sides() {
    let base = catalog(4);
    let ours = change_one_team(&change_one_team(&base, 0, 5.0), 1, 5.0);
    let theirs = change_one_team(&change_one_team(&base, 1, 6.0), 2, 6.0);
    let comparison = ChangeComparison::between(&base, &ours, &theirs);
    let names = |side: &[super::Difference]| -> Vec<String> {
        side.iter().map(|difference| difference.name.clone()).collect()
    };
    assert_eq!(names(&comparison.ours), ["team-00000"]);
    assert_eq!(names(&comparison.conflicts), ["team-00001"]);
    assert_eq!(names(&comparison.theirs), ["team-00002"]);
}

/// Computes the figures of `docs/decisions/0008-configuration.md`; `--nocapture` prints them.
#[test]
fn change_replaces_one_shard_and_fits_control_limit() {
    const CHANGES_PER_DAY: usize = 1_700;
    const SECONDS_PER_DAY: usize = 86_400;
    let base = catalog(32_000);
    let plan = plan_apply(None, &base, "base").expect("the catalog fits the size limits");
    let total: usize = plan.new_shards.iter().map(|shard| shard.bytes.len()).sum();
    let largest = plan.new_shards.iter().map(|shard| shard.bytes.len()).max();
    let change =
        plan_apply(Some((1, &plan.manifest)), &change_one_team(&base, 17, 9.0), "0123456789abcdef")
            .expect("the catalog fits the size limits");
    let changed: usize = change.new_shards.iter().map(|shard| shard.bytes.len()).sum();
    let bytes_per_host = change.bytes.len() + changed;
    let per_s = bytes_per_host * CHANGES_PER_DAY / SECONDS_PER_DAY;
    println!(
        "catalog {total} B in {} shards, the largest {largest:?} B; a change: manifest {} B and \
         {} shard of {changed} B; {bytes_per_host} B a host and change, {per_s} B/s a host",
        plan.new_shards.len(),
        change.bytes.len(),
        change.new_shards.len(),
    );
    assert_eq!(change.new_shards.len(), 1);
    assert!(per_s < 3_000 / 2, "half of what a host may use for control");
    assert!(encode_manifest(&change.manifest).is_ok());
}
