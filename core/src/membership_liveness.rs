//! Whether a side answers its requests.

use almondwell_schema::Epoch;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time since which an answer from a side is outstanding; shared by all requests of an entry.
#[derive(Debug, Default)]
pub struct Liveness {
    /// When the oldest unanswered request was sent, in milliseconds of the entry's clock plus one; 0 while
    /// no answer is outstanding.
    unanswered_since: AtomicU64,
    /// Incarnation of the side that answered last; 0 before the first answer.
    epoch: AtomicU64,
}

impl Liveness {
    /// Records that a request is sent to the side at `now`.
    pub fn record_request(&self, now: Duration) {
        let now = millis(now).saturating_add(1);
        // A failed exchange means that an older request is still unanswered; its time stays.
        let _ = self
            .unanswered_since
            .compare_exchange(0, now, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Incarnation of the side that answered last; `None` before the first answer.
    pub fn epoch(&self) -> Option<Epoch> {
        Some(self.epoch.load(Ordering::Acquire)).filter(|epoch| *epoch != 0)
    }

    /// Records an answer from the incarnation `epoch` of the side.
    pub fn record_answer(&self, epoch: Epoch) {
        self.epoch.store(epoch, Ordering::Release);
        self.unanswered_since.store(0, Ordering::Release);
    }

    /// Time for which the oldest request has been unanswered; zero if none is.
    pub fn unanswered_for(&self, now: Duration) -> Duration {
        match self.unanswered_since.load(Ordering::Acquire) {
            0 => Duration::ZERO,
            unanswered_since => now.saturating_sub(Duration::from_millis(unanswered_since - 1)),
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
