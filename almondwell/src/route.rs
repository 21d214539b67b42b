//! `almondwell route`: runs an entry as a router on the users' own platform.

use almondwell_daemon::Command;
use eyre::Result;
use lexopt::Parser;
use std::process::ExitCode;

const COMMAND: Command = Command {
    about: "the entry daemon on the users' platform",
    name: "almondwell route",
    section: "router",
};

/// Runs a router until the process receives a stop signal.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    almondwell_daemon::run(COMMAND, parser, almondwell_router::serve)?;
    Ok(ExitCode::SUCCESS)
}
