//! Retry budget of one entry: its share of the retries that all entries may send to a service.
//!
//! The bound holds in every sliding window: attempts beyond the first of each request are at most a
//! ratio of the requests plus a fixed allowance. Each entry limits its retries to that ratio of its own
//! requests plus an equal share of the allowance, so entries need not exchange retry counts.

use std::collections::VecDeque;
use std::time::Duration;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries per window that all entries together may send on top of the ratio.
    pub allowance: f64,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Fraction of the bound that is used; the rest covers requests that cross a window's edge.
    pub utilization: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            allowance: 50.0,
            ratio: 0.2,
            utilization: 0.7,
            window: Duration::from_secs(10),
        }
    }
}

/// Recent requests to one service and their retries, as one entry sent them.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    /// Times of the retries in the window, oldest first.
    retry_times: VecDeque<Duration>,
    /// Times of the requests in the window, oldest first.
    request_times: VecDeque<Duration>,
    options: Options,
}

impl Retries {
    /// Creates a budget without requests and retries.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records a caller's request at `now`.
    pub fn record_request(&mut self, now: Duration) {
        self.expire(now);
        self.request_times.push_back(now);
    }

    /// Takes one retry at `now` with `entries` sharing the allowance; `false` if the budget is spent.
    ///
    /// `uptime` is the time since this entry started: a restarted entry does not know what it sent
    /// before, so its share of the allowance ramps up from zero over one window.
    pub fn take(&mut self, now: Duration, entries: usize, uptime: Duration) -> bool {
        self.expire(now);
        let Options {
            allowance,
            ratio,
            utilization,
            window,
        } = self.options;
        let ramp = (uptime.as_secs_f64() / window.as_secs_f64()).min(1.0);
        #[allow(clippy::cast_precision_loss)]
        let bound =
            ratio * self.request_times.len() as f64 + ramp * allowance / entries.max(1) as f64;
        #[allow(clippy::cast_precision_loss)]
        let next = (self.retry_times.len() + 1) as f64;
        if next > bound * utilization {
            return false;
        }
        self.retry_times.push_back(now);
        true
    }

    fn expire(&mut self, now: Duration) {
        let start = now.saturating_sub(self.options.window);
        while self.request_times.front().is_some_and(|at| *at < start) {
            self.request_times.pop_front();
        }
        while self.retry_times.front().is_some_and(|at| *at < start) {
            self.retry_times.pop_front();
        }
    }
}
