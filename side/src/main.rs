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

use almondwell_daemon::{Command, print_error, run};
use std::process::ExitCode;

const COMMAND: Command = Command {
    about: "the almondwell process beside each upstream",
    name: "almondwell-side",
    section: "side",
};

fn main() -> ExitCode {
    match run(COMMAND, &mut lexopt::Parser::from_env(), run::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error("almondwell-side", &error);
            ExitCode::FAILURE
        }
    }
}
