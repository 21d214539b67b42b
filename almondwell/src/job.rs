//! A valid request on its way to an upstream.

use crate::catalog;
use crate::entry::Entry;
use crate::headers;
use crate::refusal::Refusal;
use almondwell_core::hash;
use almondwell_schema::{Class, Header, RequestId, Service, Workspace};
use http_types::{Request, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// A valid request on its way to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Arrival time on the entry's clock.
    pub(crate) arrived: Duration,
    pub(crate) body: Vec<u8>,
    pub(crate) class: Class,
    pub(crate) class_name: Box<str>,
    /// Time on the entry's clock at which the request is abandoned.
    pub(crate) deadline: Duration,
    /// Hash of the body.
    pub(crate) fingerprint: u64,
    /// Headers to forward to the upstream.
    pub(crate) headers: Vec<Header>,
    /// The caller's idempotency key.
    pub(crate) key: Option<Box<str>>,
    pub(crate) path: Box<str>,
    /// Hash of the prompt's prefix; 0 for none.
    pub(crate) prefix: u64,
    pub(crate) request: RequestId,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Workspace,
    pub(crate) workspace_name: Box<str>,
}

/// Builds a job for the class `class_name` of `service`, in the workspace of the caller's bearer
/// key.
///
/// Fails on an unknown key, an unknown class or a malformed deadline.
pub(crate) fn new(
    entry: &Entry,
    request: &Request,
    service: &Arc<Service>,
    class_name: &str,
    id: RequestId,
    body: Vec<u8>,
) -> Result<Job, Refusal> {
    let Some((workspace_name, workspace)) = catalog::workspace(service, headers::bearer(request))
    else {
        return Err(Refusal::invalid(
            StatusCode::Unauthorized,
            "unknown_key",
            format!(
                "the bearer key belongs to no workspace of `{}`",
                service.name
            ),
        ));
    };
    let Some(class) = service.classes.get(class_name) else {
        return Err(Refusal::invalid(
            StatusCode::BadRequest,
            "unknown_class",
            format!("service `{}` has no class `{class_name}`", service.name),
        ));
    };
    let arrived = entry.clock.now();
    let limit = headers::deadline(request)?
        .unwrap_or(class.deadline)
        .min(class.deadline);
    Ok(Job {
        arrived,
        class: class.clone(),
        class_name: class_name.into(),
        deadline: arrived + limit,
        fingerprint: hash::number(&[&body]),
        body,
        headers: headers::forwarded(request),
        key: headers::value(request, headers::IDEMPOTENCY_KEY).map(Into::into),
        path: "".into(),
        prefix: 0,
        request: id,
        service: service.clone(),
        workspace: workspace.clone(),
        workspace_name: workspace_name.into(),
    })
}
