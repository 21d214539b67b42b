//! Detection of requests, and of parts of prompts, that crash the upstreams that run them. They are then quarantined.

use crate::backend::Backend;
use crate::connection::Connection;
use crate::delivery::{Delivery, attempt_id};
use crate::peers;
use crate::request::Request;
use crate::router::Router;
use almondwell_core::causes::{Cause, Causes, is_known_widely};
use almondwell_core::hash;
use almondwell_schema::{CrashId, Fingerprint, Suspect};
use async_std::io;
use async_std::task::{self, JoinHandle};
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// Why it is not known whether an upstream still runs.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum Sign {
    /// Its response ended with its connection, which a crash may have closed.
    Ended,
    /// The same, and the response is an error.
    EndedInError,
    /// A connection failed, or nothing arrived on it.
    Failed,
}

impl Sign {
    /// Time within which a live upstream accepts a connection.
    const fn connect_timeout(self) -> Duration {
        match self {
            // A lost packet is sent again after 1 s. Without that, one lost packet would truncate an intact response.
            Self::Ended | Self::EndedInError => Duration::from_millis(1300),
            Self::Failed => Duration::from_millis(500),
        }
    }
}

/// Time for which a new connection has to stay open. The kernel may close the listener of a killed process after its
/// connections, and resets the connections that it accepted in between: after 12 ms at most in 66 kills on a busy machine.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// What merging another entry's knowledge of a cause has changed.
pub(crate) struct Merged {
    /// Whether all entries have to know of the cause from now on.
    pub(crate) is_newly_widely_known: bool,
    /// What the other entry has to know.
    pub(crate) reply: Option<Suspect>,
}

/// Checks in the background whether an upstream crashed while it ran the request; if so, records the request and the
/// parts of its prompt as suspects and reports them to other entries. The task returns whether the upstream is alive.
///
/// An upstream that accepts a connection and keeps it open did not crash; a crashed one does neither. One that does not
/// even refuse connections may be cut off, which is no evidence against the parts, and little against the request: any answer
/// clears it.
pub(crate) fn check(
    delivery: Delivery<'_>,
    backend: &Arc<Backend>,
    events: u32,
    sign: Sign,
) -> JoinHandle<bool> {
    let (router, backend) = (delivery.router.clone(), backend.clone());
    let attempt_id: Box<str> = attempt_id(delivery.request).into();
    let request = Cause::Request(delivery.admitted.fingerprint);
    let all = causes(delivery.request, delivery.admitted.fingerprint);
    let is_sound = delivery.progress.is_sound();
    task::spawn(async move {
        let upstream = &backend.upstream;
        let is_refused = match open(upstream.address, sign).await {
            Ok(connection) => {
                backend.put_idle(connection);
                if sign == Sign::Ended {
                    clear(&router, &all);
                }
                return true;
            }
            Err(error) => {
                backend.record_error(router.now(), &error);
                matches!(
                    error.kind(),
                    io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
                )
            }
        };
        // The parts are not at fault if the upstream had answered the request for a while, or may be cut off.
        let causes = if is_refused && !is_sound {
            all
        } else {
            vec![request]
        };
        let started = upstream.started_ms.unwrap_or(0).to_le_bytes();
        let crash = hash::number(&[upstream.id.as_bytes(), &started]);
        let reports = record(&router, &causes, crash);
        let (crashes, suspects, evicted) = {
            let known = lock_causes(&router);
            (known.crashes(request), known.len(), known.evicted())
        };
        spdlog::warn!("upstream crashed while running a request", kv: {
            request = attempt_id.as_ref(), upstream = upstream.id.as_ref(),
            fingerprint = format!("{:x}", request.id()), crashes, parts = format_parts(&causes),
            events, suspects, evicted
        });
        report(&router, reports).await;
        false
    })
}

/// Opens a connection to an upstream, which a live one accepts and keeps open.
async fn open(address: SocketAddr, sign: Sign) -> io::Result<Connection> {
    let connection = Connection::open(address, sign.connect_timeout()).await?;
    connection.stay_open(SETTLE_TIME).await?;
    Ok(connection)
}

/// Logs that a request is sent although upstreams crashed while they were running it.
pub(crate) fn log_suspect(delivery: Delivery<'_>, backend: &Backend) {
    let fingerprint = delivery.admitted.fingerprint;
    let crashes = lock_causes(delivery.router).crashes(Cause::Request(fingerprint));
    if crashes > 0 {
        spdlog::info!("suspected request sent", kv: {
            request = attempt_id(delivery.request), upstream = backend.upstream.id.as_ref(),
            fingerprint = format!("{fingerprint:x}"), crashes
        });
    }
}

