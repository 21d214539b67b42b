//! Signals that a daemon handles: SIGHUP, SIGINT and SIGTERM.

use async_std::channel::{Receiver, bounded};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;

/// Signals that may wait to be received; one stop and one reload are enough, since repeats add nothing.
const MAX_QUEUED_SIGNALS: usize = 2;

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGHUP: the settings file has changed.
    Reload,
    /// SIGINT or SIGTERM, by its name: the process has to shut down.
    Stop(&'static str),
}

/// Ignores SIGHUP until [`signals`] handles it; without a handler it ends the process.
pub(crate) fn ignore_reloads() -> io::Result<()> {
    signal_hook::flag::register(SIGHUP, Arc::default())?;
    Ok(())
}

/// Returns a channel that receives each signal, from a separate thread.
///
/// Fails if the signal handlers cannot be registered or the thread cannot be started.
pub fn signals() -> io::Result<Receiver<Signal>> {
    let (sender, receiver) = bounded(MAX_QUEUED_SIGNALS);
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    std::thread::Builder::new()
        .name("signals".to_string())
        .spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    // A full channel already holds a reload or a stop.
                    let _ = sender.try_send(Signal::Reload);
                    continue;
                }
                let name = if signal == SIGINT {
                    "SIGINT"
                } else {
                    "SIGTERM"
                };
                if sender.send_blocking(Signal::Stop(name)).is_err() {
                    return;
                }
            }
        })?;
    Ok(receiver)
}

/// Waits for [`Signal::Stop`]; logs and ignores a reload, for daemons that read their settings only at
/// startup.
pub async fn wait_for_stop(signals: &Receiver<Signal>) {
    // The sender lives as long as the process.
    while let Ok(signal) = signals.recv().await {
        match signal {
            Signal::Reload => spdlog::info!("reload ignored: settings are read only at startup"),
            Signal::Stop(signal) => {
                spdlog::info!("stop signal received", kv: { signal });
                return;
            }
        }
    }
}
