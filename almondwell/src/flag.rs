//! Values of flags.

use almondwell_schema::Setting;
use eyre::{Result, eyre};
use lexopt::Parser;
use lexopt::prelude::ValueExt;

/// Reads the value of the flag `name`.
pub(crate) fn read<T: Setting>(parser: &mut Parser, name: &str) -> Result<T> {
    let text = parser.value()?.string()?;
    T::read(&text).ok_or_else(|| eyre!("--{name} {text}: expected {}", T::EXPECTED))
}
