//! Signals that ask the process to stop.

use async_std::channel::{Receiver, bounded};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;

/// Returns a channel that receives a message for each stop signal.
pub fn signals() -> io::Result<Receiver<()>> {
    let (sender, receiver) = bounded(1);
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    std::thread::Builder::new()
        .name("signals".to_string())
        .spawn(move || {
            for _ in signals.forever() {
                // A full channel already holds a stop.
                let _ = sender.try_send(());
            }
        })?;
    Ok(receiver)
}
