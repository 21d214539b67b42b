//! Runs claimed work until it has ended, and stores the result.

use super::claim::Item;
use super::scan::{jittered, release};
use super::{MAX_WORK_BYTES, WORK_TIMEOUT, decode, done_key, encode, open_key, wall_time};
use crate::answer::Answer;
use crate::dispatch::dispatch;
use crate::entry::Entry;
use crate::job::Job;
use crate::refusal::Refusal;
use almondwell_core::hash;
use almondwell_platform::Expect;
use almondwell_schema::{Ended, Ending, Kept, Refused, Verdict, Work};
use async_std::io::ReadExt;
use async_std::task;
use http_types::StatusCode;
use std::time::Duration;

const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);
/// Number of runs without a known outcome after which idempotent work is refused.
const MAX_UNCERTAIN_RUNS: u32 = 5;

/// Runs `item`, which this entry has claimed.
pub(super) async fn run(entry: &Entry, item: Item) {
    if !has_ended(entry, &item).await {
        let Some(ending) = run_until_ended(entry, &item).await else {
            release(entry, item).await;
            return;
        };
        store(entry, &item, ending).await;
    }
    // If this fails, the next entry that claims the work finds the result and deletes the work.
    let _ = entry.objects.delete(&open_key(item.id), item.version).await;
}

/// Whether an earlier holder has stored a result.
async fn has_ended(entry: &Entry, item: &Item) -> bool {
    loop {
        match entry.objects.get(&done_key(item.id)).await {
            Ok(None) => return false,
            Ok(Some(done)) if !done.value.is_empty() => return true,
            Ok(Some(_)) | Err(_) => task::sleep(jittered(MIN_RETRY_DELAY)).await,
        }
    }
}

/// Runs the work, with retries, until it has ended; `None` if another entry should take it over.
async fn run_until_ended(entry: &Entry, item: &Item) -> Option<Ending> {
    let mut uncertain_runs = 0;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let refusal = match attempt(entry, item).await {
            Ok(kept) => return Some(kept.into()),
            Err(refusal) => refusal,
        };
        uncertain_runs += u32::from(refusal.verdict != Verdict::NotRun);
        if !may_repeat(entry, &item.work, &refusal, uncertain_runs) {
            return Some(to_refused(&refusal).into());
        }
        if entry.drain.is_leaving() || !is_held(entry, item).await {
            return None;
        }
        task::sleep(jittered(retry_delay)).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

async fn attempt(entry: &Entry, item: &Item) -> Result<Kept, Refusal> {
    let job = to_job(entry, item)?;
    let kept = collect(dispatch(entry, &job).await?).await?;
    if encode(&kept).len() > MAX_WORK_BYTES {
        return Err(Refusal {
            code: "answer_too_long",
            ..Refusal::failed(Verdict::Ran, "the answer is too long to be stored")
        });
    }
    Ok(kept)
}

fn may_repeat(entry: &Entry, work: &Work, refusal: &Refusal, uncertain_runs: u32) -> bool {
    if refusal.status.is_client_error() || wall_time() > work.accepted + WORK_TIMEOUT {
        return false;
    }
    match refusal.verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => is_idempotent(entry, work) && uncertain_runs < MAX_UNCERTAIN_RUNS,
        Verdict::Ran => false,
    }
}

fn is_idempotent(entry: &Entry, work: &Work) -> bool {
    let catalog = entry.catalog.load();
    let class = catalog
        .service(&work.service)
        .and_then(|service| service.classes.get(&work.class));
    class.is_some_and(|class| class.idempotent)
}

/// Whether this entry still holds the work; assumed if the store cannot be read.
async fn is_held(entry: &Entry, item: &Item) -> bool {
    match entry.objects.get(&open_key(item.id)).await {
        Ok(open) => open.is_some_and(|open| open.version == item.version),
        Err(_) => true,
    }
}

/// Builds the request from the work. Work without an idempotency key gets one from its id, so that
/// work that must not be repeated is not executed again by a later run.
fn to_job(entry: &Entry, item: &Item) -> Result<Job, Refusal> {
    let work = &item.work;
    let catalog = entry.catalog.load();
    let gone = |what: &str| {
        let message = format!("the configuration in force has no {what} of this work");
        Refusal::invalid(StatusCode::Gone, "unknown_class", message)
    };
    let service = catalog
        .service(&work.service)
        .ok_or_else(|| gone("service"))?;
    let class = service
        .classes
        .get(&work.class)
        .ok_or_else(|| gone("class"))?;
    let workspace = service
        .workspaces
        .get(&work.workspace)
        .ok_or_else(|| gone("workspace"))?;
    let arrived = entry.clock.now();
    let key = match &work.key {
        Some(key) => key.clone(),
        None => format!("work:{:032x}", item.id).into(),
    };
    Ok(Job {
        arrived,
        body: work.body.clone(),
        class: class.clone(),
        class_name: work.class.clone(),
        deadline: arrived + class.deadline,
        fingerprint: hash::number(&[&work.body]),
        headers: work.headers.clone(),
        key: Some(key),
        path: work.path.clone(),
        prefix: work.prefix,
        request: entry.next_request(),
        service: service.clone(),
        workspace: workspace.clone(),
        workspace_name: work.workspace.clone(),
    })
}

async fn collect(answer: Answer) -> Result<Kept, Refusal> {
    let (head, body) = match answer {
        Answer::Stream(head, mut pipe) => {
            let mut body = Vec::new();
            if let Err(error) = pipe.read_to_end(&mut body).await {
                let message = format!("the answer broke off: {error}");
                return Err(Refusal::failed(Verdict::MayHaveRun, message));
            }
            (head, body)
        }
        Answer::Buffered(head, body) => (head, body),
    };
    Ok(Kept {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn to_refused(refusal: &Refusal) -> Refused {
    Refused {
        code: refusal.code.into(),
        message: refusal.message.clone(),
        verdict: refusal.verdict,
    }
}

/// Stores the result, retrying until the store responds. A result that is stored already is kept.
async fn store(entry: &Entry, item: &Item, ending: Ending) {
    let work = &item.work;
    let ended = Ended {
        service: work.service.clone(),
        workspace: work.workspace.clone(),
        digest: work.digest,
        time: wall_time(),
        ending,
    };
    let value = encode(&ended);
    let key = done_key(item.id);
    while entry
        .objects
        .put(&key, &value, Expect::Absent)
        .await
        .is_err()
    {
        task::sleep(jittered(MIN_RETRY_DELAY)).await;
    }
}

/// Decodes a stored result.
pub(super) fn decode_ended(value: &[u8]) -> Option<Ended> {
    decode(value)
}
