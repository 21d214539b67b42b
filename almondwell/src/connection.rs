//! One caller's connection: requests one after another.

use crate::entry::Entry;
use crate::handler;
use crate::head::Body;
use crate::receive::{Received, receive};
use crate::refusal::Refusal;
use almondwell_daemon::gone;
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
/// Time in which a caller may read an answer and stop sending before the connection is reset.
const LINGER_TIME: Duration = Duration::from_secs(1);
const LINGER_BYTES: u64 = 16 << 20;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves requests until the caller leaves, asks to close or sends something malformed.
pub(crate) async fn serve(entry: &Entry, mut tcp: TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let mut bytes = Vec::new();
    loop {
        if bytes.is_empty() && !wait(entry, &tcp).await {
            return Ok(());
        }
        let received = match receive(entry, &mut tcp, &mut bytes).await? {
            Ok(received) => received,
            Err(refusal) => return reject(entry, &mut tcp, &refusal).await,
        };
        if !answer(entry, &mut tcp, received).await? {
            return close(&mut tcp).await;
        }
    }
}

/// Tells a caller that too many connections are open.
pub(crate) async fn refuse(entry: &Entry, mut tcp: TcpStream) -> io::Result<()> {
    let refusal = Refusal::busy("too many connections are open", RETRY_AFTER);
    reject(entry, &mut tcp, &refusal).await
}

/// Waits for the first bytes of a request; `false` when the connection should close without one.
async fn wait(entry: &Entry, tcp: &TcpStream) -> bool {
    let arrived = async {
        let mut byte = [0];
        tcp.peek(&mut byte).await.is_ok_and(|read| read > 0)
    };
    let idle = async {
        task::sleep(IDLE_TIMEOUT).await;
        false
    };
    let leaving = async {
        entry.drain.closing().await;
        false
    };
    arrived.or(idle).or(leaving).await
}

/// Answers on the raw stream and closes.
async fn reject(entry: &Entry, tcp: &mut TcpStream, refusal: &Refusal) -> io::Result<()> {
    entry.metrics.reject(refusal);
    let response = refusal.response(entry.next_request());
    let write = write(tcp, response, Method::Post, false);
    timeout(LINGER_TIME, write)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    close(tcp).await
}

/// Answers a request; `false` when the connection cannot carry another one.
async fn answer(entry: &Entry, tcp: &mut TcpStream, received: Received<'_>) -> io::Result<bool> {
    let Received {
        head,
        request,
        hold: _hold,
    } = received;
    let watched = tcp.clone();
    let may_keep = head.keep_alive && head.body != Body::Chunked;
    let serve = serve_one(entry, tcp, request, may_keep);
    let left = async {
        gone(&watched).await;
        entry.metrics.callers_left.inc();
        Ok(false)
    };
    serve.or(left).await
}

async fn serve_one(
    entry: &Entry,
    tcp: &mut TcpStream,
    request: Request,
    may_keep: bool,
) -> io::Result<bool> {
    let method = request.method();
    let response = handler::handle(entry, request).await;
    let keep_alive = may_keep && !entry.drain.is_leaving();
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

/// Closes without a reset that could overtake the answer: reads on until the caller closes too.
async fn close(tcp: &mut TcpStream) -> io::Result<()> {
    tcp.shutdown(Shutdown::Write)?;
    let rest = io::copy(tcp.take(LINGER_BYTES), io::sink());
    // A caller that goes on sending is reset.
    let _ = timeout(LINGER_TIME, rest).await;
    Ok(())
}
