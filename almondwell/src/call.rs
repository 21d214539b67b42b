//! Runs a granted request at a side.

use crate::answer::Answer;
use crate::entry::Entry;
use crate::job::Job;
use crate::once;
use crate::pool::Pool;
use crate::quarantine::Suspects;
use crate::refusal::Refusal;
use almondwell_daemon::{Clock, Piece, Pipe};
use almondwell_schema::{Crash, Fault, Fingerprint, Frame, Head, Run, Ticket, Verdict};
use almondwell_wire::Connection;
use async_std::channel::{SendError, Sender};
use async_std::future::timeout;
use async_std::task;
use futures_lite::FutureExt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest answer that is not a stream, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Sends `job` to `side` and reads its answer, or the head of it for a stream.
pub(crate) async fn run(
    entry: &Entry,
    job: &Job,
    side: SocketAddr,
    ticket: Ticket,
) -> Result<Answer, Refusal> {
    let mut connection = connect(entry, side).await?;
    let left = job.deadline.saturating_sub(entry.clock.now());
    let crashes = entry.suspects.crashes(entry.clock.now(), job.fingerprint);
    let run = frame(job, ticket, left, crashes);
    // A frame that was not written whole is never run.
    if let Err(error) = connection.write(&run.into()).await {
        return Err(Refusal::broken(
            Verdict::NotRun,
            format!("a side could not be sent the request: {error}"),
        ));
    }
    let home = Home {
        clock: entry.clock,
        fingerprint: job.fingerprint,
        pool: entry.pool.clone(),
        side,
        suspects: entry.suspects.clone(),
    };
    match timeout(left, read(connection, home, left)).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::broken(
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
        Ok(Err(error)) => Err(Refusal::broken(
            Verdict::NotRun,
            format!("no connection to a side: {error}"),
        )),
        Err(_) => Err(Refusal::broken(
            Verdict::NotRun,
            "no connection to a side in time",
        )),
    }
}

/// Where a connection goes after a whole answer.
struct Home {
    clock: Clock,
    fingerprint: Fingerprint,
    pool: Arc<Pool>,
    side: SocketAddr,
    suspects: Arc<Suspects>,
}

impl Home {
    fn learn(&self, fault: &Fault) {
        let now = self.clock.now();
        self.suspects.learn(now, self.fingerprint, &fault.crashes);
    }

    fn keep(&self, connection: Connection) {
        self.suspects.passed(self.clock.now(), self.fingerprint);
        self.pool.keep(self.side, connection, self.clock.now());
    }
}

fn frame(job: &Job, ticket: Ticket, left: Duration, crashes: Vec<Crash>) -> Run {
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

/// Reads an answer; what is left of a stream is read for up to `left`.
async fn read(mut connection: Connection, home: Home, left: Duration) -> Result<Answer, Refusal> {
    let head = match next(&mut connection, &home).await? {
        Frame::Head(head) => head,
        frame => return Err(unexpected(&frame)),
    };
    if is_stream(&head) {
        let (sender, pipe, dropped) = Pipe::guarded();
        task::spawn(async move {
            let pump = async {
                let _ = pump(connection, &sender, &home).await;
            };
            let cancelled = async {
                let _ = timeout(left, dropped.recv()).await;
            };
            pump.or(cancelled).await;
        });
        return Ok(Answer::Stream(head, pipe));
    }
    let mut body = Vec::new();
    loop {
        match next(&mut connection, &home).await? {
            Frame::Chunk(chunk) => body.extend_from_slice(&chunk.bytes),
            Frame::End(end) if end.length == body.len() as u64 => {
                home.keep(connection);
                return Ok(Answer::Whole(head, body));
            }
            frame => return Err(unexpected(&frame)),
        }
        if body.len() > MAX_ANSWER {
            return Err(Refusal::broken(Verdict::Ran, "the answer is too long"));
        }
    }
}

async fn next(connection: &mut Connection, home: &Home) -> Result<Frame, Refusal> {
    match connection.read().await {
        Ok(Some(Frame::Fault(fault))) => {
            home.learn(&fault);
            Err(once::refusal(fault))
        }
        Ok(Some(frame)) => Ok(frame),
        Ok(None) => Err(Refusal::broken(
            Verdict::MayHaveRun,
            "the side closed the connection",
        )),
        Err(error) => Err(Refusal::broken(
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
        Frame::Snapshot(_) => "snapshot",
    };
    Refusal::broken(
        Verdict::MayHaveRun,
        format!("the side sent an unexpected {name}"),
    )
}

fn is_stream(head: &Head) -> bool {
    head.headers.iter().any(|header| {
        &*header.name == "content-type" && header.value.starts_with("text/event-stream")
    })
}

/// Passes the body on until its end; anything else breaks the caller's stream off.
async fn pump(
    mut connection: Connection,
    sender: &Sender<Piece>,
    home: &Home,
) -> Result<(), SendError<Piece>> {
    let mut length = 0;
    loop {
        match connection.read().await {
            Ok(Some(Frame::Chunk(chunk))) if !chunk.bytes.is_empty() => {
                length += chunk.bytes.len() as u64;
                sender.send(Ok(chunk.bytes)).await?;
            }
            Ok(Some(Frame::End(end))) if end.length == length => {
                home.keep(connection);
                return sender.send(Ok(Vec::new())).await;
            }
            Ok(frame) => {
                if let Some(Frame::Fault(fault)) = &frame {
                    home.learn(fault);
                }
                let broken = Err(io::ErrorKind::ConnectionAborted.into());
                return sender.send(broken).await;
            }
            Err(_) => {
                let broken = Err(io::ErrorKind::ConnectionAborted.into());
                return sender.send(broken).await;
            }
        }
    }
}
