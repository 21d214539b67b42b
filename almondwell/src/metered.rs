//! A streamed body that is measured on its way to the caller.

use crate::observation::Observation;
use almondwell_daemon::Pipe;
use async_std::io::{BufRead, Read};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Reads from the pipe and reports chunks and the end to the observation.
pub(crate) struct Metered {
    observation: Observation,
    pipe: Pipe,
    /// Bytes reported to the observation but not yet consumed by the reader.
    reported: usize,
    status: u16,
}

impl Metered {
    pub(crate) const fn new(observation: Observation, pipe: Pipe, status: u16) -> Self {
        Self {
            observation,
            pipe,
            reported: 0,
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
                this.observation.record_end(this.status);
                Poll::Ready(Ok(&[]))
            }
            Ok(bytes) => {
                this.observation.record_chunk(&bytes[this.reported..]);
                this.reported = bytes.len();
                Poll::Ready(Ok(bytes))
            }
            Err(error) => {
                this.observation.record_failure();
                Poll::Ready(Err(error))
            }
        }
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.reported = self.reported.saturating_sub(count);
        Pin::new(&mut self.pipe).consume(count);
    }
}
