//! Response body that one task writes while another reads it.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::io::{BufRead, Read};
use futures_lite::Stream;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Pieces that may wait for the reader; a full channel blocks the sender.
const MAX_QUEUED_PIECES: usize = 4;

/// Reads the pieces of a body in order; an error, or a sender that is dropped before the end of the
/// body, fails the read, which truncates the response.
pub struct Pipe {
    bytes: Vec<u8>,
    /// Closes its channel when the pipe is dropped.
    _guard: Option<Sender<Infallible>>,
    /// Bytes of `bytes` that were consumed.
    consumed: usize,
    receiver: Pin<Box<Receiver<Piece>>>,
}

/// Some bytes of a body, or the error that ends it early.
pub type Piece = io::Result<Vec<u8>>;

impl Pipe {
    /// Returns the sender of the pieces and the pipe; an empty piece ends the body.
    pub fn new() -> (Sender<Piece>, Self) {
        let (sender, receiver) = bounded(MAX_QUEUED_PIECES);
        let pipe = Self {
            bytes: Vec::new(),
            _guard: None,
            consumed: 0,
            receiver: Box::pin(receiver),
        };
        (sender, pipe)
    }

    /// As `new`, with a channel that closes when the pipe is dropped.
    pub fn guarded() -> (Sender<Piece>, Self, Receiver<Infallible>) {
        let (sender, pipe) = Self::new();
        let (guard, dropped) = bounded(1);
        let pipe = Self {
            _guard: Some(guard),
            ..pipe
        };
        (sender, pipe, dropped)
    }
}

impl Read for Pipe {
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

impl BufRead for Pipe {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.consumed == this.bytes.len() {
            match ready!(this.receiver.as_mut().poll_next(context)) {
                Some(piece) => {
                    this.bytes = piece?;
                    this.consumed = 0;
                }
                // The sender was dropped before the empty piece that ends the body: it is truncated.
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        Poll::Ready(Ok(&this.bytes[this.consumed..]))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.consumed += count;
    }
}
