//! Routes callers' requests to upstreams that are registered with the platform, and relays their responses.
//!
//! An entry is one router process. An engine is an upstream that runs a language model.

mod backend;
mod buffer;
mod caller;
mod cause_objects;
mod connection;
mod crash;
mod delivery;
mod dispatch;
mod drain;
mod duties;
mod endpoints;
pub mod events;
mod fields;
pub mod framing;
mod metrics;
mod overload;
mod peers;
mod refusal;
mod relay;
mod reports;
mod request;
mod response;
mod router;
mod selection;
mod send_log;
mod serve;
mod services;
mod usage;
mod watch;

pub use serve::serve;
