//! A site with three `trefoilring serve` processes. The stand-ins of the platform and the upstreams
//! run in the test process.

pub mod agent;

use {
    smol::{Timer, stream::StreamExt},
    std::{
        fs::{self, File},
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    trefoilring_clients::{ObjectApi, UpstreamRecord},
    trefoilring_config::{
        declarations::{Declarations, RawDeclarations},
        secret::hash_secret,
    },
    trefoilring_site::deploy,
    trefoilring_standin::{
        RunningStandin,
        engine::{self, EngineStandin},
        hosts::{self, HostListStandin},
        objects::{self, ObjectsStandin},
        tool::{self, ToolStandin},
    },
};

/// Timeout of all waits. It is generous because the tests do not check latency.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(180);
/// The key's secret. It must occur only in the callers' own requests.
pub const SECRET: &str = "planted-secret-5d81c0";
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TREFOILRING_BINARY: &str = env!("CARGO_BIN_EXE_trefoilring");
/// Number of model engines.
const ENGINE_COUNT: usize = 4;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

const DECLARATIONS: &str = r#"
[classes.quick]
target = "30s"
budget = { turns = 10000, tokens = 100000000, wall = "1h" }

[teams.north]
rate_per_s = 500
burst_requests = 1000

[services.llm]
kind = "engine"
models = ["m"]
deadline = "60s"

[services.desk]
kind = "tool"
deadline = "20s"
"#;

/// The site. Dropping it kills the processes that it started.
pub struct Site {
    pub objects: RunningStandin<ObjectsStandin>,
    host_list: RunningStandin<HostListStandin>,
    pub engines: Vec<RunningStandin<EngineStandin>>,
    pub tool: Arc<RunningStandin<ToolStandin>>,
    hosts: Arc<Mutex<Vec<HostProcess>>>,
    directory: PathBuf,
}

/// One `trefoilring serve` process. Dropping it kills the process.
struct HostProcess {
    name: String,
    child: Child,
    caller_address: SocketAddr,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Site {
    /// Starts all stand-ins and hosts, and waits until every host is ready.
    pub async fn start(name: &str, time_scale: f64) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::remove_dir_all(&directory).ok();
        fs::create_dir_all(&directory).unwrap();
        let options = engine::Options { time_scale, ..engine::Options::default() };
        let site = Self {
            objects: objects::start(objects::Options::default()).unwrap(),
            host_list: hosts::start(hosts::Options::default()).unwrap(),
            engines: (0..ENGINE_COUNT).map(|_| engine::start(options.clone()).unwrap()).collect(),
            tool: Arc::new(tool::start(tool::Options::default()).unwrap()),
            hosts: Arc::default(),
            directory,
        };
        site.register_upstreams();
        site.watch_for_secret();
        site.apply_declarations().await;
        for domain in DOMAINS {
            site.start_host(&format!("host-{domain}"), domain);
        }
        site.wait_until_ready().await;
        site
    }

    /// Waits until every running host accepts callers.
    pub async fn wait_until_ready(&self) {
        for address in self.addresses() {
            until("a ready host", || is_ready(address)).await;
        }
    }

    /// Returns the addresses on which the running hosts listen for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.lock().unwrap().iter().map(|host| host.caller_address).collect()
    }

    /// Returns the number of calls that have reached the home of their program, over all running
    /// hosts.
    pub fn calls_received(&self) -> u64 {
        let received = |address| {
            let metrics = get(address, "/metrics");
            let value =
                |line: &str| line.strip_prefix("trefoilring.event.call_received ")?.parse().ok();
            metrics.lines().find_map(value).unwrap_or(0)
        };
        self.addresses().into_iter().map(received).sum::<u64>()
    }

    /// Returns a function that returns the current addresses of the hosts. Callers use it while the
    /// test starts and stops hosts.
    pub fn entry_addresses(&self) -> agent::EntryAddresses {
        let hosts = self.hosts.clone();
        Arc::new(move || hosts.lock().unwrap().iter().map(|host| host.caller_address).collect())
    }

    /// Returns a function that returns whether the service has executed a step, given its
    /// idempotency key.
    pub fn has_run(&self) -> agent::HasRun {
        let tool = self.tool.clone();
        Arc::new(move |key| tool.runs().by_key.contains_key(key))
    }

    /// Sends a signal to the host in a domain.
    pub fn signal(&self, domain: &str, signal: &str) {
        let hosts = self.hosts.lock().unwrap();
        let host = hosts.iter().find(|host| host.name.ends_with(domain)).unwrap();
        let pid = host.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &pid]).status().unwrap();
        assert!(status.success(), "kill -{signal} {pid}");
    }

    /// Kills the host in a domain and removes it from the site.
    pub fn kill(&self, domain: &str) {
        self.hosts.lock().unwrap().retain(|host| !host.name.ends_with(domain));
    }

    /// Waits until the process of the host in a domain exits. Removes the host and returns the exit
    /// code.
    pub async fn wait_for_exit(&self, domain: &str) -> Option<i32> {
        let position = |hosts: &[HostProcess]| {
            hosts.iter().position(|host| host.name.ends_with(domain)).unwrap()
        };
        let mut host = {
            let mut hosts = self.hosts.lock().unwrap();
            let index = position(&hosts);
            hosts.remove(index)
        };
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = host.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "{} did not exit", host.name);
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Starts or restarts a host.
    pub fn start_host(&self, name: &str, domain: &str) {
        let events = self.directory.join(format!("{name}.events"));
        let log = self.directory.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let mut child = Command::new(TREFOILRING_BINARY)
            .arg("serve")
            .args(["--host", name, "--domain", domain])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--object-api", &self.objects.address().to_string()])
            .args(["--host-list", &self.host_list.address().to_string()])
            .args(["--heartbeat-ms", "200", "--lease-ms", "1000", "--traffic-threads", "1"])
            .args(["--log-level", "debug", "--event-log"])
            .arg(events)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let caller_address = line.split(' ').nth(1).and_then(|address| address.parse().ok());
        let caller_address = caller_address.unwrap_or_else(|| panic!("{name} printed {line:?}"));
        let host = HostProcess { name: name.into(), child, caller_address };
        self.hosts.lock().unwrap().push(host);
    }

    /// Checks that the secret occurs in no upstream request, stored value, log or event log.
    pub fn check_secret_does_not_leak(&self) {
        let controls =
            self.engines.iter().map(RunningStandin::control).chain([self.tool.control()]);
        assert_eq!(
            controls.map(|control| control.planted_seen()).sum::<u64>(),
            0,
            "the secret was sent to an upstream"
        );
        for key in self.objects.keys("") {
            let value = self.objects.peek(&key).map(|(_, value)| value).unwrap_or_default();
            assert!(!contains(&value, SECRET) && !key.contains(SECRET), "object {key}");
        }
        let mut files = 0;
        for entry in fs::read_dir(&self.directory).unwrap() {
            let path = entry.unwrap().path();
            assert!(!contains(&fs::read(&path).unwrap(), SECRET), "{}", path.display());
            files += 1;
        }
        assert_eq!(files, 2 * DOMAINS.len(), "a log and an event log of each host");
    }

    /// Makes the upstreams count the requests that contain the secret.
    fn watch_for_secret(&self) {
        for control in self.engines.iter().map(RunningStandin::control).chain([self.tool.control()])
        {
            control.change(|faults| faults.planted = SECRET.into());
        }
    }

    fn register_upstreams(&self) {
        let record = |upstream: String, service: &str, domain: &str, address| UpstreamRecord {
            upstream: upstream.into(),
            service: service.into(),
            address,
            domain: domain.into(),
            is_leaving: false,
            models: vec!["m".into()],
        };
        for (number, engine) in self.engines.iter().enumerate() {
            let name = format!("llm-{number}");
            self.host_list.add(record(
                name,
                "llm",
                DOMAINS[number % DOMAINS.len()],
                engine.address(),
            ));
        }
        self.host_list.add(record("desk-0".into(), "desk", "c", self.tool.address()));
    }

    async fn apply_declarations(&self) {
        let hash = hash_secret(SECRET);
        let text = format!("{DECLARATIONS}\n[keys.north-1]\nteam = \"north\"\nhash = \"{hash}\"\n");
        let raw = RawDeclarations { file: "test", text: &text };
        let catalog = Declarations::try_from(raw).unwrap().into_catalog(0);
        deploy(&ObjectApi::new(self.objects.address(), TEST_TIMEOUT), &catalog, "test")
            .await
            .unwrap();
    }
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes.windows(text.len()).any(|window| window == text.as_bytes())
}

/// Sends a blocking GET request to a host and returns the response; empty if the request fails.
fn get(address: SocketAddr, path: &str) -> String {
    use std::io::{Read, Write};
    let mut response = String::new();
    let Ok(mut stream) = std::net::TcpStream::connect(address) else { return response };
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let read =
        stream.write_all(request.as_bytes()).and_then(|()| stream.read_to_string(&mut response));
    read.map_or_else(|_| String::new(), |_| response)
}

/// Returns whether `/readyz` of a host returns status 200.
fn is_ready(address: SocketAddr) -> bool {
    get(address, "/readyz").starts_with("HTTP/1.1 200")
}

/// Waits until a condition holds. Panics after [`TEST_TIMEOUT`].
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut ticks = Timer::interval(POLL_INTERVAL);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        ticks.next().await;
    }
}
