//! Shared parts of almondwell's daemons: settings, clock, signals, logs and HTTP responses.

mod arguments;
mod bind;
mod check;
mod clock;
mod counters;
mod disconnect;
mod limiter;
mod logs;
mod pipe;
mod process;
mod response;
mod signal;
mod tasks;

pub use arguments::Command;
pub use bind::{Unbound, listen, until_bound, until_bound_or_stopped};
pub use check::{Check, Invalid};
pub use clock::{BootClock, Clock};
pub use counters::Counters;
pub use disconnect::disconnected;
pub use limiter::{Limiter, Permit, sends_first_byte};
pub use pipe::{Piece, Pipe};
pub use process::{descriptor_limit, open_descriptors, peak_memory_kib, print_error, run};
pub use response::{json, metrics};
pub use signal::{Signal, signals, wait_for_stop};
pub use tasks::keep;
