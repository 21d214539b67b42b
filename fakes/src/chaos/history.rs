//! History of a run: the outcomes that callers saw.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Outcome of one attempt, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Outcome {
    /// The verdict: the request may have run.
    MayHaveRun,
    /// No answer: the connection was refused or broken, or the attempt timed out.
    Nothing,
    /// The verdict: the request did not run.
    NotRun,
    /// A complete answer.
    Ran,
}

/// A booking: all attempts under one key.
#[derive(Clone, Debug, Default)]
pub(super) struct Booking {
    pub(super) attempts: Vec<Outcome>,
    /// Whether the caller gives up at the first refusal.
    pub(super) is_abandoned: bool,
}

/// Outcomes of all calls of a run.
#[derive(Default)]
pub(super) struct History {
    bookings: Mutex<BTreeMap<String, Booking>>,
    longest_waits: Mutex<BTreeMap<&'static str, Duration>>,
    requests: AtomicU64,
    answered: Mutex<BTreeMap<&'static str, u64>>,
    wrong_answers: Mutex<Vec<String>>,
}

impl History {
    pub(super) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    pub(super) fn record_attempt(&self, key: &str, outcome: Outcome, is_abandoned: bool) {
        let mut bookings = lock(&self.bookings);
        let booking = bookings.entry(key.to_string()).or_default();
        booking.attempts.push(outcome);
        booking.is_abandoned = is_abandoned;
    }

    pub(super) fn bookings(&self) -> BTreeMap<String, Booking> {
        lock(&self.bookings).clone()
    }

    /// Records a call of `class` and how long its caller waited.
    pub(super) fn record_call(&self, class: &'static str, outcome: Outcome, wait: Duration) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut longest_waits = lock(&self.longest_waits);
        let longest = longest_waits.entry(class).or_default();
        *longest = wait.max(*longest);
        *lock(&self.answered).entry(class).or_default() += u64::from(outcome == Outcome::Ran);
    }

    /// Records an answer that was delivered as complete but differs from that of the upstream.
    pub(super) fn record_wrong_answer(&self, answer: String) {
        lock(&self.wrong_answers).push(answer);
    }

    pub(super) fn wrong_answers(&self) -> Vec<String> {
        lock(&self.wrong_answers).clone()
    }

    /// Number of complete answers and longest wait of each class.
    pub(super) fn classes(&self) -> Vec<(&'static str, u64, Duration)> {
        let longest_waits = lock(&self.longest_waits);
        lock(&self.answered)
            .iter()
            .map(|(class, answered)| (*class, *answered, longest_waits[class]))
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
