//! A server in trouble: it answers each request with bytes that have no end.

use {
    super::{heads::answer_head, loopback},
    event_listener::Event,
    futures_lite::{AsyncReadExt, AsyncWriteExt, io::copy},
    smol::{
        Task, Timer,
        net::{TcpListener, TcpStream},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Size of one write of a fast server.
const BLOCK_BYTES: usize = 64 * 1024;
/// Pause between the writes of a slow server.
const DRIP_INTERVAL: Duration = Duration::from_millis(2);
/// Size of one write of a slow server.
const DRIP_BYTES: usize = 7;

/// The part of an answer that does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndlessPart {
    /// Bytes that are not HTTP.
    Garbage,
    /// The reason phrase of the status line.
    StatusLine,
    /// One interim head (`100 Continue`) after the other.
    InterimHeads,
    /// The name of a header.
    HeaderName,
    /// One header after the other.
    Headers,
    /// The digits of a chunk's size, all of them zero.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Chunks of a body.
    Chunks,
    /// A body that ends with its connection.
    UnframedBody,
    /// Complete events of a stream, with increasing ids.
    Events,
    /// A comment in a stream, which belongs to no complete event.
    Comment,
    /// Trailers after a complete body.
    Trailers,
    /// Bytes after a complete answer.
    AfterEnd,
}

/// All parts.
pub const ENDLESS_PARTS: [EndlessPart; 13] = [
    EndlessPart::Garbage,
    EndlessPart::StatusLine,
    EndlessPart::InterimHeads,
    EndlessPart::HeaderName,
    EndlessPart::Headers,
    EndlessPart::ChunkSize,
    EndlessPart::ChunkExtension,
    EndlessPart::Chunks,
    EndlessPart::UnframedBody,
    EndlessPart::Events,
    EndlessPart::Comment,
    EndlessPart::Trailers,
    EndlessPart::AfterEnd,
];

/// How fast the bytes come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// As fast as they are read.
    Fast,
    /// A few bytes every two milliseconds.
    Dripped,
}

/// A server on loopback that answers without end.
pub struct EndlessStandin {
    /// Listening address.
    pub address: SocketAddr,
    server: Arc<Server>,
    _task: Task<()>,
}

struct Server {
    /// Where connections are forwarded while the server is not in trouble.
    healthy: Option<SocketAddr>,
    trouble: Mutex<Option<(EndlessPart, Pace)>>,
    answers_begun: AtomicUsize,
    answers_open: AtomicUsize,
    bytes_written: AtomicUsize,
    /// Notified when the forwarded connections are to be closed.
    close_forwarded: Event,
}

impl EndlessStandin {
    /// Starts a server. Without trouble it forwards its connections to `healthy`, or closes them if
    /// that is `None`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(healthy: Option<SocketAddr>) -> io::Result<Self> {
        let listener = trefoilring_net::listen((loopback::address(), 0).into())?;
        let address = listener.local_addr()?;
        let server = Arc::new(Server {
            healthy,
            trouble: Mutex::default(),
            answers_begun: AtomicUsize::default(),
            answers_open: AtomicUsize::default(),
            bytes_written: AtomicUsize::default(),
            close_forwarded: Event::new(),
        });
        let task = smol::spawn(accept(server.clone(), listener));
        Ok(Self { address, server, _task: task })
    }

    /// Sets or ends the trouble. Closes the connections that are forwarded.
    pub fn set_trouble(&self, trouble: Option<(EndlessPart, Pace)>) {
        *self.server.trouble.lock().unwrap_or_else(PoisonError::into_inner) = trouble;
        self.server.close_forwarded.notify(usize::MAX);
    }

    /// Returns the number of answers without end that have begun.
    pub fn answers_begun(&self) -> usize {
        self.server.answers_begun.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that were written without end.
    pub fn bytes_written(&self) -> usize {
        self.server.bytes_written.load(Ordering::SeqCst)
    }

    /// Returns the number of answers whose connections the client has not closed.
    pub fn answers_open(&self) -> usize {
        self.server.answers_open.load(Ordering::SeqCst)
    }
}

