//! HTTP endpoints for the platform and for operators.

use crate::connection_limit::{Limit, Slot};
use crate::peers::RETRY_DELAY;
use crate::router::Router;
use almondwell_daemon::{keep, listen, metrics, until_bound};
use almondwell_platform::READY_PATH;
use almondwell_wire::Turn;
use async_h1::server::{self, ConnectionStatus};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, Server, StatusCode, http};

/// Time in which a connection has to bring its next request and to take the answer. Checks and scrapes come every few seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves the platform's readiness check.
pub(crate) async fn ready(router: Arc<Router>, listener: TcpListener) {
    let mut server = Server::with_state(router);
    server.at(READY_PATH).get(readiness);
    run(server, listener, "ready").await;
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
    match until_bound(|| listen("admin", address)).await {
        Ok(listener) => run(server, listener, "admin").await,
        Err(unbound) => spdlog::error!("HTTP server not started", kv: {
            page = "admin", error = unbound.to_string()
        }),
    }
}

/// Serves pages on `listener` forever.
async fn run(server: Server<Arc<Router>>, listener: TcpListener, page: &'static str) {
    let listener = Arc::new(listener);
    keep(page, move || accept(server.clone(), listener.clone(), page)).await;
}

async fn accept(server: Server<Arc<Router>>, listener: Arc<TcpListener>, page: &'static str) {
    let (limit, turn) = (Arc::new(Limit::default()), Turn::default());
    loop {
        turn.wait().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let slot = limit.admit(stream.clone()).await;
                let server = server.clone();
                task::spawn(async move { serve(&server, stream, slot).await });
            }
            Err(error) => {
                spdlog::warn!("accept failed", kv: { page, error = error.to_string() });
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it closes, gives way to a new one, or brings no request for [`IDLE_TIMEOUT`].
async fn serve(pages: &Server<Arc<Router>>, stream: TcpStream, slot: Slot) {
    let respond = |request: http::Request| pages.respond(request);
    let mut connection = server::Server::new(stream, respond);
    while let Ok(Ok(ConnectionStatus::KeepAlive)) =
        timeout(IDLE_TIMEOUT, connection.accept_one()).await
    {
        slot.touch();
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
