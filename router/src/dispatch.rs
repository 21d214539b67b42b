//! Admits a request, runs its delivery against the deadline, and logs the outcome.

use crate::backend::{Backend, Queued};
use crate::client::Client;
use crate::continuation::{self, Continuation};
use crate::crash::{self, Sign};
use crate::delivery::{self, Delivery};
use crate::refusal::{Reason, Refusal};
use crate::request::Request;
use crate::router::{Router, milliseconds};
use crate::{stopping, usage};
use almondwell_core::hash;
use almondwell_core::table::{Absence, Credential, Rank, Route, Table, Version, Workspace};
use almondwell_daemon::disconnected;
use almondwell_schema::{Fingerprint, Verdict};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future::or;
use rand::Rng;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU16, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Default range of the `Retry-After` time.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(900));

/// Range of the `Retry-After` time under overload, as a share of the time until the request's deadline.
const OVERLOAD_RETRY_AFTER: (f64, f64) = (0.15, 0.33);

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    Answered {
        is_keep_alive: bool,
    },
    /// The response has started but cannot be completed; the connection closes before its end.
    Truncated,
    /// The caller closed its connection.
    CallerClosed,
    Refused(Refusal),
}

/// A request that may be sent to upstreams, with its route and limits.
pub(crate) struct Admitted {
    /// Range of the service's upstreams, in placement order, that serves requests like this one; `None` for
    /// all.
    pub(crate) band: Option<Range<usize>>,
    pub(crate) basis: Basis,
    pub(crate) deadline: Duration,
    pub(crate) fingerprint: Fingerprint,
    /// Whether the service's upstreams are engines.
    pub(crate) is_engine: bool,
    pub(crate) rank: Rank,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Box<str>,
    /// The only version that may serve the request, if it continues a stream.
    pub(crate) version: Option<Box<str>>,
}

impl Admitted {
    pub(crate) fn workspace(&self) -> Option<&Arc<Workspace>> {
        self.basis.credential.workspace()
    }
}

/// What a request was admitted or refused by.
#[derive(Clone, Debug, Default)]
pub(crate) struct Basis {
    pub(crate) credential: Credential,
    /// Version of the configuration; 0 for none.
    pub(crate) table: Version,
}

impl Basis {
    fn new(table: Option<&Table>, request: &Request) -> Self {
        let key = request.job.key.as_deref();
        Self {
            credential: table.map_or_else(Credential::default, |table| table.credential(key)),
            table: table.map_or(0, |table| table.version),
        }
    }
}

/// State of a request, shared by its delivery and the deadline and disconnect handlers that run concurrently.
#[derive(Default)]
pub(crate) struct Progress {
    /// Backlog entry at the engine that has the request, until its first token.
    queued: Mutex<Option<Queued>>,
    events: AtomicU32,
    /// Milliseconds until the start of the response.
    first_byte_ms: AtomicU64,
    has_started: AtomicBool,
    /// The upstream that has the request, and when it was sent there.
    holder: Mutex<Option<(Arc<Backend>, Duration)>>,
    /// Whether the upstream that has the request has shown that the request does not crash it.
    is_sound: AtomicBool,
    /// Status of the response that is being relayed; 0 while there is none.
    status: AtomicU16,
    pub(crate) usage: usage::Mark,
    /// Number of the current [`Verdict`].
    verdict: AtomicU8,
}

impl Progress {
    /// Sets or clears the backlog entry.
    pub(crate) fn set_queued(&self, queued: Option<Queued>) {
        *self.queued.lock().unwrap_or_else(PoisonError::into_inner) = queued;
    }

    /// Sets or clears the upstream that has the request, to which it was sent at `now`.
    pub(crate) fn set_holder(&self, now: Duration, holder: Option<&Arc<Backend>>) {
        *self.lock_holder() = holder.map(|backend| (backend.clone(), now));
    }

    /// Records that bytes have arrived from the upstream that has the request.
    pub(crate) fn record_bytes(&self, now: Duration) {
        if let Some((backend, _)) = &*self.lock_holder() {
            backend.record_bytes(now);
        }
    }

    fn lock_holder(&self) -> MutexGuard<'_, Option<(Arc<Backend>, Duration)>> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the first token of the current send; returns how long the request waited and its prefill
    /// tokens, or `None` if this was recorded before.
    pub(crate) fn first_token(&self, now: Duration) -> Option<(Duration, u32)> {
        let queued = self
            .queued
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        queued.and_then(|queued| queued.first_token(now))
    }

    /// Records that the caller has got the start of a response with `status` after `time`.
    pub(crate) fn start_response(&self, time: Duration, status: u16) {
        self.status.store(status, Ordering::Release);
        if !self.has_started.swap(true, Ordering::AcqRel) {
            self.first_byte_ms
                .store(milliseconds(time), Ordering::Release);
        }
    }

    /// Sets the number of complete events that the caller has got.
    pub(crate) fn set_events(&self, count: u32) {
        self.events.store(count, Ordering::Release);
    }

