//! Parses values of command-line flags.

use almondwell_schema::Setting;
use eyre::{Result, eyre};
use lexopt::Parser;
use lexopt::prelude::ValueExt;

/// Parses the next argument as the value of the flag `--name`.
///
/// The error names the flag, the value and the expected form.
pub(crate) fn read<T: Setting>(parser: &mut Parser, name: &str) -> Result<T> {
    let text = parser.value()?.string()?;
    T::read(&text).ok_or_else(|| eyre!("--{name} {text}: expected {}", T::EXPECTED))
}
