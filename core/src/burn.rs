//! Burn rate of service levels: how fast a class uses up the bad requests that its attainment allows.

use almondwell_schema::Counts;
use std::ops::Add;
use std::time::Duration;

/// Buckets in a fast window.
const FAST_WINDOW_BUCKETS: u32 = 10;
/// Attainments are in thousandths.
const ATTAINMENT_SCALE: f64 = 1000.0;

/// Bad requests of a window, and how many the attainment allows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spend {
    /// Number of bad requests that would use up the error budget exactly.
    pub allowed: f64,
    /// Number of bad requests.
    pub bad: f64,
}

impl Spend {
    /// Error budget use of `counts` under an `attainment` in thousandths.
    pub fn new(counts: &Counts, attainment: u16) -> Self {
        let allowed_fraction =
            (ATTAINMENT_SCALE - f64::from(attainment)).max(0.0) / ATTAINMENT_SCALE;
        Self {
            allowed: to_f64(counts.bad.saturating_add(counts.good)) * allowed_fraction,
            bad: to_f64(counts.bad),
        }
    }

    /// Burn rate: 1 uses up the error budget exactly, 0 uses nothing.
    pub fn rate(self) -> f64 {
        if self.bad <= 0.0 {
            return 0.0;
        }
        self.bad / self.allowed
    }

    /// Fraction of the window's error budget that is left; negative once the budget is exceeded.
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

/// Good and bad requests of the slow window, in a ring of time buckets.
#[derive(Clone, Debug)]
pub struct Ring {
    buckets: Box<[Bucket]>,
    width: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    bad: u64,
    good: u64,
    /// Number of bucket widths from time zero to the start of this bucket.
    number: u64,
}

impl Ring {
    /// Creates a ring that covers a window of `slow`, in buckets narrow enough for a window of `fast`.
    pub fn new(fast: Duration, slow: Duration) -> Self {
        let width = bucket_width(fast);
        let count = buckets(slow, width) + 1;
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        Self {
            buckets: vec![Bucket::default(); count].into(),
            width,
        }
    }

    /// Counts a request that ended at `now`.
    pub fn record(&mut self, now: Duration, is_good: bool) {
        let number = self.number(now);
        let index = self.index(number);
        let bucket = &mut self.buckets[index];
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

    /// Counts of the last `window` up to `now`, rounded up to whole buckets.
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

    /// Counts of all buckets up to `now`, newest last.
    pub fn history(&self, now: Duration) -> Vec<Counts> {
        let newest = self.number(now);
        let ages = (0..self.buckets.len() as u64).rev();
        ages.map(|age| self.bucket(newest.checked_sub(age)))
            .collect()
    }

    fn bucket(&self, number: Option<u64>) -> Counts {
        let numbered = number.map(|number| (number, self.buckets[self.index(number)]));
        match numbered {
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

    fn index(&self, number: u64) -> usize {
        usize::try_from(number % self.buckets.len() as u64).unwrap_or(0)
    }
}

/// Width of a bucket for a fast window of `fast`; at least 1 ms.
pub fn bucket_width(fast: Duration) -> Duration {
    (fast / FAST_WINDOW_BUCKETS).max(Duration::from_millis(1))
}

fn buckets(window: Duration, width: Duration) -> u64 {
    milliseconds(window).div_ceil(milliseconds(width).max(1))
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Counts above `u32::MAX` saturate.
fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