    pub(crate) fn has_started(&self) -> bool {
        self.has_started.load(Ordering::Acquire)
    }

    /// Records that the request does not crash the upstream that has it; returns whether this was recorded before.
    pub(crate) fn set_sound(&self) -> bool {
        self.is_sound.swap(true, Ordering::AcqRel)
    }

    /// Records that another upstream gets the request.
    pub(crate) fn reset_sound(&self) {
        self.is_sound.store(false, Ordering::Release);
    }

    pub(crate) fn is_sound(&self) -> bool {
        self.is_sound.load(Ordering::Acquire)
    }

    pub(crate) fn set_verdict(&self, verdict: Verdict) {
        self.verdict.store(verdict as u8, Ordering::Release);
    }

    /// Whether it is certain that no upstream has run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        self.verdict.load(Ordering::Acquire) == Verdict::NotRun as u8
    }
}

/// Serves one request until its response is complete, its deadline passes or the caller disconnects.
pub(crate) async fn run(
    router: &Arc<Router>,
    request: &Request,
    caller: &TcpStream,
    client: &Client,
) -> Outcome {
    let admitted = match admit(router, request).await {
        Ok(admitted) => admitted,
        Err((refusal, basis)) => {
            log_refused(router, request, &basis, refusal);
            return Outcome::Refused(refusal);
        }
    };
    let start = router.now();
    router.services.record_request(start, &admitted.service);
    let progress = Progress::default();
    let delivery = Delivery {
        admitted: &admitted,
        caller,
        client,
        progress: &progress,
        request,
        router,
    };
    let remaining = admitted
        .deadline
        .saturating_sub(request.received_at.elapsed());
    let deadline_exceeded = async {
        task::sleep(remaining).await;
        end_early(&progress, Reason::Deadline)
    };
    let stopped = async {
        router.drain.finished().await;
        end_early(&progress, Reason::Stopping)
    };
    let caller_closed = async {
        disconnected(caller).await;
        Outcome::CallerClosed
    };
    let outcome = or(
        delivery::run(delivery),
        or(or(deadline_exceeded, stopped), caller_closed),
    )
    .await;
    stopping::record_time(delivery, start, outcome);
    usage::record_end(delivery);
    check_holder(delivery);
    log(
        router,
        request,
        &admitted.basis,
        Some(&admitted),
        &progress,
        outcome,
    );
    outcome
}

/// Checks whether the upstream that still has the request crashed, unless it has sent something lately.
fn check_holder(delivery: Delivery<'_>) {
    let holder = delivery.progress.lock_holder().take();
    if let Some((backend, sent_at)) = holder
        && backend.is_silent(delivery.router.now(), sent_at)
    {
        let events = delivery.progress.events.load(Ordering::Acquire);
        crash::check(delivery, &backend, events, Sign::Failed);
    }
}

/// Random `Retry-After` time under overload, up to a third of the time until the request's deadline. Callers
/// that retried at once would meet the same load peak.
pub(crate) fn overload_retry_after(remaining: Duration) -> Duration {
    remaining.mul_f64(rand::rng().random_range(OVERLOAD_RETRY_AFTER.0..OVERLOAD_RETRY_AFTER.1))
}

/// Outcome of a request that is ended before its answer is complete.
fn end_early(progress: &Progress, reason: Reason) -> Outcome {
    if progress.has_started() {
        Outcome::Truncated
    } else if progress.is_not_run() {
        Outcome::Refused(Refusal::retryable(reason, retry_after()))
    } else {
        Outcome::Refused(Refusal::failed(504, reason))
    }
}

/// Random `Retry-After` time, so that callers do not retry at the same moment.
pub(crate) fn retry_after() -> Duration {
    rand::rng().random_range(RETRY_AFTER.0..RETRY_AFTER.1)
}

/// Checks what the head of a request decides, before its body is read.
///
/// # Errors
///
/// Fails when the request is refused.
pub(crate) fn check(router: &Router, request: &Request) -> Result<(), Refusal> {
    let table = router.table();
    let basis = Basis::new(table.as_deref(), request);
    let checked = authorize(router, table.as_deref(), &basis, request).map(|_| ());
    if let Err(refusal) = checked {
        log_refused(router, request, &basis, refusal);
    }
    checked
}

/// The configuration and the route of a request.
fn authorize<'a>(
    router: &Router,
    table: Option<&'a Table>,
    basis: &Basis,
    request: &Request,
) -> Result<(&'a Table, &'a Arc<Route>), Refusal> {
    let table = table.ok_or_else(|| Refusal::retryable(Reason::NoConfiguration, retry_after()))?;
    // While the configuration may be stale, a newer one may have the route or key.
    let unknown = |status, reason| {
        if router.is_current() {
            Refusal::invalid(status, reason)
        } else {
            Refusal::retryable(Reason::Stale, retry_after())
        }
    };
    let unreadable = || Refusal::retryable(Reason::Unreadable, retry_after());
    let route = table
        .find(&request.host, request.path())
        .map_err(|absence| match absence {
            Absence::Unknown => unknown(404, Reason::UnknownRoute),
            Absence::Unreadable => unreadable(),
        })?;
    if request.job.attempt.is_none() {
        return Err(Refusal::invalid(400, Reason::Malformed));
    }
    if !table.is_admitted(route, &basis.credential) {
        return Err(if table.has_unreadable_keys {
            unreadable()
        } else {
            unknown(401, Reason::UnknownKey)
        });
    }
    Ok((table, route))
}

