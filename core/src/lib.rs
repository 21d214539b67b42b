//! Decisions of almondwell with no I/O: callers pass in the time and the randomness.

pub mod burn;
mod queue;
mod sampler;

pub use queue::{Answer, Offer, Queue, Reservation};
pub use sampler::sample;
