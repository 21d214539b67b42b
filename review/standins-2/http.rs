//! HTTP/1.1 messages: just what the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    /// Request line or status line.
    pub start: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from a connection; keeps what follows the current one.
pub struct Reader {
    bytes: Vec<u8>,
    stream: TcpStream,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> io::Result<Self> {
        Ok(Self {
            bytes: Vec::new(),
            stream: stream.try_clone()?,
        })
    }

    /// The next message; `None` if the peer has closed the connection before it.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let is_chunked = message
            .header("Transfer-Encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            message.body = self.chunked()?;
        } else if let Some(length) = message.header("Content-Length") {
            let length: usize = length.trim().parse().map_err(io::Error::other)?;
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    /// The head of the next message.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.bytes, b"\r\n\r\n") {
                break end + 4;
            }
            if !self.fill()? {
                return if self.bytes.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = self.take(end)?;
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.lines();
        let start = lines.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.to_string(), value.trim().to_string()))
            .collect();
        Ok(Some(Message {
            body: Vec::new(),
            headers,
            start,
        }))
    }

    fn chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(end) = find(&self.bytes, b"\r\n") {
                    break self.take(end + 2)?;
                }
                self.fill_or_fail()?;
            };
            let text = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(text.trim().split(';').next().unwrap_or_default(), 16)
                .map_err(io::Error::other)?;
            let chunk = self.take(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < count {
            self.fill_or_fail()?;
        }
        let rest = self.bytes.split_off(count);
        Ok(std::mem::replace(&mut self.bytes, rest))
    }

    fn fill_or_fail(&mut self) -> io::Result<()> {
        if self.fill()? {
            Ok(())
        } else {
            Err(io::ErrorKind::UnexpectedEof.into())
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.bytes.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Writes an answer with a body of known length.
pub fn answer(mut stream: &TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends `request` on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(request)?;
    Reader::new(&stream)?
        .message()?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
