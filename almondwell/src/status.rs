//! `almondwell status`.

use crate::{admin_client, flag};
use almondwell_schema::Status;
use eyre::{Result, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value};
use std::net::SocketAddr;
use std::process::ExitCode;

const HELP: &str = "\
prints the configuration in force at each instance

usage: almondwell status --entry ADDRESS [--side ADDRESS]...

flags:
  --entry ADDRESS  admin address of an entry; may be repeated
  --side ADDRESS   admin address of a side; may be repeated
";

/// Reads the status of instances and prints it, one instance per line.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    let mut instances: Vec<SocketAddr> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("entry") => instances.push(flag::read(parser, "entry")?),
            Long("side") => instances.push(flag::read(parser, "side")?),
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Long(_) | Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    if instances.is_empty() {
        bail!("--entry and --side are missing; expected the admin address of an instance");
    }
    Ok(async_std::task::block_on(print(&instances)))
}

async fn print(instances: &[SocketAddr]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    println!(
        "{:<24} {:<5} {:<21} {:>8} state",
        "id", "role", "admin", "version"
    );
    for admin in instances {
        match admin_client::read::<Status>(*admin, "/status").await {
            Ok(status) => print_line(*admin, &status),
            Err(error) => {
                eprintln!("almondwell: {error:#}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}

fn print_line(admin: SocketAddr, status: &Status) {
    let version = match status.version {
        0 => "none".to_string(),
        version => version.to_string(),
    };
    let state = if status.leaving { "leaving" } else { "serving" };
    println!(
        "{:<24} {:<5} {admin:<21} {version:>8} {state}",
        status.id,
        status.role.label()
    );
}
