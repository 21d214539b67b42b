//! Health and metrics pages.

use crate::side::Side;
use almondwell_wire::Traffic;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use tide::Request;

/// Serves the pages until the process ends.
pub(crate) async fn serve(side: Arc<Side>) -> std::io::Result<()> {
    let address = side.settings.admin;
    let mut app = tide::with_state(side);
    app.at("/live").get(|_| async { Ok("live\n") });
    app.at("/ready").get(|_| async { Ok("ready\n") });
    app.at("/metrics").get(metrics);
    app.listen(address).await
}

async fn metrics(request: Request<Arc<Side>>) -> tide::Result {
    let mut registry = Registry::with_prefix("almondwell_side");
    request.state().metrics.register(&mut registry);
    almondwell_daemon::register_counts(&mut registry, &Traffic::named());
    almondwell_daemon::metrics(&registry)
}
