//! Settings from a file with flags over them.

use almondwell_schema::{File, Settings, Unset, nearest};
use eyre::{Result, WrapErr, bail, eyre};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};

/// A daemon's command line.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// What the daemon is, in one line.
    pub about: &'static str,
    /// How it is called, such as `almondwell serve`.
    pub name: &'static str,
    /// Section of the settings file.
    pub section: &'static str,
}

/// Reads `--settings FILE` and the flags over it; `None` after `--help`.
pub fn parse<S: Settings>(command: Command, parser: &mut Parser) -> Result<Option<S>> {
    let mut settings = S::default();
    let mut flags = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => {
                print_help::<S>(command);
                return Ok(None);
            }
            Long("settings") => load(command, &parser.value()?.string()?, &mut settings)?,
            Long(flag) => {
                let key = flag.replace('-', "_");
                flags.push((key, parser.value()?.string()?));
            }
            Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    for (key, value) in flags {
        set(&mut settings, &key, &value)?;
    }
    Ok(Some(settings))
}

fn load<S: Settings>(command: Command, path: &str, settings: &mut S) -> Result<()> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read `{path}`"))?;
    let file = File::parse(path, &text).map_err(|fault| eyre!("{fault}"))?;
    let mut faults = Vec::new();
    for section in &file.sections {
        if &*section.title == command.section {
            file.apply(&text, section, settings, &mut faults);
        } else {
            let message = format!(
                "unknown section `[{}]`; expected `[{}]`",
                section.title, command.section
            );
            faults.push(file.fault(&text, &section.title, None, &message));
        }
    }
    if faults.is_empty() {
        return Ok(());
    }
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    bail!("{}", lines.join("\n"))
}

fn set<S: Settings>(settings: &mut S, key: &str, value: &str) -> Result<()> {
    let flag = key.replace('_', "-");
    settings.set(key, value).map_err(|unset| match unset {
        Unset::Expected(expected) => eyre!("--{flag} {value}: expected {expected}"),
        Unset::UnknownKey => {
            let names = S::KEYS.iter().map(|key| key.name);
            let hint = nearest(key, names).map_or_else(
                || "see --help".to_string(),
                |name| format!("did you mean `--{}`?", name.replace('_', "-")),
            );
            eyre!("unknown flag `--{flag}`; {hint}")
        }
    })
}

fn print_help<S: Settings>(command: Command) {
    let Command {
        about,
        name,
        section,
    } = command;
    println!("{about}\n\nusage: {name} [--settings FILE] [--KEY VALUE]...\n");
    println!("keys of the section [{section}], each also a flag:");
    for key in S::KEYS {
        println!("  {:<12} {} [{}]", key.name, key.description, key.default);
    }
}
