//! HTTP endpoints for the platform and for operators.

use crate::router::Router;
use almondwell_daemon::{Unbound, keep, listen, metrics, until_bound};
use almondwell_platform::READY_PATH;
use async_std::net::TcpListener;
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, Server, StatusCode};

/// Delay before a page whose listener failed is served again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Serves the platform's readiness check.
pub(crate) async fn ready(router: Arc<Router>, listener: TcpListener) {
    let address = router.settings.ready;
    let mut server = Server::with_state(router);
    server.at(READY_PATH).get(readiness);
    run(server, "ready", address, Some(listener)).await;
}

/// Serves `/health` and `/metrics` once the address is bound; the router serves without them.
pub(crate) async fn admin(router: Arc<Router>) {
    let address = router.settings.admin;
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
    run(server, "admin", address, None).await;
}

/// Serves the pages at `address`, the setting `key`, at first on `listener`.
async fn run(
    server: Server<Arc<Router>>,
    key: &'static str,
    address: SocketAddr,
    mut listener: Option<TcpListener>,
) {
    let serve = || {
        let (server, first) = (server.clone(), listener.take());
        async move {
            let mut next = first;
            loop {
                let listener = match next.take() {
                    Some(listener) => listener,
                    None => match until_bound(|| listen(key, address)).await {
                        Ok(listener) => listener,
                        Err(unbound) => return log_unbound(key, &unbound),
                    },
                };
                if let Err(error) = server.clone().listen(listener).await {
                    spdlog::error!("HTTP server stopped", kv: { page = key, error = error.to_string() });
                }
                task::sleep(RESTART_DELAY).await;
            }
        }
    };
    keep(key, serve).await;
}

fn log_unbound(page: &str, unbound: &Unbound) {
    spdlog::error!("HTTP server not started", kv: { page, error = unbound.to_string() });
}

async fn readiness(request: Request<Arc<Router>>) -> tide::Result {
    let status = if request.state().is_ready() {
        StatusCode::Ok
    } else {
        StatusCode::ServiceUnavailable
    };
    Ok(Response::new(status))
}
