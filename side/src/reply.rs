//! Reads an upstream's response so that the HTTP client takes the head only, and a body without a length can be
//! read after it.

use almondwell_wire::Inflow;
use async_std::io::{self, Read, Write};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

const READ_BYTES: usize = 16 << 10;

#[derive(Debug, Default)]
struct State {
    /// Bytes received and not yet read.
    buffer: Vec<u8>,
    is_head_read: bool,
    /// The last bytes of the head that were read.
    last: [u8; 4],
}

impl State {
    /// Moves bytes to `out`, at most up to the end of the head; returns their number.
    fn take(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let mut count = out.len().min(self.buffer.len());
        if !self.is_head_read {
            let end = self.buffer[..count].iter().position(|byte| {
                self.last.rotate_left(1);
                self.last[3] = *byte;
                self.last.ends_with(b"\n\n") || self.last.ends_with(b"\n\r\n")
            });
            self.is_head_read = end.is_some();
            count = end.map_or(count, |index| index + 1);
            // The HTTP client does not recognise this end, and would read on.
            if self.last.ends_with(b"\n\r\n") && self.last != *b"\r\n\r\n" {
                let message = "the head ends with line breaks of both kinds";
                return Err(io::Error::new(io::ErrorKind::InvalidData, message));
            }
        }
        out[..count].copy_from_slice(&self.buffer[..count]);
        self.buffer.drain(..count);
        Ok(count)
    }
}

/// A connection to an upstream. A read never returns bytes of the head and the body together. Clones share what was
/// received.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    inflow: Inflow,
    state: Arc<Mutex<State>>,
}

impl Reply {
    pub(crate) fn new(inflow: Inflow) -> Self {
        Self {
            inflow,
            state: Arc::default(),
        }
    }

    /// Expects another head after an interim one.
    pub(crate) fn start_head(&self) {
        let mut state = self.lock();
        state.is_head_read = false;
        state.last = [0; 4];
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Read for Reply {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.lock().buffer.is_empty() {
            let mut chunk = [0; READ_BYTES];
            let count = ready!(Pin::new(&mut this.inflow).poll_read(context, &mut chunk))?;
            this.lock().buffer.extend_from_slice(&chunk[..count]);
        }
        Poll::Ready(this.lock().take(out))
    }
}

impl Write for Reply {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inflow).poll_write(context, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inflow).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inflow).poll_close(context)
    }
}
