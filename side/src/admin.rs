//! HTTP endpoints for health, metrics and status.

use crate::side::Side;
use almondwell_daemon::{Counters, listen, until_bound};
use almondwell_schema::{Role, Status};
use almondwell_wire::Traffic;
use async_std::net::TcpListener;
use prometheus_client::registry::Registry;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tide::Request;

struct State {
    registry: Registry,
    side: Arc<Side>,
}

/// Serves the endpoints once their address is bound; the rest does not wait for it.
pub(crate) async fn run(side: Arc<Side>) {
    let address = side.settings.admin;
    let result = match until_bound(|| listen("admin", address)).await {
        Ok(listener) => serve(side, listener).await,
        Err(unbound) => Err(io::Error::other(unbound)),
    };
    if let Err(error) = result {
        spdlog::error!("HTTP server stopped", kv: { page = "admin", error = error.to_string() });
    }
}

/// Serves the endpoints until the process ends; fails if `listener` does.
async fn serve(side: Arc<Side>, listener: TcpListener) -> io::Result<()> {
    let mut registry = Registry::with_prefix("almondwell_side");
    side.metrics.register(&mut registry);
    registry.register_collector(Box::new(Counters(Traffic::named)));
    let mut app = tide::with_state(Arc::new(State { registry, side }));
    app.at("/live").get(|_| async { Ok("live\n") });
    app.at("/metrics").get(metrics);
    app.at("/ready").get(|_| async { Ok("ready\n") });
    app.at("/status").get(status);
    app.listen(listener).await
}

async fn metrics(request: Request<Arc<State>>) -> tide::Result {
    let State { registry, side } = &**request.state();
    let (running, waiting) = {
        let queue = side.queue();
        (queue.running(), queue.waiting())
    };
    let metrics = &side.metrics;
    metrics
        .calls_running
        .set(i64::try_from(running).unwrap_or(i64::MAX));
    metrics
        .reservations_waiting
        .set(i64::try_from(waiting).unwrap_or(i64::MAX));
    almondwell_daemon::metrics(registry)
}

async fn status(request: Request<Arc<State>>) -> tide::Result {
    let side = &request.state().side;
    almondwell_daemon::json(&Status {
        id: side.settings.id.clone(),
        role: Role::Side,
        version: side.replica.version(),
        leaving: side.is_draining.load(Ordering::Acquire),
    })
}
