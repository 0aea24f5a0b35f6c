//! Crowds of callers that make a host hold much: real `trefoilring serve --platform` processes whose
//! resident memory and descriptors must stay below their limits, and that must answer an ordinary
//! request afterwards. Neither times nor the share of requests that are served are checked.
//!
//! The crowds are small because the limits in the tests' settings are low. A test that is a guard
//! passed before the host accounted for its memory.

#[path = "../support/process.rs"]
mod process;
mod site;

use {
    site::{BODY_BYTES_MAX, DEADLINE_MS, DESCRIPTORS_MAX, MEMORY_MB, Site, Usage, request_head},
    smol::{Task, Timer, io::AsyncWriteExt, net::TcpStream},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    trefoilring_standin::fleet::heads,
};

/// How long a crowd may take to send, at most. Members whose bytes are not read stay where they are.
const CROWD_DURATION_MAX: Duration = Duration::from_secs(10);
/// How long the host's peak must stay the same until the crowd leaves. What was sent may not have been
/// read yet.
const HOLD: Duration = Duration::from_secs(1);
/// How long a crowd stays, at most.
const HOLD_MAX: Duration = Duration::from_secs(20);
/// Size of a body sent a byte short of its declared size.
const SHORT: usize = BODY_BYTES_MAX - 1;

/// What each member of a crowd sends: blocks and how often, one after the other.
type Script = Vec<(Arc<Vec<u8>>, usize)>;

/// A number of connections that send, keep open and never read.
struct Crowd {
    address: SocketAddr,
    size: usize,
    script: fn(usize) -> Script,
}

impl Crowd {
    fn join(&self, done: &Arc<AtomicUsize>) -> Vec<Task<()>> {
        let members = (0..self.size).map(|number| {
            let (address, script, done) = (self.address, (self.script)(number), done.clone());
            smol::spawn(async move {
                // The host may refuse or close any of them.
                let connection = send(address, script).await;
                done.fetch_add(1, Ordering::SeqCst);
                std::future::pending::<()>().await;
                drop(connection);
            })
        });
        members.collect()
    }
}

async fn send(address: SocketAddr, script: Script) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    for (block, count) in script {
        for _ in 0..count {
            stream.write_all(&block).await?;
        }
    }
    Ok(stream)
}

fn bytes(text: impl Into<Vec<u8>>) -> (Arc<Vec<u8>>, usize) {
    (Arc::new(text.into()), 1)
}

fn repeated(text: impl Into<Vec<u8>>, count: usize) -> (Arc<Vec<u8>>, usize) {
    (Arc::new(text.into()), count)
}

fn declared(path: &str, number: usize, size: usize) -> (Arc<Vec<u8>>, usize) {
    bytes(format!("{}Content-Length: {size}\r\n\r\n", request_head(path, number)))
}

fn chunked(number: usize) -> (Arc<Vec<u8>>, usize) {
    bytes(format!("{}Transfer-Encoding: chunked\r\n\r\n", request_head("/do/x", number)))
}

fn short_body(number: usize) -> Script {
    vec![declared("/do/x", number, BODY_BYTES_MAX), bytes(vec![b'x'; SHORT])]
}

fn tiny_chunks(number: usize) -> Script {
    vec![chunked(number), repeated("1\r\nx\r\n".repeat(1000), 170)]
}

fn half_head(number: usize) -> Script {
    vec![bytes(format!("{}X-Long: {}", request_head("/do/x", number), "x".repeat(15_000)))]
}

/// Runs crowds at the same time at a host and checks what is left of it.
fn check(crowds: impl FnOnce(&Site) -> Vec<Crowd>) {
    check_at(false, crowds);
}

