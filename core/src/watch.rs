//! How long a watch of the store may wait, and when its connection counts as silent.
//!
//! A connection that went silent shows only by an answer that is overdue. Until then changes are missed, so the wait, the
//! grace after it and a new call on another connection have to fit into the time within which a change has to take effect.
//! Each wait without a change is a call that costs money, so it is no shorter than that.

use std::time::Duration;

/// Time for a call on a new connection: connecting, the request, and the first bytes of a large answer.
const CALL: Duration = Duration::from_millis(500);
/// Part of the time for a change that is left for the delay after an earlier one and for a busy machine.
const RESERVE: Duration = Duration::from_millis(500);
/// Grace for a healthy store, which answers within milliseconds; includes a lost packet that is sent again.
const GRACE: Duration = Duration::from_millis(500);
/// Grace for a store whose last answers were late or missing. With the usual one, each call to a slow store would fail.
const LONG_GRACE: Duration = Duration::from_millis(1500);
/// Longest wait for some time after a failure: a failing store may not report changes to watches, and two such watches
/// fit into the time within which a change has to take effect.
const RECOVERY_WAIT: Duration = Duration::from_secs(1);
/// Shortest wait, where little time is left for a change.
const MIN_WAIT: Duration = Duration::from_millis(250);

/// Time limits of one watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time beyond `wait` after which the connection counts as silent.
    pub grace: Duration,
    /// Time for which the store may wait for a change.
    pub wait: Duration,
}

/// Times that watches of one kind of objects have to keep.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time within which a change has to take effect.
    pub apply: Duration,
    /// Time of undisturbed running after which the time limits of the platform bind.
    pub contact: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            apply: Duration::from_millis(2500),
            contact: Duration::from_secs(4),
        }
    }
}

/// Watches of one kind of objects, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    /// Whether changes may have been missed that a watch can no longer report: it may show that only when its wait ends.
    is_unsure: bool,
    last_failure: Option<Duration>,
    /// Last late or missing answer without an answer in time since.
    last_late_answer: Option<Duration>,
    options: Options,
}

impl Watch {
    /// No watch yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Limits of a watch that starts at `now`.
    pub fn limits(&self, now: Duration) -> Limits {
        let Options { apply, contact } = self.options;
        // A watch may also be cut off while nothing is disturbed, so `contact` alone is no bound.
        let available = apply.min(contact).saturating_sub(RESERVE + CALL);
        let is_recent =
            |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < contact);
        let has_failed = is_recent(self.last_failure);
        let grace = if is_recent(self.last_late_answer) {
            LONG_GRACE
                .min(available.saturating_sub(MIN_WAIT))
                .max(GRACE)
        } else {
            GRACE
        };
        let longest = available.saturating_sub(grace);
        let wait = if has_failed {
            longest.min(RECOVERY_WAIT)
        } else {
            longest
        };
        let wait = if self.is_unsure {
            Duration::ZERO
        } else {
            wait.max(MIN_WAIT)
        };
        Limits { grace, wait }
    }

    /// Records that a watch with `limits`, started at `start`, was answered at `now`.
    pub fn record_answer(&mut self, now: Duration, start: Duration, limits: Limits) {
        self.is_unsure = false;
        let is_late = now.saturating_sub(start) > limits.wait + GRACE / 2;
        self.last_late_answer = is_late.then_some(now);
    }

    /// Records that no watch was open for some time after the last one.
    pub const fn record_pause(&mut self) {
        self.is_unsure = true;
    }

    /// Records that a watch failed at `now`.
    pub const fn record_failure(&mut self, now: Duration) {
        self.is_unsure = true;
        self.last_failure = Some(now);
        self.last_late_answer = Some(now);
    }
}
