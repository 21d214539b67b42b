//! Writes the schema package's generated code to standard output.

mod alias;
mod choice;
mod definition;
mod field;
mod record;
mod settings;

use eyre::{Result, WrapErr};

fn main() -> Result<()> {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "schema/schema.json".to_string());
    let text = std::fs::read_to_string(&path).wrap_err_with(|| format!("cannot read `{path}`"))?;
    print!("{}", definition::generate(&text)?);
    Ok(())
}
