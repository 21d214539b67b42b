//! Delivery of one request: sends it to an upstream, and again to others while a retry is allowed.

use crate::backend::{Backend, Queued};
use crate::client::Client;
use crate::connection::{Connection, Error};
use crate::crash::{self, Sign};
use crate::dispatch::{Admitted, Outcome, Progress, retry_after};
use crate::exchange::Exchange;
use crate::framing::Framing;
use crate::history::History;
use crate::refusal::{Reason, Refusal};
use crate::relay::{self, RelayOutcome};
use crate::request::{MAX_HEADERS, Request};
use crate::response::Head;
use crate::router::Router;
use crate::selection::{Selection, select};
use crate::{lifetime, overload, send_log, stopping, usage};
use almondwell_core::table::Retry;
use almondwell_platform::headers::{self, Envelope, Phase};
use almondwell_schema::Verdict;
use async_std::net::TcpStream;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

/// Failed connection attempts after which a request is given up. The request was sent on none of them.
const MAX_FAILED_CONNECTS: u32 = 4;

/// A request with the context needed to send it.
#[derive(Clone, Copy)]
pub(crate) struct Delivery<'a> {
    pub(crate) admitted: &'a Admitted,
    pub(crate) caller: &'a TcpStream,
    pub(crate) client: &'a Client,
    pub(crate) progress: &'a Progress,
    pub(crate) request: &'a Request,
    pub(crate) router: &'a Arc<Router>,
}

/// Outcome of sending the request to one upstream.
pub(crate) enum SendOutcome {
    /// The caller got the complete response.
    Completed { is_keep_alive: bool },
    /// The connection to the upstream failed, or its response is invalid.
    Error(Error),
    /// The caller closed its connection.
    CallerClosed,
    /// The upstream responded with an error status.
    Failed(Box<Failure>),
    /// The upstream responded that it did not run the request.
    NotRun,
}

/// Error response of an upstream.
pub(crate) struct Failure {
    body: Vec<u8>,
    pub(crate) head: Head,
}

/// Sends the request, with retries, until there is a response or it is given up.
pub(crate) async fn run(delivery: Delivery<'_>) -> Outcome {
    let mut history = History::new(delivery);
    loop {
        if !stopping::has_time(delivery) {
            return give_up(delivery, history, Reason::Stopping).await;
        }
        let (backend, view) = match select(delivery, &history) {
            Selection::Selected(backend, view) => (backend, view),
            Selection::Limited if history.sends == 0 => return overload::refuse_limited(delivery),
            Selection::Limited => return give_up(delivery, history, Reason::UpstreamsFull).await,
            Selection::Overloaded(wait) => return overload::refuse_overloaded(delivery, wait),
            Selection::None => {
                let reason = match delivery.admitted.version {
                    Some(_) => Reason::VersionGone,
                    None => Reason::NoUpstream,
                };
                return give_up(delivery, history, reason).await;
            }
        };
        history.tried.push(backend.upstream.id.clone());
        let is_retry = history.sends > 0;
        if is_retry && is_fatal(delivery) {
            return give_up(delivery, history, Reason::Quarantined).await;
        }
        if is_retry && !take_retry(delivery) {
            return give_up(delivery, history, Reason::RetriesSpent).await;
        }
        let Some((connection, is_reused)) = connect(delivery, &history, &backend).await else {
            history.failed_connects += 1;
            if history.failed_connects >= MAX_FAILED_CONNECTS {
                return give_up(delivery, history, Reason::NoUpstream).await;
            }
            continue;
        };
        history.sends += 1;
        if is_retry {
            delivery.router.metrics.retries.inc();
        }
        if delivery.progress.has_started() {
            delivery.router.metrics.resumed.inc();
        }
        send_log::log_send(delivery, &history, &backend, &view, is_reused);
        crash::log_suspect(delivery, &backend);
        if delivery.admitted.band.is_some() {
            let progress = delivery.progress;
            progress.set_queued(Some(enqueue(delivery, &backend, view.has_parts)));
        }
        let sent = send(delivery, &mut history, &backend, connection, is_reused).await;
        send_log::log_outcome(delivery, &history, &backend, &sent);
        if matches!(sent, SendOutcome::NotRun) {
            usage::record_not_run(delivery);
        } else {
            usage::record_end(delivery);
        }
        match sent {
            SendOutcome::Completed { is_keep_alive } => return Outcome::Answered { is_keep_alive },
            SendOutcome::CallerClosed => return Outcome::CallerClosed,
            // The upstream has been checked.
            SendOutcome::Error(Error::Reset | Error::Unreachable) => history.may_have_run = true,
            SendOutcome::Error(_) => {
                history.may_have_run = true;
                let is_suspect = crash::is_suspect(delivery.router, delivery.admitted.fingerprint);
                let check = crash::check(delivery, &backend, history.events.count(), Sign::Failed);
                if is_suspect {
                    // Its result decides whether the request may be sent again.
                    check.await;
                }
            }
            SendOutcome::Failed(failure) => {
                history.may_have_run = true;
                history.failure = Some(failure);
            }
            SendOutcome::NotRun => {
                if !history.may_have_run {
                    delivery.progress.set_verdict(Verdict::NotRun);
                }
            }
        }
        if !history.may_resend(delivery) {
            return give_up(delivery, history, Reason::UpstreamFailed).await;
        }
        history.events.resume();
    }
}

