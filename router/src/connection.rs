//! HTTP/1.1 connection to an upstream.

use crate::buffer::Buffer;
use crate::response::Head;
use almondwell_platform::{is_reset, limit_receive_buffer, limit_send_buffer, set_up_socket};
use async_std::future::timeout;
use async_std::io;
use async_std::net::TcpStream;
use futures_lite::future::poll_once;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Idle timeout of an upstream that states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the upstream's idle timeout from which a connection is not reused, so that a request is not
/// sent while the upstream closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Send buffer of a connection to an upstream. What the kernel has taken of a request counts as sent, although the upstream may
/// never read it. A request takes a round trip for each such piece.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Receive buffer of a connection to an upstream where memory is limited. A slow reader of an endless response made the kernel hold
/// 190 KB with the system's default, and up to 32 KB with this. By the round trip, 24 ms, a response from another region is bounded
/// to 1.3 MB/s.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Whether the receive buffers of connections are limited from now on.
static IS_LIMITED: AtomicBool = AtomicBool::new(false);

/// Limits the receive buffers of connections that are opened from now on.
pub(crate) fn limit_receive_buffers() {
    IS_LIMITED.store(true, Ordering::Relaxed);
}

/// Why an exchange failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// The upstream closed the connection.
    Closed,
    /// The response ended with its connection, and the upstream did not take the rest of the request.
    Early,
    /// The stream ended inside an event.
    IncompleteEvent,
    /// The response is malformed, unsigned, too long or encoded, or belongs to another request.
    InvalidResponse,
    /// Reading from or writing to the connection failed.
    Io(io::Error),
    /// The response ended with its connection, which was reset afterwards.
    Reset,
    /// The response is longer than allowed, or announces that it will be.
    TooLong,
    /// The response ended with its connection, and the upstream could not be reached afterwards.
    Unreachable,
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            // The connection's allowance is spent.
            io::ErrorKind::InvalidData => Self::TooLong,
            _ => Self::Io(error),
        }
    }
}

impl Error {
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Closed => "connection ended",
            Self::Early => "connection ended before the request was sent",
            Self::IncompleteEvent => "stream ended inside an event",
            Self::InvalidResponse => "answer is not this request's",
            Self::Io(_) => "connection failed",
            Self::Reset => "connection ended and was reset",
            Self::TooLong => "answer is too long",
            Self::Unreachable => "connection ended and upstream is unreachable",
        }
    }

    /// The operating system's error message, if any.
    pub(crate) fn detail(&self) -> String {
        match self {
            Self::Io(error) => error.to_string(),
            Self::Closed
            | Self::Early
            | Self::IncompleteEvent
            | Self::InvalidResponse
            | Self::Reset
            | Self::TooLong
            | Self::Unreachable => String::new(),
        }
    }
}

/// A connection to an upstream, used for one request at a time.
pub(crate) struct Connection {
    pub(crate) buffer: Buffer,
    idle_since: Instant,
    idle_timeout: Duration,
    /// Whether it is known to lead to the registered lifetime of the upstream.
    pub(crate) is_confirmed: bool,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        set_up_socket(&stream)?;
        limit_send_buffer(&stream, SEND_BUFFER_BYTES)?;
        if IS_LIMITED.load(Ordering::Relaxed) {
            limit_receive_buffer(&stream, RECEIVE_BUFFER_BYTES)?;
        }
        Ok(Self {
            buffer: Buffer::new(stream),
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            is_confirmed: false,
        })
    }

    /// Reads the head of the final response to a request with `method`.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the head is invalid.
    pub(crate) async fn read_head(&mut self, method: &str) -> Result<Head, Error> {
        let buffer = &mut self.buffer;
        loop {
            if let Some(head) =
                Head::parse(buffer.bytes(), method).map_err(|_| Error::InvalidResponse)?
            {
                buffer.consume(head.length);
                if head.is_interim() {
                    continue;
                }
                return Ok(head);
            }
            if buffer.fill().await? == 0 {
                return Err(Error::Closed);
            }
        }
    }

    /// Fails if the upstream ends the new connection within `time`.
    pub(crate) async fn stay_open(&self, time: Duration) -> io::Result<()> {
        let mut byte = [0];
        match timeout(time, self.buffer.stream().peek(&mut byte)).await {
            Ok(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(Ok(_)) | Err(_) => Ok(()),
            Ok(Err(error)) => Err(error),
        }
    }

    /// Whether the upstream has reset the connection, also after it closed its own direction.
    pub(crate) fn is_reset(&self) -> bool {
        is_reset(self.buffer.stream())
    }

    /// Prepares the connection for reuse after a complete response; `None` if it cannot be reused.
    pub(crate) fn into_idle(mut self, head: &Head) -> Option<Self> {
        if !head.is_keep_alive || !self.buffer.bytes().is_empty() {
            return None;
        }
        self.idle_since = Instant::now();
        if let Some(time) = head.idle_timeout {
            self.idle_timeout = time;
        }
        Some(self)
    }

    /// Whether the idle connection can be reused; `max_idle` is a further bound on its idle time.
    pub(crate) async fn is_usable(&self, max_idle: Option<Duration>) -> bool {
        let idle = self.idle_since.elapsed();
        let limit = self.idle_timeout.saturating_sub(IDLE_MARGIN);
        if idle >= max_idle.map_or(limit, |max_idle| max_idle.min(limit)) {
            return false;
        }
        let mut byte = [0];
        // A readable idle connection was closed by the upstream or holds bytes that belong to no request.
        poll_once(self.buffer.stream().peek(&mut byte))
            .await
            .is_none()
    }

    /// Whether the connection is too close to its idle timeout to be reused.
    pub(crate) fn is_stale(&self) -> bool {
        self.idle_since.elapsed() >= self.idle_timeout.saturating_sub(IDLE_MARGIN)
    }
}
