//! `almondwell status`.

use eyre::{Result, bail};
use lexopt::Parser;
use std::process::ExitCode;

pub(crate) fn run(_parser: &mut Parser) -> Result<ExitCode> {
    bail!("`status` is not built yet")
}
