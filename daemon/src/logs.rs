//! Structured logs on standard output.

use crate::process::log_panics;
use eyre::Result;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{Error, ThreadPool};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

/// Log lines that may wait for the writer thread. The library drops and counts further lines, so that
/// logging never blocks.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(4096).expect("4096 is not zero");

/// Time for the writer thread to write the last lines before the log closes.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(50);

/// Logs to standard output as one JSON object per line, from a separate thread.
pub fn set_up() -> Result<()> {
    let stdout = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .error_handler(ignore)
        .build()?;
    let pool = ThreadPool::builder().capacity(MAX_QUEUED_LINES).build()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(stdout))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ignore)
        .build()?;
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink))
        .error_handler(ignore)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    log_panics();
    Ok(())
}

/// Drops the failure to log a line. The library would write it to standard error, where it blocks the thread that logs if
/// nobody reads there either.
#[allow(clippy::needless_pass_by_value)]
fn ignore(_: Error) {}

/// Gives the last lines 50 ms to be written, then closes the log.
///
/// At process exit the library waits for the writer thread, which blocks if the reader of standard
/// output has stopped reading. Replacing the logger and leaking the old one lets the process exit.
pub fn close() {
    spdlog::default_logger().flush();
    std::thread::sleep(FINAL_WRITE_TIME);
    match spdlog::Logger::builder().build() {
        Ok(silent) => std::mem::forget(spdlog::swap_default_logger(Arc::new(silent))),
        Err(error) => ignore(error),
    }
}
