//! Crowds of callers that make a host hold much: real `trefoilring serve --platform` processes whose
//! memory and descriptors must stay below their limits, and that must answer an ordinary request
//! afterwards. Their memory is what is resident and what has arrived unread, as their machine counts
//! it. Neither times nor the share of requests that are served are checked.
//!
//! The crowds are small because the limits in the tests' settings are low. A test that is a guard
//! passed before the host accounted for its memory.

mod memory;
mod own_interface;
#[path = "../support/process.rs"]
mod process;
mod site;

use {
    memory::Peak,
    own_interface::OwnSite,
    site::{BODY_BYTES_MAX, DEADLINE_MS, DESCRIPTORS_MAX, MEMORY_MB, Site, Usage, request_head},
    smol::{Task, Timer, io::AsyncWriteExt, net::TcpStream},
    std::{
        net::SocketAddr,
        sync::{
            Arc, LazyLock,
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
/// How often a member of a crowd that returns connects again.
const RETURNS: usize = 20;
/// Number of members of a crowd that takes up most of the connections that the descriptors allow.
const MANY: usize = 1500;
const MB: u64 = 1024 * 1024;
/// Size of a body sent a byte short of its declared size.
const SHORT: usize = BODY_BYTES_MAX - 1;

/// Part of a body.
static BLOCK: LazyLock<Arc<Vec<u8>>> = LazyLock::new(|| Arc::new(vec![b' '; 64 * 1024]));

/// What each member of a crowd sends: blocks and how often, one after the other.
type Script = Vec<(Arc<Vec<u8>>, usize)>;

/// A number of connections that send, keep open and never read.
struct Crowd {
    address: SocketAddr,
    size: usize,
    script: fn(usize) -> Script,
    /// What a member does once it has sent everything, or its connection was closed.
    then: Then,
}

#[derive(Clone, Copy)]
enum Then {
    Stay,
    /// Connects again, a limited number of times.
    Return,
}

impl Crowd {
    fn new(address: SocketAddr, size: usize, script: fn(usize) -> Script) -> Self {
        Self { address, size, script, then: Then::Stay }
    }

    fn join(&self, done: &Arc<AtomicUsize>) -> Vec<Task<()>> {
        let members = (0..self.size).map(|number| {
            let (address, script, done) = (self.address, (self.script)(number), done.clone());
            let returns = match self.then {
                Then::Stay => 0,
                Then::Return => RETURNS,
            };
            smol::spawn(async move {
                for _ in 0..returns {
                    drop(send(address, &script).await);
                }
                // The host may refuse or close any of them.
                let connection = send(address, &script).await;
                done.fetch_add(1, Ordering::SeqCst);
                std::future::pending::<()>().await;
                drop(connection);
            })
        });
        members.collect()
    }
}

async fn send(address: SocketAddr, script: &Script) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    for (block, count) in script {
        for _ in 0..*count {
            stream.write_all(block).await?;
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

/// Returns a head and a part of its body. The members of a crowd share most of it.
fn with_body(head: (Arc<Vec<u8>>, usize), size: usize) -> Script {
    vec![head, (BLOCK.clone(), size / BLOCK.len()), bytes(vec![b' '; size % BLOCK.len()])]
}

fn short_body(number: usize) -> Script {
    with_body(declared("/do/x", number, BODY_BYTES_MAX), SHORT)
}

fn tiny_chunks(number: usize) -> Script {
    vec![chunked(number), repeated("1\r\nx\r\n".repeat(1000), 170)]
}

fn half_head(number: usize) -> Script {
    vec![bytes(format!("{}X-Long: {}", request_head("/do/x", number), "x".repeat(15_000)))]
}

fn relayed_body(number: usize) -> Script {
    let head = request_head("/do/x", number);
    let head = format!(
        "{head}Relay-Upstream: i-1\r\nRelay-Time-Left-Ms: {DEADLINE_MS}\r\n\
         Content-Length: {BODY_BYTES_MAX}\r\n\r\n"
    );
    with_body(bytes(head), SHORT)
}

fn unread_stream(number: usize) -> Script {
    let head = request_head("/endless/x", number);
    let turn = heads::turn_headers(&format!("p-{number}"), 1_000_000_000, 1460, 100_000_000);
    vec![bytes(format!("{head}{turn}Content-Length: 0\r\n\r\n"))]
}

fn own_body(secret: &str) -> Script {
    let head = own_interface::request_head("POST /v1/programs", secret);
    let size = own_interface::BODY_BYTES_MAX;
    with_body(bytes(format!("{head}Content-Length: {size}\r\n\r\n")), size - 1)
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
        let sampler = site.sample_memory();
        let members = gather(crowds(&site)).await;
        let during = wait_until_read(|| site.usage()).await;
        drop(members);
        site.wait_until_served().await;
        check_bounds(before, during, site.usage(), sampler.stop());
    });
}

/// As [`check`], at a host that speaks the product's own interface.
fn check_own_interface(crowds: impl FnOnce(&OwnSite) -> Vec<Crowd>) {
    let _lock = site::lock();
    let mut site = OwnSite::start();
    let before = site.usage();
    let sampler = site.sample_memory();
    smol::block_on(async {
        let members = gather(crowds(&site)).await;
        let during = wait_until_read(|| site.usage()).await;
        drop(members);
        site.wait_until_served();
        check_bounds(before, during, site.usage(), sampler.stop());
    });
}

/// Lets all members of crowds send what they have. They stay until they are dropped.
async fn gather(crowds: Vec<Crowd>) -> Vec<Task<()>> {
    let done = Arc::new(AtomicUsize::default());
    let members: Vec<_> = crowds.iter().flat_map(|crowd| crowd.join(&done)).collect();
    let end = Instant::now() + CROWD_DURATION_MAX;
    while done.load(Ordering::SeqCst) < members.len() && Instant::now() < end {
        Timer::after(Duration::from_millis(20)).await;
    }
    members
}

fn check_bounds(before: Usage, during: Usage, after: Usage, peak: Peak) {
    println!(
        "peak {} MB, {} MB of it unread; resident: {} MB at most, {} MB before, {} MB with the \
         crowd, {} MB after; {} descriptors",
        peak.total_bytes / MB,
        peak.unread_bytes / MB,
        after.peak_mb,
        before.resident_mb,
        during.resident_mb,
        after.resident_mb,
        during.descriptors
    );
    assert!(after.peak_mb < MEMORY_MB, "{} MB resident", after.peak_mb);
    let total_mb = peak.total_bytes / MB;
    assert!(total_mb < MEMORY_MB, "{total_mb} MB resident and unread");
    assert!(during.descriptors <= DESCRIPTORS_MAX, "{} descriptors", during.descriptors);
}

/// Waits until the host has read what it reads of a crowd.
async fn wait_until_read(mut usage: impl FnMut() -> Usage) -> Usage {
    let end = Instant::now() + HOLD_MAX;
    loop {
        let before = usage();
        Timer::after(HOLD).await;
        let during = usage();
        let is_over = during.peak_mb >= MEMORY_MB || Instant::now() >= end;
        if during.peak_mb == before.peak_mb || is_over {
            return during;
        }
    }
}

fn check_callers(size: usize, script: fn(usize) -> Script) {
    check(|site| vec![Crowd::new(site.callers(), size, script)]);
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
    check(|site| vec![Crowd::new(site.peers(), 60, short_body)]);
}

/// Guards against the same at a host that passes requests on for others.
#[test]
fn bodies_at_a_helper() {
    check(|site| vec![Crowd::new(site.peers(), 60, relayed_body)]);
}

/// Guards against the same at a host that also keeps ledgers and turns.
#[test]
fn bodies_at_a_host_with_a_disk() {
    check_at(true, |site| {
        let crowd = |address| Crowd::new(address, 40, short_body);
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
        let crowd = |address| Crowd::new(address, 900, |_| Vec::new());
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
        let crowd = |address| Crowd::new(address, 70, script);
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
    check_callers(200, unread_stream);
}

/// Guards against accounts of their own for each kind of caller, which together exceed the memory.
#[test]
fn several_crowds_at_once() {
    check(|site| {
        let crowd = |size, script| Crowd::new(site.callers(), size, script);
        vec![
            crowd(20, short_body),
            crowd(10, tiny_chunks),
            crowd(400, half_head),
            crowd(400, |_| Vec::new()),
            Crowd::new(site.peers(), 20, short_body),
        ]
    });
}

/// Guards against what refused callers go on sending: it waits unread in the receive buffers of their
/// connections, most of which the host no longer reads.
#[test]
fn bodies_of_many_callers_without_a_key() {
    check_callers(MANY, |number| {
        let head = heads::request_head(
            "POST",
            "/do/x",
            "soak.example",
            &format!("crowd-{number}"),
            DEADLINE_MS,
            "unknown",
        );
        let head = format!("{head}Content-Length: {BODY_BYTES_MAX}\r\n\r\n");
        with_body(bytes(head), SHORT)
    });
}

/// As above, with bodies that are refused at their heads.
#[test]
fn bodies_of_many_callers_far_over_the_limit_declared() {
    check_callers(MANY, |number| {
        vec![declared("/do/x", number, 900_000_000), repeated(vec![b'x'; 64 * 1024], 100)]
    });
}

/// As above, with bodies that are refused at the limit or for lack of memory.
#[test]
fn bodies_of_many_callers_far_over_the_limit_chunked() {
    check_callers(MANY, |number| {
        let chunk = format!("{:x}\r\n{}\r\n", 60_000, "x".repeat(60_000));
        vec![chunked(number), repeated(chunk, 110)]
    });
}

/// Guards against bodies that wait unread for memory in the receive buffers of their connections.
#[test]
fn bodies_of_many_callers_one_byte_short() {
    check_callers(MANY, short_body);
}

/// As above, in frames of a byte.
#[test]
fn chunks_of_one_byte_of_many_callers() {
    check_callers(MANY, |number| vec![chunked(number), repeated("1\r\nx\r\n".repeat(1000), 40)]);
}

/// Guards against parts of a body that are read without being counted.
#[test]
fn chunk_extensions_without_end() {
    check_callers(MANY, |number| {
        vec![chunked(number), bytes("1;name="), repeated("x".repeat(1000), 400)]
    });
}

/// As above.
#[test]
fn trailers_without_end() {
    check_callers(MANY, |number| {
        let start = "1\r\nx\r\n0\r\n";
        vec![chunked(number), bytes(start), repeated("X-Trailer: value\r\n".repeat(50), 400)]
    });
}

/// Guards against what refused callers send at the port for other hosts.
#[test]
fn bodies_of_many_callers_at_the_port_for_other_hosts() {
    check(|site| vec![Crowd::new(site.peers(), MANY, short_body)]);
}

/// As above, at the ports for readiness and metrics.
#[test]
fn bodies_of_many_callers_at_the_other_ports() {
    check(|site| {
        let crowd = |address| Crowd::new(address, MANY / 2, short_body);
        vec![crowd(site.ready()), crowd(site.metrics())]
    });
}

/// As above, at a host that also keeps ledgers and turns.
#[test]
fn bodies_of_many_callers_at_a_host_with_a_disk() {
    check_at(true, |site| {
        let crowd = |address| Crowd::new(address, MANY / 2, short_body);
        vec![crowd(site.callers()), crowd(site.peers())]
    });
}

/// As above, at a host that passes requests on for others.
#[test]
fn bodies_of_many_callers_at_a_helper() {
    check(|site| vec![Crowd::new(site.peers(), MANY, relayed_body)]);
}

/// Guards against connections that are not accepted, because the host has as many as it may: what they
/// send waits unread as well.
#[test]
fn bodies_of_more_callers_than_there_are_connections() {
    check(|site| {
        let crowd = |address, size| Crowd::new(address, size, short_body);
        vec![
            crowd(site.callers(), 3000),
            crowd(site.peers(), MANY),
            crowd(site.ready(), MANY),
            crowd(site.metrics(), MANY),
        ]
    });
}

/// Guards against refusals that cost more than the requests: callers that come back at once.
#[test]
fn refused_callers_that_come_back_at_once() {
    check(|site| {
        let script = |number| {
            vec![declared("/do/x", number, 900_000_000), repeated(vec![b'x'; 64 * 1024], 4)]
        };
        vec![Crowd { then: Then::Return, ..Crowd::new(site.callers(), MANY, script) }]
    });
}

/// Guards against requests that go on without their callers, of which a crowd can have more than
/// connections.
#[test]
fn requests_whose_callers_leave() {
    check(|site| {
        let script = |number| vec![declared("/do/x", number, 5), bytes("hello")];
        vec![Crowd { then: Then::Return, ..Crowd::new(site.callers(), MANY, script) }]
    });
}

/// Guards against what refused callers of the product's own interface send.
#[test]
fn bodies_of_many_callers_without_a_key_at_the_own_interface() {
    check_own_interface(|site| vec![Crowd::new(site.callers(), MANY, |_| own_body("unknown"))]);
}

/// Guards against bodies that wait unread there.
#[test]
fn bodies_of_many_callers_at_the_own_interface() {
    check_own_interface(|site| {
        vec![Crowd::new(site.callers(), MANY, |_| own_body(own_interface::SECRET))]
    });
}

/// Guards against messages of other hosts that are held for as long as their last byte is missing.
#[test]
fn messages_at_the_own_interface_for_other_hosts() {
    check_own_interface(|site| {
        let script = |_| {
            let size: u32 = 15 * 1024 * 1024;
            vec![bytes(size.to_be_bytes()), repeated(vec![b'x'; 64 * 1024], 15 * 16 - 1)]
        };
        vec![Crowd::new(site.peers(), 60, script)]
    });
}

/// Guards against answers that wait unread in the connections to upstreams.
#[test]
fn large_answers_that_many_callers_do_not_read() {
    check_callers(1000, |number| vec![declared("/large/x", number, 0)]);
}

/// As above, with streams.
#[test]
fn streams_that_many_callers_do_not_read() {
    check_callers(1000, unread_stream);
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
