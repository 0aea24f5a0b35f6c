//! The processes of a small deployment, started with the commands of `deploy/system.toml`.

use crate::{client, random, record::Record, store::Store};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

const PROGRAM: &str = "target/release/trefoilring";

/// The settings that a case chooses. The others are those of a small deployment.
pub struct Options {
    pub losses_max: usize,
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: String,
    is_edge: bool,
    process: Option<Child>,
    starts: usize,
}

pub struct Site {
    root: PathBuf,
    folder: PathBuf,
    /// Addresses begin with it, so that runs don't meet.
    network: String,
    ports: [u16; 4],
    pub store: Store,
    pub machines: Vec<Machine>,
    options: Options,
    next_ip: usize,
}

/// Ids of the processes that run, and the temporary folder.
static STARTED: Mutex<(Vec<u32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends the case, as one that could not run, and the processes that it has started.
pub fn give_up(reason: &str) -> ! {
    println!("can't run: {reason}");
    let (pids, folder) = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for pid in pids {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    if let Some(folder) = folder {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(2)
}

impl Site {
    /// Starts a store without machines. The current folder is that of the repository.
    pub fn new(options: Options) -> Self {
        let root = std::env::current_dir().unwrap_or_else(|_| give_up("no current folder"));
        if !root.join(PROGRAM).exists() {
            give_up("target/release/trefoilring is missing; build it first");
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        if fs::create_dir_all(&folder).is_err() {
            give_up("no temporary folder");
        }
        STARTED.lock().unwrap().1 = Some(folder.clone());
        for _ in 0..50 {
            let network = format!("127.{}.{}", 20 + random() % 200, random() % 250);
            let first = 21000 + (random() % 9000) as u16;
            let ports = [first, first + 1, first + 2, first + 3];
            let is_free = |ip: usize| {
                let bound = |port| TcpListener::bind(format!("{network}.{ip}:{port}")).is_ok();
                ports.into_iter().all(bound)
            };
            if !(1..40).all(is_free) {
                continue;
            }
            let Ok(store) = Store::start(&format!("{network}.200:0")) else { continue };
            let machines = Vec::new();
            return Self { root, folder, network, ports, store, machines, options, next_ip: 1 };
        }
        give_up("no free addresses")
    }

    /// Returns an address for a stand-in.
    pub fn stand_in_ip(&self) -> String {
        format!("{}.201", self.network)
    }

    /// Adds a machine, without starting it. Returns its number.
    pub fn add(&mut self, name: &str, zone: &str, is_edge: bool) -> usize {
        let ip = format!("{}.{}", self.network, self.next_ip);
        self.next_ip += 1;
        let (name, zone) = (name.into(), zone.into());
        self.machines.push(Machine { name, zone, ip, is_edge, process: None, starts: 0 });
        self.machines.len() - 1
    }

    /// Returns the folder that stands for the disk of a machine.
    pub fn data_folder(&self, machine: usize) -> PathBuf {
        self.folder.join(&self.machines[machine].name).join("data")
    }

    /// Starts the process of a machine. `bootstrap` is true only when the whole system starts first.
    pub fn start(&mut self, machine: usize, bootstrap: bool) {
        let data = self.data_folder(machine);
        let [front, ready, metrics, peers] = self.ports;
        let store = self.store.address();
        let losses_max = self.options.losses_max;
        let seeds: Vec<String> =
            (1..=3).map(|n| format!("\"{}.{n}:{front}\"", self.network)).collect();
        let one = &mut self.machines[machine];
        let own = self.folder.join(&one.name);
        let _ = fs::create_dir_all(&own);
        let (name, zone, ip) = (&one.name, &one.zone, &one.ip);
        let kind = match one.is_edge {
            true => format!(
                "callers_listen = \"{ip}:{front}\"\nready_listen = \"{ip}:{ready}\"\n\
                 memory_mb = 110\ndisk_mb = 0\n"
            ),
            false => {
                let _ = fs::create_dir_all(&data);
                format!("data_folder = {data:?}\nmemory_mb = 120\ndisk_mb = 260\n")
            }
        };
        let settings = format!(
            "host = \"{name}\"\ndomain = \"{zone}\"\nip = \"{ip}\"\nmetrics_port = {metrics}\n\
             peers_port = {peers}\nstore_address = \"{store}\"\nstore_history_s = 20\n\
             seeds = [{}]\nis_first_start = {bootstrap}\nstop_grace_s = 8\n\
             losses_max = {losses_max}\n{kind}",
            seeds.join(", ")
        );
        let path = own.join("settings.toml");
        if fs::write(&path, settings).is_err() {
            give_up("can't write settings");
        }
        one.starts += 1;
        let log = |kind: &str| {
            let log = File::create(own.join(format!("{kind}-{}.log", one.starts)));
            log.map(Stdio::from).unwrap_or_else(|_| Stdio::null())
        };
        let started = Command::new(self.root.join(PROGRAM))
            .args(["serve", "--platform"])
            .arg(&path)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("err"))
            .spawn();
        match started {
            Ok(process) => {
                STARTED.lock().unwrap().0.push(process.id());
                one.process = Some(process);
            }
            Err(error) => give_up(&format!("the process does not start: {error}")),
        }
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, machine: usize) {
        if let Some(mut process) = self.machines[machine].process.take() {
            let _ = process.kill();
            let _ = process.wait();
            STARTED.lock().unwrap().0.retain(|pid| *pid != process.id());
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: usize, signal: &str) {
        if let Some(process) = &self.machines[machine].process {
            let pid = process.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        }
    }

    /// Deletes the disk of a machine whose process is down.
    pub fn wipe(&self, machine: usize) {
        let _ = fs::remove_dir_all(self.data_folder(machine));
    }

    /// Returns the address for clients of a machine.
    pub fn front(&self, machine: usize) -> SocketAddr {
        self.address(machine, self.ports[0])
    }

    fn address(&self, machine: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.machines[machine].ip).parse().expect("an address")
    }

    pub fn is_ready(&self, machine: usize) -> bool {
        let address = self.address(machine, self.ports[1]);
        let host = [("Host", address.to_string())];
        let wait = Duration::from_secs(1);
        client::send(address, "GET", "/trefoilring/readyz", &host, b"", wait).status == 200
    }

    /// Waits until all edge machines are ready, and then as long as the platform does before traffic.
    pub fn wait_until_ready(&self, record: &Record) {
        let deadline = Instant::now() + Duration::from_secs(15);
        for machine in 0..self.machines.len() {
            while self.machines[machine].is_edge && !self.is_ready(machine) {
                if Instant::now() >= deadline {
                    give_up("the machines don't get ready");
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // The platform starts traffic ten seconds after the machines.
        thread::sleep(Duration::from_secs(6));
        record.write("all machines are ready");
    }

    /// Names the machines whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for machine in &mut self.machines {
            if let Some(process) = &mut machine.process
                && let Ok(Some(status)) = process.try_wait()
            {
                ended.push(format!("{} ({status})", machine.name));
            }
        }
        ended
    }

    /// Returns the folder with the processes' logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in 0..self.machines.len() {
            self.kill(machine);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the size of the files in a folder and those below it.
pub fn size_of(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = entries.map(|entry| match entry.metadata() {
        Ok(data) if data.is_dir() => size_of(&entry.path()),
        Ok(data) => data.len(),
        Err(_) => 0,
    });
    sizes.sum()
}
