//! Datagrams and streams between almondwell processes: `postcard` messages, sealed with a shared key.

mod connection;
mod error;
mod memory;
mod seal;
mod socket;
mod traffic;

pub use connection::{Connection, MAX_FRAME};
pub use error::Error;
pub use seal::Seal;
pub use socket::{MAX_DATAGRAM, Socket};
pub use traffic::Traffic;