/// Records that an upstream crashed under `causes`; returns what other entries have to know.
fn record(router: &Router, causes: &[Cause], crash: CrashId) -> Vec<(Cause, Suspect)> {
    let now = router.now();
    let mut known = lock_causes(router);
    let were_fatal = known.fatal(now);
    let reports = known.record_crash(now, causes, crash);
    for cause in causes {
        if !were_fatal.contains(cause) && known.is_fatal(now, *cause) {
            router.cause_writes.request();
            log_fatal(*cause, known.crashes(*cause));
        }
    }
    reports
}

/// Records that an upstream has been answering the request for a while, which clears the parts of its prompt.
pub(crate) fn record_progress(delivery: Delivery<'_>) {
    if !delivery.progress.set_sound() {
        clear(delivery.router, &parts(delivery.request));
    }
}

/// Records that an upstream answered the request completely, which clears all of its causes.
pub(crate) fn record_success(delivery: Delivery<'_>) {
    let all = causes(delivery.request, delivery.admitted.fingerprint);
    clear(delivery.router, &all);
}

fn clear(router: &Arc<Router>, causes: &[Cause]) {
    let now = router.now();
    let (was_fatal, reports) = {
        let mut known = lock_causes(router);
        let was_fatal = causes.iter().any(|cause| known.is_fatal(now, *cause));
        (was_fatal, known.record_success(now, causes))
    };
    if was_fatal {
        router.cause_writes.request();
    }
    if !reports.is_empty() {
        let router = router.clone();
        task::spawn(async move { report(&router, reports).await });
    }
}

/// Whether the request is expected to crash the upstream that runs it.
pub(crate) fn is_fatal(router: &Router, request: &Request, fingerprint: Fingerprint) -> bool {
    lock_causes(router).refuses(router.now(), &causes(request, fingerprint))
}

/// Whether an upstream has crashed while it was running the request.
pub(crate) fn is_suspect(router: &Router, fingerprint: Fingerprint) -> bool {
    lock_causes(router).crashes(Cause::Request(fingerprint)) > 0
}

/// Merges what another entry knows of a cause.
pub(crate) fn merge(router: &Router, cause: Cause, suspect: &Suspect) -> Merged {
    let now = router.now();
    let mut known = lock_causes(router);
    let is_known_widely = |known: &Causes| {
        let suspect = known.suspect(now, cause);
        suspect.as_ref().is_some_and(is_known_widely)
    };
    let was_fatal = known.is_fatal(now, cause);
    let was_known_widely = is_known_widely(&known);
    let reply = known.merge(now, cause, suspect);
    if !was_fatal && known.is_fatal(now, cause) {
        log_fatal(cause, known.crashes(cause));
        // Of all entries, only those that saw a crash write.
        if known.is_reported(cause) {
            router.cause_writes.request();
        }
    }
    Merged {
        is_newly_widely_known: !was_known_widely && is_known_widely(&known),
        reply,
    }
}

/// All fatal parts of prompts.
pub(crate) fn fatal_parts(router: &Router) -> Vec<Suspect> {
    fatal(router, |cause| matches!(cause, Cause::Part(_)))
}

/// All fatal requests.
pub(crate) fn fatal_requests(router: &Router) -> Vec<Suspect> {
    fatal(router, |cause| matches!(cause, Cause::Request(_)))
}

fn fatal(router: &Router, is_wanted: impl Fn(Cause) -> bool) -> Vec<Suspect> {
    let (now, known) = (router.now(), lock_causes(router));
    let fatal = known.fatal(now).into_iter();
    fatal
        .filter(|cause| is_wanted(*cause))
        .filter_map(|cause| known.suspect(now, cause))
        .collect()
}

fn log_fatal(cause: Cause, crashes: usize) {
    match cause {
        Cause::Part(part) => spdlog::warn!("part of prompts quarantined", kv: {
            part = format!("{part:x}"), crashes
        }),
        Cause::Request(fingerprint) => spdlog::warn!("request quarantined", kv: {
            fingerprint = format!("{fingerprint:x}"), crashes
        }),
    }
}

async fn report(router: &Router, reports: Vec<(Cause, Suspect)>) {
    for (cause, suspect) in reports {
        peers::report(router, cause, suspect).await;
    }
}

/// The parts of the request's prompt that other requests may share, and the request itself.
fn causes(request: &Request, fingerprint: Fingerprint) -> Vec<Cause> {
    let mut causes = parts(request);
    causes.push(Cause::Request(fingerprint));
    causes
}

fn parts(request: &Request) -> Vec<Cause> {
    let parts = request.job.shared().iter();
    parts.map(|part| Cause::Part(part.id)).collect()
}

fn format_parts(causes: &[Cause]) -> String {
    let parts = causes.iter().filter_map(|cause| match cause {
        Cause::Part(id) => Some(format!("{id:x}")),
        Cause::Request(_) => None,
    });
    parts.collect::<Vec<_>>().join(",")
}

pub(crate) fn lock_causes(router: &Router) -> MutexGuard<'_, Causes> {
    router.causes.lock().unwrap_or_else(PoisonError::into_inner)
}
