//! Runs a side from startup to graceful shutdown.

use crate::side::Side;
use crate::{admin, configuration, control, drain, fencing, health, listener};
use almondwell_configuration::{gossip, watch};
use almondwell_daemon::{Unbound, listen, signals, until_bound_or_stopped, wait_for_stop};
use almondwell_schema::SideSettings;
use almondwell_wire::{Seal, Socket};
use async_std::net::TcpListener;
use async_std::task;
use eyre::Result;
use std::sync::Arc;
use std::time::Duration;

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
const EXPIRED_GRANT_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Runs until a stop signal, then completes the running calls.
///
/// Fails if the signals cannot be set up or an address can never be bound.
pub(crate) async fn run(settings: SideSettings) -> Result<()> {
    let signals = signals()?;
    let address = settings.control;
    let Some((listener, socket)) = until_bound_or_stopped(&signals, || bind(&settings)).await?
    else {
        spdlog::info!("side stopped", kv: { id = settings.id.as_ref() });
        return Ok(());
    };
    let side = Side::new(settings, socket);
    let side = Arc::new(side);
    spdlog::info!("side started", kv: { id = side.settings.id.as_ref(), control = address.to_string() });
    task::spawn(listener::accept(side.clone(), listener));
    spawn_tasks(&side);
    task::spawn(admin::run(side.clone()));
    wait_for_stop(&signals).await;
    shut_down(&side).await;
    Ok(())
}

/// Binds the address for other processes, for connections and for datagrams.
async fn bind(settings: &SideSettings) -> Result<(TcpListener, Socket), Unbound> {
    let address = settings.control;
    let listener = listen("control", address).await?;
    let socket = Socket::bind(address, Seal::new(&settings.secret)).await;
    let socket = socket.map_err(|error| Unbound {
        address,
        error: error.into(),
        key: "control",
    })?;
    Ok((listener, socket))
}

fn spawn_tasks(side: &Arc<Side>) {
    let receiver = side.clone();
    task::spawn(async move { control::receive(&receiver).await });
    let expirer = side.clone();
    task::spawn(async move { control::expire(&expirer).await });
    let watcher = side.clone();
    task::spawn(async move { watch(&*watcher).await });
    let gossiper = side.clone();
    task::spawn(async move { gossip(&*gossiper).await });
    let monitor = side.clone();
    task::spawn(async move { health::watch(&monitor).await });
    let claimer = side.clone();
    task::spawn(async move { fencing::claim(&claimer).await });
    let bootstrapper = side.clone();
    task::spawn(async move { configuration::bootstrap(&bootstrapper).await });
}

/// Refuses waiting reservations, informs the entries and completes the running calls.
async fn shut_down(side: &Side) {
    spdlog::info!("side is draining", kv: { id = side.settings.id.as_ref() });
    drain::start(side).await;
    while !side.queue().is_idle() {
        task::sleep(IDLE_POLL_INTERVAL).await;
    }
    // A request may still arrive for a grant that has expired; it is answered that it was not run.
    task::sleep(EXPIRED_GRANT_GRACE_PERIOD).await;
    side.ledger.flush().await;
    spdlog::info!("side stopped", kv: { id = side.settings.id.as_ref() });
}
