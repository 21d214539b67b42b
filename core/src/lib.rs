//! Decisions of almondwell with no I/O: callers pass in the time and the randomness.

pub mod burn;
pub mod ledger;
pub mod membership;
mod membership_pulse;
mod membership_subset;
pub mod quarantine;
mod queue;
mod sampler;
pub mod stored;

pub use membership::Membership;
pub use membership_pulse::Pulse;
pub use membership_subset::{subset, weight};
pub use queue::{Answer, Offer, Queue, Reservation};
pub use sampler::sample;
