//! `almondwell-side`, the process beside each upstream: queues reservations, grants slots and runs
//! the granted calls.

mod admin;
mod announcement;
mod call;
mod configuration;
mod control;
mod drain;
mod ending;
mod entries;
mod fencing;
mod health;
mod ledger;
mod listener;
mod liveness;
mod metrics;
mod quarantine;
mod run;
mod side;
mod sink;
mod upstream;

use almondwell_daemon::Command;
use eyre::Result;
use std::process::ExitCode;

const COMMAND: Command = Command {
    about: "the almondwell process beside each upstream",
    name: "almondwell-side",
    section: "side",
};

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("almondwell-side: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<()> {
    let settings = almondwell_daemon::parse(COMMAND, &mut lexopt::Parser::from_env())?;
    let Some(settings) = settings else {
        return Ok(());
    };
    async_std::task::block_on(run::run(settings))
}
