//! Runs claimed work until it has ended, and stores the result.

use super::claim::Found;
use super::pickup::{give_back, jittered};
use super::{MAX_WORK, WORK_TIMEOUT, decode, done_key, encode, open_key, wall_time};
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

const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(15);
/// Runs of idempotent work that may break off.
const MAX_BROKEN: u32 = 5;

/// Runs `found`, which this entry has claimed.
pub(super) async fn run(entry: &Entry, found: Found) {
    if !has_ended(entry, &found).await {
        let Some(ending) = end(entry, &found).await else {
            give_back(entry, found).await;
            return;
        };
        store(entry, &found, ending).await;
    }
    // What is left of it is removed by the next claim.
    let _ = entry
        .objects
        .delete(&open_key(found.id), found.version)
        .await;
}

/// Whether an earlier holder has stored a result.
async fn has_ended(entry: &Entry, found: &Found) -> bool {
    loop {
        match entry.objects.get(&done_key(found.id)).await {
            Ok(done) => return done.is_some(),
            Err(_) => task::sleep(jittered(FIRST_PAUSE)).await,
        }
    }
}

/// Runs the work until it has ended; `None` when another entry should go on.
async fn end(entry: &Entry, found: &Found) -> Option<Ending> {
    let mut broken = 0;
    let mut pause = FIRST_PAUSE;
    loop {
        let refusal = match attempt(entry, found).await {
            Ok(kept) => return Some(kept.into()),
            Err(refusal) => refusal,
        };
        broken += u32::from(refusal.verdict != Verdict::NotRun);
        if !may_repeat(entry, &found.work, &refusal, broken) {
            return Some(refused(&refusal).into());
        }
        if entry.drain.is_leaving() || !is_held(entry, found).await {
            return None;
        }
        task::sleep(jittered(pause)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn attempt(entry: &Entry, found: &Found) -> Result<Kept, Refusal> {
    let job = job(entry, found)?;
    let kept = collect(dispatch(entry, &job).await?).await?;
    if encode(&kept).len() > MAX_WORK {
        return Err(Refusal {
            code: "answer_too_long",
            ..Refusal::broken(Verdict::Ran, "the answer is too long to be stored")
        });
    }
    Ok(kept)
}

fn may_repeat(entry: &Entry, work: &Work, refusal: &Refusal, broken: u32) -> bool {
    if refusal.status.is_client_error() || wall_time() > work.accepted + WORK_TIMEOUT {
        return false;
    }
    match refusal.verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => is_idempotent(entry, work) && broken < MAX_BROKEN,
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

/// Whether the claim still stands, as far as can be known.
async fn is_held(entry: &Entry, found: &Found) -> bool {
    match entry.objects.get(&open_key(found.id)).await {
        Ok(open) => open.is_some_and(|open| open.version == found.version),
        Err(_) => true,
    }
}

/// The work as a request; work that may not be repeated runs under its id where it has no key.
fn job(entry: &Entry, found: &Found) -> Result<Job, Refusal> {
    let work = &found.work;
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
        None => format!("work:{:032x}", found.id).into(),
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
                return Err(Refusal::broken(Verdict::MayHaveRun, message));
            }
            (head, body)
        }
        Answer::Whole(head, body) => (head, body),
    };
    Ok(Kept {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn refused(refusal: &Refusal) -> Refused {
    Refused {
        code: refusal.code.into(),
        message: refusal.message.clone(),
        verdict: refusal.verdict,
    }
}

/// Stores the result; the first that is stored stays.
async fn store(entry: &Entry, found: &Found, ending: Ending) {
    let work = &found.work;
    let ended = Ended {
        service: work.service.clone(),
        workspace: work.workspace.clone(),
        digest: work.digest,
        time: wall_time(),
        ending,
    };
    let value = encode(&ended);
    let key = done_key(found.id);
    while entry
        .objects
        .put(&key, &value, Expect::Absent)
        .await
        .is_err()
    {
        task::sleep(jittered(FIRST_PAUSE)).await;
    }
}

/// Decodes a stored result.
pub(super) fn ended(value: &[u8]) -> Option<Ended> {
    decode(value)
}
