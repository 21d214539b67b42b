//! What callers were told.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What a caller was told of one attempt.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Told {
    /// That the request may have run.
    MayHaveRun,
    /// Nothing: the connection was refused, broke off or fell silent.
    Nothing,
    /// That the request was not run.
    NotRun,
    /// The whole answer.
    Ran,
}

/// All attempts under one key.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    pub(super) attempts: Vec<Told>,
    /// Whether its caller leaves it after its first refusal.
    pub(super) is_left: bool,
}

/// What callers were told.
#[derive(Default)]
pub(super) struct Book {
    keys: Mutex<BTreeMap<String, Entry>>,
    longest: Mutex<BTreeMap<&'static str, Duration>>,
    requests: AtomicU64,
    served: Mutex<BTreeMap<&'static str, u64>>,
    wrong: Mutex<Vec<String>>,
}

impl Book {
    pub(super) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    pub(super) fn attempt(&self, key: &str, told: Told, is_left: bool) {
        let mut keys = lock(&self.keys);
        let entry = keys.entry(key.to_string()).or_default();
        entry.attempts.push(told);
        entry.is_left = is_left;
    }

    pub(super) fn keys(&self) -> BTreeMap<String, Entry> {
        lock(&self.keys).clone()
    }

    /// Notes one call of `class` and how long its caller waited.
    pub(super) fn call(&self, class: &'static str, told: Told, wait: Duration) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut longest = lock(&self.longest);
        let longest = longest.entry(class).or_default();
        *longest = wait.max(*longest);
        *lock(&self.served).entry(class).or_default() += u64::from(told == Told::Ran);
    }

    /// Notes an answer that passed as whole and was not what the upstream answers.
    pub(super) fn wrong(&self, answer: String) {
        lock(&self.wrong).push(answer);
    }

    pub(super) fn wrongs(&self) -> Vec<String> {
        lock(&self.wrong).clone()
    }

    /// Whole answers and the longest wait, by class.
    pub(super) fn classes(&self) -> Vec<(&'static str, u64, Duration)> {
        let longest = lock(&self.longest);
        lock(&self.served)
            .iter()
            .map(|(class, served)| (*class, *served, longest[class]))
            .collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
