//! The bytes of one request as a stream for the HTTP decoder.

use almondwell_wire::Inflow;
use async_std::io::{Read, Write};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Bytes already read, followed by the connection if the request is still incomplete.
///
/// Writes are discarded: the decoder writes only `100 Continue`, which `receive` has already sent.
#[derive(Clone)]
pub(crate) struct Inbound {
    bytes: Arc<Vec<u8>>,
    position: usize,
    connection: Option<Inflow>,
}

impl Inbound {
    pub(crate) fn new(bytes: Vec<u8>, connection: Option<Inflow>) -> Self {
        Self {
            bytes: Arc::new(bytes),
            position: 0,
            connection,
        }
    }
}

impl Read for Inbound {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let unread = &this.bytes[this.position..];
        if unread.is_empty()
            && let Some(inflow) = &mut this.connection
        {
            return Pin::new(inflow).poll_read(context, buffer);
        }
        let count = unread.len().min(buffer.len());
        buffer[..count].copy_from_slice(&unread[..count]);
        this.position += count;
        Poll::Ready(Ok(count))
    }
}

impl Write for Inbound {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
