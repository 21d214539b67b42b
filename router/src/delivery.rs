//! Sends of one request to upstreams: which may follow which, and when the request is given up.

use crate::answer::Head;
use crate::backend::{Backend, View, Wait};
use crate::channel::{Broken, Channel};
use crate::dispatch::{Admitted, Ending, Progress, after_crest, comeback};
use crate::place::{Place, own_limit, place};
use crate::refusal::{Reason, Refusal};
use crate::relay::{self, Relayed};
use crate::request::{MAX_HEADERS, Request};
use crate::router::{Router, milliseconds};
use crate::{crash, events::Events};
use almondwell_core::table::Repeat;
use almondwell_platform::headers::{self, Envelope};
use almondwell_schema::Verdict;
use async_std::net::TcpStream;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

/// Connections that fail before a request is given up; none of them carried it.
const MAX_CONNECTS: u32 = 4;

/// One request with all that its sends need.
#[derive(Clone, Copy)]
pub(crate) struct Delivery<'a> {
    pub(crate) admitted: &'a Admitted,
    pub(crate) caller: &'a TcpStream,
    pub(crate) progress: &'a Progress,
    pub(crate) request: &'a Request,
    pub(crate) router: &'a Arc<Router>,
}

/// What became of one send.
enum Sent {
    /// The caller got the whole answer.
    Answered { keeps_alive: bool },
    /// The connection broke.
    Broken(Broken),
    /// The caller's connection broke.
    CallerGone,
    /// The upstream answered that it failed.
    Failed(Box<Failure>),
    /// The upstream did not run it.
    NotRun,
}

/// Answer with which an upstream failed.
struct Failure {
    body: Vec<u8>,
    head: Head,
}

/// What is known after some sends.
#[derive(Default)]
pub(crate) struct Trail {
    connects: u32,
    events: Events,
    failure: Option<Box<Failure>>,
    pub(crate) sends: u32,
    /// Upstreams that were tried, by identifier.
    pub(crate) tried: Vec<Box<str>>,
    may_have_run: bool,
}

/// Sends the request until it is answered or given up.
pub(crate) async fn all(delivery: Delivery<'_>) -> Ending {
    let mut trail = Trail {
        events: Events::after(delivery.request.job.last_event.as_deref()),
        ..Trail::default()
    };
    loop {
        let (backend, view) = match place(delivery, &trail) {
            Place::At(backend, view) => (backend, view),
            Place::Full(wait) => return refuse_full(delivery, wait),
            Place::None => return give_up(delivery, trail, Reason::NoUpstream).await,
        };
        trail.tried.push(backend.upstream.id.clone());
        let is_repeat = trail.sends > 0;
        if is_repeat && !take_retry(delivery) {
            return give_up(delivery, trail, Reason::RetriesSpent).await;
        }
        let Some((channel, is_kept)) = connect(delivery, &backend).await else {
            trail.connects += 1;
            if trail.connects >= MAX_CONNECTS {
                return give_up(delivery, trail, Reason::NoUpstream).await;
            }
            continue;
        };
        trail.sends += 1;
        if is_repeat {
            delivery.router.metrics.retries.inc();
        }
        if delivery.progress.has_begun() {
            delivery.router.metrics.resumed.inc();
        }
        log_send(delivery, &trail, &backend, &view, is_kept);
        if delivery.admitted.band.is_some() {
            let progress = delivery.progress;
            progress.wait(Some(enter(delivery, &backend, view.has_parts)));
        }
        let sent = once(delivery, &mut trail, &backend, channel).await;
        log_outcome(delivery, &trail, &backend, &sent);
        match sent {
            Sent::Answered { keeps_alive } => return Ending::Answered { keeps_alive },
            Sent::CallerGone => return Ending::Gone,
            Sent::Broken(_) => {
                trail.may_have_run = true;
                crash::suspect(
                    delivery.router,
                    &backend,
                    delivery.admitted,
                    delivery.request,
                );
            }
            Sent::Failed(failure) => {
                trail.may_have_run = true;
                trail.failure = Some(failure);
            }
            Sent::NotRun => {
                if !trail.may_have_run {
                    delivery.progress.set(Verdict::NotRun);
                }
            }
        }
        if !may_send(delivery, &trail) {
            return give_up(delivery, trail, Reason::UpstreamFailed).await;
        }
        trail.events.resume();
    }
}

