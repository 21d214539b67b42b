//! Routes of the callers' API.

use crate::catalog::{self, Catalog};
use crate::dispatch::dispatch;
use crate::entry::Entry;
use crate::job::{Job, hash};
use crate::metrics::Labels;
use crate::refusal::{REQUEST_HEADER, Refusal};
use almondwell_schema::{Header, RequestId, Service, Verdict};
use http_types::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

const CHAT: &str = "/v1/chat/completions";
const CLASS_HEADER: &str = "Almondwell-Class";
const DEADLINE_HEADER: &str = "Almondwell-Deadline";
/// Bytes of a prompt that engines are likely to have cached together.
const PREFIX: usize = 256;

/// Answers one request.
pub(crate) async fn handle(entry: &Entry, mut request: Request) -> Response {
    let id = entry.next_request();
    let body = request.body_bytes().await.unwrap_or_default();
    let catalog = entry.catalog.load_full();
    let path = request.url().path().to_string();
    let result = match (request.method(), path.as_str()) {
        (Method::Get, "/v1/models") => return models(&catalog, id),
        (Method::Post, CHAT) => chat(entry, &catalog, &request, id, body),
        (Method::Post, path) if path.starts_with("/v1/services/") => {
            plain(entry, &catalog, &request, id, body)
        }
        _ => Err(Refusal::invalid(
            StatusCode::NotFound,
            "unknown_path",
            format!("no `{} {path}`; see the operators' pages", request.method()),
        )),
    };
    let job = match result {
        Ok(job) => job,
        Err(refusal) => {
            entry.metrics.requests_rejected.inc();
            return refusal.response(id);
        }
    };
    let outcome = dispatch(entry, &job).await;
    let verdict = match &outcome {
        Ok(_) => Verdict::Ran,
        Err(refusal) => refusal.verdict,
    };
    entry
        .metrics
        .answers
        .get_or_create(&labels(&job, verdict))
        .inc();
    match outcome {
        Ok(answer) => answer.response(id),
        Err(refusal) => refusal.response(id),
    }
}

fn labels(job: &Job, verdict: Verdict) -> Labels {
    Labels {
        class: job.class_name.to_string(),
        service: job.service.name.to_string(),
        verdict: verdict.label().to_string(),
    }
}

fn models(catalog: &Catalog, id: RequestId) -> Response {
    let data: Vec<_> = catalog
        .models()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "almondwell"}))
        .collect();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(http_types::Body::from_string(
        json!({"object": "list", "data": data}).to_string(),
    ));
    response.insert_header("Content-Type", "application/json");
    response.insert_header(REQUEST_HEADER, format!("{id:032x}"));
    response
}

fn chat(
    entry: &Entry,
    catalog: &Catalog,
    request: &Request,
    id: RequestId,
    body: Vec<u8>,
) -> Result<Job, Refusal> {
    let prompt: Value = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not JSON: {error}");
        Refusal::invalid(StatusCode::BadRequest, "bad_json", message)
    })?;
    let Some(model) = prompt["model"].as_str() else {
        return Err(Refusal::invalid(
            StatusCode::BadRequest,
            "no_model",
            "the body has no text `model`",
        ));
    };
    let Some(service) = catalog.model(model) else {
        return Err(Refusal::invalid(
            StatusCode::NotFound,
            "unknown_model",
            format!("no service has the model `{model}`; see /v1/models"),
        ));
    };
    let messages = prompt["messages"].to_string();
    let prefix = hash(&messages.as_bytes()[..messages.len().min(PREFIX)]);
    let class = header(request, CLASS_HEADER).unwrap_or_else(|| service.class.to_string());
    let job = job(entry, request, service, &class, id, body)?;
    Ok(Job {
        path: CHAT.into(),
        prefix,
        ..job
    })
}

fn plain(
    entry: &Entry,
    catalog: &Catalog,
    request: &Request,
    id: RequestId,
    body: Vec<u8>,
) -> Result<Job, Refusal> {
    let path = request.url().path().trim_start_matches("/v1/services/");
    let (name, class) = path.split_once('/').unwrap_or((path, ""));
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
    let job = job(entry, request, service, class, id, body)?;
    Ok(Job {
        path: format!("/{class}").into(),
        ..job
    })
}

fn job(
    entry: &Entry,
    request: &Request,
    service: &Arc<Service>,
    class_name: &str,
    id: RequestId,
    body: Vec<u8>,
) -> Result<Job, Refusal> {
    let key = header(request, "Authorization").unwrap_or_default();
    let key = key.strip_prefix("Bearer ").unwrap_or_default();
    let Some((workspace_name, workspace)) = catalog::workspace(service, key) else {
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
    let limit = deadline(request)?
        .unwrap_or(class.deadline)
        .min(class.deadline);
    Ok(Job {
        arrived,
        class: class.clone(),
        class_name: class_name.into(),
        deadline: arrived + limit,
        fingerprint: hash(&body),
        body,
        headers: forwarded(request),
        key: header(request, "Idempotency-Key").map(Into::into),
        path: "".into(),
        prefix: 0,
        request: id,
        service: service.clone(),
        workspace: workspace.clone(),
        workspace_name: workspace_name.into(),
    })
}

fn deadline(request: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = header(request, DEADLINE_HEADER) else {
        return Ok(None);
    };
    match almondwell_schema::Setting::read(&text) {
        Some(limit) => Ok(Some(limit)),
        None => Err(Refusal::invalid(
            StatusCode::BadRequest,
            "bad_deadline",
            format!("`{DEADLINE_HEADER}: {text}`: expected a duration such as 500ms or 5s"),
        )),
    }
}

/// Headers that upstreams see.
fn forwarded(request: &Request) -> Vec<Header> {
    const NAMES: [&str; 3] = ["Content-Type", "Accept", "Idempotency-Key"];
    NAMES
        .into_iter()
        .filter_map(|name| {
            let value = header(request, name)?;
            Some(Header {
                name: name.into(),
                value: value.into(),
            })
        })
        .collect()
}

fn header(request: &Request, name: &str) -> Option<String> {
    request
        .header(name)
        .map(|values| values.as_str().to_string())
}
