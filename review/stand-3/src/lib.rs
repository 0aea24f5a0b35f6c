//! What the cases share: the daemons as processes, the platform's part, clients, and the record.

use {
    serde_json::{Value, json},
    std::{
        collections::HashSet,
        fs::{self, File},
        io::{self, Read, Write},
        net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, ChildStderr, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Host name of all routes.
pub const ROUTES_HOST: &str = "shop.example";

/// The record of a case: what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Mutex::new(file) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.began.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        file.write_all(line.as_bytes()).expect("the record can be written");
        print!("{line}");
    }
}

/// Ends the case because it could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.line(format!("the case could not run: {why}"));
    std::process::exit(2)
}

/// Returns free ports of the loopback address, below the range of ports for outgoing connections.
pub fn free_ports(count: usize) -> Vec<u16> {
    static TAKEN: Mutex<Option<HashSet<u16>>> = Mutex::new(None);
    let mut taken = TAKEN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let taken = taken.get_or_insert_with(HashSet::new);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.subsec_nanos());
    let mut port = 10_000 + (seed ^ std::process::id()) % 20_000;
    let mut ports = Vec::new();
    while ports.len() < count {
        port = if port >= 31_000 { 10_000 } else { port + 1 };
        let number = port as u16;
        if !taken.contains(&number) && TcpListener::bind((Ipv4Addr::LOCALHOST, number)).is_ok() {
            taken.insert(number);
            ports.push(number);
        }
    }
    ports
}

/// What the settings file of a machine says.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    /// Whether it takes requests of clients. Others have a disk.
    pub is_edge: bool,
    pub memory_mb: u64,
    pub losses_max: usize,
    pub drain_ms: u64,
    pub store: SocketAddr,
    pub is_first_start: bool,
    pub seeds: Vec<SocketAddr>,
}

/// A machine with one process of the daemon.
pub struct Daemon {
    pub machine: Machine,
    pub ports: Vec<u16>,
    folder: PathBuf,
    process: Option<Child>,
    /// Whether standard error is a pipe, which [`Self::take_errors`] returns.
    pub has_error_pipe: bool,
}

impl Daemon {
    /// Prepares a machine. Its process is started by [`Self::start`].
    pub fn new(folder: &Path, machine: Machine) -> Self {
        let folder = folder.join(&machine.name);
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        Self { machine, ports: free_ports(4), folder, process: None, has_error_pipe: false }
    }

