//! Raw requests from files and their expected answers.
//!
//! The first lines of a file are the expected answers, each as `STATUS CODE` with `-` for the code of
//! an answer without an error, then `closes` if the entry closes the connection. The text after `---`
//! is sent with CRLF line ends; `{x*N}` stands for N times `x`.

use async_std::future::timeout;
use async_std::net::TcpStream;
use eyre::{OptionExt, Result, ensure, eyre};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Time for which nothing more may arrive after the last answer.
const QUIET_PERIOD: Duration = Duration::from_millis(30);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Raw bytes of one or more requests and the expected answers.
pub(crate) struct Case {
    pub(crate) name: String,
    answers: Vec<(u16, String)>,
    bytes: Vec<u8>,
    is_closing: bool,
}

impl Case {
    /// All cases, in the order of their file names.
    pub(crate) fn read_all() -> Result<Vec<Self>> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("cases/raw");
        let mut paths = Vec::new();
        for file in std::fs::read_dir(folder)? {
            paths.push(file?.path());
        }
        paths.sort();
        paths.iter().map(|path| Self::read(path)).collect()
    }

    fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let name = path.display().to_string();
        let (expected, request) = text
            .split_once("---\n")
            .ok_or_else(|| eyre!("{name} has no `---`"))?;
        let mut case = Self {
            name,
            answers: Vec::new(),
            bytes: expand(request.strip_suffix('\n').unwrap_or(request))?,
            is_closing: false,
        };
        for line in expected.lines() {
            match line.split_once(' ') {
                Some((status, code)) => case.answers.push((status.parse()?, code.to_string())),
                None => case.is_closing = line == "closes",
            }
        }
        Ok(case)
    }

    /// Number of requests that the entry counts as rejected.
    pub(crate) fn rejections(&self) -> usize {
        self.answers.iter().filter(|(_, code)| code != "-").count()
    }

    /// Sends the requests and checks the answers.
    pub(crate) async fn check(&self, entry: SocketAddr) -> Result<()> {
        let mut connection = Connection::open(entry).await?;
        connection.send(&self.bytes).await?;
        connection.is_head = self.bytes.starts_with(b"HEAD");
        for (status, code) in &self.answers {
            let answer = connection.answer().await?;
            ensure!(
                answer.status == *status,
                "expected status {status}, got {answer:?}"
            );
            if *status == 100 {
                continue;
            }
            ensure!(answer.header("almondwell-request").is_some(), "{answer:?}");
            let verdict = if code == "-" { "ran" } else { "not-run" };
            ensure!(
                answer.header("almondwell-verdict") == Some(verdict),
                "expected the verdict {verdict}, got {answer:?}"
            );
            ensure!(
                code == "-" || answer.code() == *code,
                "expected the code {code}, got {answer:?}"
            );
        }
        if self.is_closing {
            ensure!(connection.is_closed().await, "the connection stays open");
        }
        ensure!(connection.is_quiet().await, "another answer arrived");
        Ok(())
    }
}

/// Expands repetitions `{x*N}` and converts line ends to CRLF.
fn expand(text: &str) -> Result<Vec<u8>> {
    let mut bytes = String::new();
    let mut rest = text;
    while let Some(start) = rest.find('*').and_then(|star| rest[..star].rfind('{')) {
        let end = rest[start..]
            .find('}')
            .ok_or_eyre("a repetition has no `}`")?
            + start;
        let (unit, count) = rest[start + 1..end]
            .split_once('*')
            .ok_or_eyre("a repetition has no `*`")?;
        bytes += &rest[..start].replace('\n', "\r\n");
        bytes += &unit.repeat(count.parse()?);
        rest = &rest[end + 1..];
    }
    bytes += &rest.replace('\n', "\r\n");
    Ok(bytes.into_bytes())
}

/// An answer, not decoded.
#[derive(Debug)]
pub(crate) struct Answer {
    body: String,
    head: String,
    pub(crate) status: u16,
}

impl Answer {
    /// Value of `error.code` in the body; empty if absent.
    pub(crate) fn code(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    }

    /// Value of the header `name`, compared without case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// A connection that sends raw bytes.
pub(crate) struct Connection {
    /// Bytes received beyond the last answer.
    buffer: Vec<u8>,
    /// Whether the requests are HEAD requests, whose answers have no body.
    is_head: bool,
    tcp: TcpStream,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> Result<Self> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        Ok(Self {
            buffer: Vec::new(),
            is_head: false,
            tcp,
        })
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        Ok(self.tcp.write_all(bytes).await?)
    }

    /// Reads the next answer.
    pub(crate) async fn answer(&mut self) -> Result<Answer> {
        let end = loop {
            let end = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8(self.buffer.drain(..end).collect())?;
        let status = head
            .split_whitespace()
            .nth(1)
            .ok_or_eyre("the answer has no status")?
            .parse()?;
        let mut answer = Answer {
            body: String::new(),
            head,
            status,
        };
        if status != 100 && !self.is_head {
            let length = answer.header("content-length").unwrap_or("0").parse()?;
            while self.buffer.len() < length {
                self.fill().await?;
            }
            answer.body = String::from_utf8(self.buffer.drain(..length).collect())?;
        }
        Ok(answer)
    }

    /// Whether the peer closes the connection without sending another byte.
    pub(crate) async fn is_closed(&mut self) -> bool {
        let read = timeout(TIMEOUT, self.tcp.read(&mut [0; 1])).await;
        self.buffer.is_empty() && matches!(read, Ok(Ok(0)))
    }

    /// Whether the peer sends nothing more for `QUIET_PERIOD`.
    async fn is_quiet(&mut self) -> bool {
        let read = timeout(QUIET_PERIOD, self.tcp.read(&mut [0; 1])).await;
        self.buffer.is_empty() && matches!(read, Ok(Ok(0)) | Err(_))
    }

    async fn fill(&mut self) -> Result<()> {
        let mut bytes = [0; 4096];
        let read = timeout(TIMEOUT, self.tcp.read(&mut bytes)).await??;
        ensure!(
            read > 0,
            "the connection was closed before a complete answer"
        );
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(())
    }
}