fn check_at(has_disk: bool, crowds: impl FnOnce(&Site) -> Vec<Crowd>) {
    let _lock = site::lock();
    smol::block_on(async {
        let mut site = Site::start(has_disk).await;
        let before = site.usage();
        let (crowds, done) = (crowds(&site), Arc::new(AtomicUsize::default()));
        let size: usize = crowds.iter().map(|crowd| crowd.size).sum();
        let members: Vec<_> = crowds.iter().flat_map(|crowd| crowd.join(&done)).collect();
        let end = Instant::now() + CROWD_DURATION_MAX;
        while done.load(Ordering::SeqCst) < size && Instant::now() < end {
            Timer::after(Duration::from_millis(20)).await;
        }
        let during = wait_until_read(&mut site).await;
        drop(members);
        site.wait_until_served().await;
        let after = site.usage();
        println!(
            "peak {} MB; resident: {} MB before, {} MB with the crowd, {} MB after; {} descriptors",
            after.peak_mb,
            before.resident_mb,
            during.resident_mb,
            after.resident_mb,
            during.descriptors
        );
        assert!(after.peak_mb < MEMORY_MB, "{} MB resident", after.peak_mb);
        assert!(during.descriptors <= DESCRIPTORS_MAX, "{} descriptors", during.descriptors);
    });
}

/// Waits until the host has read what it reads of a crowd.
async fn wait_until_read(site: &mut Site) -> Usage {
    let end = Instant::now() + HOLD_MAX;
    loop {
        let before = site.usage();
        Timer::after(HOLD).await;
        let usage = site.usage();
        let is_over = usage.peak_mb >= MEMORY_MB || Instant::now() >= end;
        if usage.peak_mb == before.peak_mb || is_over {
            return usage;
        }
    }
}

fn check_callers(size: usize, script: fn(usize) -> Script) {
    check(|site| vec![Crowd { address: site.callers(), size, script }]);
}

/// Guards against bodies that are held for as long as their last byte is missing.
#[test]
fn declared_bodies_one_byte_short() {
    check_callers(60, short_body);
}

/// As above, piece by piece.
#[test]
fn declared_bodies_in_pieces() {
    check_callers(60, |number| {
        let mut script = vec![declared("/do/x", number, BODY_BYTES_MAX)];
        script.push(repeated(vec![b'x'; 16 * 1024], BODY_BYTES_MAX / (16 * 1024) - 1));
        script
    });
}

/// Guards against whole bodies that are held, more than once each, while their requests wait.
#[test]
fn whole_bodies() {
    check_callers(60, |number| {
        vec![declared("/do/x", number, BODY_BYTES_MAX), bytes(vec![b'x'; BODY_BYTES_MAX])]
    });
}

/// Guards against bodies without a declared size that are held without an account.
#[test]
fn large_chunks_without_end() {
    check_callers(60, |number| {
        let chunk = format!("{:x}\r\n{}\r\n", 60_000, "x".repeat(60_000));
        vec![chunked(number), repeated(chunk, SHORT / 60_000)]
    });
}

/// Guards against the cost of a frame for each byte.
#[test]
fn chunks_of_one_byte_without_end() {
    check_callers(20, tiny_chunks);
}

/// As above. Extensions and trailers are no part of the body.
#[test]
fn tiny_chunks_with_extensions_and_trailers() {
    check_callers(20, |number| {
        let mut script = vec![chunked(number), repeated("1;name=value\r\nx\r\n", 500)];
        script.push(repeated("1\r\nx\r\n".repeat(1000), 170));
        script.push(bytes("0\r\nX-Trailer: value\r\nX-Trailer: val"));
        script
    });
}

/// Guards against reading what can't be served.
#[test]
fn bodies_far_over_the_limit_declared() {
    check_callers(60, |number| {
        vec![declared("/do/x", number, 900_000_000), repeated(vec![b'x'; 64 * 1024], 100)]
    });
}

/// As above, where the size shows only at the limit.
#[test]
fn bodies_far_over_the_limit_chunked() {
    check_callers(60, |number| {
        let chunk = format!("{:x}\r\n{}\r\n", 60_000, "x".repeat(60_000));
        vec![chunked(number), repeated(chunk, 110)]
    });
}

/// Guards against an account that counts only bodies near their end.
#[test]
fn many_callers_with_a_quarter_of_a_body() {
    check_callers(400, |number| {
        vec![declared("/do/x", number, BODY_BYTES_MAX), bytes(vec![b'x'; BODY_BYTES_MAX / 4])]
    });
}

