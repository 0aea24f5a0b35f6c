//! One gateway process before stand-ins that run in the test process.

use {
    crate::{
        memory::MemorySampler,
        process::{free_ports, get, is_ready, own_address},
    },
    http::StatusCode,
    serde_json::Value,
    smol::{
        Task, Timer,
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    std::{
        env,
        fs::{self, File},
        io::{Read, Write},
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{
        EndlessPart, EndlessStandin, Pace, StoreStandin, WorkerFault, WorkerStandin, client, entry,
        heads,
    },
};

const TREFOILRING_BINARY: &str = env!("CARGO_BIN_EXE_trefoilring");
/// Names another binary to measure, such as a release build or an earlier version.
const BINARY_VARIABLE: &str = "TREFOILRING_CROWDS_BINARY";
/// Memory of the host, which its resident memory must stay below.
pub const MEMORY_MB: u64 = 64;
/// Descriptor limit of the process.
pub const DESCRIPTOR_LIMIT: usize = 2200;
/// Descriptors that the process may have open. The rest is for connections to upstreams, other hosts
/// and the store.
pub const DESCRIPTORS_MAX: usize = 2000;
/// Largest body that callers may send.
pub const BODY_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Size of the answers under `/large/`.
const LARGE_ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// Time that the crowd's requests have, in milliseconds. Above the duration of a crowd.
pub const DEADLINE_MS: u64 = 30_000;
/// Time that the worker takes for a request. The bodies of the requests are held meanwhile.
const WORK: Duration = Duration::from_secs(1);
/// Timeout of all waits. Far above any expected wait.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Unit of the processor times in `/proc`.
const TICK_US: f64 = 10_000.0;
const KEY: &str = "key-of-the-crowd";

/// The tests of this target run one at a time, because they load the machine.
static LOCK: Mutex<()> = Mutex::new(());

/// Waits until no other test of this target runs.
pub fn lock() -> MutexGuard<'static, ()> {
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

pub struct Site {
    store: StoreStandin,
    worker: WorkerStandin,
    large: SocketAddr,
    _answer_at_length: Task<()>,
    endless: EndlessStandin,
    process: Child,
    ports: Vec<u16>,
    folder: PathBuf,
}

/// What `/proc` says of the process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Peak of the resident memory alone.
    pub peak_mb: u64,
    pub resident_mb: u64,
    pub descriptors: usize,
}

impl Drop for Site {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
        // What is left in the temporary folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    pub async fn start(has_disk: bool) -> Self {
        let store = StoreStandin::start().await.expect("a port");
        let worker = WorkerStandin::start("i-1").await.expect("a port");
        worker.set_fault(WorkerFault::Slow(WORK));
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let large = listener.local_addr().expect("it is bound");
        let endless = EndlessStandin::start(None).await.expect("a port");
        endless.set_trouble(Some((EndlessPart::Events, Pace::Fast)));
        store.put("config", "main", configuration());
        store.put("servers", "i-1", worker.entry());
        for (service, address) in [("large", large), ("endless", endless.address)] {
            let mut record = entry(address, "ready");
            record["service"] = service.into();
            store.put("servers", service, record);
        }
        let ports = free_ports(4);
        let folder = env::temp_dir().join(format!("crowd-{}-{}", std::process::id(), ports[0]));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let process = start_process(&folder, &ports, store.address, has_disk);
        let site = Self {
            store,
            worker,
            large,
            _answer_at_length: smol::spawn(answer_at_length(listener)),
            endless,
            process,
            ports,
            folder,
        };
        site.wait_until_ready().await;
        site
    }

    pub fn callers(&self) -> SocketAddr {
        (own_address(), self.ports[0]).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (own_address(), self.ports[1]).into()
    }

    pub fn peers(&self) -> SocketAddr {
        (own_address(), self.ports[2]).into()
    }

    pub fn metrics(&self) -> SocketAddr {
        (own_address(), self.ports[3]).into()
    }

    async fn wait_until_ready(&self) {
        let (port, deadline) = (self.ports[1], Instant::now() + TIMEOUT);
        while !smol::unblock(move || is_ready(port)).await {
            assert!(Instant::now() < deadline, "the host is not ready");
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    /// Starts to sample the memory of the host.
    pub fn sample_memory(&self) -> MemorySampler {
        let upstreams = [self.store.address, self.worker.address, self.large, self.endless.address];
        MemorySampler::start(self.process.id(), &self.ports, &upstreams.map(|one| one.port()))
    }

    /// Reads the use of memory and descriptors. Fails if the process has ended.
    pub fn usage(&mut self) -> Usage {
        usage_of(&mut self.process)
    }

    /// Sends ordinary requests one after the other on one connection, with bodies of this size. Returns the
    /// processor time that the host took for each, in microseconds.
    pub async fn measure_requests(&self, count: usize, body_bytes: usize) -> f64 {
        self.worker.set_fault(WorkerFault::None);
        let mut stream = TcpStream::connect(self.callers()).await.expect("the host listens");
        let before = self.cpu_ticks();
        for number in 0..count {
            let head = request_head("/look/x", number);
            let body = "x".repeat(body_bytes);
            let request = format!("{head}Content-Length: {body_bytes}\r\n\r\n{body}");
            stream.write_all(request.as_bytes()).await.expect("the host reads");
            let (mut answer, mut block) = (Vec::new(), [0; 4096]);
            while !answer.ends_with(b"served by i-1") {
                let read = stream.read(&mut block).await.expect("an answer");
                assert!(read > 0, "{}", String::from_utf8_lossy(&answer));
                answer.extend_from_slice(&block[..read]);
            }
        }
        (self.cpu_ticks() - before) as f64 * TICK_US / count as f64
    }

    fn cpu_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id()));
        let stat = stat.expect("the process runs");
        let (_, fields) = stat.rsplit_once(") ").expect("the name ends");
        // Fields 14 and 15 are the user and the system time; the name is the second.
        let times = fields.split(' ').skip(11).take(2);
        times.map(|time| time.parse::<u64>().expect("a number")).sum()
    }

    /// Waits until one ordinary request is answered, and readiness and metrics are.
    pub async fn wait_until_served(&self) {
        let (address, ports) = (self.callers(), self.ports.clone());
        let deadline = Instant::now() + TIMEOUT;
        let is_served = move || {
            send_ordinary(address)
                && is_ready(ports[1])
                && get(ports[3], "/metrics").starts_with("HTTP/1.1 200")
        };
        while !smol::unblock(is_served.clone()).await {
            assert!(Instant::now() < deadline, "no ordinary request is answered");
            Timer::after(Duration::from_millis(100)).await;
        }
        assert!(self.store.calls() > 0);
    }
}

