//! `almondwell check FILES`.

use crate::service_file;
use almondwell_schema::FileFault;
use eyre::{Result, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value};
use std::path::PathBuf;
use std::process::ExitCode;

/// Checks service files and prints every error.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(path) => files.push(PathBuf::from(path)),
            Long(_) | Short(_) => return Err(argument.unexpected().into()),
        }
    }
    if files.is_empty() {
        bail!("no service files; usage: almondwell check FILES");
    }
    match service_file::read_all(&files, "") {
        Ok(config) => {
            println!("{} service files are right", config.services.len());
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => Ok(print(&faults)),
    }
}

/// Prints `faults`, one a line, to standard error.
pub(crate) fn print(faults: &[FileFault]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::FAILURE
}
