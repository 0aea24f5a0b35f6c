//! The memory of the messages that other hosts send to this one.
//!
//! A message is buffered until it is complete. Peers that stop short of the end of large messages would
//! otherwise fill the memory of the host.

use {
    bytes::{Bytes, BytesMut},
    slotmap::SecondaryMap,
    smol::net::TcpStream,
    std::{
        io,
        net::Shutdown,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
    trefoilring_core::memory::{Account, Class, Denied, HolderKey},
};

/// Maximum size of a message. Must exceed the encoded sizes of the largest journal entry (1 MiB)
/// and of the largest history. The encoding includes field names.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Size up to which a message is not counted. Most messages are smaller.
const UNCOUNTED_BYTES: usize = 8 << 10;
/// The account keeps a quarter of its size for connections, which are not counted here.
const ACCOUNT_QUARTERS: usize = 3;
/// Length of the prefix with the size of a message.
const PREFIX_BYTES: usize = 4;

/// The memory of all messages that are being received.
#[derive(Debug)]
pub struct FrameMemory(Mutex<State>);

#[derive(Debug)]
struct State {
    account: Account,
    /// The connections of the holders.
    streams: SecondaryMap<HolderKey, TcpStream>,
}

impl FrameMemory {
    /// Creates the memory for messages of `max_bytes` together, at least two of the largest size.
    pub fn new(max_bytes: usize) -> Self {
        let max_bytes = max_bytes.max(2 * MAX_FRAME_BYTES);
        let account_bytes = (max_bytes / ACCOUNT_QUARTERS).saturating_mul(ACCOUNT_QUARTERS + 1);
        let account = Account::new(account_bytes, usize::MAX);
        Self(Mutex::new(State { account, streams: SecondaryMap::new() }))
    }

    /// Locks the state. No code that holds the lock panics between two changes.
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves memory. Closes the connections of messages that stall if that makes room for later ones.
    fn reserve(&self, stream: &TcpStream, bytes: usize) -> Result<HolderKey, Denied> {
        let mut state = self.state();
        let key = state
            .account
            .reserve(Instant::now(), Class::Body, None, bytes)
            .inspect_err(|denied| state.close_victims(denied))?;
        state.streams.insert(key, stream.clone());
        Ok(key)
    }

    fn release(&self, key: HolderKey) {
        let mut state = self.state();
        state.account.release(Instant::now(), key);
        state.streams.remove(key);
    }

    fn record_progress(&self, key: HolderKey, bytes: usize) {
        self.state().account.record_progress(Instant::now(), key, bytes);
    }
}

impl State {
    fn close_victims(&mut self, denied: &Denied) {
        for key in &denied.victims {
            self.account.mark_victim(*key);
            if let Some(stream) = self.streams.get(*key) {
                // Fails if the peer has closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Splits a connection into messages.
pub(crate) struct FrameCodec {
    inner: LengthDelimitedCodec,
    /// `None` where this host has opened the connection, and messages are replies to its own requests.
    memory: Option<(Arc<FrameMemory>, TcpStream)>,
    state: FrameState,
}

/// Progress of the message that is being received.
#[derive(Clone, Copy)]
enum FrameState {
    /// The prefix is not complete.
    Prefix,
    /// The prefix was read.
    Data {
        /// `None` if the message is not counted.
        holder: Option<HolderKey>,
        /// Bytes that were buffered when progress was recorded.
        buffered_bytes: usize,
    },
}

impl FrameCodec {
    pub(crate) fn new(memory: Option<(Arc<FrameMemory>, TcpStream)>) -> Self {
        let mut inner = LengthDelimitedCodec::new();
        inner.set_max_frame_length(MAX_FRAME_BYTES);
        Self { inner, memory, state: FrameState::Prefix }
    }

    /// Reserves the memory of a message whose prefix has been received.
    fn begin(&self, prefix: [u8; PREFIX_BYTES]) -> io::Result<FrameState> {
        // The inner codec rejects messages that are too large.
        let bytes = usize::try_from(u32::from_be_bytes(prefix)).unwrap_or(usize::MAX);
        let is_counted = (UNCOUNTED_BYTES + 1..=MAX_FRAME_BYTES).contains(&bytes);
        let holder = match &self.memory {
            Some((memory, stream)) if is_counted => {
                let reserved = memory.reserve(stream, bytes);
                Some(
                    reserved
                        .map_err(|_| io::Error::other("no memory for a message of this size"))?,
                )
            }
            _ => None,
        };
        Ok(FrameState::Data { holder, buffered_bytes: 0 })
    }

    fn end(&mut self) {
        if let (FrameState::Data { holder: Some(key), .. }, Some((memory, _))) =
            (self.state, &self.memory)
        {
            memory.release(key);
        }
        self.state = FrameState::Prefix;
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if let (FrameState::Prefix, Some(prefix)) = (self.state, source.first_chunk()) {
            self.state = self.begin(*prefix)?;
        }
        let decoded = self.inner.decode(source)?;
        if decoded.is_some() {
            self.end();
        } else if let FrameState::Data { holder: Some(key), buffered_bytes } = &mut self.state
            && let Some((memory, _)) = &self.memory
        {
            memory.record_progress(*key, source.len().saturating_sub(*buffered_bytes));
            *buffered_bytes = source.len();
        }
        Ok(decoded)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, data: Bytes, target: &mut BytesMut) -> io::Result<()> {
        self.inner.encode(data, target)
    }
}

impl Drop for FrameCodec {
    fn drop(&mut self) {
        self.end();
    }
}
