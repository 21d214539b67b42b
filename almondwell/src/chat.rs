//! `POST /v1/chat/completions`.

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

/// Bytes of a prompt that engines are likely to have cached together; shorter prompts save too
/// little to be sent to the same engine.
const PREFIX: usize = 256;

/// The job that a chat completion asks for.
pub(crate) fn job(
    entry: &Entry,
    catalog: &Catalog,
    request: &Request,
    id: RequestId,
    body: Vec<u8>,
) -> Result<Job, Refusal> {
    let prompt: Value = serde_json::from_slice(&body)
        .map_err(|error| bad("bad_json", format!("the body is not JSON: {error}")))?;
    let Some(model) = prompt["model"].as_str() else {
        return Err(bad("no_model", "the body has no text `model`"));
    };
    if !prompt["messages"].is_array() {
        return Err(bad("no_messages", "the body has no array `messages`"));
    }
    let Some(service) = catalog.model(model) else {
        return Err(Refusal::invalid(
            StatusCode::NotFound,
            "unknown_model",
            format!("no service has the model `{model}`; see /v1/models"),
        ));
    };
    let messages = prompt["messages"].to_string();
    let prefix = messages
        .as_bytes()
        .get(..PREFIX)
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