    fn address(&self, index: usize) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.ports[index]).into()
    }

    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        self.address(0)
    }

    pub fn metrics(&self) -> SocketAddr {
        self.address(2)
    }

    pub fn peers(&self) -> SocketAddr {
        self.address(3)
    }

    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Writes the settings file, as `deploy/settings.toml.in` has it, and starts the process.
    pub fn start(&mut self) {
        let Machine { name, zone, is_edge, memory_mb, losses_max, drain_ms, store, .. } =
            &self.machine;
        let listen = match is_edge {
            true => format!(
                "callers_listen = \"{}\"\nready_listen = \"{}\"\n",
                self.address(0),
                self.address(1)
            ),
            false => format!("data_folder = {:?}\n", self.data_folder()),
        };
        let seeds: Vec<String> = self.machine.seeds.iter().map(|seed| seed.to_string()).collect();
        let text = format!(
            "host = \"{name}\"\ndomain = \"{zone}\"\nip = \"127.0.0.1\"\n{listen}\
             metrics_port = {}\npeers_port = {}\nstore_address = \"{store}\"\n\
             store_history_s = 20\nseeds = {seeds:?}\nis_first_start = {}\nstop_grace_s = 8\n\
             memory_mb = {memory_mb}\ndisk_mb = 260\nlosses_max = {losses_max}\n\
             drain_ms = {drain_ms}\n",
            self.ports[2], self.ports[3], self.machine.is_first_start,
        );
        let settings = self.folder.join("settings.toml");
        fs::write(&settings, text).expect("the temporary folder is writable");
        fs::create_dir_all(self.data_folder()).expect("the temporary folder is writable");
        let log = |name: &str| {
            let file = File::options().create(true).append(true).open(self.folder.join(name));
            Stdio::from(file.expect("the temporary folder is writable"))
        };
        let root = std::env::var("PROJECT_ROOT").expect("run.sh sets PROJECT_ROOT");
        let child = Command::new(Path::new(&root).join("target/release/trefoilring"))
            .args(["serve", "--platform"])
            .arg(settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log("out.jsonl"))
            .stderr(if self.has_error_pipe { Stdio::piped() } else { log("err.log") })
            .spawn()
            .expect("the daemon was built");
        // run.sh ends what is left if the case itself is ended.
        if let Ok(path) = std::env::var("PROCESSES") {
            let file = File::options().create(true).append(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        self.process = Some(child);
        self.machine.is_first_start = false;
    }

    /// Returns the reading end of the pipe that is the process's standard error.
    pub fn take_errors(&mut self) -> Option<ChildStderr> {
        self.process.as_mut()?.stderr.take()
    }

    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.process_id() {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
        }
    }

    /// Returns the status of the readiness probe.
    pub fn is_ready(&self) -> bool {
        let answer = get(self.address(1), "/trefoilring/readyz", Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Returns the resident memory of the process in bytes, 0 if it does not run.
    pub fn resident_bytes(&self) -> u64 {
        self.process_id().map_or(0, resident_bytes)
    }

    pub fn wait_until_ready(&mut self, record: &Record) {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if !self.is_running() || Instant::now() > deadline {
                cannot_run(record, &format!("{} does not become ready", self.machine.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the last lines that the process has written to a log.
    pub fn log_tail(&self, name: &str, lines: usize) -> String {
        let text = fs::read_to_string(self.folder.join(name)).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(process: u32) -> u64 {
    let Ok(status) = fs::read_to_string(format!("/proc/{process}/status")) else { return 0 };
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

/// Sends a GET and returns all that comes until the connection ends or the time is over.
pub fn get(address: SocketAddr, path: &str, timeout: Duration) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// Header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came to its end as its framing says.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Reads one answer from a connection.
pub fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Answer {
    let mut answer = Answer::default();
    let mut bytes: Vec<u8> = Vec::new();
    let mut block = vec![0; 65536];
    let mut fill = |bytes: &mut Vec<u8>| -> bool {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return false;
        }
        match stream.read(&mut block) {
            Ok(count) if count > 0 => {
                bytes.extend_from_slice(&block[..count]);
                true
            }
            _ => false,
        }
    };
    let head_end = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        if !fill(&mut bytes) {
            return answer;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    answer.status = status.unwrap_or(0);
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            answer.headers.push((name.trim().to_lowercase(), value.trim().to_string()));
        }
    }
    bytes.drain(..head_end);
    if answer.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let Some(at) = find(&bytes, b"\r\n") else {
                if !fill(&mut bytes) {
                    return answer;
                }
                continue;
            };
            let size = String::from_utf8_lossy(&bytes[..at]).into_owned();
            let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            else {
                return answer;
            };
            while bytes.len() < at + 2 + size + 2 {
                if !fill(&mut bytes) {
                    return answer;
                }
            }
            answer.body.extend_from_slice(&bytes[at + 2..at + 2 + size]);
            bytes.drain(..at + 2 + size + 2);
            if size == 0 {
                answer.is_whole = true;
                return answer;
            }
        }
    }
    let length = answer.header("content-length").and_then(|value| value.parse::<usize>().ok());
    match length {
        Some(length) => {
            while bytes.len() < length {
                if !fill(&mut bytes) {
                    answer.body = bytes;
                    return answer;
                }
            }
            answer.is_whole = true;
        }
        None => {
            while fill(&mut bytes) {}
            answer.is_whole = true;
        }
    }
    answer.body = bytes;
    answer
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Sends a request on a new connection and reads its answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Answer {
    let deadline = Instant::now() + timeout;
    // Clients allow a new connection one second.
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(timeout));
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {ROUTES_HOST}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    if stream.write_all(head.as_bytes()).is_err() {
        return Answer::default();
    }
    // A host that refuses at the head closes after its answer, which is read in any case.
    let _ = stream.write_all(body);
    read_answer(&mut stream, deadline)
}

/// Returns the headers of a request.
pub fn headers(id: &str, key: &str, deadline_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("Trefoilring-Request-Id", id.to_string()),
        ("Trefoilring-Deadline-Ms", deadline_ms.to_string()),
        ("Authorization", format!("Token {key}")),
    ]
}

/// Returns the entry of a worker in the store.
pub fn worker_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    seq: u64,
) -> Value {
    json!({"service": service, "addr": address, "zone": zone, "version": "v1", "slots": 16,
           "state": state, "cold_left_ms": 0, "seq": seq})
}

/// Creates a temporary folder that is removed when this is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is writable");
        Self(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_FOLDER").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A request that a worker has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Instant,
    pub tenant: Option<String>,
    pub path: String,
    pub body_bytes: usize,
}

/// What a worker does with each request.
#[derive(Clone, Debug)]
pub struct Work {
    /// Time until its answer begins.
    pub time: Duration,
    /// Events of a stream; `None` for a plain answer.
    pub events: Option<usize>,
    /// Pause before each event.
    pub pause: Duration,
    /// Size of a plain answer.
    pub answer_bytes: usize,
}

/// A sound worker on loopback that runs each request once and keeps connections open.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    /// Whether it says in its answers that it leaves.
    pub is_leaving: Arc<AtomicBool>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Worker {
    pub fn start(id: &str, work: Work) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("it is bound");
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let is_leaving: Arc<AtomicBool> = Arc::default();
        let (worker, log, leaving) = (id.to_string(), runs.clone(), is_leaving.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, log, work) = (worker.clone(), log.clone(), work.clone());
                let leaving = leaving.clone();
                std::thread::spawn(move || serve_worker(stream, &worker, &log, &work, &leaving));
            }
        });
        Self { id: id.into(), address, is_leaving, runs }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

fn serve_worker(
    mut stream: TcpStream,
    worker: &str,
    log: &Mutex<Vec<Run>>,
    work: &Work,
    is_leaving: &AtomicBool,
) {
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    let mut block = vec![0; 65536];
    loop {
        let head_end = loop {
            if let Some(at) = find(&bytes, b"\r\n\r\n") {
                break at + 4;
            }
            match stream.read(&mut block) {
                Ok(count) if count > 0 => bytes.extend_from_slice(&block[..count]),
                _ => return,
            }
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
        bytes.drain(..head_end);
        let field = |wanted: &str| {
            head.lines().skip(1).find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case(wanted).then(|| value.trim().to_string())
            })
        };
        let length = field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let mut received = bytes.len();
        // The content of a body does not matter here.
        bytes.clear();
        while received < length {
            match stream.read(&mut block) {
                Ok(count) if count > 0 => received += count,
                _ => return,
            }
        }
        let id = field("trefoilring-request-id").unwrap_or_default();
        let expected = field("trefoilring-expect-instance");
        let mut start =
            format!("Trefoilring-Request-Id: {id}\r\nTrefoilring-Server-Load: 1,0,16\r\n");
        if is_leaving.load(Ordering::SeqCst) {
            start.push_str("Server-Leaving: 1\r\n");
        }
        if expected.is_some_and(|expected| expected != worker) {
            let head = format!("HTTP/1.1 421 Misdirected\r\n{start}Content-Length: 0\r\n\r\n");
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(Run {
            id: id.clone(),
            began: Instant::now(),
            tenant: field("trefoilring-tenant"),
            path,
            body_bytes: length,
        });
        std::thread::sleep(work.time);
        let start =
            format!("HTTP/1.1 200 OK\r\n{start}Trefoilring-Server-Stamp: {worker}.{id}\r\n");
        let Some(events) = work.events else {
            let size = work.answer_bytes;
            let head = format!("{start}Content-Length: {size}\r\n\r\n");
            let body = vec![b'y'; size];
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_err() {
                return;
            }
            continue;
        };
        let head =
            format!("{start}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let last = field("last-event-id").and_then(|id| id.parse::<usize>().ok()).unwrap_or(0);
        for number in last + 1..=events {
            std::thread::sleep(work.pause);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// What a machine's link may send, shared by all its connections.
pub struct Link {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn new(mbit_per_s: f64) -> Arc<Self> {
        Arc::new(Self { bytes_per_s: mbit_per_s * 125_000.0, free_at: Mutex::new(Instant::now()) })
    }

    /// Waits until the link has sent `bytes`.
    fn pass(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            let begins = (*free_at).max(Instant::now());
            *free_at = begins + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at
        };
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Starts a proxy to an address, through which the connecting side sends over `link`. Returns the
/// proxy's address.
pub fn start_proxy(to: SocketAddr, link: Arc<Link>) -> SocketAddr {
    start_duplex_proxy(to, link, None)
}

/// Like [`start_proxy`], and the connecting side receives over `back`.
pub fn start_duplex_proxy(to: SocketAddr, link: Arc<Link>, back: Option<Arc<Link>>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let (link, back) = (link.clone(), back.clone());
            std::thread::spawn(move || {
                let Ok(far) = TcpStream::connect(to) else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                std::thread::spawn(move || {
                    let pass = |bytes| back.as_ref().map_or((), |back| back.pass(bytes));
                    copy(far_back, near_back, pass);
                });
                copy(near, far, |bytes| link.pass(bytes));
            });
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream, pass: impl Fn(usize)) {
    let mut block = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut block)
        && count > 0
    {
        pass(count);
        if to.write_all(&block[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
