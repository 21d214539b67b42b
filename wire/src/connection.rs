//! Frames over TCP.

use crate::memory::Reservation;
use crate::traffic::{RECEIVED, SENT};
use crate::{Error, Seal, Turn};
use almondwell_schema::Frame;
use async_std::future::timeout;
use async_std::io::prelude::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum length of a frame in bytes, authentication tag included, length prefix not.
pub const MAX_FRAME_BYTES: usize = 5 << 20;

/// Bytes of a frame that are read or written, and memory that is reserved, at a time.
const STEP_BYTES: usize = 64 << 10;
const LENGTH_PREFIX_BYTES: usize = size_of::<u32>();

/// A TCP connection whose frames are prefixed with their length (`u32`, little endian).
pub struct Connection {
    seal: Seal,
    tcp: TcpStream,
    turn: Turn,
}

impl Connection {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr, seal: Seal) -> Result<Self, Error> {
        Self::from_tcp(TcpStream::connect(address).await?, seal)
    }

    /// Wraps an accepted connection and disables Nagle's algorithm on it.
    pub fn from_tcp(tcp: TcpStream, seal: Seal) -> Result<Self, Error> {
        tcp.set_nodelay(true)?;
        Ok(Self {
            seal,
            tcp,
            turn: Turn::default(),
        })
    }

    /// Address of the peer.
    pub fn peer(&self) -> Result<SocketAddr, Error> {
        Ok(self.tcp.peer_addr()?)
    }

    /// The underlying TCP connection.
    pub const fn tcp(&self) -> &TcpStream {
        &self.tcp
    }

    /// Reads the next frame; `None` when the peer has closed the connection between frames.
    ///
    /// Not cancellation-safe: dropping an unfinished read loses part of a frame and leaves the connection
    /// unusable.
    pub async fn read(&mut self) -> Result<Option<Frame>, Error> {
        match self.read_first_byte().await? {
            Some(first) => self.read_rest(first, None).await.map(Some),
            None => Ok(None),
        }
    }

    /// As `read`, but fails with [`ErrorKind::TimedOut`] if no frame starts within `idle`, or the rest of it
    /// does not arrive within `limit`.
    pub async fn read_within(
        &mut self,
        idle: Duration,
        limit: Duration,
    ) -> Result<Option<Frame>, Error> {
        let first = timeout(idle, self.read_first_byte())
            .await
            .map_err(|_| timed_out())??;
        match first {
            Some(first) => timeout(limit, self.read_rest(first, None))
                .await
                .map_err(|_| timed_out())?
                .map(Some),
            None => Ok(None),
        }
    }

    /// As `read`, but fails with [`ErrorKind::TimedOut`] if no frame starts within `idle`, or one of its steps of 64 KiB
    /// does not arrive within `step`. A long frame may so take long, while bytes arrive.
    pub async fn read_steadily(
        &mut self,
        idle: Duration,
        step: Duration,
    ) -> Result<Option<Frame>, Error> {
        let first = timeout(idle, self.read_first_byte())
            .await
            .map_err(|_| timed_out())??;
        match first {
            Some(first) => self.read_rest(first, Some(step)).await.map(Some),
            None => Ok(None),
        }
    }

    async fn read_first_byte(&mut self) -> Result<Option<u8>, Error> {
        self.turn.wait().await;
        let mut first = [0];
        let read = self.tcp.read(&mut first).await?;
        Ok((read > 0).then_some(first[0]))
    }

    async fn read_rest(&mut self, first: u8, step: Option<Duration>) -> Result<Frame, Error> {
        let mut length = [first; LENGTH_PREFIX_BYTES];
        within(step, self.tcp.read_exact(&mut length[1..])).await?;
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::TooLong(length));
        }
        let sealed = self.read_sealed(length, step).await?;
        RECEIVED.count_frame(LENGTH_PREFIX_BYTES + length);
        let message = self.seal.verify(&sealed)?;
        postcard::from_bytes(message).map_err(Error::Malformed)
    }

    /// Reads a message with its tag. Memory is reserved as bytes arrive, so that a forged length alone
    /// reserves none beyond one step.
    async fn read_sealed(
        &mut self,
        length: usize,
        step_limit: Option<Duration>,
    ) -> Result<Vec<u8>, Error> {
        let mut sealed = Vec::new();
        let mut reservation = Reservation::default();
        while sealed.len() < length {
            self.turn.wait().await;
            let step = STEP_BYTES.min(length - sealed.len());
            reservation.grow(step).map_err(io_error)?;
            let mut part = (&mut self.tcp).take(step as u64);
            let read = within(step_limit, part.read_to_end(&mut sealed)).await?;
            if read < step {
                return Err(io_error(ErrorKind::UnexpectedEof));
            }
        }
        Ok(sealed)
    }

    /// Writes one frame; fails with [`Error::TooLong`] beyond [`MAX_FRAME_BYTES`].
    pub async fn write(&mut self, frame: &Frame) -> Result<(), Error> {
        let message = self.encode(frame)?;
        self.tcp.write_all(&message).await?;
        SENT.count_frame(message.len());
        Ok(())
    }

    /// As `write`, but fails with [`ErrorKind::TimedOut`] if the system does not take one of its steps of 64 KiB within
    /// `step`.
    pub async fn write_steadily(&mut self, frame: &Frame, step: Duration) -> Result<(), Error> {
        let message = self.encode(frame)?;
        for part in message.chunks(STEP_BYTES) {
            within(Some(step), self.tcp.write_all(part)).await?;
        }
        SENT.count_frame(message.len());
        Ok(())
    }

    fn encode(&self, frame: &Frame) -> Result<Vec<u8>, Error> {
        let mut message = vec![0; LENGTH_PREFIX_BYTES];
        message = postcard::to_extend(frame, message).map_err(Error::Malformed)?;
        let mut sealed = message.split_off(LENGTH_PREFIX_BYTES);
        self.seal.append_tag(&mut sealed);
        if sealed.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLong(sealed.len()));
        }
        let length = u32::try_from(sealed.len()).map_err(|_| Error::TooLong(sealed.len()))?;
        message.copy_from_slice(&length.to_le_bytes());
        message.extend_from_slice(&sealed);
        Ok(message)
    }
}

/// The result of `operation`, or [`ErrorKind::TimedOut`] after `limit`.
async fn within<T>(
    limit: Option<Duration>,
    operation: impl Future<Output = std::io::Result<T>>,
) -> Result<T, Error> {
    match limit {
        Some(limit) => Ok(timeout(limit, operation).await.map_err(|_| timed_out())??),
        None => Ok(operation.await?),
    }
}

fn io_error(kind: ErrorKind) -> Error {
    Error::Io(kind.into())
}

fn timed_out() -> Error {
    io_error(ErrorKind::TimedOut)
}
