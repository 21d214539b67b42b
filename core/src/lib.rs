//! Decisions of almondwell with no I/O: callers pass in the time and the randomness.

mod binding;
mod budget;
pub mod burn;
mod directory;
mod flow;
mod lane;
pub mod ledger;
mod lengths;
pub mod membership;
mod membership_pulse;
mod membership_subset;
mod offers;
mod pace;
pub mod quarantine;
mod queue;
mod rate;
mod reservation;
mod sampler;
mod settings;
mod spill;
pub mod stored;

pub use binding::{Binding, Step};
pub use budget::Budget;
pub use directory::{Directory, Site};
pub use lengths::Lengths;
pub use membership::Membership;
pub use membership_pulse::Pulse;
pub use membership_subset::{subset, weight};
pub use pace::Pace;
pub use queue::Queue;
pub use reservation::{Answer, Offer, Reservation};
pub use sampler::sample;
pub use settings::Settings;
pub use spill::Spill;
