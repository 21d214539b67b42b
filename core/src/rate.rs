//! Exponentially decayed rate of work.

use std::time::Duration;

/// Time constant of the decay.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Exponentially weighted average of the seconds of work per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    updated_at: Duration,
    per_second: f64,
}

impl Rate {
    /// Adds `work` done at `now`.
    pub(crate) fn add(&mut self, now: Duration, work: Duration) {
        self.per_second = self.value(now) + work.as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Seconds of work per second at `now`.
    pub(crate) fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_second * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
