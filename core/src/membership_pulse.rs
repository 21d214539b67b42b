//! Whether a side answers what it is asked.

use almondwell_schema::Epoch;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time since which a side owes an answer; shared by all requests of an entry.
#[derive(Debug, Default)]
pub struct Pulse {
    /// Milliseconds of the entry's clock, plus one; 0 while no answer is owed.
    asked: AtomicU64,
    /// The run that answered last; 0 before the first answer.
    epoch: AtomicU64,
}

impl Pulse {
    /// Notes that the side is asked something at `now`.
    pub fn asked(&self, now: Duration) {
        let now = millis(now).saturating_add(1);
        // A failure means that an older question is still open, which is what counts.
        let _ = self
            .asked
            .compare_exchange(0, now, Ordering::AcqRel, Ordering::Acquire);
    }

    /// The run that answered last.
    pub fn epoch(&self) -> Option<Epoch> {
        Some(self.epoch.load(Ordering::Acquire)).filter(|epoch| *epoch != 0)
    }

    /// Notes that the run `epoch` of the side has answered.
    pub fn heard(&self, epoch: Epoch) {
        self.epoch.store(epoch, Ordering::Release);
        self.asked.store(0, Ordering::Release);
    }

    /// Time for which the side has owed an answer.
    pub fn silence(&self, now: Duration) -> Duration {
        match self.asked.load(Ordering::Acquire) {
            0 => Duration::ZERO,
            asked => now.saturating_sub(Duration::from_millis(asked - 1)),
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
