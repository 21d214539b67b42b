//! Accepts work once it is stored.

use super::claim::Found;
use super::{
    MAX_WORK, decode, done_key, encode, look_up::status_response, open_key, run::ended, wall_time,
};
use crate::entry::Entry;
use crate::headers;
use crate::job::Job;
use crate::refusal::{Refusal, STORE_DOWN};
use almondwell_core::ledger::{call_key, digest};
use almondwell_platform::{Error, Expect, Written};
use almondwell_schema::{Verdict, Work, WorkId};
use async_std::task;
use http_types::{Request, Response, StatusCode};
use std::time::Duration;

const RETRY_PAUSE: Duration = Duration::from_millis(200);
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Longest time that a caller waits for its work to be stored.
const STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether the caller asks not to wait.
pub(crate) fn is_asked(request: &Request) -> bool {
    headers::value(request, "Prefer").is_some_and(|value| {
        value
            .split([',', ';'])
            .any(|token| token.trim().eq_ignore_ascii_case("respond-async"))
    })
}

/// Stores `job` and answers with its id.
pub(crate) async fn accept(entry: &Entry, job: &Job) -> Response {
    match store(entry, job).await {
        Ok(id) => accepted(id, job),
        Err(refusal) => {
            entry.metrics.refuse(&refusal);
            refusal.response(job.request)
        }
    }
}

fn accepted(id: WorkId, job: &Job) -> Response {
    let mut response = status_response(StatusCode::Accepted, id, "waiting", Verdict::MayHaveRun);
    response.insert_header("Location", format!("{}{id:032x}", super::PATH));
    response.insert_header("Preference-Applied", "respond-async");
    response.insert_header(
        crate::refusal::REQUEST_HEADER,
        format!("{:032x}", job.request),
    );
    response
}

async fn store(entry: &Entry, job: &Job) -> Result<WorkId, Refusal> {
    let work = work(job);
    let value = encode(&work);
    if value.len() > MAX_WORK {
        let message = format!("work to be stored has {MAX_WORK} bytes at most");
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
    let end = job.deadline.min(entry.clock.now() + STORE_TIMEOUT);
    let mut verdict = Verdict::NotRun;
    loop {
        match put(entry, job, id, &work, &value).await {
            Ok(result) => return result.map(|()| id),
            Err(Error::Down(_)) => {}
            Err(Error::Answer(_) | Error::Lost(_)) => verdict = Verdict::MayHaveRun,
        }
        if entry.clock.now() + RETRY_PAUSE > end {
            return Err(not_stored(verdict));
        }
        task::sleep(RETRY_PAUSE).await;
    }
}

/// Stores `work` once; what is stored under its id already must be the same.
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
        return Ok(same(work, ended(&done.value).map(|ended| ended.digest)));
    }
    match entry
        .objects
        .put(&open_key(id), value, Expect::Absent)
        .await?
    {
        Written::Done(version) => {
            let work = work.clone();
            entry.stored.offer(Found { id, version, work });
            Ok(Ok(()))
        }
        Written::Conflict => {
            let open = entry.objects.get(&open_key(id)).await?;
            let stored = open.and_then(|open| decode::<Work>(&open.value));
            // Work that has ended meanwhile was stored by an earlier try.
            let digest = stored.map_or(work.digest, |stored| stored.digest);
            Ok(same(work, Some(digest)))
        }
    }
}

fn same(work: &Work, digest: Option<u64>) -> Result<(), Refusal> {
    if digest == Some(work.digest) {
        return Ok(());
    }
    Err(Refusal::invalid(
        StatusCode::UnprocessableEntity,
        "key_reused",
        "the key belongs to earlier work with another class, path or body",
    ))
}

fn work(job: &Job) -> Work {
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

fn not_stored(verdict: Verdict) -> Refusal {
    Refusal {
        code: STORE_DOWN,
        retry: Some(RETRY_AFTER),
        status: StatusCode::ServiceUnavailable,
        ..Refusal::broken(verdict, "the store did not confirm the work in time")
    }
}
