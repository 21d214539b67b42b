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
mod response;
mod signal;

pub use arguments::{Command, parse};
pub use bind::{Unbound, listen, until_bound, until_bound_or_stopped};
pub use check::{Check, Invalid};
pub use clock::{BootClock, Clock};
pub use counters::Counters;
pub use disconnect::disconnected;
pub use limiter::{Limiter, Permit, sends_first_byte};
pub use logs::{close as close_logs, set_up as set_up_logs};
pub use pipe::{Piece, Pipe};
pub use response::{json, metrics};
pub use signal::{Signal, signals, wait_for_stop};
