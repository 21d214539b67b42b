//! Routes callers' requests to upstreams that are registered with the platform, and relays their responses.
//!
//! An entry is one router process. An engine is an upstream that runs a language model.

pub mod active;
mod addresses;
mod backend;
mod body;
mod buffer;
mod caller;
mod cause_objects;
mod client;
mod clients;
mod connection;
mod connection_limit;
mod continuation;
mod crash;
mod delivery;
mod demand;
mod dispatch;
mod drain;
mod duties;
mod endpoints;
pub mod events;
mod exchange;
mod fetches;
pub mod framing;
mod history;
mod lifetime;
mod loads;
mod metrics;
mod overload;
mod peers;
mod refusal;
mod relay;
mod reports;
mod request;
mod request_head;
mod response;
mod router;
mod segments;
mod selection;
mod send_log;
mod serve;
mod services;
mod slots;
mod stopping;
mod stream_objects;
mod streams;
mod upload;
mod usage;
mod version_objects;
mod watch;
mod zones;

pub use serve::serve;
