//! Burn of service levels: how fast a class spends the bad requests that its attainment allows.

use almondwell_schema::Counts;
use std::ops::Add;
use std::time::Duration;

/// Buckets that a fast window consists of.
const FAST_BUCKETS: u32 = 10;
const THOUSAND: f64 = 1000.0;

/// Bad requests of a window beside those that the attainment allows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spend {
    /// Bad requests that would spend the error budget exactly.
    pub allowed: f64,
    /// Bad requests.
    pub bad: f64,
}

impl Spend {
    /// The spend of `counts` under an `attainment` in thousandths.
    pub fn new(counts: &Counts, attainment: u16) -> Self {
        let allowed = (THOUSAND - f64::from(attainment)).max(0.0) / THOUSAND;
        Self {
            allowed: float(counts.bad.saturating_add(counts.good)) * allowed,
            bad: float(counts.bad),
        }
    }

    /// Burn rate: 1 spends the error budget exactly, 0 spends nothing.
    pub fn rate(self) -> f64 {
        if self.bad <= 0.0 {
            return 0.0;
        }
        self.bad / self.allowed
    }

    /// Share of the window's error budget that is left; below 0 when overspent.
    pub fn left(self) -> f64 {
        1.0 - self.rate()
    }
}

impl Add for Spend {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            allowed: self.allowed + other.allowed,
            bad: self.bad + other.bad,
        }
    }
}

/// Good and bad requests of the last window, in buckets of time.
#[derive(Clone, Debug)]
pub struct Ring {
    buckets: Box<[Bucket]>,
    width: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    bad: u64,
    good: u64,
    number: u64,
}

impl Ring {
    /// A ring that remembers `slow` and can tell `fast` apart.
    pub fn new(fast: Duration, slow: Duration) -> Self {
        let width = width(fast);
        let count = buckets(slow, width) + 1;
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        Self {
            buckets: vec![Bucket::default(); count].into(),
            width,
        }
    }

    /// Counts one request that ended at `now`.
    pub fn record(&mut self, now: Duration, is_good: bool) {
        let number = self.number(now);
        let slot = self.slot(number);
        let bucket = &mut self.buckets[slot];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        if is_good {
            bucket.good += 1;
        } else {
            bucket.bad += 1;
        }
    }

    /// Requests of the last `window` before `now`, rounded up to whole buckets.
    pub fn sum(&self, now: Duration, window: Duration) -> Counts {
        let newest = self.number(now);
        let count = buckets(window, self.width);
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number <= newest && bucket.number + count > newest);
        recent.fold(Counts { bad: 0, good: 0 }, |sum, bucket| Counts {
            bad: sum.bad + bucket.bad,
            good: sum.good + bucket.good,
        })
    }

    /// All buckets up to `now`, newest last.
    pub fn history(&self, now: Duration) -> Vec<Counts> {
        let newest = self.number(now);
        let ages = (0..self.buckets.len() as u64).rev();
        ages.map(|age| self.bucket(newest.checked_sub(age)))
            .collect()
    }

    fn bucket(&self, number: Option<u64>) -> Counts {
        let found = number.map(|number| (number, self.buckets[self.slot(number)]));
        match found {
            Some((number, bucket)) if bucket.number == number => Counts {
                bad: bucket.bad,
                good: bucket.good,
            },
            Some(_) | None => Counts { bad: 0, good: 0 },
        }
    }

    fn number(&self, now: Duration) -> u64 {
        milliseconds(now) / milliseconds(self.width).max(1)
    }

    fn slot(&self, number: u64) -> usize {
        usize::try_from(number % self.buckets.len() as u64).unwrap_or(0)
    }
}

/// Width of a bucket when the fast window is `fast`.
pub fn width(fast: Duration) -> Duration {
    (fast / FAST_BUCKETS).max(Duration::from_millis(1))
}

fn buckets(window: Duration, width: Duration) -> u64 {
    milliseconds(window).div_ceil(milliseconds(width).max(1))
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Counts above `u32::MAX` saturate.
fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
