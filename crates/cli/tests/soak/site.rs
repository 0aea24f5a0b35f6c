//! A site of gateway processes before stand-ins that run in the test process.

use {
    super::{
        TIMEOUT,
        process::{free_ports, get, is_ready, own_address},
    },
    smol::Timer,
    std::{
        cell::RefCell,
        fs::{self, File},
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{
        EndlessPart, EndlessStandin, LinkFault, LinkProxy, Pace, PoolOptions, RecordedRequest,
        StoreFault, StoreStandin, WorkerFault, WorkerPool, client, entry,
    },
};

const TREFOILRING_BINARY: &str = env!("CARGO_BIN_EXE_trefoilring");
/// Hosts that serve callers.
pub const GATEWAYS: usize = 3;
/// Hosts that reach workers through proxies, and can be cut off from all of them.
const PROXIED_GATEWAYS: usize = 2;
/// Software versions of the workers. Two of each serve at the start.
pub const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// Hosts with a data folder that serve no callers.
const LEDGER_HOSTS: usize = 3;
pub const HOSTS: usize = GATEWAYS + LEDGER_HOSTS;
pub const WORKERS: usize = 6;
/// Text in the body of requests that crash workers.
pub const CRASHING: &str = "crashing";
/// Time that healthy workers take for a request.
pub const WORK: Duration = Duration::from_millis(10);
pub const HEALTHY: WorkerFault = WorkerFault::CrashesOn(CRASHING, WORK);
/// Time within which a host must stop after SIGTERM.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Ports of a host: for callers, readiness, other hosts and metrics.
const PORTS_PER_HOST: usize = 4;
/// Key of the only team.
pub const KEY: &str = "key-of-the-soak";

pub struct Site {
    pub store: StoreStandin,
    /// The store as the first hosts see it, which reach workers through proxies.
    proxied_store: StoreStandin,
    /// Between the hosts and the store, first for the hosts behind proxies.
    store_links: [LinkProxy; 2],
    pub pool: WorkerPool,
    /// A worker whose answers have no end. Registered only while that fault is in force.
    endless: EndlessStandin,
    hosts: RefCell<Vec<Host>>,
    folder: PathBuf,
}

struct Host {
    name: String,
    ports: Vec<u16>,
    /// `None` while the host is down.
    process: Option<Child>,
    is_paused: bool,
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            // Fails if the process has ended.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Site {
    pub async fn start(seed: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        println!("logs in {}", folder.display());
        let store = StoreStandin::start().await.expect("a port");
        store.put("config", "main", client::configuration(KEY));
        let options = PoolOptions {
            size: WORKERS,
            fault: HEALTHY,
            restart_delay: Duration::from_millis(500),
            versions: &VERSIONS,
        };
        let pool = WorkerPool::start(&store, options).await.expect("ports");
        let proxied_store = store.open_view(pool.proxied_addresses()).await.expect("a port");
        let store_links = [
            LinkProxy::start(proxied_store.address).await.expect("a port"),
            LinkProxy::start(store.address).await.expect("a port"),
        ];
        let ports = free_ports(HOSTS * PORTS_PER_HOST);
        let hosts = ports
            .chunks(PORTS_PER_HOST)
            .enumerate()
            .map(|(number, ports)| Host {
                name: format!("host-{number}"),
                ports: ports.to_vec(),
                process: None,
                is_paused: false,
            })
            .collect();
        let endless = EndlessStandin::start(None).await.expect("a port");
        let hosts = RefCell::new(hosts);
        let site = Self { store, proxied_store, store_links, pool, endless, hosts, folder };
        (0..HOSTS).for_each(|host| site.start_host(host));
        site.wait_until_ready().await;
        site.wait_until_acquainted().await;
        site
    }

    /// Waits until all gateways know all hosts. The platform starts traffic ten seconds after its
    /// machines have started for the first time.
    async fn wait_until_acquainted(&self) {
        let ports: Vec<u16> =
            self.hosts.borrow()[..GATEWAYS].iter().map(|host| host.ports[3]).collect();
        let line = format!("trefoilring.hosts {HOSTS}");
        let deadline = Instant::now() + TIMEOUT;
        for port in ports {
            while !smol::unblock(move || get(port, "/metrics")).await.contains(&line) {
                assert!(Instant::now() < deadline, "the host at port {port} misses others");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
        Timer::after(Duration::from_secs(2)).await;
    }

    /// Starts a host that is down, at its former addresses.
    pub fn start_host(&self, host: usize) {
        let is_first_start = !self.folder.join(format!("host-{host}.toml")).exists();
        let mut hosts = self.hosts.borrow_mut();
        let host_state = &mut hosts[host];
        assert!(host_state.process.is_none());
        let settings = self.write_settings(host, host_state, is_first_start);
        let log_path = self.folder.join(format!("{}.log", host_state.name));
        let log = File::options().create(true).append(true).open(log_path);
        let lines_path = self.folder.join(format!("{}.jsonl", host_state.name));
        let lines = File::options().create(true).append(true).open(lines_path);
        let mut process = Command::new(TREFOILRING_BINARY)
            .args(["serve", "--platform"])
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(log.expect("the folder is writable"))
            .spawn()
            .expect("the program starts");
        let stdout = BufReader::new(process.stdout.take().expect("it is piped"));
        let mut lines = lines.expect("the folder is writable");
        thread::spawn(move || {
            use std::io::Write;
            for line in stdout.lines().map_while(Result::ok) {
                writeln!(lines, "{line}").expect("the folder is writable");
            }
        });
        host_state.process = Some(process);
        host_state.is_paused = false;
    }

    fn write_settings(&self, number: usize, host: &Host, is_first_start: bool) -> PathBuf {
        let [callers, ready, peers, metrics] = host.ports[..] else { unreachable!("four ports") };
        let ip = own_address();
        let listen = match number < GATEWAYS {
            true => {
                format!("callers_listen = \"{ip}:{callers}\"\nready_listen = \"{ip}:{ready}\"\n")
            }
            false => {
                format!("data_folder = {:?}\n", self.data_folder(host))
            }
        };
        let text = format!(
            "host = \"{}\"\ndomain = \"{}\"\nip = \"{ip}\"\n{listen}metrics_port = {metrics}\n\
             peers_port = {peers}\nstore_address = \"{}\"\nstore_history_s = 20\nseeds = []\n\
             is_first_start = {is_first_start}\nstop_grace_s = {}\nmemory_mb = 110\n",
            host.name,
            ["a", "b", "c"][number % 3],
            self.store_links[usize::from(number >= PROXIED_GATEWAYS)].address,
            STOP_GRACE.as_secs(),
        );
        let path = self.folder.join(format!("{}.toml", host.name));
        fs::write(&path, text).expect("the folder is writable");
        path
    }

    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.borrow();
        hosts[..GATEWAYS].iter().map(|host| (own_address(), host.ports[0]).into()).collect()
    }

    pub fn runs(&self) -> Vec<RecordedRequest> {
        self.pool.runs()
    }

    /// Sends a signal to a host, if it runs.
    pub fn signal(&self, host: usize, signal: &str) {
        if let Some(process) = &self.hosts.borrow()[host].process {
            let pid = process.id().to_string();
            let status = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
            assert!(status.expect("kill runs").success(), "kill -{signal} {pid}");
        }
    }

    /// Pauses a host, if it runs.
    pub fn pause(&self, host: usize) {
        self.signal(host, "STOP");
        self.hosts.borrow_mut()[host].is_paused = true;
    }

    /// Resumes a host, if it is paused.
    pub fn resume(&self, host: usize) {
        if std::mem::take(&mut self.hosts.borrow_mut()[host].is_paused) {
            self.signal(host, "CONT");
        }
    }

    /// Kills a host, if it runs.
    pub fn kill(&self, host: usize) {
        if let Some(mut process) = self.hosts.borrow_mut()[host].process.take() {
            process.kill().expect("the process can be killed");
            process.wait().expect("the process has ended");
        }
    }

    /// Deletes the data folder of a ledger host that is down.
    pub fn delete_data(&self, host: usize) {
        let folder = self.data_folder(&self.hosts.borrow()[host]);
        if folder.exists() {
            fs::remove_dir_all(folder).expect("the folder is writable");
        }
    }

    fn data_folder(&self, host: &Host) -> PathBuf {
        self.folder.join(format!("{}-data", host.name))
    }

    /// Stops a host gracefully, if it runs, and waits for its end.
    pub async fn stop_host(&self, host: usize) {
        self.signal(host, "TERM");
        // A paused host stops once it goes on.
        self.resume(host);
        let Some(mut process) = self.hosts.borrow_mut()[host].process.take() else { return };
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = process.try_wait().expect("a child process") {
                return assert!(status.success(), "host {host} ended with {status}");
            }
            assert!(Instant::now() < deadline, "host {host} does not stop");
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Returns whether a host runs.
    pub fn is_up(&self, host: usize) -> bool {
        self.hosts.borrow()[host].process.is_some()
    }

    /// Checks that no host has ended by itself.
    pub fn check_processes(&self) {
        for host in self.hosts.borrow_mut().iter_mut() {
            let Some(process) = &mut host.process else { continue };
            let ended = process.try_wait().expect("a child process");
            assert_eq!(ended, None, "{} ended by itself", host.name);
        }
    }

    /// Registers a worker whose answers have no end, or removes it.
    pub fn set_endless(&self, trouble: Option<(EndlessPart, Pace)>) {
        self.endless.set_trouble(trouble);
        match trouble {
            Some(_) => self.store.put("servers", "endless", entry(self.endless.address, "ready")),
            None => self.store.remove("servers", "endless"),
        }
    }

    /// Sets the fault of the store for all hosts.
    pub fn set_store_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
        self.proxied_store.set_fault(fault);
    }

    /// Sets the fault of the links between the hosts and the store.
    pub fn set_store_link_fault(&self, fault: LinkFault) {
        self.store_links.iter().for_each(|link| link.set_fault(fault));
    }

    /// Closes all connections between the hosts and the store.
    pub fn reset_store_links(&self) {
        self.store_links.iter().for_each(LinkProxy::reset);
    }

    /// Ends all faults and starts the hosts that are down.
    pub async fn end_faults(&self) {
        self.set_store_fault(StoreFault::None);
        self.set_store_link_fault(LinkFault::None);
        self.pool.set_link_fault(LinkFault::None);
        (0..WORKERS).for_each(|worker| self.pool.set_fault(worker, HEALTHY));
        (0..WORKERS).for_each(|worker| self.pool.set_rate_limit(worker, None));
        self.set_endless(None);
        for host in 0..HOSTS {
            self.resume(host);
            if !self.is_up(host) {
                self.start_host(host);
            }
        }
        self.wait_until_workers_run().await;
    }

    pub async fn wait_until_workers_run(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while !self.pool.is_complete() {
            assert!(Instant::now() < deadline, "the workers don't restart");
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    pub async fn wait_until_ready(&self) {
        let ports: Vec<u16> =
            self.hosts.borrow()[..GATEWAYS].iter().map(|host| host.ports[1]).collect();
        let deadline = Instant::now() + TIMEOUT;
        for port in ports {
            while !smol::unblock(move || is_ready(port)).await {
                self.check_processes();
                assert!(Instant::now() < deadline, "the host at port {port} is not ready");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }

    /// Stops all hosts gracefully.
    pub async fn stop(&self) {
        self.check_processes();
        for host in 0..HOSTS {
            self.signal(host, "TERM");
        }
        for host in 0..HOSTS {
            self.stop_host(host).await;
        }
    }

    /// Deletes the logs of a run without a failure.
    pub fn succeed(&self) {
        // What is left in the temporary folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
