//! Dispatches the command line to the subcommands of `almondwell`.

use crate::{check, publish, report, route, serve, status};
use almondwell_schema::nearest;
use eyre::{Result, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::process::ExitCode;

const HELP: &str = "\
Router for language-model traffic with service levels and priorities

usage: almondwell COMMAND [FLAGS]

commands:
  check FILES      checks service files
  publish FILES    checks service files and puts them in force
  report           prints the service-level burn
  route            runs an entry on the users' platform
  serve            runs an entry
  status           prints the configuration in force at each instance

`almondwell COMMAND --help` shows the flags of a command
";

const COMMANDS: [&str; 6] = ["check", "publish", "report", "route", "serve", "status"];

/// Runs the subcommand given on the command line.
pub(crate) fn run() -> Result<ExitCode> {
    let mut parser = Parser::from_env();
    let name = match parser.next()? {
        Some(Value(name)) => name.string()?,
        Some(Long("help") | Short('h')) => {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        Some(Long("version") | Short('V')) => {
            println!("almondwell {}", env!("CARGO_PKG_VERSION"));
            return Ok(ExitCode::SUCCESS);
        }
        Some(argument) => return Err(argument.unexpected().into()),
        None => bail!("no command; see --help"),
    };
    match name.as_str() {
        "check" => check::run(&mut parser),
        "publish" => publish::run(&mut parser),
        "report" => report::run(&mut parser),
        "route" => route::run(&mut parser),
        "serve" => serve::run(&mut parser),
        "status" => status::run(&mut parser),
        other => match nearest(other, COMMANDS.into_iter()) {
            Some(command) => bail!("unknown command `{other}`; did you mean `{command}`?"),
            None => bail!("unknown command `{other}`; see --help"),
        },
    }
}
