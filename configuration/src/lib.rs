//! The published configuration. Every process holds a replica, whose version never decreases.
//!
//! A few processes watch the store. The others learn of a new version from any datagram that
//! carries one, and fetch it from the sender. A process that starts while the store is unavailable
//! takes the newest configuration that its peers hold.

mod fetch;
mod gossip;
mod node;
mod replica;
mod watch;

pub use fetch::{answer, join};
pub use gossip::{observe_version, run as gossip};
pub use node::Node;
pub use replica::{Document, Replica};
pub use watch::run as watch;

/// Key of the configuration in the store.
pub const KEY: &str = "config/current";
