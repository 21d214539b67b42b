//! Clocks of a process.

use rustix::time::{ClockId, clock_gettime};
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

/// Time since the machine was started, including the time for which it was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    pub fn now(self) -> Duration {
        // The clock starts at 0, so that its time is never negative.
        clock_gettime(ClockId::Boottime)
            .try_into()
            .unwrap_or_default()
    }
}
