//! Path of a request from a caller to an upstream that is registered on the users' platform.

mod answer;
mod backend;
mod buffer;
mod caller;
mod channel;
mod crash;
mod delivery;
mod dispatch;
mod drain;
pub mod events;
mod fields;
mod figures;
mod follow;
pub mod framing;
mod metrics;
mod pages;
mod peers;
mod place;
mod refusal;
mod relay;
mod request;
mod router;
mod serve;

pub use serve::serve;