fn is_fatal(delivery: Delivery<'_>) -> bool {
    let Delivery {
        admitted,
        request,
        router,
        ..
    } = delivery;
    crash::is_fatal(router, request, admitted.fingerprint)
}

fn take_retry(delivery: Delivery<'_>) -> bool {
    let Delivery {
        admitted, router, ..
    } = delivery;
    router.services.take_retry(router.now(), &admitted.service)
}

async fn connect(
    delivery: Delivery<'_>,
    history: &History,
    backend: &Arc<Backend>,
) -> Option<(Connection, bool)> {
    let is_retryable = delivery.admitted.route.retry != Retry::Never;
    match backend.connection(is_retryable, remaining(delivery)).await {
        Ok((connection, is_reused)) if is_bound(delivery, history) => {
            let confirmed = lifetime::confirm(connection, backend).await;
            if confirmed.is_none() {
                backend.record_failure(delivery.router.now());
            }
            confirmed.map(|connection| (connection, is_reused))
        }
        Ok(connection) => Some(connection),
        Err(error) => {
            backend.record_failure(delivery.router.now());
            backend.record_error(delivery.router.now(), &error);
            spdlog::info!("connecting to upstream failed", kv: {
                request = attempt_id(delivery.request), upstream = backend.upstream.id.as_ref(),
                error = error.to_string()
            });
            None
        }
    }
}

/// Whether only the registered lifetime of an engine may serve the request: its version decides where the stream goes on.
fn is_bound(delivery: Delivery<'_>, history: &History) -> bool {
    let admitted = delivery.admitted;
    let is_resumable = admitted.route.retry == Retry::Resumable;
    admitted.is_engine && (is_resumable || history.version(delivery).is_some())
}

/// Adds the request to an engine's backlog, with the number of prompt tokens that the engine has to prefill.
fn enqueue(delivery: Delivery<'_>, backend: &Arc<Backend>, has_parts: bool) -> Queued {
    let job = &delivery.request.job;
    let work = job.work();
    let tokens = work.own + if has_parts { 0 } else { work.shared };
    let part = job.shared().last().map(|part| part.id);
    backend.enqueue(delivery.router.now(), tokens, part)
}

