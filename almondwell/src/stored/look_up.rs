//! `GET /v1/work/ID`, what became of stored work, and `GET /v1/work/ID/answer`, its answer.

use super::run::ended;
use super::{decode, done_key, open_key};
use crate::entry::Entry;
use crate::refusal::{REQUEST_HEADER, Refusal, STORE_DOWN, VERDICT_HEADER};
use crate::{catalog, headers};
use almondwell_platform::Error;
use almondwell_schema::{Ended, Ending, Kept, RequestId, Verdict, Work, WorkId};
use http_types::{Body, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

/// Path before the id of stored work.
pub(crate) const PATH: &str = "/v1/work/";

const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Stored work as it is found.
enum Found {
    Ended(Ended),
    Open(Work),
}

/// Answers what became of the work that `request` names.
pub(crate) async fn look_up(entry: &Entry, request: &Request, id: RequestId) -> Response {
    let mut response = match find(entry, request).await {
        Ok(response) => response,
        Err(refusal) => {
            entry.metrics.reject(&refusal);
            return refusal.response(id);
        }
    };
    response.insert_header(REQUEST_HEADER, format!("{id:032x}"));
    response
}

async fn find(entry: &Entry, request: &Request) -> Result<Response, Refusal> {
    let path = request.url().path();
    let name = path.strip_prefix(PATH).unwrap_or_default();
    let (name, wants_answer) = match name.strip_suffix("/answer") {
        Some(name) => (name, true),
        None => (name, false),
    };
    let id = WorkId::from_str_radix(name, 16).map_err(|_| unknown())?;
    let found = read(entry, id).await.map_err(|error| down(&error))?;
    let found = found.ok_or_else(unknown)?;
    if !is_owner(entry, request, &found) {
        return Err(unknown());
    }
    match found {
        Found::Ended(ended) if wants_answer => answer(ended),
        Found::Ended(ended) => Ok(ending(id, ended)),
        Found::Open(_) if wants_answer => Err(unknown()),
        Found::Open(work) => Ok(open(id, &work)),
    }
}

/// Reads the result first and last: work moves from open to done.
async fn read(entry: &Entry, id: WorkId) -> Result<Option<Found>, Error> {
    if let Some(ended) = read_done(entry, id).await? {
        return Ok(Some(Found::Ended(ended)));
    }
    let open = entry.objects.get(&open_key(id)).await?;
    if let Some(work) = open.and_then(|open| decode(&open.value)) {
        return Ok(Some(Found::Open(work)));
    }
    Ok(read_done(entry, id).await?.map(Found::Ended))
}

async fn read_done(entry: &Entry, id: WorkId) -> Result<Option<Ended>, Error> {
    let done = entry.objects.get(&done_key(id)).await?;
    Ok(done.and_then(|done| ended(&done.value)))
}

/// Whether the caller holds the bearer key of the work's workspace.
fn is_owner(entry: &Entry, request: &Request, found: &Found) -> bool {
    let (service, workspace) = match found {
        Found::Ended(ended) => (&ended.service, &ended.workspace),
        Found::Open(work) => (&work.service, &work.workspace),
    };
    let catalog = entry.catalog.load();
    catalog
        .service(service)
        .and_then(|service| catalog::workspace(service, headers::bearer(request)))
        .is_some_and(|(name, _)| name == &**workspace)
}

fn open(id: WorkId, work: &Work) -> Response {
    let status = match work.holder {
        Some(_) => "running",
        None => "waiting",
    };
    status_response(StatusCode::Ok, id, status, Verdict::MayHaveRun)
}

fn ending(id: WorkId, ended: Ended) -> Response {
    match ended.ending {
        Ending::Kept(kept) => {
            let answer = json!({"status": kept.status, "body": body(&kept)});
            let page = json!({"id": hex(id), "status": "finished", "answer": answer});
            respond(StatusCode::Ok, &page, Verdict::Ran)
        }
        Ending::Refused(refused) => {
            let error = json!({"code": refused.code, "message": refused.message});
            let page = json!({"id": hex(id), "status": "refused", "error": error,
                "verdict": refused.verdict.label()});
            respond(StatusCode::Ok, &page, refused.verdict)
        }
    }
}

/// The body as JSON where it is JSON, else as text.
fn body(kept: &Kept) -> Value {
    serde_json::from_slice(&kept.body)
        .unwrap_or_else(|_| String::from_utf8_lossy(&kept.body).into())
}

/// The answer as the upstream gave it.
fn answer(ended: Ended) -> Result<Response, Refusal> {
    let Ending::Kept(kept) = ended.ending else {
        return Err(unknown());
    };
    let status = StatusCode::try_from(kept.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(Body::from_bytes(kept.body));
    for header in &kept.headers {
        response.insert_header(&*header.name, &*header.value);
    }
    response.insert_header(VERDICT_HEADER, Verdict::Ran.label());
    Ok(response)
}

/// A page with the id and status of work.
pub(super) fn status_response(
    code: StatusCode,
    id: WorkId,
    status: &str,
    verdict: Verdict,
) -> Response {
    respond(code, &json!({"id": hex(id), "status": status}), verdict)
}

fn respond(code: StatusCode, page: &Value, verdict: Verdict) -> Response {
    let mut response = Response::new(code);
    response.set_body(Body::from_string(page.to_string()));
    response.insert_header("Content-Type", "application/json");
    response.insert_header(VERDICT_HEADER, verdict.label());
    response
}

fn hex(id: WorkId) -> String {
    format!("{id:032x}")
}

fn unknown() -> Refusal {
    let message = "no such work, or its result is no longer kept";
    Refusal::invalid(StatusCode::NotFound, "unknown_work", message)
}

fn down(error: &Error) -> Refusal {
    Refusal {
        code: STORE_DOWN,
        ..Refusal::busy(error.to_string(), RETRY_AFTER)
    }
}
