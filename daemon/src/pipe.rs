//! Body of an answer that is written elsewhere while it is read.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::io::{BufRead, Read};
use futures_lite::Stream;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

const PIECES: usize = 4;

/// Reads the pieces of a body in order; an error or a missing end breaks the answer off.
pub struct Pipe {
    bytes: Vec<u8>,
    /// Closes its channel with the pipe.
    _guard: Option<Sender<Infallible>>,
    read: usize,
    receiver: Pin<Box<Receiver<Piece>>>,
}

/// One piece of a body.
pub type Piece = io::Result<Vec<u8>>;

impl Pipe {
    /// A pipe and the sender of its pieces; an empty piece ends the body.
    pub fn new() -> (Sender<Piece>, Self) {
        let (sender, receiver) = bounded(PIECES);
        let pipe = Self {
            bytes: Vec::new(),
            _guard: None,
            read: 0,
            receiver: Box::pin(receiver),
        };
        (sender, pipe)
    }

    /// A pipe, the sender of its pieces and a channel that closes when the pipe is dropped.
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
        if this.read == this.bytes.len() {
            match ready!(this.receiver.as_mut().poll_next(context)) {
                Some(piece) => {
                    this.bytes = piece?;
                    this.read = 0;
                }
                // The sender went without an end: the answer is not whole.
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        Poll::Ready(Ok(&this.bytes[this.read..]))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.read += count;
    }
}
