//! Settings from a file with flags over them.

use crate::check::Check;
use almondwell_schema::{File, FileFault, Settings, Unset, nearest};
use eyre::{Result, WrapErr, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::collections::BTreeMap;

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

/// Settings under construction, and all that is wrong with them.
struct Draft<S> {
    faults: Vec<String>,
    /// Where each key was set, as errors show it.
    origins: BTreeMap<Box<str>, String>,
    settings: S,
}

/// Reads `--settings FILE` and the flags over it; `None` after `--help` and `--check`.
///
/// Every error is reported at once.
pub fn parse<S: Check>(command: Command, parser: &mut Parser) -> Result<Option<S>> {
    let mut draft = Draft {
        faults: Vec::new(),
        origins: BTreeMap::new(),
        settings: S::default(),
    };
    let mut flags = Vec::new();
    let mut is_check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("check") => is_check = true,
            Long("help") | Short('h') => {
                print_help::<S>(command);
                return Ok(None);
            }
            Long("settings") => draft.load(command, &parser.value()?.string()?)?,
            Long(flag) => {
                let key = flag.replace('-', "_");
                flags.push((key, parser.value()?.string()?));
            }
            Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    for (key, value) in flags {
        draft.set(&key, &value);
    }
    let settings = draft.finish()?;
    if is_check {
        println!("settings of {} are right", command.name);
        return Ok(None);
    }
    Ok(Some(settings))
}

impl<S: Check> Draft<S> {
    fn load(&mut self, command: Command, path: &str) -> Result<()> {
        let text =
            std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read `{path}`"))?;
        let mut faults = Vec::new();
        let file = File::parse(path, &text, &mut faults);
        for section in &file.sections {
            if &*section.title == command.section {
                file.apply(section, &mut self.settings, &mut faults);
                for entry in &section.entries {
                    let origin = format!("{path}:{}: `{}`", entry.line, entry.key);
                    self.origins.insert(entry.key.clone(), origin);
                }
            } else {
                let message = format!(
                    "unknown section `[{}]`; expected `[{}]`",
                    section.title, command.section
                );
                faults.push(FileFault {
                    file: path.into(),
                    line: section.line,
                    message: message.into(),
                });
            }
        }
        faults.sort_by_key(|fault| fault.line);
        self.faults.extend(faults.iter().map(ToString::to_string));
        Ok(())
    }

    fn set(&mut self, key: &str, value: &str) {
        let flag = flag(key);
        match self.settings.set(key, value) {
            Ok(()) => {
                self.origins.insert(key.into(), flag);
            }
            Err(Unset::Expected(expected)) => {
                self.faults
                    .push(format!("{flag} {value}: expected {expected}"));
            }
            Err(Unset::UnknownKey) => {
                let names = S::KEYS.iter().map(|key| key.name);
                let hint = nearest(key, names).map_or_else(
                    || "see --help".to_string(),
                    |name| format!("did you mean `{}`?", self::flag(name)),
                );
                self.faults.push(format!("unknown flag `{flag}`; {hint}"));
            }
        }
    }

    /// Checks the settings as a whole.
    fn finish(mut self) -> Result<S> {
        // Values that were not read would be checked in their defaults' stead.
        if self.faults.is_empty() {
            for invalid in self.settings.check() {
                let origin = self.origins.get(invalid.key);
                let place = origin.map_or_else(
                    || format!("the default of `{}`", invalid.key),
                    String::clone,
                );
                self.faults.push(format!("{place}: {}", invalid.message));
            }
        }
        if self.faults.is_empty() {
            return Ok(self.settings);
        }
        bail!("wrong settings\n{}", self.faults.join("\n"))
    }
}

fn flag(key: &str) -> String {
    format!("--{}", key.replace('_', "-"))
}

fn print_help<S: Settings>(command: Command) {
    let Command {
        about,
        name,
        section,
    } = command;
    println!("{about}\n\nusage: {name} [--settings FILE] [--check] [--KEY VALUE]...\n");
    println!("flags:");
    println!("  --check          checks the settings and ends");
    println!("  --settings FILE  reads the section [{section}] of FILE\n");
    println!("keys of the section [{section}], each also a flag that goes over the file:");
    let width = S::KEYS.iter().map(|key| key.name.len()).max().unwrap_or(0);
    for key in S::KEYS {
        println!(
            "  {:<width$}  {}{}",
            key.name,
            key.description,
            default(key.default)
        );
    }
}

fn default(text: &str) -> String {
    if text.is_empty() {
        return String::new();
    }
    format!(" [{text}]")
}
