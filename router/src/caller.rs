//! Callers' connections: accept loop, keep-alive and error responses.

use crate::buffer::Buffer;
use crate::dispatch::{self, Outcome};
use crate::refusal::Refusal;
use crate::request::{self, ReadError, Request};
use crate::router::Router;
use almondwell_core::table::Limits;
use almondwell_daemon::Limiter;
use almondwell_platform::reset_on_close;
use almondwell_wire::Turn;
use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use futures_lite::future::or;
use std::sync::Arc;
use std::time::Duration;

/// Time for a refused caller to read the response before the connection closes.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time limit for writing a response that the router generates itself.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts callers' connections, up to the configured limit, until cancelled.
pub(crate) async fn accept(router: Arc<Router>, listener: TcpListener) {
    let limiter = Limiter::new(router.settings.connections as usize);
    let turn = Turn::default();
    loop {
        turn.wait().await;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accept failed", kv: { error = error.to_string() });
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(permit) = limiter.acquire() else {
            spdlog::warn!("caller connection refused: connection limit reached", kv: {
                limit = router.settings.connections
            });
            continue;
        };
        let router = router.clone();
        task::spawn(async move {
            serve(&router, stream).await;
            drop(permit);
        });
    }
}

/// What happens to a caller's connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Close,
    KeepAlive,
    /// The connection ends with a reset: the caller takes an orderly close for the end of its answer.
    Reset,
}

/// Serves one connection until it closes.
async fn serve(router: &Arc<Router>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("setting up caller connection failed", kv: { error = error.to_string() });
        return;
    }
    let mut buffer = Buffer::new(stream);
    let mut next = Next::Close;
    while wait_for_request(router, &mut buffer).await {
        let limits = limits(router);
        let active = router.drain.start_request();
        next = match request::read(&mut buffer, &limits).await {
            Ok(request) => serve_request(router, &buffer, &request).await,
            Err(ReadError::Closed) => Next::Close,
            Err(ReadError::Refused(refusal, attempt_id)) => {
                log_read_error(router, refusal, attempt_id.as_deref());
                refuse(buffer.stream(), refusal, attempt_id.as_deref(), true).await;
                linger(&mut buffer).await;
                Next::Close
            }
        };
        drop(active);
        if next != Next::KeepAlive {
            break;
        }
    }
    // An error means that the connection is already closed.
    let _ = match next {
        Next::Reset => reset_on_close(buffer.stream()),
        Next::Close | Next::KeepAlive => buffer.stream().shutdown(Shutdown::Both),
    };
}

/// Waits for the first byte of a request. Returns `false` when the connection is closed, idle for too long, or
/// to be closed by a drain.
async fn wait_for_request(router: &Router, buffer: &mut Buffer) -> bool {
    let mut waited = Duration::ZERO;
    while buffer.bytes().is_empty() {
        let limit = limits(router).idle_timeout;
        // The limit is read again each time, so that an increase takes effect on idle connections.
        let Some(left) = limit.checked_sub(waited).filter(|left| !left.is_zero()) else {
            return false;
        };
        let read = async { Some(matches!(buffer.fill().await, Ok(1..))) };
        let closing = async {
            router.drain.idle_closed().await;
            Some(false)
        };
        match timeout(left, or(read, closing)).await {
            Ok(Some(true)) => {}
            Ok(_) => return false,
            Err(_) => waited += left,
        }
    }
    true
}

fn limits(router: &Router) -> Limits {
    router
        .table()
        .map_or_else(Limits::default, |table| table.limits)
}

/// Serves one request.
async fn serve_request(router: &Arc<Router>, buffer: &Buffer, request: &Request) -> Next {
    let caller = buffer.stream();
    match dispatch::run(router, request, caller).await {
        Outcome::Answered {
            is_keep_alive: true,
        } => Next::KeepAlive,
        Outcome::Truncated if !request.supports_chunked => Next::Reset,
        Outcome::Answered {
            is_keep_alive: false,
        }
        | Outcome::CallerClosed
        | Outcome::Truncated => Next::Close,
        Outcome::Refused(refusal) => {
            let is_closing = !request.is_keep_alive || router.drain.is_draining();
            let attempt_id = request.job.attempt.as_deref();
            if refuse(caller, refusal, attempt_id, is_closing).await && !is_closing {
                Next::KeepAlive
            } else {
                Next::Close
            }
        }
    }
}

/// Writes an error response of the router; returns whether it was written completely.
async fn refuse(
    caller: &TcpStream,
    refusal: Refusal,
    attempt_id: Option<&str>,
    is_closing: bool,
) -> bool {
    let response = refusal.write(attempt_id, is_closing);
    let mut writer = caller;
    matches!(
        timeout(WRITE_TIMEOUT, writer.write_all(&response)).await,
        Ok(Ok(()))
    )
}

/// Shuts down the write half and keeps reading for [`LINGER_TIMEOUT`]. Closing a socket with unread bytes
/// resets the connection, and the caller might lose the response.
async fn linger(buffer: &mut Buffer) {
    // An error means that the connection is already closed.
    let _ = buffer.stream().shutdown(Shutdown::Write);
    // On a timeout the connection is closed all the same.
    let _ = timeout(LINGER_TIMEOUT, request::discard_input(buffer)).await;
}

fn log_read_error(router: &Router, refusal: Refusal, attempt_id: Option<&str>) {
    router
        .metrics
        .record_request("refused", refusal.reason.label(), Duration::ZERO);
    spdlog::info!("reading request failed", kv: {
        request = attempt_id.unwrap_or("-"), status = refusal.status, reason = refusal.reason.label()
    });
}
