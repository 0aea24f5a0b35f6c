//! A gateway process that is suspended while operators evacuate a failure domain.

use {
    serde_json::{Value, json},
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::{StoreStandin, WorkerStandin, client, heads},
};

const KEY: &str = "key-of-team";
/// Requests that wait for the process when it is resumed.
const REQUESTS: usize = 24;
/// Longer than a watch of the store, so that no answer with the entry waits for the process.
const BEFORE_ENTRY: Duration = Duration::from_millis(2200);
/// Timeout of each wait, far above any expected wait.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Gateway(Child);

impl Gateway {
    /// Starts a process. Returns it with its address for callers.
    fn start(store: SocketAddr) -> (Self, SocketAddr) {
        let settings = format!(
            "host = \"host-0\"\ndomain = \"a\"\nip = \"127.0.0.1\"\ncallers_listen = \"127.0.0.1:0\"\n\
             metrics_port = 0\npeers_port = 0\nstore_address = \"{store}\"\nstore_history_s = 20\n\
             seeds = []\nis_first_start = true\nstop_grace_s = 8\nmemory_mb = 110\nevac_ms = 5000\n",
        );
        let path = std::env::temp_dir().join(format!("evacuation-{}.toml", std::process::id()));
        std::fs::write(&path, settings).expect("the temporary folder is writable");
        let mut process = Command::new(env!("CARGO_BIN_EXE_trefoilring"))
            .args(["serve", "--platform"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(process.stdout.take().expect("it is piped")).lines();
        let (sender, started) = std::sync::mpsc::channel();
        // The lines are read to the end, so that the process is not held up.
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let line: Value = serde_json::from_str(&line).unwrap_or_default();
                if line["kind"] == "start" {
                    // Fails if the test has ended.
                    let _ = sender.send(line["callers"].as_str().map(str::to_string));
                }
            }
        });
        let address = started.recv_timeout(TIMEOUT).expect("the process says its address");
        std::fs::remove_file(path).expect("the file was written");
        let address = address.and_then(|address| address.parse().ok()).expect("an address");
        (Self(process), address)
    }

    fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        assert!(status.expect("kill runs").success(), "kill -{signal} {pid}");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends a request whose answer is read later.
fn send(address: SocketAddr, id: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the kernel accepts connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout above zero");
    let id = format!("{id:016x}");
    let head = heads::request_head("GET", "/look/x", "soak.example", &id, 3000, KEY);
    let request = format!("{head}Connection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("the kernel takes a small request");
    stream
}

fn status(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    // An answer that breaks off says nothing.
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1).unwrap_or_default().to_string()
}

/// Guards against requests to an evacuated domain in the time until a resumed process has read the
/// store.
#[test]
fn process_that_was_suspended_over_an_evacuation_sends_nothing_there() {
    smol::block_on(async {
        let store = StoreStandin::start().await.expect("a port");
        store.put("config", "main", client::configuration(KEY));
        let mut workers = Vec::new();
        for zone in ["a", "b"] {
            let worker = WorkerStandin::start(&format!("i-{zone}")).await.expect("a port");
            let mut entry = worker.entry();
            (entry["zone"], entry["slots"]) = (zone.into(), REQUESTS.into());
            store.put("servers", &format!("i-{zone}"), entry);
            workers.push(worker);
        }
        let (gateway, address) = Gateway::start(store.address);
        let deadline = Instant::now() + TIMEOUT;
        let mut id = 0;
        while workers[0].arrivals().is_empty() {
            assert!(Instant::now() < deadline, "the process serves no request");
            id += 1;
            smol::unblock(move || status(send(address, id))).await;
        }
        gateway.signal("STOP");
        smol::Timer::after(BEFORE_ENTRY).await;
        store.put("evacuations", "a", json!({}));
        let before = workers[0].arrivals().len();
        let sent: Vec<TcpStream> = (1..=REQUESTS).map(|more| send(address, id + more)).collect();
        smol::Timer::after(Duration::from_millis(100)).await;
        gateway.signal("CONT");
        let served = sent.into_iter().map(|stream| smol::unblock(|| status(stream)));
        let served = futures_util::future::join_all(served).await;
        assert_eq!(workers[0].arrivals().len(), before, "requests reached the evacuated zone");
        assert_eq!(served, vec!["200"; REQUESTS]);
    });
}
