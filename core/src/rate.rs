//! Work per time, as an exponentially weighted average.

use std::time::Duration;

/// Time after which old work has lost most of its weight.
const WINDOW: Duration = Duration::from_secs(5);

/// Work per time, as an exponentially weighted average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    at: Duration,
    per_second: f64,
}

impl Rate {
    /// Adds `work` done at `now`.
    pub(crate) fn add(&mut self, now: Duration, work: Duration) {
        self.per_second = self.read(now) + work.as_secs_f64() / WINDOW.as_secs_f64();
        self.at = now;
    }

    /// Seconds of work per second at `now`.
    pub(crate) fn read(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_second * (-age / WINDOW.as_secs_f64()).exp()
    }
}
