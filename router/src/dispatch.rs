//! From a request to the end of its answer: admission, sends, and what becomes of it.

use crate::backend::Wait;
use crate::delivery::{self, Delivery};
use crate::refusal::{Reason, Refusal};
use crate::request::Request;
use crate::router::{Router, milliseconds};
use almondwell_core::hash;
use almondwell_core::quarantine::Treatment;
use almondwell_core::table::{Rank, Route, Workspace};
use almondwell_daemon::gone;
use almondwell_schema::{Fingerprint, Verdict};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future::or;
use rand::Rng;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU16, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Bounds of the time after which a caller may come back when nothing better is known.
const COMEBACK: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(900));

/// Parts of the time left after which a caller may come back when there was no room.
const AFTER_CREST: (f64, f64) = (0.15, 0.33);

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ending {
    Answered {
        keeps_alive: bool,
    },
    /// The answer broke off; the connection closes without its end.
    Cut,
    /// The caller left.
    Gone,
    Refused(Refusal),
}

/// A request that may be sent on.
pub(crate) struct Admitted {
    /// The service's upstreams, in order, that serve requests like this one; `None` for all.
    pub(crate) band: Option<Range<usize>>,
    pub(crate) deadline: Duration,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) rank: Rank,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Box<str>,
    pub(crate) workspace: Option<Arc<Workspace>>,
}

/// What has become of a request so far, as the timers beside its sends need it.
#[derive(Default)]
pub(crate) struct Progress {
    /// What waits for the first token at the engine that has the request.
    wait: Mutex<Option<Wait>>,
    events: AtomicU32,
    /// Milliseconds to the start of the answer.
    first: AtomicU64,
    has_begun: AtomicBool,
    /// Status of the upstream's answer that passes on; 0 while there is none.
    status: AtomicU16,
    verdict: AtomicU8,
}

impl Progress {
    /// Notes what waits for the first token from now on.
    pub(crate) fn wait(&self, wait: Option<Wait>) {
        *self.wait.lock().unwrap_or_else(PoisonError::into_inner) = wait;
    }

    /// Notes the first token of the send that runs; returns the time that it waited, and its tokens.
    pub(crate) fn first_token(&self, now: Duration) -> Option<(Duration, u32)> {
        let wait = self
            .wait
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        wait.and_then(|wait| wait.begin(now))
    }

    /// Notes that the caller has got the start of an answer with `status` after `time`.
    pub(crate) fn begin(&self, time: Duration, status: u16) {
        self.status.store(status, Ordering::Release);
        if !self.has_begun.swap(true, Ordering::AcqRel) {
            self.first.store(milliseconds(time), Ordering::Release);
        }
    }

    /// Notes the whole events that the caller has got.
    pub(crate) fn events(&self, count: u32) {
        self.events.store(count, Ordering::Release);
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Acquire)
    }

    pub(crate) fn set(&self, verdict: Verdict) {
        self.verdict.store(verdict as u8, Ordering::Release);
    }

    /// Whether no upstream can have run it.
    pub(crate) fn is_not_run(&self) -> bool {
        self.verdict.load(Ordering::Acquire) == Verdict::NotRun as u8
    }
}

/// Serves one request.
pub(crate) async fn run(router: &Arc<Router>, request: &Request, caller: &TcpStream) -> Ending {
    let admitted = match admit(router, request) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let ending = Ending::Refused(refusal);
            log(router, request, None, &Progress::default(), ending);
            return Ending::Refused(refusal);
        }
    };
    router.figures.requested(router.now(), &admitted.service);
    let progress = Progress::default();
    let sends = delivery::all(Delivery {
        admitted: &admitted,
        caller,
        progress: &progress,
        request,
        router,
    });
    let left = admitted.deadline.saturating_sub(request.at.elapsed());
    let late = async {
        task::sleep(left).await;
        late(&progress)
    };
    let leaving = async {
        gone(caller).await;
        Ending::Gone
    };
    let ending = or(sends, or(late, leaving)).await;
    log(router, request, Some(&admitted), &progress, ending);
    ending
}

/// A time after which a caller may come back when there was no room: callers that come back at once
/// would find the same crest. They wait for up to a third of the time they have left.
pub(crate) fn after_crest(left: Duration) -> Duration {
    left.mul_f64(rand::rng().random_range(AFTER_CREST.0..AFTER_CREST.1))
}

