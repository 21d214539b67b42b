//! Callers' connections: accept loop, keep-alive and error responses.

use crate::buffer::Buffer;
use crate::client::Client;
use crate::dispatch::{self, Outcome};
use crate::framing::Framing;
use crate::refusal::{Reason, Refusal};
use crate::request::{self, Incoming, ReadError, Request};
use crate::router::Router;
use crate::stopping;
use almondwell_core::table::Limits;
use almondwell_platform::{limit_send_buffer, limit_unsent, reset_on_close};
use almondwell_wire::Turn;
use async_std::future::timeout;
use async_std::io::{self, WriteExt};
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
pub(crate) async fn accept(router: Arc<Router>, listener: Arc<TcpListener>) {
    let turn = Turn::default();
    loop {
        turn.wait().await;
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                spdlog::warn!("accept failed", kv: { error = error.to_string() });
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Without a client the connection closes. The refusal is counted and logged there.
        let Some(client) = router.clients.admit(address.ip()).await else {
            continue;
        };
        let router = router.clone();
        task::spawn(async move {
            serve(&router, stream, &Arc::new(client)).await;
        });
    }
}

/// Send buffer of a caller's connection where memory is limited. A caller that did not read its response made the kernel hold 3 MB
/// with the system's default, and 150 KB with this. By the round trip, 24 ms, a response to another region is bounded to 2.7 MB/s.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Bytes that the kernel takes for a caller beyond what is on its way there: one that does not read has nothing on its way, and
/// what is on its way is not limited, so that the others do not wait for it.
const UNSENT_BYTES: u32 = 16 << 10;

/// What happens to a caller's connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Close,
    KeepAlive,
    /// The connection ends with a reset: the caller takes an orderly close for the end of its answer.
    Reset,
}

fn set_up(router: &Router, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    if router.settings.memory > 0 {
        limit_send_buffer(stream, SEND_BUFFER_BYTES)?;
        // Where the system has no such limit, that of the whole buffer remains.
        let _ = limit_unsent(stream, UNSENT_BYTES);
    }
    Ok(())
}

/// Serves one connection until it closes.
async fn serve(router: &Arc<Router>, stream: TcpStream, client: &Arc<Client>) {
    if let Err(error) = set_up(router, &stream) {
        spdlog::debug!("setting up caller connection failed", kv: { error = error.to_string() });
        return;
    }
    let mut buffer = Buffer::new(stream);
    let mut next = Next::Close;
    // The caller of a new connection is about to send a request, and cannot know of a shutdown.
    let mut first = Some(router.drain.start_request());
    while wait_for_request(router, &mut buffer, client, first.is_some()).await {
        let active = first.take().unwrap_or_else(|| router.drain.start_request());
        client.start_request();
        let received = receive(router, &mut buffer, client);
        next = match or(received, refused_at_end(router)).await {
            Ok(Received::Complete(request)) => {
                serve_request(router, &buffer, client, &request).await
            }
            Ok(Received::Refused(refusal, incoming)) => {
                refuse_by_head(router, &mut buffer, client, refusal, &incoming).await
            }
            Err(ReadError::Closed) => Next::Close,
            Err(ReadError::Refused(refusal, attempt_id)) => {
                // It closes by itself, after the caller could read the refusal.
                let _ = client.finish_receiving();
                buffer.clear();
                client.free();
                log_read_error(router, refusal, attempt_id.as_deref());
                refuse(buffer.stream(), refusal, attempt_id.as_deref(), true).await;
                linger(router, &mut buffer).await;
                Next::Close
            }
        };
        drop(active);
        client.finish_request(buffer.capacity());
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

/// Refuses a request that has not been received completely when the router has to end.
async fn refused_at_end(router: &Router) -> Result<Received, ReadError> {
    router.drain.finished().await;
    let refusal = Refusal::retryable(Reason::Stopping, stopping::retry_after());
    Err(ReadError::Refused(refusal, None))
}

/// A request whose body has been read, or that is refused before.
enum Received {
    Complete(Request),
    Refused(Refusal, Incoming),
}

/// Reads a request, unless its head suffices to refuse it.
async fn receive(
    router: &Router,
    buffer: &mut Buffer,
    client: &Arc<Client>,
) -> Result<Received, ReadError> {
    let limits = limits(router);
    let incoming = request::read_head(buffer, &limits, client).await?;
    if let Err(refusal) = dispatch::check(router, &incoming.request) {
        return Ok(Received::Refused(refusal, incoming));
    }
    let request = request::read_body(buffer, &limits, client, incoming).await?;
    Ok(Received::Complete(request))
}

/// Refuses a request by its head. The connection stays open if its body is short enough to be discarded.
async fn refuse_by_head(
    router: &Router,
    buffer: &mut Buffer,
    client: &Client,
    refusal: Refusal,
    incoming: &Incoming,
) -> Next {
    // An eviction would close the connection while the caller reads the refusal.
    if client.finish_receiving().is_err() {
        return Next::Close;
    }
    let request = &incoming.request;
    let is_short = match incoming.framing {
        Framing::Length(0) => true,
        // The caller may or may not send the body that it was to wait with.
        Framing::Length(length) => {
            length <= request::MAX_DISCARDED_BYTES && !incoming.expects_continue
        }
        Framing::Chunked | Framing::Close => false,
    };
    let is_closing = !is_short || !request.is_keep_alive || router.drain.is_draining();
    let attempt_id = request.job.attempt.as_deref();
    if !refuse(buffer.stream(), refusal, attempt_id, is_closing).await {
        return Next::Close;
    }
    if is_closing {
        if incoming.framing != Framing::Length(0) {
            linger(router, buffer).await;
        }
        return Next::Close;
    }
    if request::discard_body(buffer, incoming.framing, client).await {
        Next::KeepAlive
    } else {
        Next::Close
    }
}

/// Waits for the first byte of a request. Returns `false` when the connection is closed, idle for too long, or
/// to be closed by a drain or for another connection.
async fn wait_for_request(
    router: &Router,
    buffer: &mut Buffer,
    client: &Client,
    is_new: bool,
) -> bool {
    let mut waited = Duration::ZERO;
    while buffer.bytes().is_empty() {
        let limit = limits(router).idle_timeout;
        // The limit is read again each time, so that an increase takes effect on idle connections.
        let Some(left) = limit.checked_sub(waited).filter(|left| !left.is_zero()) else {
            return false;
        };
        let read = async { Some(matches!(buffer.fill().await, Ok(1..))) };
        let closing = async {
            let drained = async {
                if is_new {
                    router.drain.finished().await;
                } else {
                    router.drain.idle_closed().await;
                }
            };
            or(drained, client.evicted()).await;
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
async fn serve_request(
    router: &Arc<Router>,
    buffer: &Buffer,
    client: &Client,
    request: &Request,
) -> Next {
    let caller = buffer.stream();
    match dispatch::run(router, request, caller, client).await {
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
async fn linger(router: &Router, buffer: &mut Buffer) {
    // An error means that the connection is already closed.
    let _ = buffer.stream().shutdown(Shutdown::Write);
    // On a timeout the connection is closed all the same.
    let limits = limits(router);
    let limit = limits.head + limits.body;
    let _ = timeout(LINGER_TIMEOUT, request::discard_input(buffer, limit)).await;
}

fn log_read_error(router: &Router, refusal: Refusal, attempt_id: Option<&str>) {
    router
        .metrics
        .record_request("refused", refusal.reason.label(), Duration::ZERO);
    spdlog::info!("reading request failed", kv: {
        request = attempt_id.unwrap_or("-"), status = refusal.status, reason = refusal.reason.label()
    });
}
