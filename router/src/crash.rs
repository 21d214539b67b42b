//! Requests that may crash the upstreams that run them.

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

/// Time in which a live upstream accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Finds out whether the upstream whose connection broke has crashed, and notes it if so.
///
/// A lost answer breaks one connection and leaves the upstream up; a crash leaves nothing to connect to.
pub(crate) fn suspect(
    router: &Arc<Router>,
    backend: &Arc<Backend>,
    admitted: &Admitted,
    request: &Request,
) {
    let (router, backend) = (router.clone(), backend.clone());
    let fingerprint = admitted.fingerprint;
    let attempt: Box<str> = request.job.attempt.clone().unwrap_or_default();
    task::spawn(async move {
        let connect = TcpStream::connect(backend.upstream.address);
        if matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_))) {
            return;
        }
        let id = hash::number(&[attempt.as_bytes(), backend.upstream.id.as_bytes()]);
        let suspect = lock(&router).crashed(router.now(), fingerprint, id, false);
        spdlog::warn!("upstream crashed under a request", kv: {
            request = attempt.as_ref(), upstream = backend.upstream.id.as_ref(),
            crashes = suspect.crashes.len()
        });
        peers::warn(&router, &suspect).await;
    });
}

pub(crate) fn lock(router: &Router) -> MutexGuard<'_, Quarantine> {
    router
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