/// Sends the request once and relays the response.
async fn send(
    delivery: Delivery<'_>,
    history: &mut History,
    backend: &Arc<Backend>,
    connection: Connection,
    is_reused: bool,
) -> SendOutcome {
    let Delivery {
        progress,
        request,
        router,
        ..
    } = delivery;
    let has_free_slot = backend.has_free_slot(router.now());
    let inflight = backend.start_request();
    let head = encode_head(delivery, history, backend);
    progress.set_verdict(Verdict::MayHaveRun);
    progress.reset_sound();
    usage::record_send(delivery);
    let sent_at = router.now();
    progress.set_holder(sent_at, Some(backend));
    let mut exchange = Exchange::new(connection, head, request);
    let head = match exchange.read_head(router.settings.max_answer).await {
        Ok(head) => head,
        Err(error) => {
            progress.set_holder(router.now(), None);
            backend.record_failure(router.now());
            return SendOutcome::Error(error);
        }
    };
    backend.record_bytes(router.now());
    let is_stale = is_stale(request, &head, is_reused);
    // 421: the request was meant for another upstream than the one that now has this address.
    if head.status == 421 && !is_stale {
        backend.mark_replaced();
    } else if head.status != 421 {
        if !is_stale {
            backend.record_load(router.now(), head.metadata.load);
        }
        backend.record_limit(router.now(), sent_at, head.metadata.limit);
        if has_free_slot && !is_stale && (200..300).contains(&head.status) {
            record_response(delivery, backend, router.now().saturating_sub(sent_at));
        }
        if head.metadata.phase == Phase::Leaving {
            backend.mark_leaving();
        }
        if let Some(rest) = head
            .metadata
            .rest
            .filter(|_| head.status == 503 && !is_stale)
        {
            backend.record_rest(router.now(), rest);
        }
    }
    let sent = if is_stale {
        SendOutcome::Error(Error::InvalidResponse)
    } else {
        handle_response(delivery, history, backend, &head, &mut exchange).await
    };
    drop(inflight);
    progress.set_holder(router.now(), None);
    progress.set_queued(None);
    match &sent {
        SendOutcome::Completed { .. } => {
            backend.record_success(router.now());
            // Otherwise the check of the upstream has recorded it.
            if head.framing != Framing::Close {
                crash::record_success(delivery);
            }
        }
        SendOutcome::Error(_) => backend.record_failure(router.now()),
        SendOutcome::Failed(failure) if failure.head.status >= 500 => {
            backend.record_failure(router.now());
        }
        SendOutcome::CallerClosed | SendOutcome::Failed(_) | SendOutcome::NotRun => {}
    }
    if !matches!(sent, SendOutcome::Error(_) | SendOutcome::CallerClosed)
        && let Some(connection) = exchange.into_idle(&head)
    {
        backend.put_idle(connection);
    }
    sent
}

/// Records the time of a response that did not wait, which tells how far upstreams of other zones are away.
fn record_response(delivery: Delivery<'_>, backend: &Backend, time: Duration) {
    let Delivery {
        admitted, router, ..
    } = delivery;
    if admitted.band.is_none() && router.settings.zone_first {
        let distance = router.distance(&backend.upstream.zone);
        router
            .services
            .record_response(&admitted.service, distance, time);
    }
}

/// Whether a response is not for this request: it names another attempt, or arrived on a reused connection and names
/// none, where it may be a late copy of an earlier response while this request runs.
fn is_stale(request: &Request, head: &Head, is_reused: bool) -> bool {
    match &head.metadata.attempt {
        Some(attempt) => **attempt != *attempt_id(request),
        None => is_reused,
    }
}

