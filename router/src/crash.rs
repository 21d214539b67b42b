//! Detection of requests, and of parts of prompts, that crash the upstreams that run them. They are then quarantined.

use crate::backend::Backend;
use crate::delivery::{Delivery, attempt_id};
use crate::peers;
use crate::request::Request;
use crate::router::Router;
use almondwell_core::fatal_parts::FatalParts;
use almondwell_core::hash;
use almondwell_core::job::PartId;
use almondwell_core::quarantine::Quarantine;
use almondwell_schema::{CrashId, Suspect, SuspectPart};
use async_std::future::timeout;
use async_std::io;
use async_std::net::TcpStream;
use async_std::task;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// Time within which a live upstream accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks in the background whether an upstream crashed after its connection failed during a request; if so,
/// records the request and the parts of its prompt as suspects and reports them to all peers.
///
/// An upstream that still accepts connections only lost this one; a crashed upstream accepts none. One that does not
/// even refuse them may be cut off, which is no evidence against the parts.
pub(crate) fn check(delivery: Delivery<'_>, backend: &Arc<Backend>, events: u32) {
    let (router, backend) = (delivery.router.clone(), backend.clone());
    let fingerprint = delivery.admitted.fingerprint;
    let attempt_id: Box<str> = attempt_id(delivery.request).into();
    let parts = if delivery.progress.is_sound() {
        Vec::new()
    } else {
        part_ids(delivery.request)
    };
    task::spawn(async move {
        let connect = TcpStream::connect(backend.upstream.address);
        let connected = timeout(CONNECT_TIMEOUT, connect).await;
        if matches!(connected, Ok(Ok(_))) {
            return;
        }
        let upstream = &backend.upstream;
        let id = hash::number(&[attempt_id.as_bytes(), upstream.id.as_bytes()]);
        // Other requests, also of other entries, may have run there at the same time.
        let is_alone = false;
        let (suspect, suspects, evicted) = {
            let mut quarantine = lock_quarantine(&router);
            let suspect = quarantine.record_crash(router.now(), fingerprint, id, is_alone);
            (suspect, quarantine.len(), quarantine.evicted())
        };
        spdlog::warn!("upstream crashed while running a request", kv: {
            request = attempt_id.as_ref(), upstream = upstream.id.as_ref(),
            fingerprint = format!("{fingerprint:x}"), crashes = suspect.crashes.len(),
            parts = format_parts(&parts), events, suspects, evicted
        });
        peers::broadcast(&router, &suspect.into()).await;
        let is_refused =
            matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
        if is_refused {
            let started = upstream.started_ms.unwrap_or(0).to_le_bytes();
            let crash = hash::number(&[upstream.id.as_bytes(), &started]);
            let reports = record_part_crash(&router, &parts, crash);
            report_parts(&router, reports).await;
        }
    });
}

/// Logs that a request is sent although upstreams crashed while they were running it.
pub(crate) fn log_suspect(delivery: Delivery<'_>, backend: &Backend) {
    let Delivery {
        admitted, router, ..
    } = delivery;
    let suspect = lock_quarantine(router).suspect(router.now(), admitted.fingerprint);
    if let Some(suspect) = suspect {
        spdlog::info!("suspected request sent", kv: {
            request = attempt_id(delivery.request), upstream = backend.upstream.id.as_ref(),
            fingerprint = format!("{:x}", admitted.fingerprint), crashes = suspect.crashes.len()
        });
    }
}

/// Records that an upstream crashed under `parts`; returns what other entries have to know.
fn record_part_crash(router: &Router, parts: &[PartId], crash: CrashId) -> Vec<Suspect> {
    let now = router.now();
    let mut fatal_parts = lock_fatal_parts(router);
    let was_fatal: Vec<_> = parts
        .iter()
        .map(|part| fatal_parts.is_fatal(now, *part))
        .collect();
    let reports = fatal_parts.record_crash(now, parts, crash);
    if !reports.is_empty() {
        // Other entries may know more of the parts than their reports have told this one.
        router.fatal_requests.read();
    }
    for (part, was_fatal) in parts.iter().zip(was_fatal) {
        if !was_fatal && fatal_parts.is_fatal(now, *part) {
            router.fatal_requests.write();
            fatal_parts
                .suspect(now, *part)
                .iter()
                .for_each(log_fatal_part);
        }
    }
    reports
}

/// Records that an upstream answers the request without a crash; does nothing if that was recorded for this send.
pub(crate) fn record_success(delivery: Delivery<'_>) {
    if delivery.progress.set_sound() {
        return;
    }
    let router = delivery.router;
    let parts = part_ids(delivery.request);
    if parts.is_empty() {
        return;
    }
    let now = router.now();
    let (was_fatal, reports) = {
        let mut fatal_parts = lock_fatal_parts(router);
        let was_fatal = parts.iter().any(|part| fatal_parts.is_fatal(now, *part));
        (was_fatal, fatal_parts.record_success(now, &parts))
    };
    if was_fatal {
        router.fatal_requests.write();
    }
    if !reports.is_empty() {
        let router = router.clone();
        task::spawn(async move { report_parts(&router, reports).await });
    }
}

/// Whether the request's prompt has a part that crashes upstreams.
pub(crate) fn is_fatal(router: &Router, request: &Request) -> bool {
    let parts = part_ids(request);
    !parts.is_empty() && lock_fatal_parts(router).refuses(router.now(), &parts)
}

/// Merges what another entry knows of a part; returns what that entry has to know.
pub(crate) fn merge_part(router: &Router, suspect: &Suspect) -> Option<Suspect> {
    let now = router.now();
    let part = suspect.fingerprint;
    let mut fatal_parts = lock_fatal_parts(router);
    let was_fatal = fatal_parts.is_fatal(now, part);
    let reply = fatal_parts.merge(now, suspect);
    if !was_fatal && fatal_parts.is_fatal(now, part) {
        log_fatal_part(suspect);
        // Of all entries, only those that saw a crash write.
        if fatal_parts.is_reported(part) {
            router.fatal_requests.write();
        }
    }
    reply
}

fn log_fatal_part(suspect: &Suspect) {
    spdlog::warn!("part of prompts quarantined", kv: {
        part = format!("{:x}", suspect.fingerprint), crashes = suspect.crashes.len()
    });
}

async fn report_parts(router: &Router, reports: Vec<Suspect>) {
    for suspect in reports {
        peers::broadcast(router, &SuspectPart { suspect }.into()).await;
    }
}

/// Identifiers of the parts of the request's prompt that other requests may share.
fn part_ids(request: &Request) -> Vec<PartId> {
    request.job.shared().iter().map(|part| part.id).collect()
}

fn format_parts(parts: &[PartId]) -> String {
    let ids: Vec<_> = parts.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

pub(crate) fn lock_fatal_parts(router: &Router) -> MutexGuard<'_, FatalParts> {
    router
        .fatal_parts
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn lock_quarantine(router: &Router) -> MutexGuard<'_, Quarantine> {
    router
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
