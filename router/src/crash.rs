//! Detection of requests that crash the upstreams that run them, which are then quarantined.

use crate::backend::Backend;
use crate::dispatch::Admitted;
use crate::peers;
use crate::request::Request;
use crate::router::Router;
use almondwell_core::hash;
use almondwell_core::quarantine::Quarantine;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// Time within which a live upstream accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks in the background whether an upstream crashed after its connection failed during a request; if so,
/// records the request as a suspect and reports it to all peers.
///
/// An upstream that still accepts connections only lost this one; a crashed upstream accepts none.
pub(crate) fn check(
    router: &Arc<Router>,
    backend: &Arc<Backend>,
    admitted: &Admitted,
    request: &Request,
    events: u32,
) {
    let (router, backend) = (router.clone(), backend.clone());
    let fingerprint = admitted.fingerprint;
    let attempt_id: Box<str> = request.job.attempt.clone().unwrap_or_default();
    let parts = format_parts(request);
    task::spawn(async move {
        let connect = TcpStream::connect(backend.upstream.address);
        if matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_))) {
            return;
        }
        let id = hash::number(&[attempt_id.as_bytes(), backend.upstream.id.as_bytes()]);
        // Other requests, also of other entries, may have run there at the same time.
        let is_alone = false;
        let suspect =
            lock_quarantine(&router).record_crash(router.now(), fingerprint, id, is_alone);
        spdlog::warn!("upstream crashed while running a request", kv: {
            request = attempt_id.as_ref(), upstream = backend.upstream.id.as_ref(),
            crashes = suspect.crashes.len(), parts, events
        });
        peers::broadcast_suspect(&router, &suspect).await;
    });
}

/// Identifiers of the parts of a prompt that other requests may share, for log lines.
fn format_parts(request: &Request) -> String {
    let ids: Vec<_> = request
        .job
        .shared()
        .iter()
        .map(|part| format!("{:x}", part.id))
        .collect();
    ids.join(",")
}

pub(crate) fn lock_quarantine(router: &Router) -> MutexGuard<'_, Quarantine> {
    router
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
