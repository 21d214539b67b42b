//! Registered upstreams.

use std::net::SocketAddr;

/// Identifier of one incarnation of an upstream.
pub type UpstreamId = Box<str>;

/// Lifecycle state of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It finishes its running requests and accepts no new ones.
    Draining,
    /// It accepts requests.
    Ready,
}

/// One registered upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Address for requests.
    pub address: SocketAddr,
    /// Identifier of this incarnation.
    pub id: UpstreamId,
    /// Name of its service.
    pub service: Box<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time in milliseconds since the Unix epoch, if registered.
    pub started_ms: Option<u64>,
    /// Whether it accepts new requests.
    pub state: State,
    /// Version of its software, a text without an order.
    pub version: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
}
