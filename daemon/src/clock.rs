//! Monotonic clock of a process.

use std::time::{Duration, Instant};

/// Measures the time since [`Clock::start`].
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub fn now(self) -> Duration {
        self.start.elapsed()
    }
}
