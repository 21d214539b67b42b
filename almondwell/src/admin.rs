//! Health and metrics pages.

use crate::entry::Entry;
use almondwell_wire::Traffic;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tide::{Request, Response, StatusCode};

/// Serves the pages until the process ends.
pub(crate) async fn serve(entry: Arc<Entry>) -> std::io::Result<()> {
    let address = entry.settings.admin;
    let mut app = tide::with_state(entry);
    app.at("/live").get(|_| async { Ok("live\n") });
    app.at("/metrics").get(metrics);
    app.at("/ready").get(ready);
    app.listen(address).await
}

async fn metrics(request: Request<Arc<Entry>>) -> tide::Result {
    let mut registry = Registry::with_prefix("almondwell");
    request.state().metrics.register(&mut registry);
    almondwell_daemon::register_counts(&mut registry, &Traffic::named());
    almondwell_daemon::metrics(&registry)
}

async fn ready(request: Request<Arc<Entry>>) -> tide::Result {
    let entry = request.state();
    if entry.leaving.load(Ordering::Acquire) {
        return Ok(unready("leaving\n"));
    }
    if entry.catalog.load().version == 0 {
        return Ok(unready("no configuration yet\n"));
    }
    if entry.sides.load().is_empty() {
        return Ok(unready("no sides yet\n"));
    }
    Ok("ready\n".into())
}

fn unready(why: &str) -> Response {
    Response::builder(StatusCode::ServiceUnavailable)
        .body(why)
        .build()
}
