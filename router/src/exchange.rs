//! One request and its response on a connection to an upstream.

use crate::connection::{Connection, Error};
use crate::framing::{Decoder, Framing};
use crate::request::Request;
use crate::response::{Head, MAX_HEAD_BYTES};
use crate::upload::Upload;
use async_std::io;
use futures_lite::future::{or, pending};

/// A request and its response. An upstream may respond before it has read a long request, so both directions go on until
/// the response ends.
pub(crate) struct Exchange<'a> {
    connection: Connection,
    /// Whether writing the request failed.
    has_failed: bool,
    method: &'a str,
    upload: Upload<'a>,
}

impl<'a> Exchange<'a> {
    /// An exchange of `request` with the encoded `head`.
    pub(crate) fn new(connection: Connection, head: Vec<u8>, request: &'a Request) -> Self {
        Self {
            connection,
            has_failed: false,
            method: &request.method,
            upload: Upload::new(head, &request.body),
        }
    }

    /// Sends the request until the head of the response arrives, and reads the head.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the head is invalid. A response whose body is longer than `max_body` bytes
    /// fails, here or in [`Self::read_body`].
    pub(crate) async fn read_head(&mut self, max_body: u64) -> Result<Head, Error> {
        let Self {
            connection,
            method,
            upload,
            ..
        } = self;
        // Bounds all interim responses and the final head together.
        connection.buffer.allow(MAX_HEAD_BYTES as u64);
        let stream = connection.buffer.stream().clone();
        let write = async {
            upload.write(&stream).await?;
            pending().await
        };
        let head = or(write, connection.read_head(method)).await?;
        if matches!(head.framing, Framing::Length(length) if length > max_body) {
            return Err(Error::TooLong);
        }
        connection.buffer.allow(max_body);
        Ok(head)
    }

    /// Decodes received bytes into `body`, reading once if there are none; returns whether the body is
    /// complete.
    ///
    /// One that ends with the connection is complete only if the upstream takes the rest of the request: otherwise it
    /// resets the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or ends early, or the body is malformed or too long.
    pub(crate) async fn read_body(
        &mut self,
        decoder: &mut Decoder,
        body: &mut Vec<u8>,
    ) -> Result<bool, Error> {
        self.decode(decoder, body)?;
        if decoder.is_done() || !body.is_empty() {
            return Ok(decoder.is_done());
        }
        match self.fill().await? {
            0 if decoder.ends_with_connection() => {
                let stream = self.connection.buffer.stream().clone();
                if self.has_failed || self.upload.write(&stream).await.is_err() {
                    return Err(Error::Early);
                }
                return Ok(true);
            }
            0 => return Err(Error::Closed),
            _ => {}
        }
        self.decode(decoder, body)?;
        Ok(decoder.is_done())
    }

    /// Reads once, and writes the rest of the request meanwhile. An upstream that takes no more of it may still have
    /// responded completely.
    async fn fill(&mut self) -> io::Result<usize> {
        let Self {
            connection,
            has_failed,
            upload,
            ..
        } = self;
        if *has_failed || upload.is_done() {
            return connection.buffer.fill().await;
        }
        let stream = connection.buffer.stream().clone();
        let write = async {
            *has_failed = upload.write(&stream).await.is_err();
            pending().await
        };
        or(connection.buffer.fill(), write).await
    }

    fn decode(&mut self, decoder: &mut Decoder, body: &mut Vec<u8>) -> Result<(), Error> {
        let buffer = &mut self.connection.buffer;
        let used = decoder
            .decode(buffer.bytes(), body)
            .map_err(|_| Error::InvalidResponse)?;
        buffer.consume(used);
        Ok(())
    }

    /// Whether the upstream has reset the connection, also after it closed its own direction.
    pub(crate) fn is_reset(&self) -> bool {
        self.connection.is_reset()
    }

    /// The connection for reuse after a complete response; `None` if it cannot be reused.
    pub(crate) fn into_idle(self, head: &Head) -> Option<Connection> {
        let is_sent = self.upload.is_done() && !self.has_failed;
        is_sent.then(|| self.connection.into_idle(head)).flatten()
    }
}
