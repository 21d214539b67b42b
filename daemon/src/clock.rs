//! The clock of the runtime.

use std::time::{Duration, Instant};

/// Time since the process started.
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
