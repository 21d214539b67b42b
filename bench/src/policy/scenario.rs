//! Scenarios: how load and speed of the upstreams change during a run.

use std::time::Duration;

/// Calls that arrive before this time are served but not measured.
pub(crate) const WARM_UP: Duration = Duration::from_secs(30);
/// Time until which calls arrive.
pub(crate) const ARRIVALS_END: Duration = Duration::from_secs(230);

const BURST_PERIOD_SECONDS: u64 = 50;
const BURST_SECONDS: u64 = 15;
const SWING_PERIOD_SECONDS: u64 = 8;
/// Normal load, as a share of the capacity.
const NORMAL_LOAD: f64 = 0.7;

/// How load and speed of the upstreams change during a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Scenario {
    /// The normal load.
    Steady,
    /// Three times the normal load for the first fifteen seconds of each `BURST_PERIOD_SECONDS`.
    Burst,
    /// Twice the capacity from the end of the warm-up.
    Overload,
    /// The normal load with a fifth of the upstreams slowed tenfold from the end of the warm-up.
    Slowed,
    /// A third of the capacity and one and a half times the capacity, four seconds each in turn.
    Swing,
}

pub(crate) const SCENARIOS: [Scenario; 5] = [
    Scenario::Steady,
    Scenario::Burst,
    Scenario::Overload,
    Scenario::Slowed,
    Scenario::Swing,
];

impl Scenario {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::Overload => "overload",
            Self::Slowed => "slowed",
            Self::Swing => "swing",
        }
    }

    /// Offered load at `now`, where 1 is the capacity.
    pub(crate) fn load(self, now: Duration) -> f64 {
        match self {
            Self::Burst if self.is_peak(now) => NORMAL_LOAD * 3.0,
            Self::Overload if now >= WARM_UP => 2.0,
            Self::Burst | Self::Overload | Self::Slowed | Self::Steady => NORMAL_LOAD,
            Self::Swing if self.is_peak(now) => 1.5,
            Self::Swing => 0.33,
        }
    }

    /// Whether the load is at its peak.
    pub(crate) fn is_peak(self, now: Duration) -> bool {
        let second = now.saturating_sub(WARM_UP).as_secs();
        match self {
            Self::Steady | Self::Slowed => false,
            Self::Burst => now >= WARM_UP && second % BURST_PERIOD_SECONDS < BURST_SECONDS,
            Self::Overload => true,
            Self::Swing => second % SWING_PERIOD_SECONDS >= SWING_PERIOD_SECONDS / 2,
        }
    }

    /// Factor by which all times of the upstream `index` of a pool grow.
    pub(crate) fn slowdown(self, index: usize, now: Duration) -> u32 {
        let is_slowed = self == Self::Slowed && index % 5 == 2 && now >= WARM_UP;
        if is_slowed { 10 } else { 1 }
    }
}