async fn admit(router: &Router, request: &Request) -> Result<Admitted, (Refusal, Basis)> {
    let continuation = {
        let table = router.table();
        let basis = Basis::new(table.as_deref(), request);
        match authorize(router, table.as_deref(), &basis, request) {
            Ok((_, route)) => continuation::find(router, route, request).await,
            Err(refusal) => return Err((refusal, basis)),
        }
    };
    // The configuration may have changed meanwhile.
    let table = router.table();
    let basis = Basis::new(table.as_deref(), request);
    let admitted = authorize(router, table.as_deref(), &basis, request)
        .and_then(|(table, route)| admit_to(router, table, route, &basis, &continuation, request));
    admitted.map_err(|refusal| (refusal, basis))
}

/// Admits a request to the service of its route, or to the one that began the stream that it continues.
fn admit_to(
    router: &Router,
    table: &Table,
    route: &Arc<Route>,
    basis: &Basis,
    continuation: &Continuation,
    request: &Request,
) -> Result<Admitted, Refusal> {
    let job = &request.job;
    let (service, version) = continuation.destination(router, route)?;
    let fingerprint = fingerprint(request);
    if crash::is_fatal(router, request, fingerprint) {
        return Err(Refusal::retryable(Reason::Quarantined, retry_after()));
    }
    let band = job.model.as_ref().map(|_| {
        let gap = route.gap.unwrap_or(Duration::MAX);
        let count = router.ready().get(&service).map_or(0, Vec::len);
        let services = &router.services;
        services.assign_band(router.now(), &service, gap, count, job.work())
    });
    let workspace = basis.credential.workspace();
    Ok(Admitted {
        band,
        basis: basis.clone(),
        deadline: job.deadline.unwrap_or(route.timeout).min(route.timeout),
        fingerprint,
        is_engine: job.model.is_some() || is_engine(table, &service),
        rank: table.rank(workspace.map(|workspace| &**workspace), route),
        route: route.clone(),
        service,
        version,
    })
}

fn is_engine(table: &Table, service: &str) -> bool {
    let service = table.services.get(service);
    service.is_some_and(|service| service.is_engine)
}

/// Hash of the parts of a request that stay the same when a caller retries it.
fn fingerprint(request: &Request) -> Fingerprint {
    let key = request.job.key.as_deref().unwrap_or_default();
    let parts = [&request.host, request.target(), key].map(str::as_bytes);
    hash::number_with_pieces(&parts, request.body.pieces())
}

fn log_refused(router: &Router, request: &Request, basis: &Basis, refusal: Refusal) {
    let outcome = Outcome::Refused(refusal);
    log(router, request, basis, None, &Progress::default(), outcome);
}

fn log(
    router: &Router,
    request: &Request,
    basis: &Basis,
    admitted: Option<&Admitted>,
    progress: &Progress,
    outcome: Outcome,
) {
    let relayed_status = progress.status.load(Ordering::Acquire);
    let (label, status, reason, verdict) = match outcome {
        Outcome::Answered { .. } if relayed_status >= 400 => {
            ("upstream failed", relayed_status, "-", Verdict::Ran)
        }
        Outcome::Answered { .. } => ("answered", relayed_status, "-", Verdict::Ran),
        Outcome::Truncated => ("cut", relayed_status, "-", Verdict::MayHaveRun),
        Outcome::CallerClosed => ("caller left", 0, "-", Verdict::MayHaveRun),
        Outcome::Refused(refusal) => (
            "refused",
            refusal.status,
            refusal.reason.label(),
            refusal.verdict,
        ),
    };
    let time = request.received_at.elapsed();
    router.metrics.record_request(label, reason, time);
    spdlog::info!("request ended", kv: {
        request = request.job.attempt.as_deref().unwrap_or("-"),
        route = admitted.map_or("-", |admitted| &admitted.route.name),
        is_public = admitted.is_some_and(|admitted| admitted.route.is_public),
        service = admitted.map_or("-", |admitted| &admitted.service),
        key = basis.credential.label(),
        workspace = admitted
            .and_then(Admitted::workspace)
            .map_or("-", |workspace| &workspace.name),
        admitted_by = basis.table,
        table = router.table().map_or(0, |table| table.version),
        is_current = router.is_current(),
        confirmed_ms_ago = milliseconds(router.confirmation_age()),
        outcome = label, status, reason,
        verdict = verdict.label(),
        first_ms = progress.first_byte_ms.load(Ordering::Acquire),
        events = progress.events.load(Ordering::Acquire),
        ms = milliseconds(time)
    });
}
