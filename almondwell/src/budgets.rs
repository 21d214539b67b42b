//! Retry budgets by service and class.

use crate::job::Job;
use almondwell_core::Budget;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Service and class.
type Key = (Box<str>, Box<str>);

/// Retry budgets by service and class.
#[derive(Default)]
pub(crate) struct Budgets {
    budgets: Mutex<BTreeMap<Key, Budget>>,
}

impl Budgets {
    /// Adds the tokens that the first attempt of `job` earns.
    pub(crate) fn earn(&self, job: &Job) {
        self.lock().entry(key(job)).or_default().earn();
    }

    /// Spends the tokens for a retry of `job`; `false` if the budget of its class does not suffice.
    pub(crate) fn spend(&self, job: &Job) -> bool {
        self.lock().entry(key(job)).or_default().spend()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, Budget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(job: &Job) -> Key {
    (job.service.name.clone(), job.class_name.clone())
}
