//! Help of the daemons, whose keys come from the schema.

use almondwell_schema::{EntrySettings, Key, Settings, SideSettings};
use eyre::{Result, ensure};
use fakes::process::{free_address, path};
use std::net::TcpListener;
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

/// Names a case: a program that finds one of its ports taken, and the key of that port.
macro_rules! taken_ports {
    ($($name:ident: $program:literal $arguments:expr => $key:literal;)*) => {
        $(#[test]
        fn $name() -> Result<()> {
            names_taken_port($program, &$arguments, $key)
        })*
    };
}

taken_ports! {
    the_entry_names_its_taken_admin_port: "almondwell" ["serve"] => "admin";
    the_entry_names_its_taken_callers_port: "almondwell" ["serve"] => "callers";
    the_entry_names_its_taken_control_port: "almondwell" ["serve"] => "control";
    the_side_names_its_taken_admin_port: "almondwell-side" ["--pool", "drafting"] => "admin";
    the_side_names_its_taken_control_port: "almondwell-side" ["--pool", "drafting"] => "control";
}

fn names_taken_port(program: &str, arguments: &[&str], key: &str) -> Result<()> {
    let taken = TcpListener::bind("127.0.0.1:0")?;
    let address = taken.local_addr()?;
    let mut command = Command::new(path(program)?);
    command.args(arguments);
    for other in ["admin", "callers", "control"] {
        if other == key {
            command.args([format!("--{key}"), address.to_string()]);
        } else if other != "callers" || program == "almondwell" {
            command.args([format!("--{other}"), free_address()?.to_string()]);
        }
    }
    let output = command.output()?;
    let errors = String::from_utf8(output.stderr)?;
    ensure!(!output.status.success());
    let expected = format!("{program}: cannot listen on {key} = {address}: ");
    ensure!(errors.starts_with(&expected), "{errors}");
    Ok(())
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
