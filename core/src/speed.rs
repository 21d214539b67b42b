//! Speed of engines relative to each other, from the time that they take for an event at little load.

use std::time::Duration;

/// Time in which the shortest known time between two events doubles, so that an engine that has become slower for good is
/// known as such. Longer than load peaks, in which no engine shows its shortest time.
const DOUBLING_TIME: Duration = Duration::from_mins(1);
/// Ratio of two engines' times from which their speeds count as different. Load alone changes the time of an event by less.
const MIN_RATIO: f64 = 1.6;

/// Shortest usual time between two events at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    at: Duration,
    seconds: Option<f64>,
}

impl Pace {
    /// Records the usual time between two events of a stream.
    pub fn observe(&mut self, now: Duration, time: Duration) {
        let seconds = time.as_secs_f64();
        if self.seconds(now).is_none_or(|known| seconds < known) {
            self.seconds = Some(seconds);
            self.at = now;
        }
    }

    /// The shortest usual time in seconds; `None` before the first stream.
    pub fn seconds(&self, now: Duration) -> Option<f64> {
        let doublings = now.saturating_sub(self.at).as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        self.seconds.map(|seconds| seconds * doublings.exp2())
    }
}

/// Speed of each engine as a multiple of the median one's, from their times between two events: a power of 2, so that entries
/// agree though their measurements differ. Engines without a known time count as median ones.
pub fn speeds(paces: &[Option<f64>]) -> Vec<f64> {
    let mut known: Vec<f64> = paces.iter().flatten().copied().collect();
    known.sort_unstable_by(f64::total_cmp);
    let Some(median) = known.get(known.len() / 2).copied() else {
        return vec![1.0; paces.len()];
    };
    let speed = |pace: &Option<f64>| match pace {
        Some(pace) if median / pace >= MIN_RATIO => 2.0,
        Some(pace) if pace / median >= MIN_RATIO => 0.5,
        Some(_) | None => 1.0,
    };
    paces.iter().map(speed).collect()
}
