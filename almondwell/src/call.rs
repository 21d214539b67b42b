//! Runs a request at the side that granted it a slot.

use crate::answer::Answer;
use crate::entry::Entry;
use crate::feedback::Feedback;
use crate::job::Job;
use crate::pump;
use crate::refusal::Refusal;
use almondwell_schema::{Crash, Frame, Head, Run, Ticket, Verdict};
use almondwell_wire::Connection;
use async_std::future::timeout;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest answer that is buffered whole; a longer one is streamed to the caller while it arrives.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Sends `job` to `side` and reads the answer: all of it, or for a stream its head and first bytes.
pub(crate) async fn run(
    entry: &Entry,
    job: &Job,
    side: SocketAddr,
    ticket: Ticket,
) -> Result<Answer, Refusal> {
    let mut connection = connect(entry, side).await?;
    let remaining = job.deadline.saturating_sub(entry.clock.now());
    let crashes = entry.suspects.crashes(entry.clock.now(), job.fingerprint);
    let run = run_frame(job, ticket, remaining, crashes);
    // A side never runs a frame that it received only in part, so the verdict is certain.
    if let Err(error) = connection.write(&run.into()).await {
        return Err(Refusal::failed(
            Verdict::NotRun,
            format!("a side could not be sent the request: {error}"),
        ));
    }
    let feedback = Feedback::new(entry, job, side);
    match timeout(remaining, read(connection, feedback, remaining)).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::failed(
            Verdict::MayHaveRun,
            "the deadline passed while the request ran",
        )),
    }
}

async fn connect(entry: &Entry, side: SocketAddr) -> Result<Connection, Refusal> {
    if let Some(connection) = entry.pool.take(side, entry.clock.now()).await {
        return Ok(connection);
    }
    let connect = Connection::open(side, entry.seal.clone());
    match timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(Refusal::failed(
            Verdict::NotRun,
            format!("no connection to a side: {error}"),
        )),
        Err(_) => Err(Refusal::failed(
            Verdict::NotRun,
            "no connection to a side in time",
        )),
    }
}

fn run_frame(job: &Job, ticket: Ticket, left: Duration, crashes: Vec<Crash>) -> Run {
    Run {
        request: job.request,
        ticket,
        service: job.service.name.clone(),
        class: job.class_name.clone(),
        workspace: job.workspace_name.clone(),
        tier: job.class.tier,
        idempotent: job.class.idempotent,
        key: job.key.clone(),
        fingerprint: job.fingerprint,
        crashes,
        left,
        path: job.path.clone(),
        headers: job.headers.clone(),
        body: job.body.clone(),
    }
}

/// Reads an answer; the rest of a streamed body is read in the background for up to `remaining`.
async fn read(
    mut connection: Connection,
    feedback: Feedback,
    remaining: Duration,
) -> Result<Answer, Refusal> {
    let head = match next_frame(&mut connection, &feedback).await? {
        Frame::Head(head) => head,
        frame => return Err(unexpected(&frame)),
    };
    let mut body = Vec::new();
    while !is_stream(&head) && body.len() < MAX_BUFFERED_BYTES {
        match next_frame(&mut connection, &feedback).await? {
            Frame::Chunk(chunk) => body.extend_from_slice(&chunk.bytes),
            Frame::End(end) if end.length == body.len() as u64 => {
                feedback.record_success(connection);
                return Ok(Answer::Buffered(head, body));
            }
            frame => return Err(unexpected(&frame)),
        }
    }
    Ok(Answer::Stream(
        head,
        pump::start(connection, feedback, remaining, body),
    ))
}

async fn next_frame(connection: &mut Connection, feedback: &Feedback) -> Result<Frame, Refusal> {
    match connection.read().await {
        Ok(Some(Frame::Fault(fault))) => {
            feedback.record_fault(&fault);
            Err(fault.into())
        }
        Ok(Some(frame)) => Ok(frame),
        Ok(None) => Err(Refusal::failed(
            Verdict::MayHaveRun,
            "the side closed the connection",
        )),
        Err(error) => Err(Refusal::failed(
            Verdict::MayHaveRun,
            format!("the side's answer broke off: {error}"),
        )),
    }
}

fn unexpected(frame: &Frame) -> Refusal {
    let name = match frame {
        Frame::Chunk(_) => "chunk",
        Frame::End(_) => "end",
        Frame::Fault(_) => "fault",
        Frame::Fetch(_) => "fetch",
        Frame::Head(_) => "head",
        Frame::Run(_) => "run",
        Frame::Ask(_) => "ask",
        Frame::Held(_) => "held",
        Frame::Snapshot(_) => "snapshot",
    };
    Refusal::failed(
        Verdict::MayHaveRun,
        format!("the side sent an unexpected {name}"),
    )
}

fn is_stream(head: &Head) -> bool {
    head.headers.iter().any(|header| {
        &*header.name == "content-type" && header.value.starts_with("text/event-stream")
    })
}
