//! Admin endpoints: health, metrics, report and status.

use crate::burn;
use crate::entry::Entry;
use almondwell_daemon::{Counters, listen, until_bound};
use almondwell_schema::{Role, Status};
use almondwell_wire::Traffic;
use async_std::net::TcpListener;
use prometheus_client::registry::Registry;
use std::io;
use std::sync::Arc;
use tide::{Request, Response, StatusCode};

struct State {
    entry: Arc<Entry>,
    registry: Registry,
}

/// Serves the endpoints once their address is bound; the rest does not wait for it.
pub(crate) async fn run(entry: Arc<Entry>) {
    let address = entry.settings.admin;
    let result = match until_bound(|| listen("admin", address)).await {
        Ok(listener) => serve(entry, listener).await,
        Err(unbound) => Err(io::Error::other(unbound)),
    };
    if let Err(error) = result {
        spdlog::error!("HTTP server stopped", kv: { page = "admin", error = error.to_string() });
    }
}

/// Serves the admin endpoints until the process ends.
async fn serve(entry: Arc<Entry>, listener: TcpListener) -> io::Result<()> {
    let mut registry = entry.metrics.registry();
    registry.register_collector(Box::new(Counters(Traffic::named)));
    let mut app = tide::with_state(Arc::new(State { entry, registry }));
    app.at("/live").get(|_| async { Ok("live\n") });
    app.at("/metrics").get(metrics);
    app.at("/ready").get(ready);
    app.at("/report").get(report);
    app.at("/status").get(status);
    app.listen(listener).await
}

async fn metrics(request: Request<Arc<State>>) -> tide::Result {
    let State { entry, registry } = &**request.state();
    let open_connections = entry.drain.connections();
    let version = entry.catalog.load().version;
    let metrics = &entry.metrics;
    metrics
        .connections
        .set(i64::try_from(open_connections).unwrap_or(i64::MAX));
    metrics
        .configuration_version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    almondwell_daemon::metrics(registry)
}

async fn ready(request: Request<Arc<State>>) -> tide::Result {
    let entry = &request.state().entry;
    if entry.drain.is_leaving() {
        return Ok(not_ready("leaving\n"));
    }
    if entry.catalog.load().version == 0 {
        return Ok(not_ready("no configuration yet\n"));
    }
    if entry.members.sides().is_empty() {
        return Ok(not_ready("no sides yet\n"));
    }
    Ok("ready\n".into())
}

async fn report(request: Request<Arc<State>>) -> tide::Result {
    almondwell_daemon::json(&burn::report(&request.state().entry))
}

async fn status(request: Request<Arc<State>>) -> tide::Result {
    let entry = &request.state().entry;
    almondwell_daemon::json(&Status {
        id: entry.settings.id.clone(),
        role: Role::Entry,
        version: entry.catalog.load().version,
        leaving: entry.drain.is_leaving(),
    })
}

fn not_ready(reason: &str) -> Response {
    Response::builder(StatusCode::ServiceUnavailable)
        .body(reason)
        .build()
}
