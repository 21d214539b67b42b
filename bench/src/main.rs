//! Measurements, one subcommand each, and the local demonstration.

mod demo;

use eyre::{Result, bail};
use lexopt::prelude::{Value, ValueExt};

fn main() -> Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let name = match parser.next()? {
        Some(Value(name)) => name.string()?,
        Some(argument) => return Err(argument.unexpected().into()),
        None => bail!("no measurement; expected demo"),
    };
    match name.as_str() {
        "demo" => demo::run(),
        other => bail!("unknown measurement `{other}`; expected demo"),
    }
}
