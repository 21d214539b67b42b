//! Passes an answer on while it is made.

use crate::home::Home;
use almondwell_daemon::{Piece, Pipe};
use almondwell_schema::Frame;
use almondwell_wire::Connection;
use async_std::channel::{SendError, Sender};
use async_std::future::timeout;
use async_std::task;
use futures_lite::FutureExt;
use std::io;
use std::time::Duration;

/// Passes on what `connection` sends after `begun`, for up to `left` and while the pipe is read.
pub(crate) fn start(connection: Connection, home: Home, left: Duration, begun: Vec<u8>) -> Pipe {
    let (sender, pipe, dropped) = Pipe::guarded();
    task::spawn(async move {
        let pump = async {
            let _ = pump(connection, &sender, home, begun).await;
        };
        let cancelled = async {
            let _ = timeout(left, dropped.recv()).await;
        };
        pump.or(cancelled).await;
    });
    pipe
}

/// Passes the body on until its end; anything else breaks the answer off.
async fn pump(
    mut connection: Connection,
    sender: &Sender<Piece>,
    home: Home,
    begun: Vec<u8>,
) -> Result<(), SendError<Piece>> {
    let mut length = begun.len() as u64;
    if !begun.is_empty() {
        sender.send(Ok(begun)).await?;
    }
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
                return sender.send(broken()).await;
            }
            Err(_) => return sender.send(broken()).await,
        }
    }
}

fn broken() -> Piece {
    Err(io::ErrorKind::ConnectionAborted.into())
}
