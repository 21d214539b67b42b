//! Parses the command line: settings from a file, environment variables that override them, and flags that override both.

use crate::check::Check;
use almondwell_schema::{File, FileFault, Settings, Unset, nearest};
use eyre::{Result, WrapErr, bail};
use lexopt::Parser;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::collections::BTreeMap;
use std::env;

/// A daemon's command line.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// One-line description for `--help`.
    pub about: &'static str,
    /// Command as typed, such as `almondwell serve`.
    pub name: &'static str,
    /// Section of the settings file that holds the daemon's settings.
    pub section: &'static str,
}

/// Where a value comes from that is not in a settings file.
#[derive(Clone, Copy, Debug)]
enum Source {
    Flag,
    /// Environment variable of the settings of a section.
    Variable(&'static str),
}

impl Source {
    /// Name of the flag or variable that sets `key`.
    fn name(self, key: &str) -> String {
        match self {
            Self::Flag => format!("--{}", key.replace('_', "-")),
            Self::Variable(section) => prefix(section) + &key.to_ascii_uppercase(),
        }
    }

    const fn kind(self) -> &'static str {
        match self {
            Self::Flag => "flag",
            Self::Variable(_) => "environment variable",
        }
    }
}

/// Partly parsed settings and the errors found so far.
struct Draft<S> {
    errors: Vec<String>,
    /// Where each key was set, as error messages show it: the file, line and key, or the flag or variable.
    origins: BTreeMap<Box<str>, String>,
    settings: S,
}

/// Parses `--settings FILE` and the environment variables and flags that override it; returns `None` after `--help` or
/// `--check`.
///
/// All invalid settings are reported in one error, with the file and line, the variable or the flag of each.
pub fn parse<S: Check>(command: Command, parser: &mut Parser) -> Result<Option<S>> {
    let mut draft = Draft {
        errors: Vec::new(),
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
    for (key, value) in variables(command.section) {
        draft.set(Source::Variable(command.section), &key, &value);
    }
    for (key, value) in flags {
        draft.set(Source::Flag, &key, &value);
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
        self.errors.extend(faults.iter().map(ToString::to_string));
        Ok(())
    }

    fn set(&mut self, source: Source, key: &str, value: &str) {
        let name = source.name(key);
        match self.settings.set(key, value) {
            Ok(()) => {
                self.origins.insert(key.into(), name);
            }
            Err(Unset::Expected(expected)) => {
                self.errors
                    .push(format!("{name} {value}: expected {expected}"));
            }
            Err(Unset::UnknownKey) => {
                let names = S::KEYS.iter().map(|key| key.name);
                let hint = nearest(key, names).map_or_else(
                    || "see --help".to_string(),
                    |nearest| format!("did you mean `{}`?", source.name(nearest)),
                );
                self.errors
                    .push(format!("unknown {} `{name}`; {hint}", source.kind()));
            }
        }
    }

    /// Validates the settings; returns them, or one error that lists everything found.
    fn finish(mut self) -> Result<S> {
        // A value that did not parse has left its key at the default, so errors about that key would
        // be misleading.
        if self.errors.is_empty() {
            for invalid in self.settings.check() {
                let origin = self.origins.get(invalid.key);
                let location = origin.map_or_else(
                    || format!("the default of `{}`", invalid.key),
                    String::clone,
                );
                self.errors.push(format!("{location}: {}", invalid.message));
            }
        }
        if self.errors.is_empty() {
            return Ok(self.settings);
        }
        bail!("wrong settings\n{}", self.errors.join("\n"))
    }
}

/// Start of the names of the environment variables for the settings of `section`.
fn prefix(section: &str) -> String {
    format!("ALMONDWELL_{}_", section.to_ascii_uppercase())
}

/// Keys and values of the environment variables for `section`. An empty variable counts as not set: a template leaves it
/// empty where it has no value.
fn variables(section: &str) -> BTreeMap<String, String> {
    let prefix = prefix(section);
    env::vars_os()
        .filter_map(|(name, value)| {
            let key = name.to_str()?.strip_prefix(&prefix)?.to_ascii_lowercase();
            let value = value.to_string_lossy().into_owned();
            (!value.is_empty()).then_some((key, value))
        })
        .collect()
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
    println!(
        "keys of the section [{section}], each also a flag, and a variable {}KEY, that override the file:",
        prefix(section)
    );
    let width = S::KEYS.iter().map(|key| key.name.len()).max().unwrap_or(0);
    for key in S::KEYS {
        println!(
            "  {:<width$}  {}{}",
            key.name,
            key.description,
            default_suffix(key.default)
        );
    }
}

/// Default value as the help shows it after a description; empty if there is none.
fn default_suffix(text: &str) -> String {
    if text.is_empty() {
        return String::new();
    }
    format!(" [{text}]")
}
