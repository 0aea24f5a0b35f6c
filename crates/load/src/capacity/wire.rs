//! Sizes of messages. Those between hosts are determined from their encoding, and those of HTTP
//! calls with a relay that counts bytes.

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

/// Size of the length prefix of each message.
const LENGTH_BYTES: usize = 4;
/// A request id as large as one reached after a few days. Its encoded size grows with its value.
const REQUEST_ID: u64 = 5_000_000;
/// Size of the relay's read buffer.
const BUFFER_BYTES: usize = 64 << 10;

/// Returns the size of a request between hosts, including its frame.
pub fn request_bytes(message: PeerRequest) -> Result<f64, Report<CapacityError>> {
    let request = Request { context: tarpc::context::current(), id: REQUEST_ID, message };
    frame_bytes(&ClientMessage::Request(request))
}

/// Returns the size of a response between hosts, including its frame.
pub fn response_bytes(message: PeerResponse) -> Result<f64, Report<CapacityError>> {
    frame_bytes(&Response { request_id: REQUEST_ID, message: Ok(message) })
}

/// Encodes and decodes a message, so that the received copy shares no memory with the sender's.
pub fn round_trip(message: &Message) -> Result<Message, Report<CapacityError>> {
    let bytes = rmp_serde::to_vec_named(message).change_context(CapacityError)?;
    rmp_serde::from_slice(&bytes).change_context(CapacityError)
}

/// Returns the size of a frame in the encoding of `trefoilring_proto`, which includes field names.
fn frame_bytes(message: &impl serde::Serialize) -> Result<f64, Report<CapacityError>> {
    let bytes = rmp_serde::to_vec_named(message).change_context(CapacityError)?;
    Ok((bytes.len() + LENGTH_BYTES) as f64)
}

/// Relays connections to an address and counts the bytes in both directions.
pub struct CountingRelay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingRelay {
    /// Starts a relay. Each connection has two threads, which end when it closes. The accepting
    /// thread ends with the process.
    pub fn start(to: SocketAddr) -> Result<Self, Report<CapacityError>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).change_context(CapacityError)?;
        let address = listener.local_addr().change_context(CapacityError)?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = bytes.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                // A connection that can't be relayed is closed, and its caller gets an error.
                let _ = relay(inbound, to, &counter);
            }
        });
        Ok(Self { address, bytes })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes relayed in both directions so far.
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
