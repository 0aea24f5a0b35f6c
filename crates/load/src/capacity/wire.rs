//! Bytes on connections: of messages between hosts by their encoding, of HTTP by a relay that
//! counts.

use {
    super::CapacityError,
    error_stack::{Report, ResultExt},
    std::{
        io::{self, Read, Write},
        net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
    },
    tarpc::{ClientMessage, Request, Response},
    trefoilring_core::membership::Message,
    trefoilring_proto::{PeerRequest, PeerResponse},
};

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;
/// A request number as a host has after some days.
const REQUEST_ID: u64 = 5_000_000;
/// Bytes that are read at once.
const BUFFER_BYTES: usize = 64 << 10;

/// Bytes of a request between hosts, with its frame.
pub fn request_bytes(message: PeerRequest) -> Result<f64, Report<CapacityError>> {
    let request = Request { context: tarpc::context::current(), id: REQUEST_ID, message };
    frame_bytes(&ClientMessage::Request(request))
}

/// Bytes of an answer between hosts, with its frame.
pub fn response_bytes(message: PeerResponse) -> Result<f64, Report<CapacityError>> {
    frame_bytes(&Response { request_id: REQUEST_ID, message: Ok(message) })
}

/// A message between membership machines as the receiver has it, which shares nothing with the
/// sender.
pub fn round_trip(message: &Message) -> Result<Message, Report<CapacityError>> {
    let bytes = rmp_serde::to_vec_named(message).change_context(CapacityError)?;
    rmp_serde::from_slice(&bytes).change_context(CapacityError)
}

/// The encoding of `trefoilring_proto`, which names fields.
fn frame_bytes(message: &impl serde::Serialize) -> Result<f64, Report<CapacityError>> {
    let bytes = rmp_serde::to_vec_named(message).change_context(CapacityError)?;
    Ok((bytes.len() + LENGTH_BYTES) as f64)
}

/// Passes connections on to an address and counts the bytes of both ways.
pub struct CountingRelay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingRelay {
    /// Starts a relay. Its threads end with their connections, and the first with the process.
    pub fn start(to: SocketAddr) -> Result<Self, Report<CapacityError>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).change_context(CapacityError)?;
        let address = listener.local_addr().change_context(CapacityError)?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = bytes.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                // A connection that can't be passed on is closed, and its caller fails.
                let _ = relay(inbound, to, &counter);
            }
        });
        Ok(Self { address, bytes })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes of both ways so far.
    pub fn bytes(&self) -> f64 {
        self.bytes.load(Ordering::Acquire) as f64
    }
}

fn relay(inbound: TcpStream, to: SocketAddr, counter: &Arc<AtomicU64>) -> io::Result<()> {
    let outbound = TcpStream::connect(to)?;
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    for (from, into) in [(inbound.try_clone()?, outbound.try_clone()?), (outbound, inbound)] {
        let counter = counter.clone();
        thread::spawn(move || copy_and_count(from, into, &counter));
    }
    Ok(())
}

fn copy_and_count(mut from: TcpStream, mut into: TcpStream, counter: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        counter.fetch_add(count as u64, Ordering::AcqRel);
        if into.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = into.shutdown(Shutdown::Write);
}
