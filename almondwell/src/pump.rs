//! Streams an answer to the caller while the upstream produces it.

use crate::feedback::Feedback;
use almondwell_daemon::{Piece, Pipe};
use almondwell_schema::Frame;
use almondwell_wire::Connection;
use async_std::channel::{SendError, Sender};
use async_std::future::timeout;
use async_std::task;
use futures_lite::FutureExt;
use std::io;
use std::time::Duration;

/// Starts a task that streams a body into the returned pipe: first `buffered`, then what
/// `connection` sends. It ends after `remaining` or when the pipe is dropped.
pub(crate) fn start(
    connection: Connection,
    feedback: Feedback,
    remaining: Duration,
    buffered: Vec<u8>,
) -> Pipe {
    let (sender, pipe, dropped) = Pipe::guarded();
    task::spawn(async move {
        let pump = async {
            let _ = pump(connection, &sender, feedback, buffered).await;
        };
        let cancelled = async {
            let _ = timeout(remaining, dropped.recv()).await;
        };
        pump.or(cancelled).await;
    });
    pipe
}

/// Forwards the body up to its end frame; any other frame or error ends the pipe with an error.
async fn pump(
    mut connection: Connection,
    sender: &Sender<Piece>,
    feedback: Feedback,
    buffered: Vec<u8>,
) -> Result<(), SendError<Piece>> {
    let mut length = buffered.len() as u64;
    if !buffered.is_empty() {
        sender.send(Ok(buffered)).await?;
    }
    loop {
        match connection.read().await {
            Ok(Some(Frame::Chunk(chunk))) if !chunk.bytes.is_empty() => {
                length += chunk.bytes.len() as u64;
                sender.send(Ok(chunk.bytes)).await?;
            }
            Ok(Some(Frame::End(end))) if end.length == length => {
                feedback.record_success(connection);
                return sender.send(Ok(Vec::new())).await;
            }
            Ok(frame) => {
                if let Some(Frame::Fault(fault)) = &frame {
                    feedback.record_fault(fault);
                }
                return sender.send(aborted()).await;
            }
            Err(_) => return sender.send(aborted()).await,
        }
    }
}

fn aborted() -> Piece {
    Err(io::ErrorKind::ConnectionAborted.into())
}
