//! Handles `GET /v1/models`.

use crate::catalog::Catalog;
use crate::refusal::{REQUEST_HEADER, VERDICT_HEADER};
use almondwell_schema::{RequestId, Verdict};
use http_types::{Body, Response, StatusCode};
use serde_json::json;

/// Builds the response that lists all models.
pub(crate) fn answer(catalog: &Catalog, id: RequestId) -> Response {
    let data: Vec<_> = catalog
        .models()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "almondwell"}))
        .collect();
    let body = json!({"object": "list", "data": data});
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_string(body.to_string()));
    response.insert_header("Content-Type", "application/json");
    response.insert_header(VERDICT_HEADER, Verdict::Ran.label());
    response.insert_header(REQUEST_HEADER, format!("{id:032x}"));
    response
}
