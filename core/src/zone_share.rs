//! Share of a service's requests that an entry sends out of its availability zone.
//!
//! Traffic between zones is slower and costs money, so the zone's own upstreams come first. Once they are too few, each entry
//! of the zone sends a share of its requests away. The share follows what leaving saves, by bounded steps: the
//! entries of a zone see the same figures, and would otherwise all leave and return at the same time.

use crate::quantile::Quantile;
use std::time::Duration;

/// Parameters of the share.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Factor by which the share shrinks in a period in which leaving does not pay.
    pub decay: f64,
    /// Largest growth in one period. The share of a zone whose callers double within a second has to follow in about that time.
    pub growth: f64,
    /// Largest share. The rest of the requests shows when the zone is fast again.
    pub max_share: f64,
    /// Time between two adjustments. It is longer than a request takes, so that the previous adjustment shows in the figures.
    pub period: Duration,
    /// Fraction of the tolerated time below which the share shrinks.
    pub shrink_below: f64,
    /// Share of the latency target that a request may take in its own zone before leaving is considered: callers do not
    /// notice less, and the rest of the target covers what the estimate misses.
    pub tolerance: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            decay: 0.8,
            growth: 0.2,
            max_share: 0.95,
            period: Duration::from_millis(250),
            shrink_below: 0.6,
            tolerance: 0.5,
        }
    }
}

/// Expected times of a request at the best upstream in the entry's zone and at the best one elsewhere, with the way there;
/// `None` if there is no usable upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// In the entry's zone.
    pub local: Option<Duration>,
    /// In other zones.
    pub remote: Option<Duration>,
}

/// The share for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneShare {
    /// Longest expected time in the zone in the last complete period.
    local: Duration,
    /// Longest expected time in the zone in the current period. Requests often come in bursts, at whose start the
    /// upstreams are idle.
    longest: Duration,
    options: Options,
    share: f64,
    updated_at: Duration,
}

impl ZoneShare {
    /// A share of 0.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// The current share, from 0 to [`Options::max_share`].
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Whether a request with the latency target `target` leaves the zone, by the random number `draw` below 1. Adjusts the share
    /// once a period.
    pub fn leaves(&mut self, now: Duration, target: Duration, times: Times, draw: f64) -> bool {
        let (Some(local), Some(remote)) = (times.local, times.remote) else {
            // Starts anew once both can be compared again.
            self.share = 0.0;
            return times.local.is_none();
        };
        let needed = target.mul_f64(self.options.tolerance).max(remote);
        self.longest = self.longest.max(local);
        if now.saturating_sub(self.updated_at) >= self.options.period {
            self.updated_at = now;
            let longest = std::mem::take(&mut self.longest);
            self.adjust(longest, needed);
        }
        local > remote && draw < self.share
    }

    /// Grows the share by what leaving saves in proportion to the time in the zone, or shrinks it.
    fn adjust(&mut self, local: Duration, needed: Duration) {
        let previous = std::mem::replace(&mut self.local, local);
        let excess = local.saturating_sub(needed);
        // A queue that already moves the right way needs no further step: the last one has yet to show in full. Between
        // the two bounds the share is kept, or the queue would come back at once.
        if local < needed.mul_f64(self.options.shrink_below) && local <= previous {
            self.share *= self.options.decay;
        } else if !excess.is_zero() && local >= previous {
            let step = excess.div_duration_f64(local) * self.options.growth * 2.0;
            self.share = (self.share + step.min(self.options.growth)).min(self.options.max_share);
        }
    }
}

/// Time of a response without a wait, from upstreams at one distance.
#[derive(Clone, Copy, Debug)]
pub struct BaseTime(Quantile);

impl BaseTime {
    /// Low, since the times of requests that waited say nothing about the time without a wait.
    const QUANTILE: f64 = 0.2;
    /// Relative step by which one response moves the estimate.
    const STEP: f64 = 0.1;

    /// An estimate from the first response.
    pub fn new(time: Duration) -> Self {
        Self(Quantile::new(
            time.as_secs_f64(),
            Self::QUANTILE,
            Self::STEP,
        ))
    }

    /// Records the time of a response.
    pub fn observe(&mut self, time: Duration) {
        self.0.observe(time.as_secs_f64());
    }

    /// The estimate.
    pub fn value(self) -> Duration {
        Duration::from_secs_f64(self.0.value())
    }
}

/// Expected time of a request at an upstream that runs up to `slots` of its `requests` at once and needs `base` for
/// one, with the way there.
pub fn expected_time(base: Duration, requests: u32, slots: u32) -> Duration {
    let waiting = requests.saturating_add(1).saturating_sub(slots);
    base + base.mul_f64(f64::from(waiting) / f64::from(slots.max(1)))
}
