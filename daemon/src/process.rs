//! Figures of the process itself, and lines about panics and the end of the process.

use crate::arguments::{Command, parse};
use crate::check::Check;
use crate::logs::{close, set_up};
use crate::signal::ignore_reloads;
use eyre::Result;
use lexopt::Parser;
use std::env;
use std::future::Future;
use std::io::Write;
use std::panic;
use std::thread;

/// Peak resident memory in KiB; 0 if it cannot be read.
pub fn peak_memory_kib() -> u64 {
    field("/proc/self/status", "VmHWM:")
}

/// Number of open descriptors; 0 if they cannot be listed.
pub fn open_descriptors() -> usize {
    // The listing itself needs one.
    std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count().saturating_sub(1))
}

/// Most descriptors that the process may open; 0 if it cannot be read, or without a limit.
pub fn descriptor_limit() -> u64 {
    field("/proc/self/limits", "Max open files")
}

/// First number after `name` in the text file `path`; 0 without one.
fn field(path: &str, name: &str) -> u64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    value.unwrap_or_default()
}

/// Logs each panic before what happened so far on a panic: a message on standard error.
pub(crate) fn log_panics() {
    let next = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let thread = thread::current();
        let place = info.location().map(ToString::to_string);
        spdlog::error!("panic", kv: {
            thread = thread.name().unwrap_or_default(), place = place.unwrap_or_default(),
            message = info.payload_as_str().unwrap_or_default()
        });
        next(info);
    }));
}

/// Parses the settings, runs a daemon with them to its end, and closes its log. An error is logged, too.
///
/// # Errors
///
/// Fails if the settings are invalid, or as `daemon` does.
pub fn run<S, F>(command: Command, parser: &mut Parser, daemon: impl FnOnce(S) -> F) -> Result<()>
where
    F: Future<Output = Result<()>>,
    S: Check,
{
    ignore_reloads()?;
    // `--check` prints its errors as text only.
    let is_check = env::args_os().any(|argument| argument == "--check");
    let settings = match parse::<S>(command, parser) {
        Ok(None) => return Ok(()),
        Err(error) if is_check => return Err(error),
        settings => settings,
    };
    set_up()?;
    let result = match settings {
        Ok(Some(settings)) => async_std::task::block_on(daemon(settings)),
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    if let Err(error) = &result {
        spdlog::error!("process failed", kv: {
            error = format!("{error:#}"), version = env!("CARGO_PKG_VERSION"),
            descriptor_limit = descriptor_limit(), descriptors = open_descriptors(), peak_kib = peak_memory_kib()
        });
    }
    close();
    result
}

/// Prints the error that ends a program. Contrary to `eprintln!`, it doesn't panic if nobody reads it.
pub fn print_error(program: &str, error: &eyre::Report) {
    let _ = writeln!(std::io::stderr(), "{program}: {error:#}");
}
