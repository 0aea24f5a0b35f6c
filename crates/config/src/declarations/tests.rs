use {
    super::{Declarations, RawDeclarations, render},
    crate::secret::{hash_secret, new_secret},
    expect_test::{Expect, expect},
    proptest::{
        collection::vec,
        prelude::{Strategy, any, prop_oneof},
        prop_assert_eq, proptest,
        sample::select,
        test_runner::{Config, RngSeed},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{path::Path, sync::Arc},
    trefoilring_core::catalog::{
        Budget, Catalog, Class, Key, RoutePattern, Service, ServiceKind, Team,
    },
};

const SEED: u64 = 0x6465_636c;

fn parse(text: &str) -> Result<Declarations, super::DeclarationsError> {
    RawDeclarations { file: "shop.toml", text }.try_into()
}

fn check_rejected(text: &str, expected: Expect) {
    expected.assert_eq(&parse(text).expect_err("this document is invalid").to_string());
}

#[test]
fn a_valid_document_parses_to_a_catalog() {
    let text = format!(
        r#"
        [classes.counter]
        target = "45s"
        budget = {{ turns = 1_000, tokens = 0x100, wall = "2m" }}
        [teams.north]
        rate_per_s = 20
        burst_requests = 40
        classes = ["counter"]
        [keys.till-1]
        team = "north"
        hash = "{}"
        [services.llm]
        kind = "engine"
        models = ["m"]
        checks_fencing = true
        deadline = "1500ms"
        [services.desk]
        kind = "plain"
        repeatable = ["GET /prices/", "* /"]
        open = ["GET /hours"]
        deadline = "5s"
        "#,
        hash_secret("abc"),
    );
    let catalog = parse(&text).unwrap().into_catalog(7);
    let budget = Budget { turns: 1000, tokens: 256, wall_ms: 120_000 };
    assert_eq!(catalog.version, 7);
    assert_eq!(catalog.classes["counter"], Class { target_ms: 45_000, budget });
    assert_eq!(catalog.teams["north"].rate_per_s, 20.0);
    // The BLAKE3 hash of the three bytes `abc`.
    let key = &catalog.keys["6437b3ac38465133ffb63b75273a8db548c558465d79db03fd359c6cd5bd9d85"];
    assert_eq!((&*key.id, &*key.team, key.is_withdrawn), ("till-1", "north", false));
    assert!(catalog.services["desk"].is_repeatable("GET", "prices/7"));
    assert!(!catalog.services["desk"].is_open("POST", "hours"));
    assert_eq!(catalog.services["llm"].deadline_ms, 1500);
}

#[test]
fn all_diagnostics_are_reported_in_one_pass_with_their_lines() {
    check_rejected(
        r#"colour = "blue"

[classes.counter]
target = "90"
goal = "90s"

[classes.Night]
target = "2h"
budget = { turns = 0, wall = "1h", wal = "1h" }

[teams.north]
rate_per_s = -1
burst_requests = 2.5
classes = ["counter", "nihgt"]

[teams.south]
rate_per_s = inf

[keys.till-1]
team = "nort"
hash = "my very secret password"
secret = "another secret"

[services.llm]
kind = "motor"
deadline = "2h"

[services.desk]
kind = "plain"
models = ["m"]
repeatable = ["GET prices", "FETCH /prices", "GET /a/../b", 7]
checks_fencing = "yes"
deadline = "5s"
"#,
        expect![[r#"
            shop.toml:1: colour: colour is not accepted; accepted: the fields classes, teams, keys, services
            shop.toml:4: classes.counter.target: "90" is not accepted; accepted: a duration from "1ms" to "168h" in ms, s, m or h
            shop.toml:5: classes.counter.goal: goal is not accepted; accepted: the fields target, budget
            shop.toml:7: classes.Night: Night is not accepted; accepted: a name of 1 to 63 characters out of a-z, 0-9 and -
            shop.toml:9: classes.Night.budget.turns: 0 is not accepted; accepted: a whole number from 1 to 1000000
            shop.toml:9: classes.Night.budget.wal: wal is not accepted; accepted: the fields turns, tokens, wall
            shop.toml:12: teams.north.rate_per_s: -1 is not accepted; accepted: a number above 0, at most 1000000
            shop.toml:13: teams.north.burst_requests: 2.5 is not accepted; accepted: a whole number from 1 to 1000000
            shop.toml:14: teams.north.classes: "nihgt" is not accepted; accepted: declared classes: counter, ...
            shop.toml:16: teams.south.burst_requests: is missing; accepted: a whole number from 1 to 1000000
            shop.toml:17: teams.south.rate_per_s: inf is not accepted; accepted: a number above 0, at most 1000000
            shop.toml:20: keys.till-1.team: (not shown) is not accepted; accepted: a declared team: north, south
            shop.toml:21: keys.till-1.hash: (not shown) is not accepted; accepted: the BLAKE3 hash of the secret as 64 lower-case hexadecimal digits, not that of another key; trefoilctl key hash prints it
            shop.toml:22: keys.till-1.secret: secret is not accepted; accepted: the fields team, hash, withdrawn
            shop.toml:25: services.llm.kind: "motor" is not accepted; accepted: engine, tool or plain
            shop.toml:26: services.llm.deadline: "2h" is not accepted; accepted: a duration from "1ms" to "1h" in ms, s, m or h
            shop.toml:31: services.desk.repeatable: "GET prices" is not accepted; accepted: a method (or *) and the start of a path, such as "GET /prices"
            shop.toml:31: services.desk.repeatable: "FETCH /prices" is not accepted; accepted: a method (or *) and the start of a path, such as "GET /prices"
            shop.toml:31: services.desk.repeatable: "GET /a/../b" is not accepted; accepted: a method (or *) and the start of a path, such as "GET /prices"
            shop.toml:31: services.desk.repeatable: 7 is not accepted; accepted: a method (or *) and the start of a path, such as "GET /prices"
            shop.toml:32: services.desk.checks_fencing: "yes" is not accepted; accepted: true or false"#]],
    );
}

#[test]
fn conflicts_between_fields_and_tables_are_reported() {
    let hash = hash_secret("a");
    check_rejected(
        &format!(
            r#"
[classes.long]
target = "2h"
[teams.north]
rate_per_s = 1.5
burst_requests = 1
[keys.a]
team = "north"
hash = "{hash}"
[keys.b]
team = "north"
hash = "{hash}"
[services.one]
kind = "engine"
models = ["m"]
deadline = "1m"
[services.two]
kind = "engine"
models = ["m", "n"]
deadline = "1m"
[services.three]
kind = "engine"
deadline = "1m"
[services.four]
kind = "plain"
models = ["o"]
deadline = "1m"
"#
        ),
        expect![[r#"
            shop.toml:3: classes.long.target: "2h" is not accepted; accepted: a duration of at most budget.wall, by default 1h
            shop.toml:12: keys.b.hash: (not shown) is not accepted; accepted: the BLAKE3 hash of the secret as 64 lower-case hexadecimal digits, not that of another key; trefoilctl key hash prints it
            shop.toml:19: services.two.models: "m" is not accepted; accepted: names of models, each served by one service only
            shop.toml:21: services.three.models: is missing; accepted: at least one model for an engine, none for the others
            shop.toml:26: services.four.models: ["o"] is not accepted; accepted: at least one model for an engine, none for the others"#]],
    );
}

#[test]
fn toml_syntax_errors_are_reported_together_with_other_diagnostics() {
    check_rejected(
        "[classes.a]\ntarget = \"1s\"\ntarget = \"2s\"\n[classes.b]\ntarget = 90s\n\
         [teams.c]\nrate_per_s = 0\nburst_requests = 1\n[teams.c]\n[teams.d\n",
        expect![[r#"
            shop.toml:3: TOML: duplicate key; accepted: a TOML document, each name once
            shop.toml:5: TOML: string values must be quoted, expected literal string; accepted: a TOML document, each name once
            shop.toml:7: teams.c.rate_per_s: 0 is not accepted; accepted: a number above 0, at most 1000000
            shop.toml:9: TOML: duplicate key; accepted: a TOML document, each name once
            shop.toml:10: TOML: unclosed table, expected `]`; accepted: a TOML document, each name once"#]],
    );
    check_rejected(
        "classes = 3\n[keys]\na = 1\n",
        expect![[r#"
            shop.toml:1: classes: 3 is not accepted; accepted: a table of tables by name
            shop.toml:3: keys.a: (not shown) is not accepted; accepted: a table"#]],
    );
}

#[test]
fn the_examples_are_accepted() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let expected = [
        ("kaalachakra.toml", ["appraiser-llm", "dealer-desk"], "demo-kaalachakra-malabar-till-1"),
        ("isiyol.toml", ["agent-models", "ops-app"], "demo-isiyol-bozkir-ustabasi-1"),
    ];
    for (file, services, secret) in expected {
        let catalog = Declarations::read(&directory.join(file)).unwrap().into_catalog(1);
        assert_eq!(catalog.teams.len(), 8, "{file}");
        assert!(services.iter().all(|service| catalog.services.contains_key(*service)));
        assert!(catalog.keys.contains_key(&hash_secret(secret)), "{file}: {}", hash_secret(secret));
    }
}

#[test]
fn the_error_for_a_missing_file_contains_its_path() {
    let error = Declarations::read(Path::new("/no/such/file.toml")).unwrap_err();
    assert!(error.to_string().starts_with("/no/such/file.toml: "), "{error}");
}

#[test]
fn each_secret_is_different() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let (one, two) = (new_secret(&mut rng), new_secret(&mut rng));
    assert_ne!(one, two);
    assert!(one.starts_with("trk_") && one.len() == 36, "{one}");
}

fn name() -> impl Strategy<Value = Arc<str>> {
    "[a-z0-9-]{1,12}".prop_map(Arc::from)
}

fn class() -> impl Strategy<Value = Class> {
    (1..1_000_000_u64, 1..10_000_u32, 1..1_000_000_u64, 0..1_000_000_u64).prop_map(
        |(target_ms, turns, tokens, extra_ms)| {
            let wall_ms = target_ms + extra_ms;
            Class { target_ms, budget: Budget { turns, tokens, wall_ms } }
        },
    )
}

fn route() -> impl Strategy<Value = RoutePattern> {
    let method = select(vec!["GET", "POST", "*"]).prop_map(str::to_owned);
    (method, "([a-z]{1,4}(/[a-z0-9_]{1,4})?)?")
        .prop_map(|(method, prefix)| RoutePattern { method, prefix })
}

/// Generates a service and its id. The models are named after the id, so that no two services share
/// a model.
fn service() -> impl Strategy<Value = (Arc<str>, Service)> {
    let kind = prop_oneof![
        (1..3_usize).prop_map(|models| (ServiceKind::Engine, models)),
        select(vec![(ServiceKind::Tool, 0), (ServiceKind::Plain, 0)]),
    ];
    (name(), kind, vec(route(), 0..3), vec(route(), 0..3), any::<bool>(), 1..3_600_000_u64)
        .prop_map(|(id, (kind, models), repeatable, open, checks_fencing, deadline_ms)| {
            let models = (0..models).map(|model| format!("{id} \"{model}\"\n")).collect();
            let open = if kind == ServiceKind::Engine { Vec::new() } else { open };
            let service = Service { kind, models, repeatable, open, checks_fencing, deadline_ms };
            (id, service)
        })
}

fn catalog() -> impl Strategy<Value = Catalog> {
    let teams = vec((name(), 0.001..10_000.0_f64, 1..1000_u32), 1..4);
    let keys = vec((name(), any::<u64>(), any::<bool>()), 0..4);
    let parts = (vec((name(), class()), 1..4), teams, keys, vec(service(), 0..4));
    parts.prop_map(|(classes, teams, keys, services)| {
        let mut catalog = Catalog { version: 3, ..Catalog::default() };
        catalog.classes.extend(classes);
        let classes: Vec<_> = catalog.classes.keys().take(2).cloned().collect();
        for (id, rate_per_s, burst_requests) in teams {
            let classes = classes.clone();
            catalog.teams.insert(id, Team { rate_per_s, burst_requests, classes });
        }
        let team = catalog.teams.keys().next().unwrap().clone();
        for (id, secret, is_withdrawn) in keys {
            if catalog.keys.values().all(|key| key.id != id) {
                let key = Key { id, team: team.clone(), is_withdrawn };
                catalog.keys.insert(hash_secret(&secret.to_string()), key);
            }
        }
        catalog.services.extend(services);
        catalog
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_rendered_catalog_parses_to_the_same_catalog(catalog in catalog()) {
        let text = render(&catalog).unwrap();
        let parsed = parse(&text).map_err(|error| error.to_string());
        prop_assert_eq!(parsed.map(|parsed| parsed.into_catalog(3)), Ok(catalog), "{}", text);
    }

    #[test]
    fn the_parser_does_not_panic_on_any_text(text in "[\\[\\]a-c.={}\"'\n0-9 é-]{0,60}") {
        let _ = parse(&text);
        let _ = parse(&format!("[keys.{text}]\nhash = {text}\n[teams]\n{text}"));
    }
}
