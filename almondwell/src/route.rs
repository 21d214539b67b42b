//! `almondwell route`: runs an entry as a router on the users' own platform.

use almondwell_daemon::{Command, close_logs, parse, set_up_logs};
use almondwell_schema::RouterSettings;
use async_std::task;
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
    let Some(settings) = parse::<RouterSettings>(COMMAND, parser)? else {
        return Ok(ExitCode::SUCCESS);
    };
    set_up_logs()?;
    task::block_on(almondwell_router::serve(settings))?;
    close_logs();
    Ok(ExitCode::SUCCESS)
}
