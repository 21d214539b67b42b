//! `almondwell publish FILES`.

use crate::{check, configuration, flag, service_file};
use almondwell_platform::{Error, Expect, Objects, Written};
use almondwell_schema::{Config, Version};
use eyre::{Result, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
checks service files and puts them in force as one version

usage: almondwell publish --platform ADDRESS [--author NAME] FILES

flags:
  --author NAME       who publishes, for the loser of a race [$USER]
  --platform ADDRESS  address of the object API
";

/// Checks service files and writes them as one version.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    let mut author = std::env::var("USER").unwrap_or_else(|_| "unknown".to_string());
    let mut files = Vec::new();
    let mut platform = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("author") => author = parser.value()?.string()?,
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Long("platform") => platform = Some(flag::read::<SocketAddr>(parser, "platform")?),
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
    let version = async_std::task::block_on(write(&Objects::new(platform), &config))?;
    println!("published version {version}");
    Ok(ExitCode::SUCCESS)
}

async fn write(objects: &Objects, config: &Config) -> Result<Version> {
    let current = objects.get(configuration::KEY).await?;
    let expect = match &current {
        Some(object) => Expect::Version(object.version),
        None => Expect::Absent,
    };
    let value = serde_json::to_vec(config)?;
    match objects.put(configuration::KEY, &value, expect).await {
        Ok(Written::Done(version)) => Ok(version),
        Ok(Written::Conflict) => {
            bail!("another publish came first; look at its services and publish again")
        }
        Err(Error::Lost(detail)) => {
            bail!("the outcome is unknown ({detail}); see `almondwell status`")
        }
        Err(error) => Err(error.into()),
    }
}
