//! The program `trefoilctl` against a stand-in of the Object API over a socket.

use {
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        fs,
        path::{Path, PathBuf},
        process::{Command, Output, Stdio},
        thread,
    },
    trefoilring_clients::ObjectApi,
    trefoilring_config::secret::hash_secret,
    trefoilring_core::{
        ids::Member,
        membership::{HostEntry, HostState, Roster},
    },
    trefoilring_standin::{
        Control, Faults, Outage, RunningStandin,
        objects::{ObjectsStandin, Options, start},
    },
};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kaalachakra.toml");
const OTHER_EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/isiyol.toml");

/// A store and a folder for files.
struct Bench {
    store: RunningStandin<ObjectsStandin>,
    folder: PathBuf,
}

impl Bench {
    fn new(name: &str) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).unwrap();
        Self { store: start(Options::default()).unwrap(), folder }
    }

    fn faults(&self) -> &Control {
        self.store.control()
    }

    /// Writes the example with one text in place of another.
    fn edited(&self, name: &str, from: &str, to: &str) -> String {
        let text = fs::read_to_string(EXAMPLE).unwrap();
        assert!(text.contains(from));
        let path = self.folder.join(name);
        fs::write(&path, text.replace(from, to)).unwrap();
        path.display().to_string()
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_trefoilctl"));
        command
            .args(arguments)
            .env("TREFOILRING_OBJECT_API", self.store.address().to_string())
            .env("TREFOILRING_AUTHOR", "asha")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    fn run(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().unwrap()
    }

    /// Runs a command that has to succeed and returns its report.
    fn json(&self, arguments: &[&str]) -> Value {
        let output = self.run(&[arguments, &["--output", "json"]].concat());
        assert_eq!(code(&output), 0, "{arguments:?}: {}", errors(&output));
        serde_json::from_slice(&output.stdout).unwrap()
    }

    fn put(&self, key: &str, value: &Value) {
        let api = ObjectApi::new(self.store.address(), std::time::Duration::from_secs(10));
        let version = self.store.peek(key).map_or(0, |(version, _)| version);
        let bytes = serde_json::to_vec(value).unwrap();
        smol::block_on(api.put(key, version, bytes)).unwrap();
    }

    fn stored(&self, key: &str) -> Value {
        serde_json::from_slice(&self.store.peek(key).unwrap().1).unwrap()
    }

    /// Writes a roster with one host for each version in force.
    fn roster(&self, versions: &[u64]) {
        let entries = versions.iter().enumerate().map(|(index, version)| host(index, *version));
        let roster = Roster {
            domain: "kochi-a".into(),
            writer: member(0),
            writer_address: "10.0.0.1:8081".into(),
            revision: 1,
            hosts: entries.map(|entry| (entry.member.host.clone(), entry)).collect(),
            guards: Vec::new(),
            former_guards: Vec::new(),
            seen: BTreeMap::new(),
        };
        self.put("roster/kochi-a", &serde_json::to_value(roster).unwrap());
    }
}

fn member(index: usize) -> Member {
    Member { host: format!("host-{index}").into(), incarnation: 1 }
}

