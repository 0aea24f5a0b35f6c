//! Tests of the `trefoilctl` binary against a stand-in of the Object API.

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

/// A stand-in of the store, and a directory for files.
struct Fixture {
    store: RunningStandin<ObjectsStandin>,
    directory: PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        Self { store: start(Options::default()).unwrap(), directory }
    }

    fn control(&self) -> &Control {
        self.store.control()
    }

    /// Writes a copy of the example with `from` replaced by `to`, and returns its path.
    fn write_edited(&self, name: &str, from: &str, to: &str) -> String {
        let text = fs::read_to_string(EXAMPLE).unwrap();
        assert!(text.contains(from));
        let path = self.directory.join(name);
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

    /// Runs a command that must succeed and returns its JSON report.
    fn json(&self, arguments: &[&str]) -> Value {
        let output = self.run(&[arguments, &["--output", "json"]].concat());
        assert_eq!(exit_code(&output), 0, "{arguments:?}: {}", stderr_text(&output));
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

    /// Writes a roster with one host for each element of `versions`, which is the version that the
    /// host has in force.
    fn write_roster(&self, versions: &[u64]) {
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

/// Returns a host that has the version `config` in force.
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

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn declarations_are_checked_without_a_connection() {
    let fixture = Fixture::new("check");
    fixture.control().set(Faults { down: Outage::Unavailable, ..Faults::default() });
    for example in [EXAMPLE, OTHER_EXAMPLE] {
        assert_eq!(fixture.json(&["check", example])["teams"], 8);
    }
    let faulty =
        fixture.write_edited("faulty.toml", "rate_per_s = 60", "rate_per_s = 0\nburts = 3");
    let output = fixture.run(&["check", &faulty]);
    assert_eq!(exit_code(&output), 2);
    let messages = stderr_text(&output);
    assert!(messages.contains("faulty.toml:27: teams.malabar.rate_per_s: 0 "), "{messages}");
    assert!(messages.contains("faulty.toml:28: teams.malabar.burts: "), "{messages}");
    assert_eq!(exit_code(&fixture.run(&["check", "/no/such/file.toml"])), 2);
    assert_eq!(exit_code(&fixture.run(&["check"])), 2);
    assert_eq!(exit_code(&fixture.run(&["check", EXAMPLE, "--object-api", "here"])), 2);
    assert_eq!(exit_code(&fixture.run(&["--help"])), 0);
}

#[test]
fn each_change_creates_a_new_version() {
    let fixture = Fixture::new("versions");
    assert_eq!(fixture.json(&["apply", EXAMPLE])["version"], 1);
    // Applying the same content again creates no version.
    let again = fixture.json(&["apply", EXAMPLE]);
    assert_eq!((&again["version"], &again["change"]), (&json!(1), &Value::Null));
    assert_eq!(exit_code(&fixture.run(&["diff", EXAMPLE])), 0);

    let faster = fixture.write_edited("faster.toml", "target = \"45s\"", "target = \"30s\"");
    assert_eq!(exit_code(&fixture.run(&["diff", &faster])), 8);
    assert_eq!(exit_code(&fixture.run(&["apply", &faster, "--if-version", "7"])), 3);
    let applied = fixture.json(&["apply", &faster, "--if-version", "1"]);
    assert_eq!(
        (&applied["version"], &applied["changes"][0]["name"]),
        (&json!(2), &json!("counter"))
    );
    assert!(applied["change"].as_str().unwrap().starts_with("asha-"));

    let exported = fixture.directory.join("exported.toml").display().to_string();
    assert_eq!(exit_code(&fixture.run(&["export", &exported])), 0);
    assert_eq!(exit_code(&fixture.run(&["diff", &exported])), 0);
    let earlier = fixture.run(&["export", "--version", "1"]);
    assert!(String::from_utf8_lossy(&earlier.stdout).contains("target = \"45s\""));

    // A withdrawn key stays withdrawn after a rollback to an earlier version.
    assert_eq!(fixture.json(&["key", "withdraw", "malabar-till-1", "--yes"])["version"], 3);
    assert_eq!(exit_code(&fixture.run(&["rollback", "3"])), 2);
    let rolled_back = fixture.json(&["rollback", "1", "--yes"]);
    assert_eq!(
        (&rolled_back["version"], rolled_back["changes"].as_array().unwrap().len()),
        (&json!(4), 1)
    );
    let keys = fixture.json(&["key", "list"]);
    let is_withdrawn = |key: &&Value| key["is_withdrawn"] == true;
    assert_eq!(keys["keys"].as_array().unwrap().iter().filter(is_withdrawn).count(), 2);
}

#[test]
fn destructive_commands_require_confirmation() {
    let fixture = Fixture::new("asks");
    fixture.json(&["apply", EXAMPLE]);
    let fewer = fixture.write_edited("fewer.toml", "[teams.kannur-fort]", "[teams.kannur]");
    let fewer_keys = fs::read_to_string(&fewer).unwrap().replace("\"kannur-fort\"", "\"kannur\"");
    fs::write(&fewer, fewer_keys).unwrap();
    let commands: [&[&str]; 2] = [&["apply", &fewer], &["key", "withdraw", "malabar-till-1"]];
    for command in commands {
        assert_eq!(exit_code(&fixture.run(command)), 6, "{command:?}");
        assert_eq!(fixture.json(&["status"])["config_version"], 1);
    }
    assert_eq!(fixture.json(&["apply", &fewer, "--yes"])["version"], 2);
    assert_eq!(exit_code(&fixture.run(&["key", "withdraw", "nobody", "--yes"])), 1);
}

#[test]
fn a_secret_is_printed_once_and_not_stored() {
    let fixture = Fixture::new("secret");
    fixture.json(&["apply", EXAMPLE]);
    let granted = fixture.json(&["key", "grant", "malabar-till-3", "--team", "malabar"]);
    let secret = granted["secret"].as_str().unwrap();
    let stored: Vec<Vec<u8>> =
        fixture.store.keys("").iter().map(|key| fixture.store.peek(key).unwrap().1).collect();
    let store_contains =
        |text: &str| stored.iter().any(|value| String::from_utf8_lossy(value).contains(text));
    assert!(store_contains(&hash_secret(secret)) && !store_contains(secret));
    let list = fixture.json(&["key", "list"]).to_string();
    assert!(list.contains("malabar-till-3") && !list.contains(secret));

    let file = fixture.directory.join("secret");
    fs::write(&file, format!("{secret}\n")).unwrap();
    let hash = fixture.run(&["key", "hash", &file.display().to_string()]);
    assert_eq!(String::from_utf8(hash.stdout).unwrap().trim(), hash_secret(secret));
    let again = ["key", "grant", "malabar-till-3", "--team", "malabar"];
    assert_eq!(exit_code(&fixture.run(&again)), 1);
    assert_eq!(exit_code(&fixture.run(&["key", "grant", "x", "--team", "none"])), 1);
}

#[test]
fn a_change_is_applied_once_despite_lost_responses() {
    for every in [1, 2, 3] {
        let fixture = Fixture::new("lost");
        fixture.control().set(Faults { lose_answer_every: every, ..Faults::default() });
        let faster = fixture.write_edited("faster.toml", "target = \"45s\"", "target = \"30s\"");
        assert_eq!(fixture.json(&["apply", EXAMPLE])["version"], 1, "every {every}");
        assert_eq!(fixture.json(&["apply", &faster])["version"], 2, "every {every}");
        let grant = ["key", "grant", "one-more", "--team", "malabar"];
        assert_eq!(fixture.json(&grant)["version"], 3, "every {every}");
        let status = fixture.json(&["status"]);
        assert_eq!(status["config_version"], 3, "every {every}");
    }
}

#[test]
fn an_unavailable_store_is_distinguished_from_an_unknown_outcome() {
    let fixture = Fixture::new("down");
    fixture.json(&["apply", EXAMPLE]);
    let faster = fixture.write_edited("faster.toml", "target = \"45s\"", "target = \"30s\"");
    for down in [Outage::Unavailable, Outage::Closed, Outage::Refused] {
        fixture.control().set(Faults { down, ..Faults::default() });
        let commands: [&[&str]; 3] = [&["apply", &faster], &["status"], &["diff", &faster]];
        thread::scope(|scope| {
            for command in commands {
                let fixture = &fixture;
                scope.spawn(move || {
                    let output = fixture.run(command);
                    assert_eq!(
                        exit_code(&output),
                        4,
                        "{down:?} {command:?}: {}",
                        stderr_text(&output)
                    );
                });
            }
        });
    }
    fixture.control().set(Faults::default());
    assert_eq!(fixture.json(&["status"])["config_version"], 1);
}

#[test]
fn concurrent_changes_are_applied_or_report_a_conflict() {
    let fixture = Fixture::new("race");
    fixture.json(&["apply", EXAMPLE]);
    // Slow reads make all commands start from the same version.
    fixture.control().set(Faults { latency_ms: 20, ..Faults::default() });
    let files: Vec<String> = (1..=4)
        .map(|n| {
            let to = format!("target = \"{n}s\"");
            fixture.write_edited(&format!("race-{n}.toml"), "target = \"45s\"", &to)
        })
        .collect();
    let outputs: Vec<Output> = thread::scope(|scope| {
        let runs: Vec<_> =
            files.iter().map(|file| scope.spawn(|| fixture.run(&["apply", file]))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let accepted = outputs.iter().filter(|output| exit_code(output) == 0).count() as u64;
    let conflicts: Vec<String> =
        outputs.iter().filter(|output| exit_code(output) == 3).map(stderr_text).collect();
    assert_eq!(accepted as usize + conflicts.len(), files.len());
    for text in conflicts {
        assert!(text.contains("came first") && text.contains("yours:"), "{text}");
    }
    assert_eq!(fixture.json(&["status"])["config_version"], 1 + accepted);

    // Grants of different keys do not conflict.
    let names: Vec<String> = (1..=4).map(|n| format!("racer-{n}")).collect();
    thread::scope(|scope| {
        for name in &names {
            scope.spawn(|| fixture.json(&["key", "grant", name, "--team", "malabar"]));
        }
    });
    let list = fixture.json(&["key", "list"]).to_string();
    assert!(names.iter().all(|name| list.contains(name)), "{list}");
}

#[test]
fn a_wait_ends_when_every_live_host_has_the_version() {
    let fixture = Fixture::new("wait");
    fixture.write_roster(&[0, 1, 0]);
    let output = fixture.run(&["apply", EXAMPLE, "--wait", "--wait-ms", "1"]);
    assert_eq!(exit_code(&output), 7);
    assert!(stderr_text(&output).contains("host-0, host-2"), "{}", stderr_text(&output));
    assert_eq!(fixture.json(&["status"])["hosts_behind"], 2);

    let waiting =
        fixture.command(&["apply", EXAMPLE, "--wait", "--output", "json"]).spawn().unwrap();
    fixture.write_roster(&[1, 1, 2]);
    let output = waiting.wait_with_output().unwrap();
    assert_eq!(exit_code(&output), 0, "{}", stderr_text(&output));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["in_force_on"], 3);
}

#[test]
fn a_drain_request_applies_to_one_incarnation_and_is_kept_by_other_changes() {
    let fixture = Fixture::new("drain");
    fixture.json(&["apply", EXAMPLE]);
    fixture.write_roster(&[1, 1]);
    assert_eq!(exit_code(&fixture.run(&["drain", "host-7", "--yes"])), 1);
    assert_eq!(exit_code(&fixture.run(&["drain", "host-1"])), 6);
    let requested = fixture.json(&["drain", "host-1", "--yes"]);
    assert_eq!((&requested["version"], &requested["is_drained"]), (&json!(2), &json!(false)));
    // Declarations do not contain drain requests, so applying them does not cancel one.
    assert_eq!(exit_code(&fixture.run(&["diff", EXAMPLE])), 0);
    let faster = fixture.write_edited("faster.toml", "target = \"45s\"", "target = \"30s\"");
    assert_eq!(fixture.json(&["apply", &faster])["version"], 3);
    assert_eq!(fixture.json(&["rollback", "1"])["version"], 4);
    let timed_out = fixture.run(&["drain", "host-1", "--yes", "--wait", "--wait-ms", "1"]);
    assert_eq!(exit_code(&timed_out), 7, "{}", stderr_text(&timed_out));
    // The next drain request removes those for hosts that have left.
    fixture.write_roster(&[4]);
    let mut waiting = fixture.command(&["drain", "host-0", "--yes", "--wait"]).spawn().unwrap();
    let shard = loop {
        let manifest = fixture.stored("config/manifest");
        if manifest["version"] == 5 {
            let hash = manifest["shards"][0]["hash"].as_str().unwrap().to_owned();
            break fixture.stored(&format!("config/shard/{hash}"));
        }
        assert!(waiting.try_wait().unwrap().is_none(), "the command waits until the host has left");
        thread::yield_now();
    };
    assert_eq!(shard["draining"], json!({ "host-0": 1 }));
    fixture.write_roster(&[]);
    let output = waiting.wait_with_output().unwrap();
    assert_eq!(exit_code(&output), 0, "{}", stderr_text(&output));
}

#[test]
fn programs_are_listed_from_their_journals() {
    let fixture = Fixture::new("programs");
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
    fixture.put("journal/j/000000000001", &entry(1, json!({}), json!([])));
    let records =
        json!([created("j.0123456789abcdef"), created("j.ffffffffffffffff"), intended, ended]);
    fixture.put("journal/j/000000000002", &entry(2, Value::Null, records));
    let listed = fixture.json(&["programs"]);
    let programs = listed["programs"].as_array().unwrap();
    assert_eq!(programs.len(), 1);
    assert_eq!(programs[0]["open_steps"], json!(["s1"]));
    assert_eq!(programs[0]["home"], "host-0");
    assert_eq!(fixture.json(&["programs", "--all"])["programs"].as_array().unwrap().len(), 2);
    let other_team = fixture.json(&["programs", "--all", "--team", "travancore"]);
    assert_eq!(other_team["programs"], json!([]));
}

#[test]
fn completions_and_the_manual_page_are_printed() {
    let fixture = Fixture::new("pages");
    for (command, expected) in [
        (vec!["completions", "bash"], "trefoilctl"),
        (vec!["completions", "zsh"], "#compdef trefoilctl"),
        (vec!["man"], ".TH trefoilctl"),
    ] {
        let output = fixture.run(&command);
        assert_eq!(exit_code(&output), 0);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(text.contains(expected), "{command:?}: {text}");
    }
}
