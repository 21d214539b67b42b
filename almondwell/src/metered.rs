//! A streamed body that is watched on its way to the caller.

use crate::observation::Observation;
use almondwell_daemon::Pipe;
use async_std::io::{BufRead, Read};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Reads the pipe and tells the observation.
pub(crate) struct Metered {
    observation: Observation,
    pipe: Pipe,
    /// Bytes that the observation has seen and the reader has not consumed.
    seen: usize,
    status: u16,
}

impl Metered {
    pub(crate) const fn new(observation: Observation, pipe: Pipe, status: u16) -> Self {
        Self {
            observation,
            pipe,
            seen: 0,
            status,
        }
    }
}

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = bytes.len().min(buffer.len());
        buffer[..count].copy_from_slice(&bytes[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

impl BufRead for Metered {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        match ready!(Pin::new(&mut this.pipe).poll_fill_buf(context)) {
            Ok([]) => {
                this.observation.answered(this.status);
                Poll::Ready(Ok(&[]))
            }
            Ok(bytes) => {
                this.observation.piece(&bytes[this.seen..]);
                this.seen = bytes.len();
                Poll::Ready(Ok(bytes))
            }
            Err(error) => {
                this.observation.broken();
                Poll::Ready(Err(error))
            }
        }
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.seen = self.seen.saturating_sub(count);
        Pin::new(&mut self.pipe).consume(count);
    }
}
