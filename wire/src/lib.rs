//! Datagrams (UDP) and streams of frames (TCP) between almondwell processes. Messages are encoded with
//! `postcard` and authenticated with a shared key. What all readers of HTTP/1.1 messages have in common is here, too.

mod connection;
mod error;
pub mod fields;
mod framing;
mod inflow;
mod memory;
mod reply;
mod seal;
mod socket;
mod status;
mod traffic;
mod turn;

pub use connection::{Connection, MAX_FRAME_BYTES};
pub use error::Error;
pub use framing::Framing;
pub use inflow::{Allowance, Inflow};
pub use memory::limit_frame_memory;
pub use reply::Reply;
pub use seal::Seal;
pub use socket::{MAX_DATAGRAM_BYTES, Socket};
pub use status::Status;
pub use traffic::Traffic;
pub use turn::Turn;
