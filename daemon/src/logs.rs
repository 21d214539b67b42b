//! Structured logs on standard error.

use eyre::Result;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use std::sync::Arc;

/// Writes one JSON object a line to standard error.
pub fn set_up() -> Result<()> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = spdlog::Logger::builder().sink(Arc::new(sink)).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
