//! HTTP responses that all daemons send.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use serde::Serialize;
use tide::{Response, StatusCode};

/// Responds with `registry` in the `OpenMetrics` text format.
pub fn metrics(registry: &Registry) -> tide::Result {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(Response::builder(StatusCode::Ok)
        .body(text)
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .build())
}

/// Responds with `value` as JSON.
pub fn json(value: &impl Serialize) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok)
        .body(tide::Body::from_json(value)?)
        .content_type("application/json")
        .build())
}