/// Reads the use of memory and descriptors of a process. Fails if it has ended.
pub fn usage_of(process: &mut Child) -> Usage {
    assert_eq!(process.try_wait().expect("a child process"), None, "the host has ended");
    let id = process.id();
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let field_mb = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("the field");
        let kb: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
        kb / 1024
    };
    let descriptors = fs::read_dir(format!("/proc/{id}/fd")).expect("the process runs").count();
    Usage { peak_mb: field_mb("VmHWM:"), resident_mb: field_mb("VmRSS:"), descriptors }
}

/// Returns the program to test.
pub fn binary() -> String {
    env::var(BINARY_VARIABLE).unwrap_or_else(|_| TREFOILRING_BINARY.into())
}

/// Returns the head of a request to a service, without its framing headers and its last empty line.
pub fn request_head(path: &str, number: usize) -> String {
    let id = format!("crowd-{number}");
    heads::request_head("POST", path, "soak.example", &id, DEADLINE_MS, KEY)
}

fn send_ordinary(address: SocketAddr) -> bool {
    let exchange = || -> std::io::Result<Vec<u8>> {
        let mut stream = std::net::TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        let head = request_head("/look/x", usize::MAX);
        write!(stream, "{head}Connection: close\r\nContent-Length: 5\r\n\r\nhello")?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(answer)
    };
    let status = StatusCode::OK.as_u16();
    exchange().is_ok_and(|answer| answer.starts_with(format!("HTTP/1.1 {status}").as_bytes()))
}

fn configuration() -> Value {
    let mut configuration = client::configuration(KEY);
    configuration["limits"]["max_body_bytes"] = BODY_BYTES_MAX.into();
    let routes = configuration["routes"].as_array_mut().expect("a list");
    for (like, service) in [(1, "large"), (0, "endless")] {
        let mut route = routes[like].clone();
        route["name"] = service.into();
        route["prefix"] = format!("/{service}/").into();
        route["service"] = service.into();
        routes.push(route);
    }
    for route in routes {
        route["timeout_ms"] = DEADLINE_MS.into();
    }
    let services = configuration["services"].as_array_mut().expect("a list");
    for name in ["large", "endless"] {
        let mut service = services[0].clone();
        service["name"] = name.into();
        services.push(service);
    }
    configuration
}

fn start_process(folder: &Path, ports: &[u16], store: SocketAddr, has_disk: bool) -> Child {
    let [callers, ready, peers, metrics] = ports[..] else { unreachable!("four ports") };
    let disk = match has_disk {
        true => format!("data_folder = {:?}\n", folder.join("data")),
        false => String::new(),
    };
    let ip = own_address();
    let text = format!(
        "host = \"host-1\"\ndomain = \"a\"\nip = \"{ip}\"\n\
         callers_listen = \"{ip}:{callers}\"\nready_listen = \"{ip}:{ready}\"\n\
         metrics_port = {metrics}\npeers_port = {peers}\nstore_address = \"{store}\"\n\
         store_history_s = 20\nseeds = []\nis_first_start = true\nstop_grace_s = 8\n\
         memory_mb = {MEMORY_MB}\n{disk}",
    );
    let settings = folder.join("host.toml");
    fs::write(&settings, text).expect("the folder is writable");
    let log = |name: &str| File::create(folder.join(name)).expect("the folder is writable");
    Command::new("sh")
        .args(["-c", &format!("ulimit -n {DESCRIPTOR_LIMIT} && exec \"$@\""), "sh"])
        .arg(binary())
        .args(["serve", "--platform"])
        .arg(settings)
        .stdout(Stdio::from(log("host.jsonl")))
        .stderr(Stdio::from(log("host.log")))
        .spawn()
        .expect("the program starts")
}

/// Answers each connection's request with [`LARGE_ANSWER_BYTES`].
async fn answer_at_length(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        // The host may close the connection at any time.
        smol::spawn(async move { drop(answer_once_at_length(stream).await) }).detach();
    }
}

async fn answer_once_at_length(mut stream: TcpStream) -> std::io::Result<()> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    let answer = format!(
        "{}Connection: close\r\nContent-Length: {LARGE_ANSWER_BYTES}\r\n\r\n{}",
        heads::answer_head(&head, "stamp-large"),
        "x".repeat(LARGE_ANSWER_BYTES),
    );
    stream.write_all(answer.as_bytes()).await
}