fn take_retry(delivery: Delivery<'_>) -> bool {
    let Delivery {
        admitted, router, ..
    } = delivery;
    router.figures.take_retry(router.now(), &admitted.service)
}

/// Whether the request may be sent once more.
fn may_send(delivery: Delivery<'_>, trail: &Trail) -> bool {
    let route = &delivery.admitted.route;
    if trail.sends >= route.attempts {
        return false;
    }
    match route.repeat {
        Repeat::Idempotent => !delivery.progress.has_begun(),
        Repeat::Never => !trail.may_have_run,
        Repeat::Resumable => {
            // A stream goes on only where the caller has got something to go on from.
            !delivery.progress.has_begun() || trail.events.last().is_some()
        }
    }
}

async fn connect(delivery: Delivery<'_>, backend: &Arc<Backend>) -> Option<(Channel, bool)> {
    let may_repeat = delivery.admitted.route.repeat != Repeat::Never;
    match backend.channel(may_repeat, remaining(delivery)).await {
        Ok(connection) => Some(connection),
        Err(error) => {
            backend.failed(delivery.router.now());
            spdlog::info!("no connection", kv: {
                request = attempt(delivery.request), upstream = backend.upstream.id.as_ref(),
                error = error.to_string()
            });
            None
        }
    }
}

/// Lets the request enter the backlog of an engine, with the tokens that are to be read there.
fn enter(delivery: Delivery<'_>, backend: &Arc<Backend>, has_parts: bool) -> Wait {
    let job = &delivery.request.job;
    let work = job.work();
    let tokens = work.own + if has_parts { 0 } else { work.shared };
    let part = job.shared().last().map(|part| part.id);
    backend.wait(delivery.router.now(), tokens, part)
}

/// Sends the request once.
async fn once(
    delivery: Delivery<'_>,
    trail: &mut Trail,
    backend: &Arc<Backend>,
    mut channel: Channel,
) -> Sent {
    let Delivery {
        progress,
        request,
        router,
        ..
    } = delivery;
    let running = backend.run();
    let bytes = message(delivery, trail, backend);
    progress.set(Verdict::MayHaveRun);
    let head = match channel.exchange(&bytes, &request.method).await {
        Ok(head) => head,
        Err(broken) => {
            backend.failed(router.now());
            return Sent::Broken(broken);
        }
    };
    drop(bytes);
    if head.status == 421 {
        backend.leave();
    } else {
        backend.told(router.now(), head.marks.load);
    }
    let sent = answered(delivery, trail, &head, &mut channel).await;
    drop(running);
    progress.wait(None);
    match &sent {
        Sent::Answered { .. } => backend.succeeded(router.now()),
        Sent::Broken(_) => backend.failed(router.now()),
        Sent::Failed(failure) if failure.head.status >= 500 => backend.failed(router.now()),
        Sent::CallerGone | Sent::Failed(_) | Sent::NotRun => {}
    }
    if !matches!(sent, Sent::Broken(_) | Sent::CallerGone)
        && let Some(channel) = channel.rest(&head)
    {
        backend.keep(channel);
    }
    sent
}

/// Passes an answer on, or says why it can't be.
async fn answered(
    delivery: Delivery<'_>,
    trail: &mut Trail,
    head: &Head,
    channel: &mut Channel,
) -> Sent {
    let own = delivery.request.job.attempt.as_deref();
    let marks = &head.marks;
    if marks.attempt.is_some() && marks.attempt.as_deref() != own {
        return Sent::Broken(Broken::Foreign);
    }
    let is_not_run = marks.is_not_run || head.status == 421;
    if is_not_run || !(200..300).contains(&head.status) {
        let body = match relay::collect(channel, head).await {
            Ok(body) => body,
            // What was said of the run stands, whatever became of the body.
            Err(_) if is_not_run => return Sent::NotRun,
            Err(broken) => return Sent::Broken(broken),
        };
        if is_not_run {
            return Sent::NotRun;
        }
        let head = head.clone();
        return Sent::Failed(Box::new(Failure { body, head }));
    }
    if !marks.is_signed || marks.is_encoded || marks.attempt.is_none() {
        return Sent::Broken(Broken::Foreign);
    }
    let relayed = if delivery.admitted.route.is_stream {
        relay::stream(delivery, head, channel, &mut trail.events).await
    } else {
        relay::whole(delivery, head, channel).await
    };
    match relayed {
        Relayed::Broken(broken) => Sent::Broken(broken),
        Relayed::CallerGone => Sent::CallerGone,
        Relayed::Done { keeps_alive } => Sent::Answered { keeps_alive },
    }
}