async fn accept(server: Arc<Server>, listener: TcpListener) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        let server = server.clone();
        connections.push(smol::spawn(async move {
            let trouble = *server.trouble.lock().unwrap_or_else(PoisonError::into_inner);
            // Either side may close a connection at any time, so errors are ignored.
            let _ = match (trouble, server.healthy) {
                (Some((part, pace)), _) => server.answer(stream, part, pace).await,
                (None, Some(healthy)) => server.forward(stream, healthy).await,
                (None, None) => Ok(()),
            };
        }));
    }
}

impl Server {
    async fn forward(&self, client: TcpStream, healthy: SocketAddr) -> io::Result<()> {
        let closed = self.close_forwarded.listen();
        let server = TcpStream::connect(healthy).await?;
        let requests = copy(client.clone(), server.clone());
        let answers = copy(server.clone(), client.clone());
        let copied = async { smol::future::or(requests, answers).await.map(drop) };
        let closed = async {
            closed.await;
            Ok(())
        };
        smol::future::or(copied, closed).await
    }

    async fn answer(&self, mut stream: TcpStream, part: EndlessPart, pace: Pace) -> io::Result<()> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).await?;
            head.push(byte[0]);
        }
        self.answers_begun.fetch_add(1, Ordering::SeqCst);
        self.answers_open.fetch_add(1, Ordering::SeqCst);
        let written = self
            .write_without_end(&mut stream, &answer_head(&head, "stamp-endless"), part, pace)
            .await;
        self.answers_open.fetch_sub(1, Ordering::SeqCst);
        written
    }
}

impl Server {
    async fn write_without_end(
        &self,
        stream: &mut TcpStream,
        head: &str,
        part: EndlessPart,
        pace: Pace,
    ) -> io::Result<()> {
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let (start, repeated) = match part {
            EndlessPart::Garbage => (String::new(), "garbage "),
            EndlessPart::StatusLine => ("HTTP/1.1 200 ".into(), "OK "),
            EndlessPart::InterimHeads => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            EndlessPart::HeaderName => (format!("{head}X-"), "name"),
            EndlessPart::Headers => (head.into(), "X-Name: value\r\n"),
            EndlessPart::ChunkSize => (chunked, "0"),
            EndlessPart::ChunkExtension => (format!("{chunked}1;"), "name=value;"),
            EndlessPart::Chunks => (chunked, "4\r\nbody\r\n"),
            EndlessPart::UnframedBody => (format!("{head}\r\n"), "body"),
            EndlessPart::Events => return self.write_events(stream, &chunked, pace).await,
            EndlessPart::Comment => (format!("{head}\r\n:"), "comment"),
            EndlessPart::Trailers => (format!("{chunked}4\r\nbody\r\n0\r\n"), "X-Name: value\r\n"),
            EndlessPart::AfterEnd => {
                let body = "served by endless";
                (format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()), "body")
            }
        };
        stream.write_all(start.as_bytes()).await?;
        match pace {
            Pace::Fast => {
                let block = repeated.repeat(BLOCK_BYTES / repeated.len());
                loop {
                    stream.write_all(block.as_bytes()).await?;
                    self.bytes_written.fetch_add(block.len(), Ordering::SeqCst);
                    // Lets the other stand-ins of the process run.
                    smol::future::yield_now().await;
                }
            }
            Pace::Dripped => {
                let bytes = repeated.repeat(DRIP_BYTES);
                for drip in bytes.as_bytes().chunks(DRIP_BYTES).cycle() {
                    stream.write_all(drip).await?;
                    Timer::after(DRIP_INTERVAL).await;
                }
                Ok(())
            }
        }
    }

    async fn write_events(&self, stream: &mut TcpStream, head: &str, pace: Pace) -> io::Result<()> {
        stream.write_all(head.as_bytes()).await?;
        for id in 1_u64.. {
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            self.bytes_written.fetch_add(chunk.len(), Ordering::SeqCst);
            smol::future::yield_now().await;
            if pace == Pace::Dripped {
                Timer::after(DRIP_INTERVAL).await;
            }
        }
        Ok(())
    }
}
