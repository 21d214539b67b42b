//! Runs a granted call to completion, even if its caller disconnects, and records the outcome.

use super::Attempt;
use crate::call::{Slot, deadline_exceeded};
use crate::side::Side;
use crate::upstream;
use almondwell_schema::{Fault, Frame, Kept, Reason, Run, Verdict};
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Time past the caller's deadline for which a run may continue so that its outcome is recorded.
const OUTCOME_GRACE_PERIOD: Duration = Duration::from_mins(1);

/// Starts the run and returns its response frames, or a fault once the deadline has passed.
pub(crate) async fn start(
    side: Arc<Side>,
    mut attempt: Attempt,
    run: Run,
    slot: Slot,
) -> Vec<Frame> {
    let (sender, receiver) = bounded(1);
    let remaining = run.left;
    attempt.start();
    task::spawn(async move {
        let frames = run_to_completion(&side, &attempt, &run).await;
        drop(slot);
        side.grant_free_slots().await;
        // Fails if the caller has disconnected or the deadline has passed.
        let _ = sender.send(frames).await;
    });
    match timeout(remaining, receiver.recv()).await {
        Ok(Ok(frames)) => frames,
        Ok(Err(_)) | Err(_) => vec![deadline_exceeded().into()],
    }
}

async fn run_to_completion(side: &Side, attempt: &Attempt, run: &Run) -> Vec<Frame> {
    let mut frames: Vec<Frame> = Vec::new();
    let limit = run.left.saturating_add(OUTCOME_GRACE_PERIOD);
    let call = timeout(limit, upstream::call(side, &mut frames, run)).await;
    if !matches!(call, Ok(Ok(()))) {
        frames.push(incomplete_response().into());
    }
    record_outcome(attempt, &frames);
    frames
}

/// Records the outcome of the run in the ledger.
fn record_outcome(attempt: &Attempt, frames: &[Frame]) {
    let handle = &attempt.handle;
    let (key, run) = (attempt.call.key, attempt.call.run);
    let now = handle.clock.now();
    match outcome(frames) {
        Ok(kept) => handle.shard().finish(now, key, run, kept),
        Err(Verdict::NotRun) => handle.shard().abandon(now, key, run),
        Err(Verdict::MayHaveRun | Verdict::Ran) => handle.shard().mark_unknown(key, run),
    }
    handle.notify();
}

/// Returns the complete response in `frames`, or the verdict if there is none.
fn outcome(frames: &[Frame]) -> Result<Kept, Verdict> {
    let mut kept = None;
    for frame in frames {
        match (frame, &mut kept) {
            (Frame::Head(head), None) => {
                kept = Some(Kept {
                    status: head.status,
                    headers: head.headers.clone(),
                    body: Vec::new(),
                });
            }
            (Frame::Chunk(chunk), Some(kept)) => kept.body.extend_from_slice(&chunk.bytes),
            (Frame::End(_), Some(_)) => {}
            (Frame::Fault(fault), _) => return Err(fault.verdict),
            (
                Frame::Chunk(_)
                | Frame::End(_)
                | Frame::Fetch(_)
                | Frame::Head(_)
                | Frame::Run(_)
                | Frame::Ask(_)
                | Frame::Held(_)
                | Frame::Snapshot(_),
                _,
            ) => return Err(Verdict::MayHaveRun),
        }
    }
    kept.ok_or(Verdict::MayHaveRun)
}

fn incomplete_response() -> Fault {
    Fault {
        verdict: Verdict::MayHaveRun,
        reason: Reason::Unknown,
        retry: Duration::ZERO,
        detail: "the upstream did not end its answer".into(),
        crashes: Vec::new(),
    }
}
