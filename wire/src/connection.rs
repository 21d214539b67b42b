//! TCP connection that carries frames.

use crate::memory::Hold;
use crate::traffic::{RECEIVED, SENT};
use crate::{Error, Seal};
use almondwell_schema::Frame;
use async_std::future::timeout;
use async_std::io::prelude::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest frame in bytes, seal included.
pub const MAX_FRAME: usize = 5 << 20;

/// Bytes of a frame that are read at once.
const STEP: usize = 64 << 10;
const LENGTH: usize = size_of::<u32>();

/// A TCP connection whose frames are prefixed with their length (`u32`, little endian).
pub struct Connection {
    seal: Seal,
    tcp: TcpStream,
}

impl Connection {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr, seal: Seal) -> Result<Self, Error> {
        Self::over(TcpStream::connect(address).await?, seal)
    }

    /// Carries frames over an accepted connection.
    pub fn over(tcp: TcpStream, seal: Seal) -> Result<Self, Error> {
        tcp.set_nodelay(true)?;
        Ok(Self { seal, tcp })
    }

    /// The other end's address.
    pub fn peer(&self) -> Result<SocketAddr, Error> {
        Ok(self.tcp.peer_addr()?)
    }

    /// The connection under the frames.
    pub const fn tcp(&self) -> &TcpStream {
        &self.tcp
    }

    /// Reads the next frame, or `None` when the other end has closed between frames.
    ///
    /// A read that is dropped halfway leaves the connection unusable.
    pub async fn read(&mut self) -> Result<Option<Frame>, Error> {
        match self.first_byte().await? {
            Some(first) => self.rest(first).await.map(Some),
            None => Ok(None),
        }
    }

    /// As `read`, but waits no longer than `idle` for a frame and `limit` for the rest of it.
    pub async fn read_within(
        &mut self,
        idle: Duration,
        limit: Duration,
    ) -> Result<Option<Frame>, Error> {
        let first = timeout(idle, self.first_byte())
            .await
            .map_err(|_| late())??;
        match first {
            Some(first) => timeout(limit, self.rest(first))
                .await
                .map_err(|_| late())?
                .map(Some),
            None => Ok(None),
        }
    }

    async fn first_byte(&mut self) -> Result<Option<u8>, Error> {
        let mut first = [0];
        let read = self.tcp.read(&mut first).await?;
        Ok((read > 0).then_some(first[0]))
    }

    async fn rest(&mut self, first: u8) -> Result<Frame, Error> {
        let mut length = [first; LENGTH];
        self.tcp.read_exact(&mut length[1..]).await?;
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_FRAME {
            return Err(Error::TooLong(length));
        }
        let sealed = self.read_sealed(length).await?;
        RECEIVED.count_frame(LENGTH + length);
        let message = self.seal.open(&sealed)?;
        postcard::from_bytes(message).map_err(Error::Malformed)
    }

    /// Grows with what arrives, so that a forged length reserves no memory.
    async fn read_sealed(&mut self, length: usize) -> Result<Vec<u8>, Error> {
        let mut sealed = Vec::new();
        let mut hold = Hold::default();
        while sealed.len() < length {
            let step = STEP.min(length - sealed.len());
            hold.grow(step).map_err(io)?;
            let read = (&mut self.tcp)
                .take(step as u64)
                .read_to_end(&mut sealed)
                .await?;
            if read < step {
                return Err(io(ErrorKind::UnexpectedEof));
            }
        }
        Ok(sealed)
    }

    /// Writes one frame.
    pub async fn write(&mut self, frame: &Frame) -> Result<(), Error> {
        let mut message = vec![0; LENGTH];
        message = postcard::to_extend(frame, message).map_err(Error::Malformed)?;
        let mut sealed = message.split_off(LENGTH);
        self.seal.close(&mut sealed);
        if sealed.len() > MAX_FRAME {
            return Err(Error::TooLong(sealed.len()));
        }
        let length = u32::try_from(sealed.len()).map_err(|_| Error::TooLong(sealed.len()))?;
        message.copy_from_slice(&length.to_le_bytes());
        message.extend_from_slice(&sealed);
        self.tcp.write_all(&message).await?;
        SENT.count_frame(message.len());
        Ok(())
    }
}

fn io(kind: ErrorKind) -> Error {
    Error::Io(kind.into())
}

fn late() -> Error {
    io(ErrorKind::TimedOut)
}
