//! Bytes of one request, as a stream that the HTTP library decodes.

use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Bytes already read, followed by the connection unless the request is complete.
///
/// Writes are dropped: the decoder writes nothing but `100 Continue`, which the head's check has sent.
#[derive(Clone)]
pub(crate) struct Inbound {
    bytes: Arc<Vec<u8>>,
    read: usize,
    rest: Option<TcpStream>,
}

impl Inbound {
    pub(crate) fn new(bytes: Vec<u8>, rest: Option<TcpStream>) -> Self {
        Self {
            bytes: Arc::new(bytes),
            read: 0,
            rest,
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
        let left = &this.bytes[this.read..];
        if left.is_empty()
            && let Some(tcp) = &mut this.rest
        {
            return Pin::new(tcp).poll_read(context, buffer);
        }
        let count = left.len().min(buffer.len());
        buffer[..count].copy_from_slice(&left[..count]);
        this.read += count;
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