/// The request as an upstream gets it.
fn message(delivery: Delivery<'_>, trail: &Trail, backend: &Backend) -> Vec<u8> {
    let Delivery {
        admitted, request, ..
    } = delivery;
    let mut bytes = Vec::with_capacity(request.head.len() + request.body.len() + 256);
    // Writing to a vector does not fail.
    let _ = write!(bytes, "{} {} HTTP/1.1\r\n", request.method, request.target);
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let last_event = delivery
        .progress
        .has_begun()
        .then(|| trail.events.last())
        .flatten();
    headers::write(
        &mut bytes,
        request.headers(&mut storage),
        Envelope {
            deadline: remaining(delivery),
            last_event,
            rank: request.job.model.is_some().then_some(admitted.rank),
            upstream: &backend.upstream.id,
            workspace: admitted
                .workspace
                .as_ref()
                .map(|workspace| &*workspace.name),
        },
    );
    if !request.body.is_empty() || request.has_body_length() {
        let _ = write!(bytes, "Content-Length: {}\r\n", request.body.len());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Time that the request has left.
fn remaining(delivery: Delivery<'_>) -> Duration {
    delivery
        .admitted
        .deadline
        .saturating_sub(delivery.request.at.elapsed())
}

/// Refuses a request that would wait for too long.
fn refuse_full(delivery: Delivery<'_>, wait: Duration) -> Ending {
    let Delivery {
        admitted,
        request,
        router,
        ..
    } = delivery;
    let limit = own_limit(delivery);
    let now = router.now();
    router
        .figures
        .refused(now, &admitted.service, admitted.rank, limit);
    spdlog::info!("no engine soon enough", kv: {
        request = attempt(request), wait_ms = milliseconds(wait),
        rank = admitted.rank, limit_ms = milliseconds(limit),
        target_ms = milliseconds(admitted.route.target)
    });
    let left = remaining(delivery);
    Ending::Refused(Refusal::later(Reason::UpstreamsFull, after_crest(left)))
}

/// Ends a request that no upstream has answered with success.
async fn give_up(delivery: Delivery<'_>, trail: Trail, reason: Reason) -> Ending {
    if delivery.progress.has_begun() {
        return Ending::Cut;
    }
    if let Some(failure) = trail.failure {
        return relay::failure(delivery, &failure.head, &failure.body).await;
    }
    if trail.may_have_run {
        return Ending::Refused(Refusal::failed(502, Reason::UpstreamFailed));
    }
    delivery.progress.set(Verdict::NotRun);
    let reason = if trail.sends > 0 {
        Reason::UpstreamsFull
    } else {
        reason
    };
    Ending::Refused(Refusal::later(reason, comeback()))
}

fn attempt(request: &Request) -> &str {
    request.job.attempt.as_deref().unwrap_or("-")
}

/// Logs where a request goes and what decided it.
fn log_send(delivery: Delivery<'_>, trail: &Trail, backend: &Backend, view: &View, is_kept: bool) {
    spdlog::info!("request sent", kv: {
        request = attempt(delivery.request),
        upstream = backend.upstream.id.as_ref(),
        send = trail.sends,
        band = format!("{:?}", delivery.admitted.band),
        has_parts = view.has_parts,
        wait_ms = milliseconds(view.wait),
        inflight = view.inflight,
        load = view.load.map_or(0, |(load, _)| load.running + load.waiting),
        load_age_ms = view.load.map_or(0, |(_, age)| milliseconds(age)),
        failures = view.failures,
        is_kept,
        ms = milliseconds(delivery.request.at.elapsed())
    });
}

/// Logs what became of a send that did not answer its request.
fn log_outcome(delivery: Delivery<'_>, trail: &Trail, backend: &Backend, sent: &Sent) {
    let (outcome, status, detail) = match sent {
        Sent::Answered { .. } => return,
        Sent::Broken(broken) => (broken.label(), 0, broken.detail()),
        Sent::CallerGone => ("caller left", 0, String::new()),
        Sent::Failed(failure) => ("upstream failed", failure.head.status, String::new()),
        Sent::NotRun => ("not run", 0, String::new()),
    };
    spdlog::info!("send failed", kv: {
        request = attempt(delivery.request), upstream = backend.upstream.id.as_ref(),
        send = trail.sends, outcome, status, detail,
        ms = milliseconds(delivery.request.at.elapsed())
    });
}
