//! Token bucket for the bytes sent over the link between regions.

use std::time::Duration;

/// Capacity of the bucket, as time at the full rate.
const BURST: Duration = Duration::from_secs(2);

/// This entry's share of the link's byte rate: the rate divided by the number of entries in the region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkBudget {
    updated_at: Duration,
    available_bytes: f64,
    bytes_per_second: f64,
}

impl LinkBudget {
    /// A full bucket with a rate in bytes per second.
    pub fn new(bytes_per_second: u64) -> Self {
        let bytes_per_second = u32::try_from(bytes_per_second).unwrap_or(u32::MAX).into();
        Self {
            updated_at: Duration::ZERO,
            available_bytes: bytes_per_second * BURST.as_secs_f64(),
            bytes_per_second,
        }
    }

    /// Sets the rate in bytes per second when the number of entries changes.
    pub fn set_rate(&mut self, bytes_per_second: u64) {
        self.bytes_per_second = u32::try_from(bytes_per_second).unwrap_or(u32::MAX).into();
    }

    /// Takes `bytes` at `now`; `false` if fewer are available.
    pub fn take(&mut self, now: Duration, bytes: u32) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let capacity = self.bytes_per_second * BURST.as_secs_f64();
        self.available_bytes =
            (self.available_bytes + elapsed * self.bytes_per_second).min(capacity);
        self.updated_at = now;
        let bytes = f64::from(bytes);
        if bytes > self.available_bytes {
            return false;
        }
        self.available_bytes -= bytes;
        true
    }
}
