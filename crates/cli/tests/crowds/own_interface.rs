//! One `trefoilring serve` process, which speaks the product's own interface, before stand-ins that run
//! in the test process.

use {
    crate::{
        memory::MemorySampler,
        process::{free_ports, own_address},
        site::{DESCRIPTOR_LIMIT, Usage, usage_of},
    },
    std::{
        env, fs,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    trefoilring_clients::UpstreamRecord,
    trefoilring_standin::{
        RunningStandin, ServerOptions, engine, hosts, objects, tool,
        {
            engine::EngineStandin, hosts::HostListStandin, objects::ObjectsStandin,
            tool::ToolStandin,
        },
    },
};

/// Largest body that callers may send.
pub const BODY_BYTES_MAX: usize = 1024 * 1024;
/// Size of the bodies of all requests together.
const BODIES_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Maximum number of callers' connections.
const CONNECTIONS_MAX: usize = 400;
/// Secret of a key whose hash the example declares.
pub const SECRET: &str = "demo-kaalachakra-malabar-till-1";
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kaalachakra.toml");
/// Timeout of all waits. Far above any expected wait.
const TIMEOUT: Duration = Duration::from_secs(60);

pub struct OwnSite {
    objects: RunningStandin<ObjectsStandin>,
    host_list: RunningStandin<HostListStandin>,
    engine: RunningStandin<EngineStandin>,
    tool: RunningStandin<ToolStandin>,
    process: Child,
    ports: Vec<u16>,
    folder: PathBuf,
}

impl Drop for OwnSite {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
        // What is left in the temporary folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl OwnSite {
    pub fn start() -> Self {
        let engine = engine::start(engine::Options::default()).expect("a port");
        let tool = tool::start(tool::Options::default()).expect("a port");
        let upstreams = vec![
            upstream("engine-1", "appraiser-llm", engine.address(), &["appraiser-7b"]),
            upstream("desk-1", "dealer-desk", tool.address(), &[]),
        ];
        let options = hosts::Options { server: ServerOptions::default(), upstreams };
        let host_list = hosts::start(options).expect("a port");
        let objects = objects::start(objects::Options::default()).expect("a port");
        let ports = free_ports(2);
        let folder = env::temp_dir().join(format!("crowd-{}-{}", std::process::id(), ports[0]));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let address = |port: u16| format!("{}:{port}", own_address());
        let log = fs::File::create(folder.join("host.log")).expect("the folder is writable");
        let process = Command::new("sh")
            .args(["-c", &format!("ulimit -n {DESCRIPTOR_LIMIT} && exec \"$@\""), "sh"])
            .arg(crate::site::binary())
            .args(["serve", "--host", "kochi-a-1", "--domain", "kochi-a"])
            .args(["--listen", &address(ports[0]), "--peer-listen", &address(ports[1])])
            .args(["--object-api", &objects.address().to_string()])
            .args(["--host-list", &host_list.address().to_string()])
            .args(["--max-body-bytes", &BODY_BYTES_MAX.to_string()])
            .args(["--max-bodies-bytes", &BODIES_BYTES_MAX.to_string()])
            .args(["--max-connections", &CONNECTIONS_MAX.to_string()])
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let site = Self { objects, host_list, engine, tool, process, ports, folder };
        site.apply_example();
        site.wait_until_served();
        site
    }

    pub fn callers(&self) -> SocketAddr {
        (own_address(), self.ports[0]).into()
    }

    pub fn peers(&self) -> SocketAddr {
        (own_address(), self.ports[1]).into()
    }

    /// Starts to sample the memory of the host.
    pub fn sample_memory(&self) -> MemorySampler {
        let upstreams = [
            self.objects.address(),
            self.host_list.address(),
            self.engine.address(),
            self.tool.address(),
        ];
        MemorySampler::start(self.process.id(), &self.ports, &upstreams.map(|one| one.port()))
    }

    /// Reads the use of memory and descriptors. Fails if the process has ended.
    pub fn usage(&mut self) -> Usage {
        usage_of(&mut self.process)
    }

    /// Waits until one ordinary request is answered.
    pub fn wait_until_served(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while !self.is_served() {
            assert!(Instant::now() < deadline, "no ordinary request is answered");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    fn is_served(&self) -> bool {
        let exchange = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect(self.callers())?;
            stream.set_read_timeout(Some(TIMEOUT))?;
            let head = request_head("POST /v1/programs", SECRET);
            let body = r#"{"class":"counter"}"#;
            let length = body.len();
            write!(stream, "{head}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        };
        exchange().is_ok_and(|answer| answer.starts_with("HTTP/1.1 201"))
    }

    fn apply_example(&self) {
        let output = Command::new(env!("CARGO_BIN_EXE_trefoilctl"))
            .args(["apply", EXAMPLE, "--wait", "--wait-ms", "60000"])
            .env("TREFOILRING_OBJECT_API", self.objects.address().to_string())
            .stdin(Stdio::null())
            .output()
            .expect("the program starts");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{error}");
    }
}

/// Returns the head of a request, without its framing headers and its last empty line.
pub fn request_head(start: &str, secret: &str) -> String {
    format!(
        "{start} HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer {secret}\r\n\
         Content-Type: application/json\r\n"
    )
}

fn upstream(name: &str, service: &str, address: SocketAddr, models: &[&str]) -> UpstreamRecord {
    UpstreamRecord {
        upstream: name.into(),
        service: service.into(),
        address,
        domain: "kochi-a".into(),
        is_leaving: false,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
    }
}
