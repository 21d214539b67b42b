//! Usage: the requests of each workspace that began in each window of time, counted by every entry, merged by a few.
//!
//! Each process counts for itself; its counts of a window only grow, so that merging by maximum makes lost, repeated
//! and reordered messages harmless. A window that a process has closed has a total: whoever holds counts that add up
//! to it has all of them.

mod collector;
mod recorder;

pub use collector::Collector;
pub use recorder::{Receiver, Recorder};

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of a window: it begins this number of window lengths after the Unix epoch.
pub type Window = u64;

/// Requests that began in one window, by workspace.
pub type Counts = BTreeMap<Box<str>, u64>;

/// Time from the end of a window until an entry closes it, as a share of the delay. Until then, requests that were
/// sent in the window may turn out not to have run.
const CLOSE_SHARE: f64 = 0.1;
/// Time from closing a window until its counts are written to the store if the holder has not acknowledged them.
const STORE_SHARE: f64 = 1.0 / 3.0;
/// Time from the end of a window until the holder looks for missing counts in the store: after [`CLOSE_SHARE`] and
/// [`STORE_SHARE`], with the rest for a slow write.
const LOOK_UP_SHARE: f64 = 0.6;
/// Time from the end of a window until its report is sent without missing counts. The rest is for retries of the
/// call.
const REPORT_SHARE: f64 = 0.75;
/// Latest time of a report that a new holder can still send within the delay.
const LAST_SHARE: f64 = 0.9;
/// Time after the start of its lease for which a holder waits for counts that only a former one had.
const TAKEOVER_SHARE: f64 = 0.25;
/// Time after the start of its lease before which a holder does not take the counts that it has for complete: it may
/// not have heard of every entry.
const DISCOVERY_SHARE: f64 = 0.1;

/// Windows for which counts are kept: without a store no one can report, and a late report is better than none.
const RETENTION: Window = 120;

/// Lengths that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time after the end of a window within which its report has to arrive.
    pub delay: Duration,
    /// Length of a window.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            delay: Duration::from_secs(10),
            window: Duration::from_secs(5),
        }
    }
}

impl Options {
    /// The window that the true time `now` is in.
    pub fn window_at(&self, now: Duration) -> Window {
        let window = now.as_nanos() / self.window.as_nanos().max(1);
        Window::try_from(window).unwrap_or(Window::MAX)
    }

    /// The first window that is not closed at true time `now`.
    pub fn first_open(&self, now: Duration) -> Window {
        self.window_at(now.saturating_sub(self.delay.mul_f64(CLOSE_SHARE)))
    }

    /// Whether counts that are missing from the report of `window` are to be looked up in the store.
    pub fn is_look_up_due(&self, now: Duration, window: Window) -> bool {
        now >= self.end(window) + self.delay.mul_f64(LOOK_UP_SHARE)
    }

    /// Number of windows before the current one whose reports may still be under way.
    pub fn unreported(&self) -> Window {
        let delay = self
            .delay
            .as_nanos()
            .div_ceil(self.window.as_nanos().max(1));
        Window::try_from(delay).unwrap_or(RETENTION).min(RETENTION) + 1
    }

    /// Time from closing a window after which its counts are written to the store.
    fn store_after(&self) -> Duration {
        self.delay.mul_f64(STORE_SHARE)
    }

    /// End of `window` in true time.
    fn end(&self, window: Window) -> Duration {
        let end = self.window.as_nanos() * (u128::from(window) + 1);
        Duration::from_nanos(u64::try_from(end).unwrap_or(u64::MAX))
    }

    /// Time at which the report of `window` is sent even if counts are missing, by a holder whose lease began at
    /// `held_since`.
    fn deadline(&self, window: Window, held_since: Duration) -> Duration {
        let end = self.end(window);
        let regular = end + self.delay.mul_f64(REPORT_SHARE);
        let complete = held_since + self.delay.mul_f64(TAKEOVER_SHARE);
        let last = end + self.delay.mul_f64(LAST_SHARE);
        if held_since >= last {
            // Too late in any case: a correct report is worth the wait.
            complete
        } else {
            complete.clamp(regular, last)
        }
    }
}
