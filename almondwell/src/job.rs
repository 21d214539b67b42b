//! One accepted request.

use crate::catalog;
use crate::entry::Entry;
use crate::headers;
use crate::refusal::Refusal;
use almondwell_core::hash;
use almondwell_schema::{Class, Header, RequestId, Service, Workspace};
use http_types::{Request, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// One accepted request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Time on the entry's clock at which it arrived.
    pub(crate) arrived: Duration,
    pub(crate) body: Vec<u8>,
    pub(crate) class: Class,
    pub(crate) class_name: Box<str>,
    /// Time on the entry's clock after which it is given up.
    pub(crate) deadline: Duration,
    pub(crate) fingerprint: u64,
    pub(crate) headers: Vec<Header>,
    pub(crate) key: Option<Box<str>>,
    pub(crate) path: Box<str>,
    pub(crate) prefix: u64,
    pub(crate) request: RequestId,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Workspace,
    pub(crate) workspace_name: Box<str>,
}

/// A job of `service` and the class `class_name`, for the workspace whose key the caller holds.
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
