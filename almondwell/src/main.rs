//! `almondwell`: the entry daemon and the operators' commands.

mod admin;
mod answer;
mod call;
mod catalog;
mod check;
mod configuration;
mod connection;
mod control;
mod dispatch;
mod entry;
mod handler;
mod head;
mod inbound;
mod job;
mod listener;
mod metrics;
mod publish;
mod refusal;
mod report;
mod serve;
mod service_file;
mod sides;
mod status;
mod subcommand;
mod waiters;

use std::process::ExitCode;

fn main() -> ExitCode {
    match subcommand::run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("almondwell: {error:#}");
            ExitCode::FAILURE
        }
    }
}
