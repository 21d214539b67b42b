//! The published configuration: every process holds a copy, and a version never goes back.
//!
//! A few processes watch the store; the others learn of a new version from any datagram that
//! carries one, and fetch it from its sender. While the store is down, a process that starts
//! takes the newest configuration that its peers hold.

mod fetch;
mod gossip;
mod node;
mod replica;
mod watch;

pub use fetch::{answer, join};
pub use gossip::{heard, run as gossip};
pub use node::Node;
pub use replica::{Held, Replica};
pub use watch::run as watch;

/// Key of the configuration in the store.
pub const KEY: &str = "config/current";