fn host(index: usize, config: u64) -> HostEntry {
    HostEntry {
        member: member(index),
        address: "10.0.0.1:8081".into(),
        domain: "kochi-a".into(),
        state: HostState::Live,
        journals: Vec::new(),
        config,
        added_revision: 1,
        is_settled: true,
        is_inherited: false,
    }
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn declarations_are_checked_without_a_connection() {
    let bench = Bench::new("check");
    bench.faults().set(Faults { down: Outage::Unavailable, ..Faults::default() });
    for example in [EXAMPLE, OTHER_EXAMPLE] {
        assert_eq!(bench.json(&["check", example])["teams"], 8);
    }
    let faulty = bench.edited("faulty.toml", "rate_per_s = 60", "rate_per_s = 0\nburts = 3");
    let output = bench.run(&["check", &faulty]);
    assert_eq!(code(&output), 2);
    let errors = errors(&output);
    assert!(errors.contains("faulty.toml:27: teams.malabar.rate_per_s: 0 "), "{errors}");
    assert!(errors.contains("faulty.toml:28: teams.malabar.burts: "), "{errors}");
    assert_eq!(code(&bench.run(&["check", "/no/such/file.toml"])), 2);
    assert_eq!(code(&bench.run(&["check"])), 2);
    assert_eq!(code(&bench.run(&["check", EXAMPLE, "--object-api", "here"])), 2);
    assert_eq!(code(&bench.run(&["--help"])), 0);
}

#[test]
fn versions_only_go_up() {
    let bench = Bench::new("versions");
    assert_eq!(bench.json(&["apply", EXAMPLE])["version"], 1);
    // The same content again is no change.
    let again = bench.json(&["apply", EXAMPLE]);
    assert_eq!((&again["version"], &again["change"]), (&json!(1), &Value::Null));
    assert_eq!(code(&bench.run(&["diff", EXAMPLE])), 0);

    let faster = bench.edited("faster.toml", "target = \"45s\"", "target = \"30s\"");
    assert_eq!(code(&bench.run(&["diff", &faster])), 8);
    assert_eq!(code(&bench.run(&["apply", &faster, "--if-version", "7"])), 3);
    let applied = bench.json(&["apply", &faster, "--if-version", "1"]);
    assert_eq!(
        (&applied["version"], &applied["changes"][0]["name"]),
        (&json!(2), &json!("counter"))
    );
    assert!(applied["change"].as_str().unwrap().starts_with("asha-"));

    let exported = bench.folder.join("exported.toml").display().to_string();
    assert_eq!(code(&bench.run(&["export", &exported])), 0);
    assert_eq!(code(&bench.run(&["diff", &exported])), 0);
    let earlier = bench.run(&["export", "--version", "1"]);
    assert!(String::from_utf8_lossy(&earlier.stdout).contains("target = \"45s\""));

    // A key that is withdrawn stays so, also when older content comes back.
    assert_eq!(bench.json(&["key", "withdraw", "malabar-till-1", "--yes"])["version"], 3);
    assert_eq!(code(&bench.run(&["rollback", "3"])), 2);
    let back = bench.json(&["rollback", "1", "--yes"]);
    assert_eq!((&back["version"], back["changes"].as_array().unwrap().len()), (&json!(4), 1));
    let keys = bench.json(&["key", "list"]);
    let is_withdrawn = |key: &&Value| key["is_withdrawn"] == true;
    assert_eq!(keys["keys"].as_array().unwrap().iter().filter(is_withdrawn).count(), 2);
}

#[test]
fn what_takes_something_away_asks_first() {
    let bench = Bench::new("asks");
    bench.json(&["apply", EXAMPLE]);
    let fewer = bench.edited("fewer.toml", "[teams.kannur-fort]", "[teams.kannur]");
    let fewer_keys = fs::read_to_string(&fewer).unwrap().replace("\"kannur-fort\"", "\"kannur\"");
    fs::write(&fewer, fewer_keys).unwrap();
    let commands: [&[&str]; 2] = [&["apply", &fewer], &["key", "withdraw", "malabar-till-1"]];
    for command in commands {
        assert_eq!(code(&bench.run(command)), 6, "{command:?}");
        assert_eq!(bench.json(&["status"])["config_version"], 1);
    }
    assert_eq!(bench.json(&["apply", &fewer, "--yes"])["version"], 2);
    assert_eq!(code(&bench.run(&["key", "withdraw", "nobody", "--yes"])), 1);
}

#[test]
fn a_secret_is_shown_once_and_kept_nowhere() {
    let bench = Bench::new("secret");
    bench.json(&["apply", EXAMPLE]);
    let granted = bench.json(&["key", "grant", "malabar-till-3", "--team", "malabar"]);
    let secret = granted["secret"].as_str().unwrap();
    let kept: Vec<Vec<u8>> =
        bench.store.keys("").iter().map(|key| bench.store.peek(key).unwrap().1).collect();
    let holds = |text: &str| kept.iter().any(|value| String::from_utf8_lossy(value).contains(text));
    assert!(holds(&hash_secret(secret)) && !holds(secret));
    let list = bench.json(&["key", "list"]).to_string();
    assert!(list.contains("malabar-till-3") && !list.contains(secret));

    let file = bench.folder.join("secret");
    fs::write(&file, format!("{secret}\n")).unwrap();
    let hash = bench.run(&["key", "hash", &file.display().to_string()]);
    assert_eq!(String::from_utf8(hash.stdout).unwrap().trim(), hash_secret(secret));
    let again = ["key", "grant", "malabar-till-3", "--team", "malabar"];
    assert_eq!(code(&bench.run(&again)), 1);
    assert_eq!(code(&bench.run(&["key", "grant", "x", "--team", "none"])), 1);
}

#[test]
fn a_lost_answer_changes_nothing_twice() {
    for every in [1, 2, 3] {
        let bench = Bench::new("lost");
        bench.faults().set(Faults { lose_answer_every: every, ..Faults::default() });
        let faster = bench.edited("faster.toml", "target = \"45s\"", "target = \"30s\"");
        assert_eq!(bench.json(&["apply", EXAMPLE])["version"], 1, "every {every}");
        assert_eq!(bench.json(&["apply", &faster])["version"], 2, "every {every}");
        let grant = ["key", "grant", "one-more", "--team", "malabar"];
        assert_eq!(bench.json(&grant)["version"], 3, "every {every}");
        let status = bench.json(&["status"]);
        assert_eq!(status["config_version"], 3, "every {every}");
    }
}

#[test]
fn a_store_that_is_down_is_told_from_an_unknown_outcome() {
    let bench = Bench::new("down");
    bench.json(&["apply", EXAMPLE]);
    let faster = bench.edited("faster.toml", "target = \"45s\"", "target = \"30s\"");
    for down in [Outage::Unavailable, Outage::Closed, Outage::Refused] {
        bench.faults().set(Faults { down, ..Faults::default() });
        let commands: [&[&str]; 3] = [&["apply", &faster], &["status"], &["diff", &faster]];
        thread::scope(|scope| {
            for command in commands {
                let bench = &bench;
                scope.spawn(move || {
                    let output = bench.run(command);
                    assert_eq!(code(&output), 4, "{down:?} {command:?}: {}", errors(&output));
                });
            }
        });
    }
    bench.faults().set(Faults::default());
    assert_eq!(bench.json(&["status"])["config_version"], 1);
}

#[test]
fn racing_operators_lose_openly_or_not_at_all() {
    let bench = Bench::new("race");
    bench.json(&["apply", EXAMPLE]);
    // Slow reads make all of them start from the same version.
    bench.faults().set(Faults { latency_ms: 20, ..Faults::default() });
    let files: Vec<String> = (1..=4)
        .map(|n| {
            let to = format!("target = \"{n}s\"");
            bench.edited(&format!("race-{n}.toml"), "target = \"45s\"", &to)
        })
        .collect();
    let outputs: Vec<Output> = thread::scope(|scope| {
        let runs: Vec<_> =
            files.iter().map(|file| scope.spawn(|| bench.run(&["apply", file]))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let accepted = outputs.iter().filter(|output| code(output) == 0).count() as u64;
    let lost: Vec<String> = outputs.iter().filter(|output| code(output) == 3).map(errors).collect();
    assert_eq!(accepted as usize + lost.len(), files.len());
    for text in lost {
        assert!(text.contains("came first") && text.contains("yours:"), "{text}");
    }
    assert_eq!(bench.json(&["status"])["config_version"], 1 + accepted);

    // Grants of different keys don't stand against each other.
    let names: Vec<String> = (1..=4).map(|n| format!("racer-{n}")).collect();
    thread::scope(|scope| {
        for name in &names {
            scope.spawn(|| bench.json(&["key", "grant", name, "--team", "malabar"]));
        }
    });
    let list = bench.json(&["key", "list"]).to_string();
    assert!(names.iter().all(|name| list.contains(name)), "{list}");
}

#[test]
fn a_wait_ends_when_every_live_host_has_the_version() {
    let bench = Bench::new("wait");
    bench.roster(&[0, 1, 0]);
    let output = bench.run(&["apply", EXAMPLE, "--wait", "--wait-ms", "1"]);
    assert_eq!(code(&output), 7);
    assert!(errors(&output).contains("host-0, host-2"), "{}", errors(&output));
    assert_eq!(bench.json(&["status"])["hosts_behind"], 2);

    let waiting = bench.command(&["apply", EXAMPLE, "--wait", "--output", "json"]).spawn().unwrap();
    bench.roster(&[1, 1, 2]);
    let output = waiting.wait_with_output().unwrap();
    assert_eq!(code(&output), 0, "{}", errors(&output));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["in_force_on"], 3);
}

#[test]
fn a_drain_names_one_incarnation_and_outlives_other_changes() {
    let bench = Bench::new("drain");
    bench.json(&["apply", EXAMPLE]);
    bench.roster(&[1, 1]);
    assert_eq!(code(&bench.run(&["drain", "host-7", "--yes"])), 1);
    assert_eq!(code(&bench.run(&["drain", "host-1"])), 6);
    let asked = bench.json(&["drain", "host-1", "--yes"]);
    assert_eq!((&asked["version"], &asked["is_drained"]), (&json!(2), &json!(false)));
    // The declarations know nothing of it and don't take it back.
    assert_eq!(code(&bench.run(&["diff", EXAMPLE])), 0);
    let faster = bench.edited("faster.toml", "target = \"45s\"", "target = \"30s\"");
    assert_eq!(bench.json(&["apply", &faster])["version"], 3);
    assert_eq!(bench.json(&["rollback", "1"])["version"], 4);
    let late = bench.run(&["drain", "host-1", "--yes", "--wait", "--wait-ms", "1"]);
    assert_eq!(code(&late), 7, "{}", errors(&late));
    // What was asked of a host that is gone is dropped with the next wish.
    bench.roster(&[4]);
    let mut waiting = bench.command(&["drain", "host-0", "--yes", "--wait"]).spawn().unwrap();
    let shard = loop {
        let manifest = bench.stored("config/manifest");
        if manifest["version"] == 5 {
            let hash = manifest["shards"][0]["hash"].as_str().unwrap().to_owned();
            break bench.stored(&format!("config/shard/{hash}"));
        }
        assert!(waiting.try_wait().unwrap().is_none(), "it waits until the host is gone");
        thread::yield_now();
    };
    assert_eq!(shard["draining"], json!({ "host-0": 1 }));
    bench.roster(&[]);
    let output = waiting.wait_with_output().unwrap();
    assert_eq!(code(&output), 0, "{}", errors(&output));
}

#[test]
fn programs_are_listed_from_their_journals() {
    let bench = Bench::new("programs");
    let member = json!({ "host": "host-0", "incarnation": 1 });
    let created = |program: &str| {
        json!({ "created": {
            "program": program, "parent": null, "team": "malabar", "class": "counter",
            "budget": { "turns": 1, "tokens": 1, "wall_ms": 1 }, "step": null, "created_ms": 5,
        }})
    };
    let entry = |seq: u64, takeover: Value, records: Value| {
        json!({
            "journal": "j", "seq": seq, "epoch": 1, "writer": member, "takeover": takeover,
            "records": records,
        })
    };
    let intended = json!({ "intended": {
        "program": "j.0123456789abcdef", "step": "s1", "request_hash": 1, "service": "desk",
    }});
    let ended = json!({ "ended": { "program": "j.ffffffffffffffff", "why": "done" } });
    bench.put("journal/j/000000000001", &entry(1, json!({}), json!([])));
    let records =
        json!([created("j.0123456789abcdef"), created("j.ffffffffffffffff"), intended, ended]);
    bench.put("journal/j/000000000002", &entry(2, Value::Null, records));
    let listed = bench.json(&["programs"]);
    let programs = listed["programs"].as_array().unwrap();
    assert_eq!(programs.len(), 1);
    assert_eq!(programs[0]["open_steps"], json!(["s1"]));
    assert_eq!(programs[0]["home"], "host-0");
    assert_eq!(bench.json(&["programs", "--all"])["programs"].as_array().unwrap().len(), 2);
    let other_team = bench.json(&["programs", "--all", "--team", "travancore"]);
    assert_eq!(other_team["programs"], json!([]));
}

#[test]
fn shells_and_manual_readers_are_served() {
    let bench = Bench::new("pages");
    for (command, expected) in [
        (vec!["completions", "bash"], "trefoilctl"),
        (vec!["completions", "zsh"], "#compdef trefoilctl"),
        (vec!["man"], ".TH trefoilctl"),
    ] {
        let output = bench.run(&command);
        assert_eq!(code(&output), 0);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(text.contains(expected), "{command:?}: {text}");
    }
}
