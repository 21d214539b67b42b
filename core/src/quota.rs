//! An entry's share of the requests a second that an upstream takes from all entries together.
//!
//! Entries exchange nothing for it. Each sends at random times, so that the sum over all of them stays near its mean
//! whatever their number is; equal shares would let hundreds of entries send one request each at the same moment.

use std::time::Duration;

/// Share of a limit that entries use. The rest covers chance, and entries that do not know all others.
const UTILIZATION: f64 = 0.6;
/// Least limit per second that is kept. At a limit of 0 no entry would ever learn that it has been lifted.
const MIN_LIMIT: f64 = 0.1;
/// Time for which a permission to send is valid; unused ones must not add up.
const VALIDITY: Duration = Duration::from_secs(1);
/// Longest time until the next permission.
const MAX_GAP: Duration = Duration::from_hours(1);

/// Times at which one entry may send to one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quota {
    /// Start of the current or next permission; `None` before the first limit.
    opens_at: Option<Duration>,
}

impl Quota {
    /// Draws the next permission if there is none or the last one was not used.
    ///
    /// `limit` is the number of requests a second from all `entries`; `draw` is a random number below 1.
    pub fn update(&mut self, now: Duration, limit: f64, entries: usize, draw: f64) {
        if self.opens_at.is_none_or(|at| now >= at + VALIDITY) {
            self.take(now, limit, entries, draw);
        }
    }

    /// Whether a request may be sent at `now`.
    pub fn is_open(&self, now: Duration) -> bool {
        self.opens_at
            .is_some_and(|at| (at..at + VALIDITY).contains(&now))
    }

    /// Uses the current permission and draws the next one, as [`Self::update`] does.
    pub fn take(&mut self, now: Duration, limit: f64, entries: usize, draw: f64) {
        self.opens_at = Some(now + gap(limit, entries, draw));
    }
}

/// Exponentially distributed time until the next permission.
fn gap(limit: f64, entries: usize, draw: f64) -> Duration {
    #[allow(clippy::cast_precision_loss)]
    let entries = entries.max(1) as f64;
    let mean = entries / (UTILIZATION * limit.max(MIN_LIMIT));
    let seconds = -(1.0 - draw).ln() * mean;
    Duration::try_from_secs_f64(seconds).map_or(MAX_GAP, |gap| gap.min(MAX_GAP))
}
