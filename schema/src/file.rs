//! Settings files in INI.

use crate::{Settings, Unset, nearest};
use std::fmt::{self, Display, Formatter};

/// A parsed INI file that remembers where each key stands.
#[derive(Clone, Debug)]
pub struct File {
    /// Name that errors show.
    pub name: Box<str>,
    /// Sections in the order of the file.
    pub sections: Vec<Section>,
}

/// One section of a file.
#[derive(Clone, Debug)]
pub struct Section {
    /// Keys and values in the order of the file.
    pub entries: Vec<(Box<str>, Box<str>)>,
    /// Text between the brackets.
    pub title: Box<str>,
}

/// One error in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// File that holds the error.
    pub file: Box<str>,
    /// Line number from 1; 0 when the error has no line.
    pub line: usize,
    /// What is wrong and what was expected.
    pub message: Box<str>,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl File {
    /// Parses `text`; `name` is shown in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, Fault> {
        let ini = ini::Ini::load_from_str_noescape(text).map_err(|error| Fault {
            file: name.into(),
            line: error.line + 1,
            message: format!("{}; expected `[section]` or `key = value`", error.msg).into(),
        })?;
        let sections = ini
            .iter()
            .filter(|(title, properties)| title.is_some() || !properties.is_empty())
            .map(|(title, properties)| Section {
                entries: properties
                    .iter()
                    .map(|(key, value)| (key.into(), value.into()))
                    .collect(),
                title: title.unwrap_or_default().into(),
            })
            .collect();
        Ok(Self {
            name: name.into(),
            sections,
        })
    }

    /// Builds an error about `key` of the section `title`, found by reading `text` again.
    pub fn fault(&self, text: &str, title: &str, key: Option<&str>, message: &str) -> Fault {
        Fault {
            file: self.name.clone(),
            line: line_of(text, title, key),
            message: message.into(),
        }
    }

    /// Applies the section `title` to `settings`; adds what is wrong to `faults`.
    pub fn apply<S: Settings>(
        &self,
        text: &str,
        section: &Section,
        settings: &mut S,
        faults: &mut Vec<Fault>,
    ) {
        for (key, value) in &section.entries {
            let message = match settings.set(key, value) {
                Ok(()) => continue,
                Err(Unset::Expected(expected)) => {
                    format!("`{key} = {value}`: expected {expected}")
                }
                Err(Unset::UnknownKey) => unknown_key(key, S::KEYS.iter().map(|key| key.name)),
            };
            faults.push(self.fault(text, &section.title, Some(key), &message));
        }
    }
}

fn unknown_key<'a>(key: &str, known: impl Iterator<Item = &'a str>) -> String {
    match nearest(key, known) {
        Some(name) => format!("unknown key `{key}`; did you mean `{name}`?"),
        None => format!("unknown key `{key}`"),
    }
}

fn line_of(text: &str, title: &str, key: Option<&str>) -> usize {
    let mut current = "";
    let mut heading = 0;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            current = name.trim();
            if current == title {
                heading = index + 1;
                if key.is_none() {
                    return heading;
                }
            }
        } else if current == title && line.split(['=', ':']).next().map(str::trim) == key {
            return index + 1;
        }
    }
    heading
}
