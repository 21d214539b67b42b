//! `almondwell serve`, the entry daemon.

use crate::drain::EXIT_MARGIN;
use crate::entry::Entry;
use crate::{
    admin, configuration, control, instance_list, listener, peers, probe, quarantine, stored,
};
use almondwell_configuration::{gossip, watch};
use almondwell_daemon::{Command, Unbound, listen, signals, until_bound_or_stopped, wait_for_stop};
use almondwell_schema::EntrySettings;
use almondwell_wire::{Seal, Socket};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use eyre::Result;
use lexopt::Parser;
use std::process::ExitCode;
use std::sync::Arc;

const COMMAND: Command = Command {
    about: "the entry daemon",
    name: "almondwell serve",
    section: "entry",
};

/// Runs an entry until the process receives a stop signal.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    almondwell_daemon::run(COMMAND, parser, serve)?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: EntrySettings) -> Result<()> {
    let signals = signals()?;
    let Some(addresses) = until_bound_or_stopped(&signals, || Addresses::bind(&settings)).await?
    else {
        spdlog::info!("entry stopped", kv: { id = settings.id.as_ref() });
        return Ok(());
    };
    let address = settings.callers;
    let entry = Arc::new(Entry::new(settings, addresses.socket));
    spdlog::info!("entry started", kv: { id = entry.settings.id.as_ref(), callers = address.to_string() });
    spawn_tasks(&entry);
    task::spawn(peers::accept(entry.clone(), addresses.peers));
    task::spawn(admin::run(entry.clone()));
    stored::serve(&entry);
    let accept = task::spawn(listener::accept(entry.clone(), addresses.callers));
    wait_for_stop(&signals).await;
    shut_down(&entry, accept).await;
    Ok(())
}

/// Addresses that an entry needs to serve.
struct Addresses {
    callers: TcpListener,
    peers: TcpListener,
    socket: Socket,
}

impl Addresses {
    /// Binds all of them or none.
    async fn bind(settings: &EntrySettings) -> Result<Self, Unbound> {
        let address = settings.control;
        let socket = Socket::bind(address, Seal::new(&settings.secret)).await;
        Ok(Self {
            callers: listen("callers", settings.callers).await?,
            peers: listen("control", address).await?,
            socket: socket.map_err(|error| Unbound {
                address,
                error: error.into(),
                key: "control",
            })?,
        })
    }
}

fn spawn_tasks(entry: &Arc<Entry>) {
    let receiver = entry.clone();
    task::spawn(async move { control::receive(&receiver).await });
    let watcher = entry.clone();
    task::spawn(async move { watch(&*watcher).await });
    let gossiper = entry.clone();
    task::spawn(async move { gossip(&*gossiper).await });
    let starter = entry.clone();
    task::spawn(async move { configuration::start(&starter).await });
    let refresher = entry.clone();
    task::spawn(async move { instance_list::refresh(&refresher).await });
    let replicator = entry.clone();
    task::spawn(async move { quarantine::replicate(&replicator).await });
    let prober = entry.clone();
    task::spawn(async move { probe::run(&prober).await });
}

/// Reports unready, waits until load balancers open no more connections, then finishes open
/// requests.
async fn shut_down(entry: &Entry, accept: JoinHandle<()>) {
    let settings = &entry.settings;
    spdlog::info!("entry is draining", kv: { id = settings.id.as_ref() });
    let limit = settings.grace.saturating_sub(EXIT_MARGIN);
    let end = (!settings.grace.is_zero()).then(|| entry.clock.now() + limit);
    entry.drain.begin(end);
    let quiet_limit = match end {
        Some(_) => settings.drain.min(limit.saturating_sub(settings.unready)),
        None => settings.drain,
    };
    entry
        .drain
        .wait_until_quiet(settings.unready, quiet_limit)
        .await;
    accept.cancel().await;
    entry
        .drain
        .wait_until_closed(entry.clock, settings.drain)
        .await;
    let idle = entry.stored.wait_until_idle();
    match entry.drain.left(entry.clock.now()) {
        // Another entry takes over what is still running.
        Some(left) => drop(timeout(left, idle).await),
        None => idle.await,
    }
    spdlog::info!("entry stopped", kv: { id = settings.id.as_ref() });
}
