//! `almondwell report`.

use crate::admin_client;
use crate::report_summary::Summary;
use crate::{flag, report_html, report_text};
use almondwell_schema::Report;
use eyre::{Result, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::net::SocketAddr;
use std::process::ExitCode;

const HELP: &str = "\
prints the service-level burn of one or more entries

usage: almondwell report --entry ADDRESS [--entry ADDRESS]... [--format FORMAT]

flags:
  --entry ADDRESS  admin address of an entry; may be repeated
  --format FORMAT  text, json or html [text]
";

/// Output format.
#[derive(Clone, Copy)]
enum Format {
    Html,
    Json,
    Text,
}

/// Reads the reports of entries and prints them merged.
pub(crate) fn run(parser: &mut Parser) -> Result<ExitCode> {
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut format = Format::Text;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("entry") => entries.push(flag::read(parser, "entry")?),
            Long("format") => format = read_format(&parser.value()?.string()?)?,
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Long(_) | Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    if entries.is_empty() {
        bail!("--entry is missing; expected the admin address of an entry");
    }
    let (reports, is_complete) = async_std::task::block_on(read(&entries));
    if reports.is_empty() {
        bail!("no entry answered");
    }
    let summary = Summary::merge(&reports);
    match format {
        Format::Html => println!("{}", report_html::page(&summary)?),
        Format::Json => println!("{}", serde_json::to_string_pretty(&summary)?),
        Format::Text => print!("{}", report_text::table(&summary)),
    }
    Ok(if is_complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn read_format(text: &str) -> Result<Format> {
    match text {
        "html" => Ok(Format::Html),
        "json" => Ok(Format::Json),
        "text" => Ok(Format::Text),
        other => bail!("--format {other}: expected text, json or html"),
    }
}

/// Returns the reports of the entries that answered, and whether all of them did.
async fn read(entries: &[SocketAddr]) -> (Vec<Report>, bool) {
    let mut reports = Vec::new();
    for entry in entries {
        match admin_client::read(*entry, "/report").await {
            Ok(report) => reports.push(report),
            Err(error) => eprintln!("almondwell: {error:#}"),
        }
    }
    let is_complete = reports.len() == entries.len();
    (reports, is_complete)
}
