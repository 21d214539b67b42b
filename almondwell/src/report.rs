//! `almondwell report`.

use eyre::{Result, bail};
use lexopt::Parser;
use std::process::ExitCode;

pub(crate) fn run(_parser: &mut Parser) -> Result<ExitCode> {
    bail!("`report` is not built yet")
}
