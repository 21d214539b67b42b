//! Handles `POST /v1/services/SERVICE/CLASS`, a call to a plain service.

use crate::catalog::Catalog;
use crate::entry::Entry;
use crate::job::{self, Job};
use crate::refusal::Refusal;
use almondwell_schema::RequestId;
use http_types::{Request, StatusCode};

pub(crate) const PATH: &str = "/v1/services/";

/// Builds the job of a call to a plain service. Without a class in the path, the service's default
/// class applies.
pub(crate) fn job(
    entry: &Entry,
    catalog: &Catalog,
    request: &Request,
    id: RequestId,
    body: Vec<u8>,
) -> Result<Job, Refusal> {
    let path = request.url().path();
    let rest = path.strip_prefix(PATH).unwrap_or(path);
    let (name, class) = rest.split_once('/').unwrap_or((rest, ""));
    let Some(service) = catalog.plain(name) else {
        return Err(Refusal::invalid(
            StatusCode::NotFound,
            "unknown_service",
            format!("no plain service `{name}`"),
        ));
    };
    let class = if class.is_empty() {
        &*service.class
    } else {
        class
    };
    let job = job::new(entry, request, service, class, id, body)?;
    Ok(Job {
        path: format!("/{class}").into(),
        ..job
    })
}
