//! What happens to load and upstreams during a run.

use std::time::Duration;

/// Calls that arrive before are served but not counted.
pub(crate) const WARM_UP: Duration = Duration::from_secs(30);
/// Calls arrive until then.
pub(crate) const END: Duration = Duration::from_secs(230);

const BURST_PERIOD: u64 = 50;
const BURST_LENGTH: u64 = 15;
const SWING_PERIOD: u64 = 8;
const USUAL_LOAD: f64 = 0.7;

/// What happens to load and upstreams during a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Scenario {
    Steady,
    /// Three times the usual load for fifteen seconds, again and again.
    Burst,
    /// Twice the capacity from the end of the warm-up.
    Overload,
    /// The usual load with a fifth of the upstreams slowed tenfold from the end of the warm-up.
    Slowed,
    /// From a third of the capacity to one and a half of it every four seconds.
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
            Self::Burst if self.is_crest(now) => USUAL_LOAD * 3.0,
            Self::Overload if now >= WARM_UP => 2.0,
            Self::Burst | Self::Overload | Self::Slowed | Self::Steady => USUAL_LOAD,
            Self::Swing if self.is_crest(now) => 1.5,
            Self::Swing => 0.33,
        }
    }

    /// Whether the load is at its highest.
    pub(crate) fn is_crest(self, now: Duration) -> bool {
        let second = now.saturating_sub(WARM_UP).as_secs();
        match self {
            Self::Steady | Self::Slowed => false,
            Self::Burst => now >= WARM_UP && second % BURST_PERIOD < BURST_LENGTH,
            Self::Overload => true,
            Self::Swing => second % SWING_PERIOD >= SWING_PERIOD / 2,
        }
    }

    /// Factor on the times of the upstream `index` of a pool.
    pub(crate) fn slow(self, index: usize, now: Duration) -> u32 {
        let is_slowed = self == Self::Slowed && index % 5 == 2 && now >= WARM_UP;
        if is_slowed { 10 } else { 1 }
    }
}
