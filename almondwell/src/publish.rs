//! `almondwell publish FILES`.

use crate::publication::Publication;
use crate::{check, flag, service_file};
use almondwell_platform::Objects;
use eyre::{Result, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Default time for which requests to a platform that does not answer are retried.
const DEFAULT_RETRY_TIMEOUT: Duration = Duration::from_secs(20);

const HELP: &str = "\
checks service files and puts them in force as one version

usage: almondwell publish --platform ADDRESS [FLAGS] FILES

flags:
  --author NAME        who publishes, for the loser of a race [$USER]
  --patience DURATION  time for which a platform that does not answer is tried [20s]
  --platform ADDRESS   address of the store
";

/// Checks service files and publishes them as one configuration version.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    let mut author = std::env::var("USER").unwrap_or_else(|_| "unknown".to_string());
    let mut files = Vec::new();
    let mut retry_timeout = DEFAULT_RETRY_TIMEOUT;
    let mut platform = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("author") => author = parser.value()?.string()?,
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Long("patience") => retry_timeout = flag::read(parser, "patience")?,
            Long("platform") => platform = Some(flag::read::<SocketAddr>(parser, "platform")?),
            Value(path) => files.push(PathBuf::from(path)),
            Long(_) | Short(_) => return Err(argument.unexpected().into()),
        }
    }
    let Some(platform) = platform else {
        bail!("--platform is missing; expected the store's address");
    };
    if files.is_empty() {
        bail!("no service files; usage: almondwell publish --platform ADDRESS FILES");
    }
    let config = match service_file::read_all(&files, &author) {
        Ok(config) => config,
        Err(faults) => return Ok(check::print(&faults)),
    };
    let publication = Publication::new(Objects::new(platform), config, retry_timeout);
    let version = async_std::task::block_on(publication.run())?;
    println!("published version {version}");
    Ok(ExitCode::SUCCESS)
}
