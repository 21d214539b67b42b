//! Pages that all daemons serve.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
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

/// Registers `counts` that are kept elsewhere, as they stand now.
pub fn register_counts(registry: &mut Registry, counts: &[(&'static str, u64)]) {
    for (name, value) in counts {
        let counter: Counter = Counter::default();
        counter.inc_by(*value);
        registry.register(*name, "Count since the process started", counter);
    }
}
