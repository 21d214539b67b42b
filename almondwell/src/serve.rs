//! `almondwell serve`, the entry daemon.

use crate::entry::Entry;
use crate::{admin, configuration, control, listener, sides};
use almondwell_daemon::{Command, parse, set_up_logs, signals};
use almondwell_schema::EntrySettings;
use async_std::net::TcpListener;
use async_std::task;
use eyre::{Result, WrapErr};
use lexopt::Parser;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const COMMAND: Command = Command {
    about: "the entry daemon",
    name: "almondwell serve",
    section: "entry",
};
/// Time between reporting unready and closing the listener, for the balancer to notice.
const UNREADY_TIME: Duration = Duration::from_millis(500);
const IDLE_PERIOD: Duration = Duration::from_millis(20);

/// Runs an entry until a stop signal.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    let Some(settings) = parse::<EntrySettings>(COMMAND, parser)? else {
        return Ok(ExitCode::SUCCESS);
    };
    set_up_logs()?;
    task::block_on(serve(settings))?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: EntrySettings) -> Result<()> {
    let stop = signals()?;
    let address = settings.callers;
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on callers = {address}"))?;
    let control = settings.control;
    let entry = Entry::bind(settings)
        .await
        .wrap_err_with(|| format!("cannot bind control = {control}"))?;
    let entry = Arc::new(entry);
    spdlog::info!("entry started", kv: { id = entry.settings.id.as_ref(), callers = address.to_string() });
    let receiver = entry.clone();
    task::spawn(async move { control::receive(&receiver).await });
    let follower = entry.clone();
    task::spawn(async move { configuration::follow(&follower).await });
    let refresher = entry.clone();
    task::spawn(async move { sides::refresh(&refresher).await });
    task::spawn(admin::serve(entry.clone()));
    let accept = task::spawn(listener::accept(entry.clone(), listener));
    stop.recv().await?;
    entry.leave();
    spdlog::info!("entry is leaving", kv: { id = entry.settings.id.as_ref() });
    task::sleep(UNREADY_TIME).await;
    accept.cancel().await;
    while entry.open.load(Ordering::Acquire) > 0 {
        task::sleep(IDLE_PERIOD).await;
    }
    spdlog::info!("entry stopped", kv: { id = entry.settings.id.as_ref() });
    Ok(())
}
