//! `almondwell`: the entry daemon and the operator commands.

mod admin;
mod admin_client;
mod answer;
mod answer_times;
mod availability;
mod budgets;
mod burn;
mod call;
mod catalog;
mod chat;
mod check;
mod configuration;
mod connection;
mod control;
mod directories;
mod dispatch;
mod drain;
mod entry;
mod feedback;
mod flag;
mod handler;
mod head;
mod headers;
mod inbound;
mod instance_list;
mod job;
mod listener;
mod liveness;
mod members;
mod memory;
mod metered;
mod metrics;
mod models;
mod observation;
mod once;
mod outcome;
mod peers;
mod plain;
mod pool;
mod probe;
mod publication;
mod publish;
mod pump;
mod quarantine;
mod receive;
mod refusal;
mod report;
mod report_html;
mod report_summary;
mod report_text;
mod reserve;
mod route;
mod serve;
mod service_check;
mod service_conflict;
mod service_file;
mod sides;
mod status;
mod stored;
mod subcommand;
mod waiters;

use std::process::ExitCode;

fn main() -> ExitCode {
    match subcommand::run() {
        Ok(code) => code,
        Err(error) => {
            almondwell_daemon::print_error("almondwell", &error);
            ExitCode::FAILURE
        }
    }
}
