//! A small site: the project's daemons as processes, as the deploy file starts them, before
//! stand-ins of the platform's store and workers that run in this process.

use {
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    rand::RngExt,
    smol::{LocalExecutor, Timer},
    std::{
        cell::RefCell,
        fs::{self, File},
        future::Future,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
        rc::Rc,
        time::{Duration, Instant},
    },
    trefoilring_gateway::http::ConnectionPool,
    trefoilring_standin::fleet::client::READY_PATH,
};

/// The command of both roles in the deploy file, run in the repository root.
const PROGRAM: &str = "target/release/trefoilring";
/// Ports of a host: for callers, readiness, other hosts and metrics.
const PORTS_PER_HOST: usize = 4;
/// Below the kernel's range for outgoing connections.
const HOST_PORTS: std::ops::Range<u16> = 12_000..32_000;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The record of a run: what was sent, answered and run, with the time since the start.
pub struct Record {
    file: RefCell<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = RefCell::new(File::create(path).expect("the record can be written"));
        Self { file, began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        writeln!(self.file.borrow_mut(), "{at:8.3} {text}").expect("the record can be written");
    }

    /// Returns a moment as it stands in the record.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Writes a line that is also shown.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// One host of the site.
pub struct HostOptions {
    /// Address of the store, or of the view of the store that this host has.
    pub store: SocketAddr,
    pub serves_callers: bool,
    pub domain: &'static str,
}

struct Host {
    name: String,
    ports: Vec<u16>,
    /// Keep the ports free until the host starts.
    reserved: Vec<TcpListener>,
    options: HostOptions,
    process: Option<Child>,
}

/// The daemons of a site. All are killed when this is dropped.
pub struct Site {
    hosts: RefCell<Vec<Host>>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in self.hosts.get_mut() {
            if let Some(process) = &mut host.process {
                // Fails if the process has ended.
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        // What is left in the temporary folder does no harm.
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    /// Starts the hosts, and waits until all that serve callers are ready and know all others.
    pub async fn start(options: Vec<HostOptions>) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        if std::env::var_os("KEEP").is_some() {
            println!("logs in {}", folder.display());
        }
        let count = options.len();
        let mut hosts = Vec::new();
        for (number, options) in options.into_iter().enumerate() {
            let reserved = reserve_ports(PORTS_PER_HOST);
            let port = |listener: &TcpListener| listener.local_addr().expect("it is bound").port();
            hosts.push(Host {
                name: format!("host-{number}"),
                ports: reserved.iter().map(port).collect(),
                reserved,
                options,
                process: None,
            });
        }
        let site = Self { hosts: RefCell::new(hosts), folder };
        (0..count).for_each(|number| site.start_host(number));
        let line = format!("trefoilring.hosts {count}");
        let deadline = Instant::now() + START_TIMEOUT;
        for number in 0..count {
            let Some((ready, metrics)) = site.status_ports(number) else { continue };
            loop {
                let is_ready = smol::unblock(move || get(ready, READY_PATH)).await;
                let known = smol::unblock(move || get(metrics, "/metrics")).await;
                if is_ready.starts_with("HTTP/1.1 200") && known.contains(&line) {
                    break;
                }
                assert!(Instant::now() < deadline, "host {number} is not ready");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
        Timer::after(Duration::from_secs(2)).await;
        site
    }

    fn status_ports(&self, number: usize) -> Option<(u16, u16)> {
        let hosts = self.hosts.borrow();
        let host = &hosts[number];
        host.options.serves_callers.then(|| (host.ports[1], host.ports[3]))
    }

    fn start_host(&self, number: usize) {
        let mut hosts = self.hosts.borrow_mut();
        let host = &mut hosts[number];
        host.reserved.clear();
        let [callers, ready, peers, metrics] = host.ports[..] else { unreachable!("four ports") };
        let listen = match host.options.serves_callers {
            true => format!(
                "callers_listen = \"127.0.0.1:{callers}\"\nready_listen = \"127.0.0.1:{ready}\"\n"
            ),
            false => {
                format!("data_folder = {:?}\n", self.folder.join(format!("{}-data", host.name)))
            }
        };
        // As `deploy/settings.toml.in`, with the values of a small deployment.
        let text = format!(
            "host = \"{}\"\ndomain = \"{}\"\nip = \"127.0.0.1\"\n{listen}metrics_port = {metrics}\n\
             peers_port = {peers}\nstore_address = \"{}\"\nstore_history_s = 20\nseeds = []\n\
             is_first_start = true\nstop_grace_s = 8\nmemory_mb = 260\ndisk_mb = 260\n\
             losses_max = 1\n",
            host.name, host.options.domain, host.options.store,
        );
        let settings = self.folder.join(format!("{}.toml", host.name));
        fs::write(&settings, text).expect("the folder is writable");
        let output = |suffix: &str| {
            let path = self.folder.join(format!("{}.{suffix}", host.name));
            Stdio::from(File::create(path).expect("the folder is writable"))
        };
        let process = Command::new(PROGRAM)
            .args(["serve", "--platform"])
            .arg(settings)
            .stdout(output("jsonl"))
            .stderr(output("log"))
            .spawn()
            .expect("the program of the deploy file is built");
        host.process = Some(process);
    }

    pub fn callers_address(&self, number: usize) -> SocketAddr {
        ([127, 0, 0, 1], self.hosts.borrow()[number].ports[0]).into()
    }

    /// Returns the number of the host with this name.
    pub fn number_of(&self, name: &str) -> Option<usize> {
        self.hosts.borrow().iter().position(|host| host.name == name)
    }

    /// Sends a signal to a host.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(process) = &self.hosts.borrow()[number].process {
            let pid = process.id().to_string();
            // The shell has the command, which not every machine has as a program.
            let command = format!("kill -{signal} {pid}");
            let status = Command::new("bash").args(["-c", &command]).status();
            assert!(status.is_ok_and(|status| status.success()), "kill -{signal} {pid}");
        }
    }

    /// Kills a host.
    pub fn kill(&self, number: usize) {
        if let Some(mut process) = self.hosts.borrow_mut()[number].process.take() {
            process.kill().expect("the process can be killed");
            process.wait().expect("the process has ended");
        }
    }

    /// Starts a host again that was killed, with an empty disk if it has lost it.
    pub fn restart(&self, number: usize, has_lost_disk: bool) {
        if has_lost_disk {
            let folder = self.folder.join(format!("host-{number}-data"));
            let _ = fs::remove_dir_all(folder);
        }
        self.start_host(number);
    }

    /// Checks that no host has ended by itself.
    pub fn check_processes(&self) {
        for host in self.hosts.borrow_mut().iter_mut() {
            let Some(process) = &mut host.process else { continue };
            let ended = process.try_wait().expect("a child process");
            assert_eq!(ended, None, "{} ended by itself", host.name);
        }
    }
}

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    /// `None` if no head came.
    pub status: Option<StatusCode>,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub is_complete: bool,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.is_complete && self.status.is_some_and(|status| status.is_success())
    }

