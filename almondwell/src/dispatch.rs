//! Attempts of a request: each reserves a slot by late binding, then runs at the side that granted
//! it.

use crate::answer::Answer;
use crate::call;
use crate::entry::Entry;
use crate::job::Job;
use crate::once;
use crate::refusal::Refusal;
use crate::reserve::reserve;
use almondwell_schema::Verdict;

/// Attempts per request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Runs `job` at an upstream, with retries while that is safe and the retry budget allows. Dropping
/// the future withdraws the reservations.
pub(crate) async fn dispatch(entry: &Entry, job: &Job) -> Result<Answer, Refusal> {
    if once::applies(job) {
        return once::run(entry, job).await;
    }
    entry.budgets.earn(job);
    let mut attempt = 1;
    let mut verdict = Verdict::NotRun;
    loop {
        let reserved = reserve(entry, job).await;
        let (side, ticket) = reserved.map_err(|refusal| refusal.after(verdict))?;
        let wait = entry.clock.now().saturating_sub(job.arrived);
        entry.metrics.observe_grant_wait(job, wait);
        match call::run(entry, job, side, ticket).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) if attempt < MAX_ATTEMPTS && may_retry(entry, job, &refusal) => {
                attempt += 1;
                verdict = verdict.max(refusal.verdict);
            }
            Err(refusal) => return Err(refusal.after(verdict)),
        }
    }
}

fn may_retry(entry: &Entry, job: &Job, refusal: &Refusal) -> bool {
    let is_repeatable = refusal.verdict == Verdict::NotRun || job.class.idempotent;
    is_repeatable && entry.budgets.spend(job)
}
