//! TCP streams whose peer may send without end.

use crate::Turn;
use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

/// Number of bytes that may still be read from an [`Inflow`].
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicU64>);

impl Allowance {
    /// An allowance of `bytes`.
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Replaces what is left.
    pub fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Whether it is used up, so that reads fail.
    pub fn is_spent(&self) -> bool {
        self.left() == 0
    }

    /// Number of bytes that are left.
    pub fn left(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn spend(&self, bytes: usize) {
        // A read never returns more than is left.
        self.0.fetch_sub(bytes as u64, Ordering::Relaxed);
    }
}

/// A TCP stream for HTTP libraries that read as long as bytes arrive: reads fail beyond an [`Allowance`], and
/// other tasks run in between.
#[derive(Clone, Debug)]
pub struct Inflow {
    allowance: Allowance,
    tcp: TcpStream,
    turn: Arc<Turn>,
}

impl Inflow {
    /// Wraps `tcp`, from which at most `allowance` is read.
    pub fn new(tcp: TcpStream, allowance: Allowance) -> Self {
        Self {
            allowance,
            tcp,
            turn: Arc::default(),
        }
    }

    /// What may still be read.
    pub const fn allowance(&self) -> &Allowance {
        &self.allowance
    }

    /// The underlying TCP stream.
    pub const fn tcp(&self) -> &TcpStream {
        &self.tcp
    }
}

impl Read for Inflow {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.turn.poll_wait(context));
        let left = usize::try_from(this.allowance.left()).unwrap_or(usize::MAX);
        if left == 0 {
            let message = "more bytes than allowed";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, message)));
        }
        let length = buffer.len().min(left);
        let read = ready!(Pin::new(&mut this.tcp).poll_read(context, &mut buffer[..length]))?;
        this.allowance.spend(read);
        Poll::Ready(Ok(read))
    }
}

impl Write for Inflow {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().tcp).poll_write(context, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_close(context)
    }
}
