//! Detection of slow and stalled upstreams from the inter-token gaps of their streams.

use almondwell_schema::Ticket;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of gaps after which the baseline is known.
const MIN_GAPS: u32 = 32;
/// Multiple of the baseline gap above which an upstream counts as slow.
const SLOW_FACTOR: f64 = 3.0;
/// Multiple of the baseline gap below which a slow upstream counts as recovered.
const RECOVERED_FACTOR: f64 = 1.5;
/// Gaps up to this are never slow, whatever the baseline.
const MIN_SLOW_GAP: Duration = Duration::from_millis(150);
/// EWMA weight of a new gap in the recent gap.
const RECENT_WEIGHT: f64 = 0.125;
/// EWMA weight of a new gap in the baseline.
const BASELINE_WEIGHT: f64 = 0.01;
/// EWMA weight of a new gap in the baseline while slow or ramping up. It is above 0 so that a permanent
/// change eventually becomes the baseline.
const SLOW_BASELINE_WEIGHT: f64 = 0.000_02;
/// Period in which the usable slots of a recovered upstream double.
const RAMP_PERIOD: Duration = Duration::from_millis(500);

/// Compares the recent inter-token gap of an upstream with its baseline. Gaps are in seconds.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    gap_count: u32,
    /// Time of each stream's last token.
    last_token: BTreeMap<Ticket, Duration>,
    /// Sum of the times in `last_token`, in seconds.
    last_token_sum: f64,
    recent_gap: f64,
    state: State,
    baseline_gap: f64,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Normal,
    Ramp {
        since: Duration,
    },
    Slow,
}

impl Pace {
    /// Records a token of the stream `ticket`; `false` if it is the first one.
    pub fn record_token(&mut self, now: Duration, ticket: Ticket) -> bool {
        let last = self.last_token.insert(ticket, now);
        self.last_token_sum += now.as_secs_f64();
        let Some(last) = last else {
            return false;
        };
        self.last_token_sum -= last.as_secs_f64();
        self.record_gap(now.saturating_sub(last).as_secs_f64());
        self.update(now);
        true
    }

    /// Removes the stream `ticket`.
    pub fn end_stream(&mut self, ticket: Ticket) {
        if let Some(last) = self.last_token.remove(&ticket) {
            self.last_token_sum -= last.as_secs_f64();
        }
        if self.last_token.is_empty() {
            self.last_token_sum = 0.0;
        }
    }

    /// Whether the upstream is slow at `now`.
    pub fn is_slow(&mut self, now: Duration) -> bool {
        self.update(now);
        self.state == State::Slow
    }

    /// Number of `slots` that may be used at `now`: all normally, fewer while slow or ramping up.
    pub fn slot_limit(&mut self, now: Duration, slots: usize) -> usize {
        self.update(now);
        match self.state {
            State::Normal => slots,
            State::Ramp { since } => {
                let periods = now.saturating_sub(since).as_millis() / RAMP_PERIOD.as_millis();
                let factor = 1_usize << periods.min(16);
                factor.min(slots)
            }
            State::Slow => scaled(slots, 1.0 / self.slowdown(now)),
        }
    }

    fn record_gap(&mut self, gap: f64) {
        self.gap_count = self.gap_count.saturating_add(1);
        if self.gap_count < MIN_GAPS {
            self.baseline_gap += (gap - self.baseline_gap) / f64::from(self.gap_count);
            self.recent_gap = self.baseline_gap;
            return;
        }
        self.recent_gap += RECENT_WEIGHT * (gap - self.recent_gap);
        let weight = match self.state {
            State::Normal => BASELINE_WEIGHT,
            State::Ramp { .. } | State::Slow => SLOW_BASELINE_WEIGHT,
        };
        self.baseline_gap += weight * (gap - self.baseline_gap);
    }

    fn update(&mut self, now: Duration) {
        let gap = self.open_gap(now).max(self.recent_gap);
        let is_slow = self.gap_count >= MIN_GAPS
            && gap > self.baseline_gap * SLOW_FACTOR
            && gap > MIN_SLOW_GAP.as_secs_f64();
        let is_recovered =
            gap < (self.baseline_gap * RECOVERED_FACTOR).max(MIN_SLOW_GAP.as_secs_f64() / 2.0);
        self.state = match self.state {
            State::Normal | State::Ramp { .. } if is_slow => State::Slow,
            State::Slow if is_recovered => State::Ramp { since: now },
            State::Ramp { since } if now.saturating_sub(since) > RAMP_PERIOD * 8 => State::Normal,
            state @ (State::Ramp { .. } | State::Slow | State::Normal) => state,
        };
    }

    /// Mean time since the last token over all streams, in seconds.
    fn open_gap(&self, now: Duration) -> f64 {
        if self.last_token.is_empty() {
            return 0.0;
        }
        let streams = u32::try_from(self.last_token.len()).unwrap_or(u32::MAX);
        now.as_secs_f64() - self.last_token_sum / f64::from(streams)
    }

    /// Ratio of the current gap to the baseline, at least 1.
    fn slowdown(&self, now: Duration) -> f64 {
        let gap = self.open_gap(now).max(self.recent_gap);
        (gap / self.baseline_gap.max(f64::EPSILON)).max(1.0)
    }
}

/// `slots` times `factor`, at least 1.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(slots: usize, factor: f64) -> usize {
    let slots = f64::from(u32::try_from(slots).unwrap_or(u32::MAX));
    ((slots * factor) as usize).max(1)
}
