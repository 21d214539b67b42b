//! Pages that all daemons serve.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use tide::{Response, StatusCode};

/// Answers with `registry` in the `OpenMetrics` text format.
pub fn metrics(registry: &Registry) -> tide::Result {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(Response::builder(StatusCode::Ok)
        .body(text)
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .build())
}
