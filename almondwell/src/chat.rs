//! Handles `POST /v1/chat/completions`.

use crate::catalog::Catalog;
use crate::entry::Entry;
use crate::headers;
use crate::job::{self, Job};
use crate::refusal::Refusal;
use almondwell_core::hash;
use almondwell_schema::RequestId;
use http_types::{Request, StatusCode};
use serde_json::Value;

pub(crate) const PATH: &str = "/v1/chat/completions";

/// Length of the prompt prefix that selects an engine whose cache is likely to hold it. For shorter
/// prompts, a cache hit saves too little to prefer one engine.
const PREFIX_BYTES: usize = 256;

/// Builds the job of a chat completion.
pub(crate) fn job(
    entry: &Entry,
    catalog: &Catalog,
    request: &Request,
    id: RequestId,
    body: Vec<u8>,
) -> Result<Job, Refusal> {
    let completion: Value = serde_json::from_slice(&body)
        .map_err(|error| bad("bad_json", format!("the body is not JSON: {error}")))?;
    let Some(model) = completion["model"].as_str() else {
        return Err(bad("no_model", "the body has no text `model`"));
    };
    if !completion["messages"].is_array() {
        return Err(bad("no_messages", "the body has no array `messages`"));
    }
    let Some(service) = catalog.model(model) else {
        return Err(Refusal::invalid(
            StatusCode::NotFound,
            "unknown_model",
            format!("no service has the model `{model}`; see /v1/models"),
        ));
    };
    let messages = completion["messages"].to_string();
    let prefix = messages
        .as_bytes()
        .get(..PREFIX_BYTES)
        .map_or(0, |prefix| hash::number(&[prefix]));
    let class = headers::value(request, headers::CLASS).unwrap_or(&service.class);
    let job = job::new(entry, request, service, class, id, body)?;
    Ok(Job {
        path: PATH.into(),
        prefix,
        ..job
    })
}

fn bad(code: &'static str, message: impl Into<Box<str>>) -> Refusal {
    Refusal::invalid(StatusCode::BadRequest, code, message)
}
