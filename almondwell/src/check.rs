//! `almondwell check FILES`.

use crate::service_file;
use almondwell_schema::FileFault;
use eyre::{Result, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value};
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
checks service files and prints every error with its file and line

usage: almondwell check FILES
";

/// Checks service files and prints all errors.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Value(path) => files.push(PathBuf::from(path)),
            Long(_) | Short(_) => return Err(argument.unexpected().into()),
        }
    }
    if files.is_empty() {
        bail!("no service files; usage: almondwell check FILES");
    }
    match service_file::read_all(&files, "") {
        Ok(config) => {
            match config.services.len() {
                1 => println!("1 service file is right"),
                count => println!("{count} service files are right"),
            }
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => Ok(print(&faults)),
    }
}

/// Prints `faults` to standard error, one per line, and returns the exit code for failure.
pub(crate) fn print(faults: &[FileFault]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::FAILURE
}
