//! Request on its way to an upstream.

use crate::body::Body;
use async_std::io::{self, WriteExt};
use async_std::net::TcpStream;

/// What is left to write of a request. Writing may be interrupted and goes on where it stopped.
pub(crate) struct Upload<'a> {
    body: &'a Body,
    /// The head and the first piece of the body, which share a packet.
    first: Vec<u8>,
    /// Bytes written of the current piece.
    written: usize,
    /// Pieces of the body that were written, with the one in `first`.
    pieces: usize,
}

impl<'a> Upload<'a> {
    pub(crate) fn new(mut head: Vec<u8>, body: &'a Body) -> Self {
        head.extend_from_slice(body.piece(0).unwrap_or_default());
        Self {
            body,
            first: head,
            written: 0,
            pieces: 0,
        }
    }

    /// Whether everything was written.
    pub(crate) fn is_done(&self) -> bool {
        self.rest().is_none()
    }

    /// Writes what is left.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub(crate) async fn write(&mut self, mut stream: &TcpStream) -> io::Result<()> {
        while let Some(rest) = self.rest() {
            let length = rest.len();
            let count = stream.write(rest).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.written += count;
            if count == length {
                self.written = 0;
                self.pieces += 1;
                // Nothing that was copied stays until the response ends.
                self.first = Vec::new();
            }
        }
        Ok(())
    }

    /// The rest of the current piece; `None` after the last one.
    fn rest(&self) -> Option<&[u8]> {
        let piece = match self.pieces {
            0 => Some(&*self.first),
            pieces => self.body.piece(pieces),
        };
        piece.map(|piece| &piece[self.written..])
    }
}
