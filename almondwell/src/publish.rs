//! `almondwell publish FILES`.

use crate::publication::Publication;
use crate::{check, service_file};
use almondwell_platform::Objects;
use almondwell_schema::Setting;
use eyre::{OptionExt, Result, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Time for which a platform that does not answer is tried.
const PATIENCE: Duration = Duration::from_secs(20);

/// Checks service files and writes them as one version.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    let mut author = std::env::var("USER").unwrap_or_else(|_| "unknown".to_string());
    let mut files = Vec::new();
    let mut patience = PATIENCE;
    let mut platform = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("author") => author = parser.value()?.string()?,
            Long("patience") => patience = read_patience(&parser.value()?.string()?)?,
            Long("platform") => platform = Some(parser.value()?.parse::<SocketAddr>()?),
            Value(path) => files.push(PathBuf::from(path)),
            Long(_) | Short(_) => return Err(argument.unexpected().into()),
        }
    }
    let Some(platform) = platform else {
        bail!("--platform is missing; expected the object API's address");
    };
    if files.is_empty() {
        bail!("no service files; usage: almondwell publish --platform ADDRESS FILES");
    }
    let config = match service_file::read_all(&files, &author) {
        Ok(config) => config,
        Err(faults) => return Ok(check::print(&faults)),
    };
    let publication = Publication::new(Objects::new(platform), config, patience);
    let version = async_std::task::block_on(publication.run())?;
    println!("published version {version}");
    Ok(ExitCode::SUCCESS)
}

fn read_patience(text: &str) -> Result<Duration> {
    Duration::read(text).ok_or_eyre(format!(
        "--patience {text}: expected {}",
        Duration::EXPECTED
    ))
}