    /// Returns the pause that the answer asks for.
    pub fn retry_after(&self) -> Option<Duration> {
        let text = self.headers.get("retry-after")?.to_str().ok()?;
        Duration::try_from_secs_f64(text.parse().ok()?).ok()
    }
}

/// A client of all hosts.
pub struct Client {
    connections: ConnectionPool,
}

impl Client {
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Self { connections: ConnectionPool::new(executor.clone(), Duration::from_secs(1)) }
    }

    /// Sends a request, and leaves after `patience`: the connection is closed then.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Answer {
        let answer = RefCell::new(Answer::default());
        let exchange = async {
            let deadline = Instant::now() + patience * 2;
            let Ok(sent) = self.connections.send(address, request, deadline).await else { return };
            let (head, mut body) = sent.response.into_parts();
            {
                let mut answer = answer.borrow_mut();
                answer.status = Some(head.status);
                answer.headers = head.headers;
            }
            loop {
                match body.frame().await {
                    None => break,
                    Some(Err(_)) => return,
                    Some(Ok(frame)) => {
                        let data = frame.data_ref().map_or(&[][..], |data| data);
                        answer.borrow_mut().body.extend_from_slice(data);
                    }
                }
            }
            answer.borrow_mut().is_complete = true;
            self.connections.release(sent.connection);
        };
        let left = async {
            Timer::after(patience).await;
        };
        smol::future::or(exchange, left).await;
        answer.into_inner()
    }
}

/// Runs a case on an executor of its own.
pub fn run<T>(case: impl AsyncFnOnce(&Rc<LocalExecutor<'static>>) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(case(&executor)))
}

/// Runs futures at the same time.
pub async fn all<T>(futures: impl IntoIterator<Item = impl Future<Output = T>>) -> Vec<T> {
    futures_util::future::join_all(futures).await
}

/// Returns the answer to a request, or an empty text if none comes.
fn get(port: u16, path: &str) -> String {
    let mut answer = String::new();
    let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) else { return answer };
    let timeout = Some(Duration::from_secs(1));
    stream.set_read_timeout(timeout).expect("a timeout above zero");
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let asked = stream.write_all(request.as_bytes());
    match asked.and_then(|()| stream.read_to_string(&mut answer)) {
        Ok(_) => answer,
        Err(_) => String::new(),
    }
}

fn reserve_ports(count: usize) -> Vec<TcpListener> {
    let mut random = rand::rng();
    let mut reserved = Vec::new();
    while reserved.len() < count {
        let port = random.random_range(HOST_PORTS);
        reserved.extend(TcpListener::bind(("127.0.0.1", port)));
    }
    reserved
}
