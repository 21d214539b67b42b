//! `GET /v1/work/ID`, the status of asynchronous work, and `GET /v1/work/ID/answer`, its answer.

use super::run::decode_ended;
use super::{decode, done_key, open_key};
use crate::entry::Entry;
use crate::refusal::{REQUEST_HEADER, Refusal, STORE_DOWN, VERDICT_HEADER};
use crate::{catalog, headers};
use almondwell_platform::Error;
use almondwell_schema::{Ended, Ending, Kept, RequestId, Verdict, Work, WorkId};
use http_types::{Body, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

/// Path prefix of asynchronous work; the id follows.
pub(crate) const PATH: &str = "/v1/work/";

const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Work as found in the store.
enum Record {
    Ended(Ended),
    Open(Work),
}

/// Responds to `request` with the status of the work whose id is in its path, or with the work's
/// answer. `id` is the id of this request.
pub(crate) async fn look_up(entry: &Entry, request: &Request, id: RequestId) -> Response {
    let mut response = match find(entry, request).await {
        Ok(response) => response,
        Err(refusal) => {
            entry.metrics.count_rejected(&refusal);
            return refusal.response(id);
        }
    };
    response.insert_header(REQUEST_HEADER, format!("{id:032x}"));
    response
}

async fn find(entry: &Entry, request: &Request) -> Result<Response, Refusal> {
    let path = request.url().path();
    let id_text = path.strip_prefix(PATH).unwrap_or_default();
    let (id_text, wants_answer) = match id_text.strip_suffix("/answer") {
        Some(id_text) => (id_text, true),
        None => (id_text, false),
    };
    let id = WorkId::from_str_radix(id_text, 16).map_err(|_| not_found())?;
    let record = read(entry, id)
        .await
        .map_err(|error| store_unavailable(&error))?;
    let record = record.ok_or_else(not_found)?;
    if !is_owner(entry, request, &record) {
        return Err(not_found());
    }
    match record {
        Record::Ended(ended) if wants_answer => answer_response(ended),
        Record::Ended(ended) => Ok(ended_response(id, ended)),
        Record::Open(_) if wants_answer => Err(not_found()),
        Record::Open(work) => Ok(open_response(id, &work)),
    }
}

/// Looks for the result both before and after the open work, since work may move from open to done
/// between two reads.
async fn read(entry: &Entry, id: WorkId) -> Result<Option<Record>, Error> {
    if let Some(ended) = read_done(entry, id).await? {
        return Ok(Some(Record::Ended(ended)));
    }
    let open = entry.objects.get(&open_key(id)).await?;
    if let Some(work) = open.and_then(|open| decode(&open.value)) {
        return Ok(Some(Record::Open(work)));
    }
    Ok(read_done(entry, id).await?.map(Record::Ended))
}

async fn read_done(entry: &Entry, id: WorkId) -> Result<Option<Ended>, Error> {
    let done = entry.objects.get(&done_key(id)).await?;
    Ok(done.and_then(|done| decode_ended(&done.value)))
}

/// Whether the caller holds the bearer key of the work's workspace.
fn is_owner(entry: &Entry, request: &Request, record: &Record) -> bool {
    let (service, workspace) = match record {
        Record::Ended(ended) => (&ended.service, &ended.workspace),
        Record::Open(work) => (&work.service, &work.workspace),
    };
    let catalog = entry.catalog.load();
    catalog
        .service(service)
        .and_then(|service| catalog::workspace(service, headers::bearer(request)))
        .is_some_and(|(name, _)| name == &**workspace)
}

fn open_response(id: WorkId, work: &Work) -> Response {
    let status = match work.holder {
        Some(_) => "running",
        None => "waiting",
    };
    status_response(StatusCode::Ok, id, status, Verdict::MayHaveRun)
}

fn ended_response(id: WorkId, ended: Ended) -> Response {
    match ended.ending {
        Ending::Kept(kept) => {
            let answer = json!({"status": kept.status, "body": body_json(&kept)});
            let page = json!({"id": hex(id), "status": "finished", "answer": answer});
            json_response(StatusCode::Ok, &page, Verdict::Ran)
        }
        Ending::Refused(refused) => {
            let error = json!({"code": refused.code, "message": refused.message});
            let page = json!({"id": hex(id), "status": "refused", "error": error,
                "verdict": refused.verdict.label()});
            json_response(StatusCode::Ok, &page, refused.verdict)
        }
    }
}

/// The body as JSON if it parses, else as a JSON string.
fn body_json(kept: &Kept) -> Value {
    serde_json::from_slice(&kept.body)
        .unwrap_or_else(|_| String::from_utf8_lossy(&kept.body).into())
}

/// Responds with the upstream's answer: its status, headers and body.
fn answer_response(ended: Ended) -> Result<Response, Refusal> {
    let Ending::Kept(kept) = ended.ending else {
        return Err(not_found());
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

/// A JSON response with the id and status of work.
pub(super) fn status_response(
    code: StatusCode,
    id: WorkId,
    status: &str,
    verdict: Verdict,
) -> Response {
    json_response(code, &json!({"id": hex(id), "status": status}), verdict)
}

fn json_response(code: StatusCode, page: &Value, verdict: Verdict) -> Response {
    let mut response = Response::new(code);
    response.set_body(Body::from_string(page.to_string()));
    response.insert_header("Content-Type", "application/json");
    response.insert_header(VERDICT_HEADER, verdict.label());
    response
}

fn hex(id: WorkId) -> String {
    format!("{id:032x}")
}

fn not_found() -> Refusal {
    let message = "no such work, or its result is no longer kept";
    Refusal::invalid(StatusCode::NotFound, "unknown_work", message)
}

fn store_unavailable(error: &Error) -> Refusal {
    Refusal {
        code: STORE_DOWN,
        ..Refusal::busy(error.to_string(), RETRY_AFTER)
    }
}