/// Guards against the same at the port for other hosts.
#[test]
fn bodies_at_the_port_for_other_hosts() {
    check(|site| vec![Crowd { address: site.peers(), size: 60, script: short_body }]);
}

/// Guards against the same at a host that passes requests on for others.
#[test]
fn bodies_at_a_helper() {
    check(|site| {
        let script = |number| {
            let head = request_head("/do/x", number);
            let head = format!(
                "{head}Relay-Upstream: i-1\r\nRelay-Time-Left-Ms: {DEADLINE_MS}\r\n\
                 Content-Length: {BODY_BYTES_MAX}\r\n\r\n"
            );
            vec![bytes(head), bytes(vec![b'x'; SHORT])]
        };
        vec![Crowd { address: site.peers(), size: 60, script }]
    });
}

/// Guards against the same at a host that also keeps ledgers and turns.
#[test]
fn bodies_at_a_host_with_a_disk() {
    check_at(true, |site| {
        let crowd = |address| Crowd { address, size: 40, script: short_body };
        vec![crowd(site.callers()), crowd(site.peers())]
    });
}

/// Guards against connections that leave no descriptor for upstreams and the store, and against the
/// memory that each takes.
#[test]
fn connections_without_a_byte() {
    check_callers(2500, |_| Vec::new());
}

/// As above, at the other ports.
#[test]
fn connections_without_a_byte_at_the_other_ports() {
    check(|site| {
        let crowd = |address| Crowd { address, size: 900, script: |_| Vec::new() };
        vec![crowd(site.peers()), crowd(site.ready()), crowd(site.metrics())]
    });
}

/// Guards against heads that are held until their timeout, however many there are.
#[test]
fn half_sent_heads() {
    check_callers(2000, half_head);
}

/// Guards against heads without a limit at the other ports.
#[test]
fn heads_without_end_at_the_other_ports() {
    check(|site| {
        let script = |number| {
            let head = request_head("/", number);
            vec![bytes(format!("{head}X-Long: ")), repeated("x".repeat(1000), 400)]
        };
        let crowd = |address| Crowd { address, size: 70, script };
        vec![crowd(site.peers()), crowd(site.ready()), crowd(site.metrics())]
    });
}

/// A guard: the answers to pipelined requests that are never read.
#[test]
fn pipelined_requests_whose_answers_are_not_read() {
    check_callers(100, |number| {
        let head = request_head("/none/x", number);
        vec![repeated(format!("{head}Content-Length: 0\r\n\r\n"), 500)]
    });
}

/// A guard: large answers that callers don't read.
#[test]
fn large_answers_that_are_not_read() {
    check_callers(200, |number| vec![declared("/large/x", number, 0)]);
}

/// A guard: streams without end whose callers don't read them.
#[test]
fn streams_that_are_not_read() {
    check_callers(200, |number| {
        let head = request_head("/endless/x", number);
        let turn = heads::turn_headers(&format!("p-{number}"), 1_000_000_000, 1460, 100_000_000);
        vec![bytes(format!("{head}{turn}Content-Length: 0\r\n\r\n"))]
    });
}

/// Guards against accounts of their own for each kind of caller, which together exceed the memory.
#[test]
fn several_crowds_at_once() {
    check(|site| {
        let crowd = |size, script| Crowd { address: site.callers(), size, script };
        vec![
            crowd(20, short_body),
            crowd(10, tiny_chunks),
            crowd(400, half_head),
            crowd(400, |_| Vec::new()),
            Crowd { address: site.peers(), size: 20, script: short_body },
        ]
    });
}

/// Measures what the account costs ordinary requests; checks nothing. Compare release builds of two
/// versions, in turn.
#[test]
#[ignore = "a measurement"]
fn cost_of_ordinary_requests() {
    let _lock = site::lock();
    smol::block_on(async {
        let site = Site::start(false).await;
        // Processor time is counted in units of 10 ms.
        for (count, body_bytes) in [(50_000, 5), (50_000, 2_000), (10_000, 200_000)] {
            let cost_us = site.measure_requests(count, body_bytes).await;
            println!("bodies of {body_bytes} bytes: {cost_us:.2} us a request");
        }
    });
}
