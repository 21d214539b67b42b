//! Benchmarks, one subcommand each, and a local demonstration.

#![allow(
    clippy::cast_precision_loss,
    reason = "measured counts are small enough for an exact f64"
)]

mod capacity;
mod counters;
mod demo;
mod faults;
mod fit;
mod latency;
mod ledger;
mod load;
mod policy;
mod series;
mod slopes;
mod slopes_load;
mod slopes_size;
mod snapshot;
mod target;
mod usage;

use eyre::{Result, bail};
use lexopt::prelude::{Value, ValueExt};

const SUBCOMMANDS: &str = "demo, faults, latency, ledger, policy or slopes";

fn main() -> Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let name = match parser.next()? {
        Some(Value(name)) => name.string()?,
        Some(argument) => return Err(argument.unexpected().into()),
        None => bail!("missing subcommand; expected {SUBCOMMANDS}"),
    };
    match name.as_str() {
        "demo" => demo::run(),
        "faults" => faults::run(&mut parser),
        "latency" => latency::run(&mut parser),
        "ledger" => ledger::run(&mut parser),
        "policy" => policy::run(&mut parser),
        "slopes" => slopes::run(&mut parser),
        other => bail!("unknown subcommand `{other}`; expected {SUBCOMMANDS}"),
    }
}
