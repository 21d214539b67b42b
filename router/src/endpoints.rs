//! HTTP endpoints for the platform and for operators.

use crate::router::Router;
use almondwell_daemon::{listen, metrics, until_bound};
use almondwell_platform::READY_PATH;
use async_std::net::TcpListener;
use std::sync::Arc;
use tide::{Request, Response, Server, StatusCode};

/// Serves the platform's readiness check.
pub(crate) async fn ready(router: Arc<Router>, listener: TcpListener) {
    let mut server = Server::with_state(router);
    server.at(READY_PATH).get(readiness);
    run(server, listener, "ready").await;
}

/// Serves `/health` and `/metrics` once the address is bound; the router serves without them.
pub(crate) async fn admin(router: Arc<Router>) {
    let address = router.settings.admin;
    let listener = match until_bound(|| listen("admin", address)).await {
        Ok(listener) => listener,
        Err(unbound) => {
            spdlog::error!("no pages for operators", kv: { error = unbound.to_string() });
            return;
        }
    };
    let registry = Arc::new(router.metrics.registry());
    let mut server = Server::with_state(router);
    server.at("/health").get(readiness);
    server
        .at("/metrics")
        .get(move |request: Request<Arc<Router>>| {
            let registry = registry.clone();
            let router = request.state();
            let held = i64::try_from(router.clients.held()).unwrap_or(i64::MAX);
            router.metrics.held_bytes.set(held);
            async move { metrics(&registry) }
        });
    run(server, listener, "admin").await;
}

async fn run(server: Server<Arc<Router>>, listener: TcpListener, page: &str) {
    if let Err(error) = server.listen(listener).await {
        spdlog::error!("HTTP server stopped", kv: { page, error = error.to_string() });
    }
}

async fn readiness(request: Request<Arc<Router>>) -> tide::Result {
    let status = if request.state().is_ready() {
        StatusCode::Ok
    } else {
        StatusCode::ServiceUnavailable
    };
    Ok(Response::new(status))
}
