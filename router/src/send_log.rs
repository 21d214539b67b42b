//! Log lines of sends.

use crate::backend::{Backend, View};
use crate::delivery::{Delivery, SendOutcome, attempt_id};
use crate::history::History;
use crate::router::milliseconds;

/// Logs the upstream that a request is sent to and the values that the selection was based on.
pub(crate) fn log_send(
    delivery: Delivery<'_>,
    history: &History,
    backend: &Backend,
    view: &View,
    is_reused: bool,
) {
    spdlog::info!("request sent", kv: {
        request = attempt_id(delivery.request),
        upstream = backend.upstream.id.as_ref(),
        service = backend.upstream.service.as_ref(),
        address = backend.upstream.address.to_string(),
        version = backend.upstream.version.as_ref(),
        admitted_by = delivery.admitted.basis.table,
        resumes = delivery.request.job.resumes.as_deref().unwrap_or("-"),
        last_event = history.events.last().unwrap_or("-"),
        send = history.sends,
        band = format!("{:?}", delivery.admitted.band),
        has_parts = view.has_parts,
        wait_ms = milliseconds(view.wait),
        inflight = view.inflight,
        load = view.load.map_or(0, |(load, _)| load.running + load.waiting),
        load_age_ms = view.load.map_or(0, |(_, age)| milliseconds(age)),
        failures = view.failures,
        is_kept = is_reused,
        ms = milliseconds(delivery.request.received_at.elapsed())
    });
}

/// Logs the outcome of an unsuccessful send.
pub(crate) fn log_outcome(
    delivery: Delivery<'_>,
    history: &History,
    backend: &Backend,
    sent: &SendOutcome,
) {
    let (outcome, status, detail) = match sent {
        SendOutcome::Completed { .. } => return,
        SendOutcome::Error(error) => (error.label(), 0, error.detail()),
        SendOutcome::CallerClosed => ("caller left", 0, String::new()),
        SendOutcome::Failed(failure) => ("upstream failed", failure.head.status, String::new()),
        SendOutcome::NotRun => ("not run", 0, String::new()),
    };
    spdlog::info!("send failed", kv: {
        request = attempt_id(delivery.request), upstream = backend.upstream.id.as_ref(),
        send = history.sends, outcome, status, detail,
        ms = milliseconds(delivery.request.received_at.elapsed())
    });
}