fn late(progress: &Progress) -> Ending {
    if progress.has_begun() {
        Ending::Cut
    } else if progress.is_not_run() {
        Ending::Refused(Refusal::later(Reason::Deadline, comeback()))
    } else {
        Ending::Refused(Refusal::failed(504, Reason::Deadline))
    }
}

/// A time after which a caller may come back, drawn so that callers don't return together.
pub(crate) fn comeback() -> Duration {
    rand::rng().random_range(COMEBACK.0..COMEBACK.1)
}

fn admit(router: &Router, request: &Request) -> Result<Admitted, Refusal> {
    let Some(table) = router.table() else {
        return Err(Refusal::later(Reason::NoConfiguration, comeback()));
    };
    // What an older configuration doesn't know may stand in a newer one.
    let unknown = |status, reason| {
        if router.is_current() {
            Refusal::invalid(status, reason)
        } else {
            Refusal::later(Reason::Stale, comeback())
        }
    };
    let route = table
        .route(&request.host, request.path())
        .ok_or_else(|| unknown(404, Reason::UnknownRoute))?;
    let job = &request.job;
    if job.attempt.is_none() {
        return Err(Refusal::invalid(400, Reason::Malformed));
    }
    let workspace = job.key.as_ref().and_then(|key| table.keys().get(key));
    if workspace.is_none() && !route.is_public && !table.keys().is_empty() {
        return Err(unknown(401, Reason::UnknownKey));
    }
    let service = route
        .service(rand::rng().random())
        .ok_or_else(|| Refusal::later(Reason::NoUpstream, comeback()))?;
    let fingerprint = fingerprint(request);
    let treatment = router
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .treatment(router.now(), fingerprint);
    if treatment == Treatment::Refused {
        return Err(Refusal::later(Reason::Quarantined, comeback()));
    }
    let band = job.model.as_ref().map(|_| {
        let gap = route.gap.unwrap_or(Duration::MAX);
        let count = router.ready().get(service).map_or(0, Vec::len);
        let figures = &router.figures;
        figures.band(router.now(), service, gap, count, job.work())
    });
    Ok(Admitted {
        band,
        deadline: job.deadline.unwrap_or(route.timeout).min(route.timeout),
        fingerprint,
        rank: table.rank(workspace.map(|workspace| &**workspace), route),
        route: route.clone(),
        service: service.into(),
        workspace: workspace.cloned(),
    })
}

/// Hash of what stays the same when a caller sends a request again.
fn fingerprint(request: &Request) -> Fingerprint {
    let key = request.job.key.as_deref().unwrap_or_default();
    let parts = [&request.host, &request.target, key].map(str::as_bytes);
    hash::number(&[parts[0], parts[1], parts[2], &request.body])
}

fn log(
    router: &Router,
    request: &Request,
    admitted: Option<&Admitted>,
    progress: &Progress,
    ending: Ending,
) {
    let sent = progress.status.load(Ordering::Acquire);
    let (outcome, status, reason, verdict) = match ending {
        Ending::Answered { .. } if sent >= 400 => ("upstream failed", sent, "-", Verdict::Ran),
        Ending::Answered { .. } => ("answered", sent, "-", Verdict::Ran),
        Ending::Cut => ("cut", sent, "-", Verdict::MayHaveRun),
        Ending::Gone => ("caller left", 0, "-", Verdict::MayHaveRun),
        Ending::Refused(refusal) => (
            "refused",
            refusal.status,
            refusal.reason.label(),
            refusal.verdict,
        ),
    };
    let time = request.at.elapsed();
    router.metrics.ended(outcome, reason, time);
    spdlog::info!("request ended", kv: {
        request = request.job.attempt.as_deref().unwrap_or("-"),
        route = admitted.map_or("-", |admitted| &admitted.route.name),
        workspace = admitted
            .and_then(|admitted| admitted.workspace.as_ref())
            .map_or("-", |workspace| &workspace.name),
        table = router.table().map_or(0, |table| table.version),
        is_current = router.is_current(),
        outcome, status, reason,
        verdict = verdict.label(),
        first_ms = progress.first.load(Ordering::Acquire),
        events = progress.events.load(Ordering::Acquire),
        ms = milliseconds(time)
    });
}
