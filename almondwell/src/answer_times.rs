//! Times of recent answers, which decide what a stopping entry still begins.

use crate::job::Job;
use almondwell_core::answer_times::{AnswerTimes as Times, Options};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Service and class of a request.
type Class = (Box<str>, Box<str>);

/// Times of recent answers by service and class.
pub(crate) struct AnswerTimes(Mutex<Times<Class>>);

impl Default for AnswerTimes {
    fn default() -> Self {
        Self(Mutex::new(Times::new(Options::default())))
    }
}

impl AnswerTimes {
    /// Whether `job` is likely to be answered within `left`.
    pub(crate) fn fits(&self, now: Duration, job: &Job, left: Duration) -> bool {
        let limit = job.deadline.saturating_sub(now);
        self.lock().fits(now, &class(job), limit, left)
    }

    /// Records that the answer to `job`, which ended at `now`, took `time`.
    pub(crate) fn record(&self, now: Duration, job: &Job, time: Duration) {
        self.lock().record(now, &class(job), time);
    }

    fn lock(&self) -> MutexGuard<'_, Times<Class>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn class(job: &Job) -> Class {
    (job.service.name.clone(), job.class_name.clone())
}
