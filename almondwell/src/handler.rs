//! Routes requests of the callers' API.

use crate::dispatch::dispatch;
use crate::entry::Entry;
use crate::job::Job;
use crate::observation::Observation;
use crate::refusal::Refusal;
use crate::{chat, headers, models, plain, stored};
use almondwell_schema::{RequestId, Verdict};
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use std::sync::Arc;

const MODELS_PATH: &str = "/v1/models";

/// Answers one request; errors become error responses.
pub(crate) async fn handle(entry: &Entry, mut request: Request) -> Response {
    let id = entry.next_request();
    let body = request.body_bytes().await.unwrap_or_default();
    match route(entry, &request, id, body) {
        Ok(Route::Answer(response)) => *response,
        Ok(Route::Job(job)) if stored::is_async_requested(&request) => {
            stored::accept(entry, &job).await
        }
        Ok(Route::Job(job)) => serve(entry, job).await,
        Ok(Route::Work) => stored::look_up(entry, &request, id).await,
        Err(refusal) => {
            entry.metrics.count_rejected(&refusal);
            refusal.response(id)
        }
    }
}

/// What a request asks for.
enum Route {
    /// The entry answers by itself.
    Answer(Box<Response>),
    /// An upstream runs the job.
    Job(Arc<Job>),
    /// The caller asks for the state or result of stored work.
    Work,
}

fn route(entry: &Entry, request: &Request, id: RequestId, body: Vec<u8>) -> Result<Route, Refusal> {
    headers::check(request)?;
    let catalog = entry.catalog.load();
    let path = request.url().path();
    let is_plain = path.starts_with(plain::PATH);
    match (request.method(), path) {
        (Method::Get | Method::Head, MODELS_PATH) => {
            let response = models::answer(&catalog, id);
            Ok(Route::Answer(Box::new(response)))
        }
        (_, MODELS_PATH) => Err(Refusal::method_not_allowed("GET, HEAD")),
        (Method::Post, chat::PATH) => chat::job(entry, &catalog, request, id, body).map(job),
        (Method::Post, _) if is_plain => plain::job(entry, &catalog, request, id, body).map(job),
        (_, chat::PATH) => Err(Refusal::method_not_allowed("POST")),
        (_, _) if is_plain => Err(Refusal::method_not_allowed("POST")),
        (Method::Get, _) if path.starts_with(stored::PATH) => Ok(Route::Work),
        (method, path) => Err(Refusal::invalid(
            StatusCode::NotFound,
            "unknown_path",
            format!("no `{method} {path}`; see the operators' pages"),
        )),
    }
}

fn job(job: Job) -> Route {
    Route::Job(Arc::new(job))
}

async fn serve(entry: &Entry, mut job: Arc<Job>) -> Response {
    let id = job.request;
    let now = entry.clock.now();
    let mut refusal = entry.suspects.refusal(now, &job);
    if let Some(left) = entry.drain.left(now) {
        if !entry.answer_times.fits(now, &job, left) {
            refusal.get_or_insert_with(Refusal::stopping);
        }
        let end = now + left;
        Arc::make_mut(&mut job).deadline = job.deadline.min(end);
    }
    let mut observation = Observation::new(entry, job.clone());
    let stopped = async {
        entry.drain.finished().await;
        let message = "the entry stopped while the request ran";
        Err(Refusal::failed(Verdict::MayHaveRun, message))
    };
    let outcome = match refusal {
        Some(refusal) => Err(refusal),
        None => dispatch(entry, &job).or(stopped).await,
    };
    match outcome {
        Ok(answer) => answer.response(id, observation),
        Err(refusal) => {
            entry.metrics.count_refused(&refusal);
            observation.record_refusal(&refusal);
            refusal.response(id)
        }
    }
}
