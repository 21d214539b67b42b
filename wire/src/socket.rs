//! Datagrams over UDP.

use crate::traffic::{RECEIVED, SENT};
use crate::{Error, Seal, Turn};
use almondwell_schema::Datagram;
use async_std::net::UdpSocket;
use futures_lite::future::{block_on, poll_once};
use std::net::SocketAddr;
use std::pin::pin;

/// Maximum length of a datagram in bytes, authentication tag included; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// A UDP socket that sends and receives authenticated datagrams.
pub struct Socket {
    seal: Seal,
    turn: Turn,
    udp: UdpSocket,
}

impl Socket {
    /// Binds to `address`.
    pub async fn bind(address: SocketAddr, seal: Seal) -> Result<Self, Error> {
        let udp = UdpSocket::bind(address).await?;
        Ok(Self {
            seal,
            turn: Turn::default(),
            udp,
        })
    }

    /// Address the socket is bound to.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.udp.local_addr()?)
    }

    /// Receives the next datagram with its sender's address. After an error about an invalid datagram
    /// ([`Error::Forged`], [`Error::Malformed`]), the socket can still be used.
    pub async fn receive(&self) -> Result<(Datagram, SocketAddr), Error> {
        self.turn.wait().await;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, from) = self.udp.recv_from(&mut buffer).await?;
        RECEIVED.count_datagram(length);
        let message = self.seal.verify(&buffer[..length])?;
        let datagram = postcard::from_bytes(message).map_err(Error::Malformed)?;
        Ok((datagram, from))
    }

    /// Sends `datagram` to `to` without a delivery guarantee.
    pub async fn send(&self, datagram: &Datagram, to: SocketAddr) -> Result<(), Error> {
        let message = self.encode(datagram)?;
        self.udp.send_to(&message, to).await?;
        SENT.count_datagram(message.len());
        Ok(())
    }

    /// Sends `datagram` to `to` without waiting; returns whether the socket accepted it immediately.
    pub fn send_now(&self, datagram: &Datagram, to: SocketAddr) -> bool {
        let Ok(message) = self.encode(datagram) else {
            return false;
        };
        let send = pin!(self.udp.send_to(&message, to));
        let is_sent = matches!(block_on(poll_once(send)), Some(Ok(_)));
        if is_sent {
            SENT.count_datagram(message.len());
        }
        is_sent
    }

    fn encode(&self, datagram: &Datagram) -> Result<Vec<u8>, Error> {
        let mut message = postcard::to_stdvec(datagram).map_err(Error::Malformed)?;
        self.seal.append_tag(&mut message);
        if message.len() > MAX_DATAGRAM_BYTES {
            return Err(Error::TooLong(message.len()));
        }
        Ok(message)
    }
}
