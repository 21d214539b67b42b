//! Waits until the ledger lets a call run, and answers repeats.

use super::{Attempt, run};
use crate::call::Place;
use crate::side::Side;
use almondwell_core::ledger::{Call, Standing, call_key, digest};
use almondwell_daemon::gone;
use almondwell_schema::{Chunk, End, Fault, Frame, Head, Header, Kept, Reason, Run, Verdict};
use almondwell_wire::{Connection, Error};
use async_std::future::timeout;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// Time before the deadline at which a call that waits is refused, so that the refusal arrives.
const MARGIN: Duration = Duration::from_millis(100);

/// Runs `run` once in the life of its key, and answers it.
pub(crate) async fn call(
    side: &Arc<Side>,
    connection: &mut Connection,
    run: Run,
    place: Place,
) -> Result<(), Error> {
    let tcp = connection.tcp().clone();
    let answer = async { Ok(frames(side, run, place).await) };
    let cancelled = async {
        gone(&tcp).await;
        side.metrics.calls_cancelled.inc();
        Err(Error::Io(std::io::ErrorKind::ConnectionReset.into()))
    };
    for frame in answer.or(cancelled).await? {
        connection.write(&frame).await?;
    }
    Ok(())
}

/// The frames that answer `run`.
async fn frames(side: &Arc<Side>, run: Run, place: Place) -> Vec<Frame> {
    let key = run.key.as_deref().unwrap_or_default();
    let call = Call {
        digest: digest(&run.class, &run.path, &run.body),
        key: call_key(&run.service, &run.workspace, key),
        run: rand::random(),
    };
    let held = side.ledger.shard(&run.service, call.key);
    let attempt = Attempt::new(call, held);
    let wait = run.left.saturating_sub(MARGIN);
    match timeout(wait, granted(side, &attempt, place)).await {
        Ok(Ok(place)) => run::start(side.clone(), attempt, run, place).await,
        Ok(Err(frames)) => frames,
        Err(_) => late(&attempt),
    }
}

/// Returns the place when the call may run, or the frames that answer it otherwise.
async fn granted(side: &Side, attempt: &Attempt, place: Place) -> Result<Place, Vec<Frame>> {
    loop {
        let changed = attempt.held.changed.listen();
        let standing = attempt.held.ask(attempt.call);
        if standing == Standing::Running {
            drop(place);
            side.offer().await;
            return Err(repeated(attempt).await);
        }
        match settled(standing) {
            Some(Ok(())) => return Ok(place),
            Some(Err(frames)) => return Err(frames),
            None => changed.await,
        }
    }
}

/// Waits, without a place, until the run of another call with the key has ended.
async fn repeated(attempt: &Attempt) -> Vec<Frame> {
    loop {
        let changed = attempt.held.changed.listen();
        let standing = attempt.held.ask(attempt.call);
        if standing == Standing::Running {
            changed.await;
            continue;
        }
        if let Some(Err(frames)) = settled(standing) {
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

/// What `standing` means for a call; `None` while it has to wait.
fn settled(standing: Standing) -> Option<Result<(), Vec<Frame>>> {
    let fault = match standing {
        Standing::Granted => return Some(Ok(())),
        Standing::Loading | Standing::Running | Standing::Writing => return None,
        Standing::Finished(Some(kept)) => return Some(Err(replay(kept))),
        Standing::Finished(None) => fault(
            Verdict::Ran,
            Reason::NotKept,
            "the key has run; its answer was too long to keep",
        ),
        Standing::Conflict => fault(
            Verdict::NotRun,
            Reason::KeyReused,
            "the key belongs to an earlier call with another class, path or body",
        ),
        Standing::Full => fault(
            Verdict::NotRun,
            Reason::Full,
            "the ledger has no room for a further key",
        ),
        Standing::Unknown => fault(
            Verdict::MayHaveRun,
            Reason::Interrupted,
            "an earlier run of the key broke off; it is not run again",
        ),
    };
    Some(Err(vec![fault.into()]))
}

/// Answers a call whose time ran out before it was run.
fn late(attempt: &Attempt) -> Vec<Frame> {
    let standing = attempt.held.ask(attempt.call);
    let is_running = standing == Standing::Running;
    if let Some(Err(frames)) = settled(standing) {
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