/// Validates a response to this request and relays it, unless it is an error response.
async fn handle_response(
    delivery: Delivery<'_>,
    history: &mut History,
    backend: &Arc<Backend>,
    head: &Head,
    exchange: &mut Exchange<'_>,
) -> SendOutcome {
    let metadata = &head.metadata;
    let is_not_run = metadata.is_not_run || head.status == 421;
    if is_not_run || !(200..300).contains(&head.status) {
        let body = match relay::read_body(delivery, exchange, head).await {
            Ok(body) => body,
            // The head already states that the request was not run, so the body is not needed.
            Err(_) if is_not_run => return SendOutcome::NotRun,
            Err(error) => return SendOutcome::Error(error),
        };
        if is_not_run {
            return SendOutcome::NotRun;
        }
        let events = history.events.count();
        if let Err(error) = relay::check_end(delivery, backend, exchange, head, events).await {
            return SendOutcome::Error(error);
        }
        let head = head.clone();
        return SendOutcome::Failed(Box::new(Failure { body, head }));
    }
    if !metadata.is_signed || metadata.is_encoded || metadata.attempt.is_none() {
        return SendOutcome::Error(Error::InvalidResponse);
    }
    let is_stream = delivery.admitted.route.is_stream && head.is_event_stream;
    if !history.accept(delivery, backend, is_stream, head) {
        return SendOutcome::Error(Error::InvalidResponse);
    }
    let relayed = if is_stream {
        relay::stream(delivery, backend, head, exchange, &mut history.events).await
    } else {
        usage::record_token(delivery);
        relay::buffered(delivery, backend, head, exchange).await
    };
    match relayed {
        RelayOutcome::Error(error) => SendOutcome::Error(error),
        RelayOutcome::CallerClosed => SendOutcome::CallerClosed,
        RelayOutcome::Completed { is_keep_alive } => SendOutcome::Completed { is_keep_alive },
    }
}

/// Encodes the head of the request for an upstream.
fn encode_head(delivery: Delivery<'_>, history: &History, backend: &Backend) -> Vec<u8> {
    let Delivery {
        admitted, request, ..
    } = delivery;
    let mut bytes = Vec::with_capacity(request.head.len() + 256);
    // Writing to a `Vec` cannot fail.
    let _ = write!(
        bytes,
        "{} {} HTTP/1.1\r\n",
        request.method,
        request.target()
    );
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let last_event = delivery
        .progress
        .has_started()
        .then(|| history.events.last())
        .flatten();
    headers::write_request(
        &mut bytes,
        request.headers(&mut storage),
        Envelope {
            deadline: remaining(delivery),
            last_event,
            rank: request.job.model.is_some().then_some(admitted.rank),
            upstream: &backend.upstream.id,
            workspace: admitted.workspace().map(|workspace| &*workspace.name),
        },
    );
    if !request.body.is_empty() || request.has_body_length() {
        let _ = write!(bytes, "Content-Length: {}\r\n", request.body.len());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Time until the request's deadline or the end of the router.
pub(crate) fn remaining(delivery: Delivery<'_>) -> Duration {
    let router = delivery.router;
    let left = router.drain.left(router.now());
    until_deadline(delivery).min(left.unwrap_or(Duration::MAX))
}

/// Time until the request's deadline.
pub(crate) fn until_deadline(delivery: Delivery<'_>) -> Duration {
    delivery
        .admitted
        .deadline
        .saturating_sub(delivery.request.received_at.elapsed())
}

/// Ends a request that no upstream has served successfully.
async fn give_up(delivery: Delivery<'_>, history: History, reason: Reason) -> Outcome {
    if delivery.progress.has_started() {
        return Outcome::Truncated;
    }
    if let Some(failure) = history.failure {
        return relay::error_response(delivery, &failure.head, &failure.body).await;
    }
    if history.may_have_run {
        return Outcome::Refused(Refusal::failed(502, Reason::UpstreamFailed));
    }
    delivery.progress.set_verdict(Verdict::NotRun);
    if reason == Reason::Stopping {
        return Outcome::Refused(Refusal::retryable(reason, stopping::retry_after()));
    }
    let reason = if history.sends > 0 {
        Reason::UpstreamsFull
    } else {
        reason
    };
    Outcome::Refused(Refusal::retryable(reason, retry_after()))
}

pub(crate) fn attempt_id(request: &Request) -> &str {
    request.job.attempt.as_deref().unwrap_or("-")
}
