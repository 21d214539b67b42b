//! Serves the requests of one caller's connection, one after another.

use crate::entry::Entry;
use crate::handler;
use crate::head::Body;
use crate::receive::{Received, receive};
use crate::refusal::Refusal;
use almondwell_daemon::disconnected;
use async_h1::server::Encoder;
use async_std::future::timeout;
use async_std::io::{self, ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response};
use std::net::Shutdown;
use std::time::Duration;

const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// How long input is still read while closing, so that the caller can read the answer and stop
/// sending before the connection is reset.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: u64 = 16 << 20;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves requests until the caller disconnects, asks to close or sends a malformed request.
pub(crate) async fn serve(entry: &Entry, mut tcp: TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let mut bytes = Vec::new();
    loop {
        if bytes.is_empty() && !wait_for_request(entry, &tcp).await {
            return Ok(());
        }
        let stopped = async {
            entry.drain.finished().await;
            Ok(Err(Refusal::stopping()))
        };
        let received = match receive(entry, &mut tcp, &mut bytes).or(stopped).await? {
            Ok(received) => received,
            Err(refusal) => return reject(entry, &mut tcp, &refusal).await,
        };
        if !respond(entry, &mut tcp, received).await? {
            return close(&mut tcp).await;
        }
    }
}

/// Answers 503 because too many connections are open, and closes.
pub(crate) async fn refuse(entry: &Entry, mut tcp: TcpStream) -> io::Result<()> {
    let refusal = Refusal::busy("too many connections are open", RETRY_AFTER);
    reject(entry, &mut tcp, &refusal).await
}

/// Waits for the first byte of a request; `false` if the connection should close instead.
async fn wait_for_request(entry: &Entry, tcp: &TcpStream) -> bool {
    let arrived = async {
        let mut byte = [0];
        tcp.peek(&mut byte).await.is_ok_and(|read| read > 0)
    };
    let idle = async {
        task::sleep(IDLE_TIMEOUT).await;
        false
    };
    let draining = async {
        entry.drain.wait_for_close().await;
        false
    };
    arrived.or(idle).or(draining).await
}

/// Writes an error response and closes the connection.
async fn reject(entry: &Entry, tcp: &mut TcpStream, refusal: &Refusal) -> io::Result<()> {
    entry.metrics.count_rejected(refusal);
    let response = refusal.response(entry.next_request());
    let write = write(tcp, response, Method::Post, false);
    timeout(LINGER_TIMEOUT, write)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    close(tcp).await
}

/// Answers one request; `false` if the connection must close afterwards.
async fn respond(entry: &Entry, tcp: &mut TcpStream, received: Received<'_>) -> io::Result<bool> {
    let Received {
        head,
        request,
        permit: _permit,
    } = received;
    let watched = tcp.clone();
    let can_keep_alive = head.keep_alive && head.body != Body::Chunked;
    let served = serve_one(entry, tcp, request, can_keep_alive);
    let disconnected = async {
        disconnected(&watched).await;
        entry.metrics.callers_left.inc();
        Ok(false)
    };
    served.or(disconnected).await
}

async fn serve_one(
    entry: &Entry,
    tcp: &mut TcpStream,
    request: Request,
    can_keep_alive: bool,
) -> io::Result<bool> {
    let method = request.method();
    let response = handler::handle(entry, request).await;
    let keep_alive = can_keep_alive && !entry.drain.is_leaving();
    write(tcp, response, method, keep_alive).await?;
    Ok(keep_alive)
}

async fn write(
    tcp: &mut TcpStream,
    mut response: Response,
    method: Method,
    keep_alive: bool,
) -> io::Result<()> {
    if !keep_alive {
        response.insert_header("Connection", "close");
    }
    let mut encoder = Encoder::new(response, method);
    io::copy(&mut encoder, &mut *tcp).await?;
    tcp.flush().await
}

/// Closes the connection, discarding further input until the caller closes too. Closing with unread
/// input would send a reset that can reach the caller before the answer does.
async fn close(tcp: &mut TcpStream) -> io::Result<()> {
    tcp.shutdown(Shutdown::Write)?;
    let rest = io::copy(tcp.take(MAX_LINGER_BYTES), io::sink());
    // A caller that keeps sending gets a reset.
    let _ = timeout(LINGER_TIMEOUT, rest).await;
    Ok(())
}
