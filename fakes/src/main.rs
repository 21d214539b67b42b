//! Runs a fake as a process: `fakes engine|plain|proxy --KEY VALUE...`.

use eyre::{Result, bail};
use fakes::{engine, plain, proxy};
use lexopt::ValueExt;
use lexopt::prelude::{Long, Short, Value};
use std::collections::BTreeMap;

fn main() -> Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let mut kind = String::new();
    let mut flags = BTreeMap::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long(flag) => {
                let flag = flag.to_string();
                flags.insert(flag, parser.value()?.string()?);
            }
            Value(value) => kind = value.string()?,
            Short(_) => return Err(argument.unexpected().into()),
        }
    }
    async_std::task::block_on(async {
        match kind.as_str() {
            "engine" => engine::serve(engine::Settings::read(&flags)?).await,
            "plain" => plain::serve(plain::Settings::read(&flags)?).await,
            "proxy" => proxy::serve(proxy::Settings::read(&flags)?).await,
            other => bail!("unknown fake `{other}`: expected engine, plain or proxy"),
        }
    })
}
