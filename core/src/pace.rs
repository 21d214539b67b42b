//! Slow and stalled upstreams, found from the pace of their own token streams.

use almondwell_schema::Ticket;
use std::collections::BTreeMap;
use std::time::Duration;

/// Gaps after which the usual pace is known.
const ENOUGH: u32 = 32;
/// Times the usual gap from which an upstream counts as slow.
const SLOW: f64 = 3.0;
/// Times the usual gap under which a slow upstream counts as recovered.
const RECOVERED: f64 = 1.5;
/// Gaps below this are never slow, whatever is usual.
const MIN_SLOW_GAP: Duration = Duration::from_millis(150);
/// Weight of a new gap in the recent pace.
const RECENT_STEP: f64 = 0.125;
/// Weight of a new gap in the usual pace.
const USUAL_STEP: f64 = 0.01;
/// Weight of a new gap in the usual pace while slow, so that a lasting change is accepted in the end.
const SLOW_STEP: f64 = 0.000_02;
/// Time in which the places of a recovered upstream double.
const RAMP_PERIOD: Duration = Duration::from_millis(500);

/// Compares the recent gaps between tokens with the usual ones.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    gaps: u32,
    /// Time of each stream's last token.
    last: BTreeMap<Ticket, Duration>,
    /// Sum of the seconds in `last`.
    last_sum: f64,
    recent: f64,
    state: State,
    usual: f64,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Usual,
    Ramp {
        since: Duration,
    },
    Slow,
}

impl Pace {
    /// Records a token of the stream `ticket`; `false` when it was the first one.
    pub fn token(&mut self, now: Duration, ticket: Ticket) -> bool {
        let last = self.last.insert(ticket, now);
        self.last_sum += now.as_secs_f64();
        let Some(last) = last else {
            return false;
        };
        self.last_sum -= last.as_secs_f64();
        self.gap(now.saturating_sub(last).as_secs_f64());
        self.update(now);
        true
    }

    /// Forgets the stream `ticket`.
    pub fn end(&mut self, ticket: Ticket) {
        if let Some(last) = self.last.remove(&ticket) {
            self.last_sum -= last.as_secs_f64();
        }
        if self.last.is_empty() {
            self.last_sum = 0.0;
        }
    }

    /// Whether the upstream is slow at `now`.
    pub fn is_slow(&mut self, now: Duration) -> bool {
        self.update(now);
        self.state == State::Slow
    }

    /// How many of `places` may be used at `now`.
    pub fn limit(&mut self, now: Duration, places: usize) -> usize {
        self.update(now);
        match self.state {
            State::Usual => places,
            State::Ramp { since } => {
                let periods = now.saturating_sub(since).as_millis() / RAMP_PERIOD.as_millis();
                let factor = 1_usize << periods.min(16);
                factor.min(places)
            }
            State::Slow => scaled(places, 1.0 / self.ratio(now)),
        }
    }

    fn gap(&mut self, gap: f64) {
        self.gaps = self.gaps.saturating_add(1);
        if self.gaps < ENOUGH {
            self.usual += (gap - self.usual) / f64::from(self.gaps);
            self.recent = self.usual;
            return;
        }
        self.recent += RECENT_STEP * (gap - self.recent);
        let step = match self.state {
            State::Usual => USUAL_STEP,
            State::Ramp { .. } | State::Slow => SLOW_STEP,
        };
        self.usual += step * (gap - self.usual);
    }

    fn update(&mut self, now: Duration) {
        let gap = self.open_gap(now).max(self.recent);
        let is_slow =
            self.gaps >= ENOUGH && gap > self.usual * SLOW && gap > MIN_SLOW_GAP.as_secs_f64();
        let is_recovered = gap < (self.usual * RECOVERED).max(MIN_SLOW_GAP.as_secs_f64() / 2.0);
        self.state = match self.state {
            State::Usual | State::Ramp { .. } if is_slow => State::Slow,
            State::Slow if is_recovered => State::Ramp { since: now },
            State::Ramp { since } if now.saturating_sub(since) > RAMP_PERIOD * 8 => State::Usual,
            state @ (State::Ramp { .. } | State::Slow | State::Usual) => state,
        };
    }

    /// Mean time since the last token, over all streams.
    fn open_gap(&self, now: Duration) -> f64 {
        if self.last.is_empty() {
            return 0.0;
        }
        let streams = u32::try_from(self.last.len()).unwrap_or(u32::MAX);
        now.as_secs_f64() - self.last_sum / f64::from(streams)
    }

    fn ratio(&self, now: Duration) -> f64 {
        let gap = self.open_gap(now).max(self.recent);
        (gap / self.usual.max(f64::EPSILON)).max(1.0)
    }
}

/// `places` times `factor`, at least one.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(places: usize, factor: f64) -> usize {
    let places = f64::from(u32::try_from(places).unwrap_or(u32::MAX));
    ((places * factor) as usize).max(1)
}
