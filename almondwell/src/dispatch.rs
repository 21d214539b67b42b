//! Attempts of a request: a place by late binding, then a run at the side that offered it.

use crate::answer::Answer;
use crate::call;
use crate::entry::Entry;
use crate::job::Job;
use crate::once;
use crate::refusal::Refusal;
use crate::reserve::reserve;
use almondwell_schema::Verdict;

const ATTEMPTS: usize = 3;

/// Serves `job`; drops of the future withdraw it.
pub(crate) async fn dispatch(entry: &Entry, job: &Job) -> Result<Answer, Refusal> {
    if once::applies(job) {
        return once::run(entry, job).await;
    }
    entry.budgets.earn(job);
    let mut attempt = 1;
    loop {
        let (side, ticket) = reserve(entry, job).await?;
        let wait = entry.clock.now().saturating_sub(job.arrived);
        entry.metrics.granted(job, wait);
        match call::run(entry, job, side, ticket).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) if attempt < ATTEMPTS && may_retry(entry, job, &refusal) => attempt += 1,
            Err(refusal) => return Err(refusal),
        }
    }
}

fn may_retry(entry: &Entry, job: &Job, refusal: &Refusal) -> bool {
    let is_safe = refusal.verdict == Verdict::NotRun || job.class.idempotent;
    is_safe && entry.budgets.spend(job)
}
