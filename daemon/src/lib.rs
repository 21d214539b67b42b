//! Shared parts of almondwell's daemons: settings, clock, signals, logs and HTTP responses.

mod arguments;
mod check;
mod clock;
mod counts;
mod disconnect;
mod limiter;
mod logs;
mod pipe;
mod response;
mod signal;

pub use arguments::{Command, parse};
pub use check::{Check, Invalid};
pub use clock::Clock;
pub use counts::Counts;
pub use disconnect::gone;
pub use limiter::{Gate, Pass, speaks};
pub use logs::{close as end_logs, set_up as set_up_logs};
pub use pipe::{Piece, Pipe};
pub use response::{json, metrics};
pub use signal::{Signal, signals, stop};
