//! How long recent answers took, to tell whether another one is likely to end before the process does.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Parameters of [`AnswerTimes`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of answers from which the times of a class are used.
    pub min_answers: u64,
    /// Share of the recent answers of a class that were no longer than its expected time.
    pub quantile: f64,
    /// Time after which answers begin to be forgotten.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_answers: 20,
            quantile: 0.95,
            window: Duration::from_mins(1),
        }
    }
}

/// Longest time that a histogram distinguishes.
const MAX_TIME_MS: u64 = 3_600_000;
/// Decimal precision of a histogram.
const SIGNIFICANT_DIGITS: u8 = 1;

type Window<K> = BTreeMap<K, Histogram<u32>>;

/// Times of the answers of the current window and the one before, by class.
#[derive(Clone, Debug)]
pub struct AnswerTimes<K> {
    newer: Window<K>,
    older: Window<K>,
    options: Options,
    window_start: Duration,
}

impl<K: Clone + Ord> AnswerTimes<K> {
    /// No answer yet.
    pub const fn new(options: Options) -> Self {
        Self {
            newer: BTreeMap::new(),
            older: BTreeMap::new(),
            options,
            window_start: Duration::ZERO,
        }
    }

    /// Records an answer that ended at `now`, `time` after the request had been read.
    pub fn record(&mut self, now: Duration, class: &K, time: Duration) {
        self.advance(now);
        let time_ms = u64::try_from(time.as_millis()).unwrap_or(MAX_TIME_MS);
        if let Some(times) = self.newer.get_mut(class) {
            times.saturating_record(time_ms);
        } else {
            let mut times = histogram();
            times.saturating_record(time_ms);
            self.newer.insert(class.clone(), times);
        }
    }

    /// Expected time of an answer of `class` at `now`; `None` while too few are known.
    pub fn expected(&mut self, now: Duration, class: &K) -> Option<Duration> {
        self.advance(now);
        let mut times = histogram();
        for window in [&self.newer, &self.older] {
            if let Some(recent) = window.get(class) {
                // The histograms have the same bounds.
                let _ = times.add(recent);
            }
        }
        let is_known = times.len() >= self.options.min_answers;
        is_known.then(|| Duration::from_millis(times.value_at_quantile(self.options.quantile)))
    }

    /// Whether a request of `class` with the time limit `limit` is likely to be answered within `left`. While too few
    /// answers are known, it may take as long as its limit.
    pub fn fits(&mut self, now: Duration, class: &K, limit: Duration, left: Duration) -> bool {
        let expected = self.expected(now, class).unwrap_or(limit);
        expected.min(limit) <= left
    }

    fn advance(&mut self, now: Duration) {
        let age = now.saturating_sub(self.window_start);
        if age < self.options.window {
            return;
        }
        let newer = std::mem::take(&mut self.newer);
        self.older = if age < self.options.window * 2 {
            newer
        } else {
            Window::new()
        };
        self.window_start = now;
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_TIME_MS, SIGNIFICANT_DIGITS)
        .expect("histogram bounds should be valid")
}
