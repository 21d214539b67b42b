//! Accepts asynchronous work: confirms it to the caller once it is stored.

use super::claim::Item;
use super::{
    MAX_WORK_BYTES, decode, done_key, encode, look_up::status_response, open_key,
    run::decode_ended, wall_time,
};
use crate::entry::Entry;
use crate::headers;
use crate::job::Job;
use crate::refusal::{Refusal, STORE_DOWN};
use almondwell_core::ledger::{call_key, digest};
use almondwell_platform::{Error, Expect, Object, Written};
use almondwell_schema::{Verdict, Work, WorkId};
use async_std::task;
use http_types::{Request, Response, StatusCode};
use std::time::Duration;

const RETRY_DELAY: Duration = Duration::from_millis(200);
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum time that a caller waits for its work to be stored.
const STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether the caller prefers an asynchronous response (`Prefer: respond-async`).
pub(crate) fn is_async_requested(request: &Request) -> bool {
    headers::value(request, "Prefer").is_some_and(|value| {
        value
            .split([',', ';'])
            .any(|token| token.trim().eq_ignore_ascii_case("respond-async"))
    })
}

/// Stores `job` as work and responds with `202 Accepted` and the work's id, or with the refusal.
pub(crate) async fn accept(entry: &Entry, job: &Job) -> Response {
    match store(entry, job).await {
        Ok(id) => accepted_response(id, job),
        Err(refusal) => {
            entry.metrics.count_refused(&refusal);
            refusal.response(job.request)
        }
    }
}

fn accepted_response(id: WorkId, job: &Job) -> Response {
    let mut response = status_response(StatusCode::Accepted, id, "waiting", Verdict::MayHaveRun);
    response.insert_header("Location", format!("{}{id:032x}", super::PATH));
    response.insert_header("Preference-Applied", "respond-async");
    response.insert_header(
        crate::refusal::REQUEST_HEADER,
        format!("{:032x}", job.request),
    );
    response
}

/// Stores `job`, retrying until its deadline or [`STORE_TIMEOUT`]. The id of work with an
/// idempotency key is derived from the key, so that a repeated request finds the same work.
async fn store(entry: &Entry, job: &Job) -> Result<WorkId, Refusal> {
    let work = to_work(job);
    let value = encode(&work);
    if value.len() > MAX_WORK_BYTES {
        let message = format!("work to be stored has {MAX_WORK_BYTES} bytes at most");
        return Err(Refusal::invalid(
            StatusCode::PayloadTooLarge,
            "body_too_long",
            message,
        ));
    }
    let id = match &job.key {
        Some(key) => call_key(&job.service.name, &job.workspace_name, key),
        None => rand::random(),
    };
    let deadline = job.deadline.min(entry.clock.now() + STORE_TIMEOUT);
    let mut verdict = Verdict::NotRun;
    loop {
        match put(entry, job, id, &work, &value).await {
            Ok(result) => return result.map(|()| id),
            Err(Error::Down(_)) => {}
            Err(Error::Answer(_) | Error::Lost(_) | Error::TooLong(_)) => {
                verdict = Verdict::MayHaveRun;
            }
        }
        if entry.clock.now() + RETRY_DELAY > deadline {
            return Err(store_unavailable(verdict));
        }
        task::sleep(RETRY_DELAY).await;
    }
}

/// Tries once to store `work`. The inner error is returned if other work has its id already.
async fn put(
    entry: &Entry,
    job: &Job,
    id: WorkId,
    work: &Work,
    value: &[u8],
) -> Result<Result<(), Refusal>, Error> {
    if job.key.is_some()
        && let Some(done) = entry.objects.get(&done_key(id)).await?
    {
        ensure_readable(&done)?;
        return Ok(check_digest(
            work,
            decode_ended(&done.value).map(|ended| ended.digest),
        ));
    }
    match entry
        .objects
        .put(&open_key(id), value, Expect::Absent)
        .await?
    {
        Written::Done(version) => {
            let work = work.clone();
            entry.stored.enqueue(Item { id, version, work });
            Ok(Ok(()))
        }
        Written::Conflict => {
            let object = entry.objects.get(&open_key(id)).await?;
            if object
                .as_ref()
                .is_some_and(|object| object.value.is_empty())
            {
                return Err(Error::Answer("the stored work cannot be read".into()));
            }
            let stored = object.and_then(|object| decode::<Work>(&object.value));
            // Work that has ended since the conflict was stored by an earlier attempt.
            let digest = stored.map_or(work.digest, |stored| stored.digest);
            Ok(check_digest(work, Some(digest)))
        }
    }
}

/// Fails on an object without a value, of which it is unknown whether it is the work of this request.
fn ensure_readable(object: &Object) -> Result<(), Error> {
    if object.value.is_empty() {
        return Err(Error::Answer("the stored work cannot be read".into()));
    }
    Ok(())
}

/// Refuses the request if its idempotency key was used for different work.
fn check_digest(work: &Work, digest: Option<u64>) -> Result<(), Refusal> {
    if digest == Some(work.digest) {
        return Ok(());
    }
    Err(Refusal::invalid(
        StatusCode::UnprocessableEntity,
        "key_reused",
        "the key belongs to earlier work with another class, path or body",
    ))
}

fn to_work(job: &Job) -> Work {
    Work {
        service: job.service.name.clone(),
        class: job.class_name.clone(),
        workspace: job.workspace_name.clone(),
        path: job.path.clone(),
        headers: job.headers.clone(),
        body: job.body.clone(),
        key: job.key.clone(),
        digest: digest(&job.class_name, &job.path, &job.body),
        prefix: job.prefix,
        accepted: wall_time(),
        holder: None,
    }
}

fn store_unavailable(verdict: Verdict) -> Refusal {
    Refusal {
        code: STORE_DOWN,
        retry: Some(RETRY_AFTER),
        status: StatusCode::ServiceUnavailable,
        ..Refusal::failed(verdict, "the store did not confirm the work in time")
    }
}
