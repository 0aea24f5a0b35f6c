//! A server and the parsing of messages, for HTTP/1.1 on loopback.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub type Headers = Vec<(String, String)>;

/// Returns the value of a header.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Body,
}

pub enum Body {
    Whole(Vec<u8>),
    /// Sent in chunks, each after a pause.
    Chunks(Vec<(Duration, Vec<u8>)>),
    /// The connection is reset without an answer.
    Reset,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: Body::Whole(body.into()) }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }
}

/// A listener with a thread for each connection. Dropping it closes everything.
pub struct Server {
    pub address: SocketAddr,
    is_over: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: &str,
        handler: impl Fn(Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_over = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (over, open) = (is_over.clone(), connections.clone());
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || {
                    let _ = serve(stream, &*handler);
                });
            }
        });
        Ok(Self { address, is_over, connections })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Response) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let body = read_body(&mut reader, &headers, false)?;
        let (method, target) = (method.to_string(), target.to_string());
        let response = handler(Request { method, target, headers, body });
        let mut head = format!("HTTP/1.1 {} x\r\n", response.status);
        for (name, value) in &response.headers {
            head += &format!("{name}: {value}\r\n");
        }
        match response.body {
            Body::Reset => {
                reset(&writer);
                return Ok(());
            }
            Body::Whole(body) => {
                head += &format!("Content-Length: {}\r\n\r\n", body.len());
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                writer.write_all(&bytes)?;
            }
            Body::Chunks(chunks) => {
                head += "Transfer-Encoding: chunked\r\n\r\n";
                writer.write_all(head.as_bytes())?;
                for (pause, chunk) in chunks {
                    thread::sleep(pause);
                    let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
                    bytes.extend(chunk);
                    bytes.extend(b"\r\n");
                    writer.write_all(&bytes)?;
                }
                writer.write_all(b"0\r\n\r\n")?;
            }
        }
    }
    Ok(())
}

/// Ends a connection so that its peer gets a reset.
fn reset(stream: &TcpStream) {
    // Without a socket option for it in the standard library, a connection is reset when it is closed
    // with unread bytes. The peer sends none, so the plain end has to do.
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Reads a first line and the headers. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().into(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().into(), value.trim().into()));
        }
    }
}

/// Reads a body to its end. `until_close` is whether one without a length ends with its connection.
pub fn read_body(
    reader: &mut impl BufRead,
    headers: &Headers,
    until_close: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    read_body_into(reader, headers, until_close, &mut body).map(|()| body)
}

/// Like [`read_body`], and keeps what came before an error.
pub fn read_body_into(
    reader: &mut impl BufRead,
    headers: &Headers,
    until_close: bool,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = header(headers, "content-length") {
        let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut bytes = vec![0; length];
        reader.read_exact(&mut bytes)?;
        body.extend(bytes);
    } else if until_close {
        reader.read_to_end(body)?;
    }
    Ok(())
}
