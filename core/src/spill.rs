//! Byte budget for the link between regions.

use std::time::Duration;

/// Time over which unused bytes are kept.
const BURST: Duration = Duration::from_secs(2);

/// This entry's part of the link's byte rate: the rate over the number of entries in the region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spill {
    at: Duration,
    bytes: f64,
    rate: f64,
}

impl Spill {
    /// A budget of `rate` bytes per second.
    pub fn new(rate: u64) -> Self {
        let rate = u32::try_from(rate).unwrap_or(u32::MAX).into();
        Self {
            at: Duration::ZERO,
            bytes: rate * BURST.as_secs_f64(),
            rate,
        }
    }

    /// Changes the part when entries come or go.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = u32::try_from(rate).unwrap_or(u32::MAX).into();
    }

    /// Takes `bytes` out at `now`; `false` when they do not fit.
    pub fn spend(&mut self, now: Duration, bytes: u32) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let limit = self.rate * BURST.as_secs_f64();
        self.bytes = (self.bytes + passed * self.rate).min(limit);
        self.at = now;
        let bytes = f64::from(bytes);
        if bytes > self.bytes {
            return false;
        }
        self.bytes -= bytes;
        true
    }
}
