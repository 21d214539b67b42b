//! Waits until the ledger grants a call its run, and answers repeated calls from the ledger.

use super::{Attempt, run};
use crate::call::Slot;
use crate::side::Side;
use almondwell_core::ledger::{Call, Status, call_key, digest};
use almondwell_daemon::disconnected;
use almondwell_schema::{Chunk, End, Fault, Frame, Head, Header, Kept, Reason, Run, Verdict};
use almondwell_wire::{Connection, Error};
use async_std::future::timeout;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// Time before the deadline at which a waiting call is refused, so that the refusal arrives in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);

/// Runs `run` at most once per idempotency key and writes the response to `connection`.
pub(crate) async fn call(
    side: &Arc<Side>,
    connection: &mut Connection,
    run: Run,
    slot: Slot,
) -> Result<(), Error> {
    let tcp = connection.tcp().clone();
    let response = async { Ok(run_or_replay(side, run, slot).await) };
    let cancelled = async {
        disconnected(&tcp).await;
        side.metrics.calls_cancelled.inc();
        Err(Error::Io(std::io::ErrorKind::ConnectionReset.into()))
    };
    for frame in response.or(cancelled).await? {
        connection.write(&frame).await?;
    }
    Ok(())
}

/// Runs `run` or replays the outcome of an earlier run of its key; returns the response frames.
async fn run_or_replay(side: &Arc<Side>, run: Run, slot: Slot) -> Vec<Frame> {
    let key = run.key.as_deref().unwrap_or_default();
    let call = Call {
        digest: digest(&run.class, &run.path, &run.body),
        key: call_key(&run.service, &run.workspace, key),
        run: rand::random(),
    };
    let handle = side.ledger.shard(&run.service, call.key);
    let attempt = Attempt::new(call, handle);
    let wait = run.left.saturating_sub(REFUSAL_MARGIN);
    match timeout(wait, wait_for_grant(side, &attempt, slot)).await {
        Ok(Ok(slot)) => run::start(side.clone(), attempt, run, slot).await,
        Ok(Err(frames)) => frames,
        Err(_) => deadline_exceeded(&attempt),
    }
}

/// Returns the slot once the call may run, or the response frames if it must not run.
async fn wait_for_grant(side: &Side, attempt: &Attempt, slot: Slot) -> Result<Slot, Vec<Frame>> {
    loop {
        let changed = attempt.handle.changed.listen();
        let status = attempt.handle.ask(attempt.call);
        if status == Status::Running {
            drop(slot);
            side.grant_free_slots().await;
            return Err(wait_for_other_run(attempt).await);
        }
        match resolve(status) {
            Some(Ok(())) => return Ok(slot),
            Some(Err(frames)) => return Err(frames),
            None => changed.await,
        }
    }
}

/// Waits, without holding a slot, until the run of another call with the same key has ended.
async fn wait_for_other_run(attempt: &Attempt) -> Vec<Frame> {
    loop {
        let changed = attempt.handle.changed.listen();
        let status = attempt.handle.ask(attempt.call);
        if status == Status::Running {
            changed.await;
            continue;
        }
        if let Some(Err(frames)) = resolve(status) {
            return frames;
        }
        let fault = fault(
            Verdict::NotRun,
            Reason::Expired,
            "the first call with the key was given up; this one needs a place",
        );
        return vec![fault.into()];
    }
}

/// Maps a status to permission to run or to response frames; `None` while the call has to wait.
fn resolve(status: Status) -> Option<Result<(), Vec<Frame>>> {
    let fault = match status {
        Status::Granted => return Some(Ok(())),
        Status::Loading | Status::Running | Status::Writing => return None,
        Status::Finished(Some(kept)) => return Some(Err(replay(kept))),
        Status::Finished(None) => fault(
            Verdict::Ran,
            Reason::NotKept,
            "the key has run; its answer was too long to keep",
        ),
        Status::Conflict => fault(
            Verdict::NotRun,
            Reason::KeyReused,
            "the key belongs to an earlier call with another class, path or body",
        ),
        Status::Full => fault(
            Verdict::NotRun,
            Reason::Full,
            "the ledger has no room for a further key",
        ),
        Status::Unknown => fault(
            Verdict::MayHaveRun,
            Reason::Interrupted,
            "an earlier run of the key broke off; it is not run again",
        ),
    };
    Some(Err(vec![fault.into()]))
}

/// Returns the response frames for a call whose deadline passed before it ran.
fn deadline_exceeded(attempt: &Attempt) -> Vec<Frame> {
    let status = attempt.handle.ask(attempt.call);
    let is_running = status == Status::Running;
    if let Some(Err(frames)) = resolve(status) {
        return frames;
    }
    let fault = if is_running {
        fault(
            Verdict::MayHaveRun,
            Reason::Late,
            "the deadline passed while an earlier call with the key was running",
        )
    } else {
        fault(
            Verdict::NotRun,
            Reason::StoreDown,
            "the deadline passed before the ledger could note the call",
        )
    };
    vec![fault.into()]
}

fn replay(kept: Kept) -> Vec<Frame> {
    let mut headers = kept.headers;
    headers.push(Header {
        name: "almondwell-replayed".into(),
        value: "true".into(),
    });
    let head = Head {
        status: kept.status,
        headers,
        replayed: true,
    };
    let length = kept.body.len() as u64;
    let chunk = Chunk { bytes: kept.body };
    vec![head.into(), chunk.into(), End { length }.into()]
}

fn fault(verdict: Verdict, reason: Reason, detail: &str) -> Fault {
    Fault {
        verdict,
        reason,
        retry: Duration::from_secs(1),
        detail: detail.into(),
        crashes: Vec::new(),
    }
}
