//! Clients: each request goes out on a connection of its own.

use crate::http::{Headers, header, read_body_into, read_head};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// What a client has got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.status / 100 == 2 && self.is_complete
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u64 {
        match self.status / 100 {
            2 => self.body.windows(2).filter(|pair| pair == b"\n\n").count() as u64,
            _ => 0,
        }
    }

    pub fn retry_after(&self) -> Duration {
        let seconds = header(&self.headers, "retry-after").and_then(|text| text.parse().ok());
        Duration::from_secs_f64(seconds.unwrap_or(0.0))
    }
}

/// Sends a request and reads its answer, for at most `deadline`.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    deadline: Duration,
) -> Answer {
    let (began, mut answer) = (Instant::now(), Answer::default());
    let _ = exchange(address, method, target, headers, body, deadline, &mut answer);
    answer.took = began.elapsed();
    answer
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    deadline: Duration,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline + Duration::from_millis(500)))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Trefoilring-Deadline-Ms: {}\r\n", deadline.as_millis());
    if method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else { return Ok(()) };
    answer.status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    read_body_into(&mut reader, &answer.headers, true, &mut answer.body)?;
    answer.is_complete = true;
    Ok(())
}
