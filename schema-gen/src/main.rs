//! Generates the Rust code of the schema package from a JSON schema and writes it to standard output.
//!
//! Usage, at the workspace root: `cargo run -p schema-gen > schema/src/generated.rs`. The schema's path
//! is the optional first argument; its default is `schema/schema.json`.

mod alias;
mod definition;
mod enumeration;
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
