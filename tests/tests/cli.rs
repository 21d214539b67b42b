//! Help of the daemons, whose keys come from the schema.

use almondwell_schema::{EntrySettings, Key, Settings, SideSettings};
use eyre::{Result, ensure};
use fakes::process::path;
use std::process::Command;

/// Names a case: a program, its arguments and the keys that its help lists.
macro_rules! helps {
    ($($name:ident: $program:literal $arguments:expr => $keys:expr;)*) => {
        $(#[test]
        fn $name() -> Result<()> {
            lists_keys($program, &$arguments, $keys)
        })*
    };
}

helps! {
    the_entry_lists_its_keys: "almondwell" ["serve", "--help"] => EntrySettings::KEYS;
    the_side_lists_its_keys: "almondwell-side" ["--help"] => SideSettings::KEYS;
    the_side_takes_the_short_flag: "almondwell-side" ["-h"] => SideSettings::KEYS;
}

fn lists_keys(program: &str, arguments: &[&str], keys: &[Key]) -> Result<()> {
    let output = Command::new(path(program)?).args(arguments).output()?;
    ensure!(output.status.success());
    ensure!(output.stderr.is_empty());
    let text = String::from_utf8(output.stdout)?;
    let listed: Vec<_> = text
        .lines()
        .skip_while(|line| !line.starts_with("keys of the section"))
        .skip(1)
        .collect();
    ensure!(listed.len() == keys.len(), "{text}");
    for (line, key) in listed.iter().zip(keys) {
        let (name, rest) = line.trim().split_once("  ").unwrap_or((line, ""));
        let default = match key.default {
            "" => String::new(),
            text => format!(" [{text}]"),
        };
        ensure!(name == key.name, "{line}");
        ensure!(
            rest.trim() == format!("{}{default}", key.description),
            "{line}"
        );
        ensure!(key.description.ends_with('.'), "`{name}` has no sentence");
    }
    Ok(())
}
