//! Settings files in INI format.

use crate::fault::Fault;
use crate::line::Line;
use crate::{Settings, Unset, nearest};
use std::collections::BTreeMap;

/// A parsed INI file with the line number of each section and key.
#[derive(Clone, Debug)]
pub struct File {
    /// Name or path of the file, shown in errors.
    pub name: Box<str>,
    /// Sections in the order of the file.
    pub sections: Vec<Section>,
}

/// One section of a file.
#[derive(Clone, Debug)]
pub struct Section {
    /// Keys and values in the order of the file.
    pub entries: Vec<Entry>,
    /// Line number of the heading; 0 for the keys before the first heading.
    pub line: usize,
    /// Text between the brackets.
    pub title: Box<str>,
}

/// One key of a section with its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Text before the `=`.
    pub key: Box<str>,
    /// Line number from 1.
    pub line: usize,
    /// Text after the `=`.
    pub value: Box<str>,
}

impl File {
    /// Parses `text`; `name` is shown in errors, which are added to `faults`. Malformed lines are left out
    /// of the result.
    pub fn parse(name: &str, text: &str, faults: &mut Vec<Fault>) -> Self {
        let mut file = Self {
            name: name.into(),
            sections: Vec::new(),
        };
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            match Line::parse(text) {
                Some(Line::Blank) => {}
                Some(Line::Entry { key, value }) => file.add(Entry { key, line, value }),
                Some(Line::Heading(title)) => file.sections.push(Section {
                    entries: Vec::new(),
                    line,
                    title,
                }),
                None => {
                    let message = "malformed line; expected `[section]` or `key = value`";
                    faults.push(file.fault_at(line, message));
                }
            }
        }
        file.check_duplicates(faults);
        file
    }

    /// Builds an error about `key` of the section `title`, or about the section itself.
    pub fn fault(&self, title: &str, key: Option<&str>, message: &str) -> Fault {
        self.fault_at(self.line(title, key), message)
    }

    /// Line number of `key` in the section `title`, or of the section's heading if `key` is `None` or
    /// missing; 0 if there is no such section.
    pub fn line(&self, title: &str, key: Option<&str>) -> usize {
        let section = self
            .sections
            .iter()
            .find(|section| &*section.title == title);
        let Some(section) = section else { return 0 };
        section
            .entries
            .iter()
            .find(|entry| Some(&*entry.key) == key)
            .map_or(section.line, |entry| entry.line)
    }

    /// Sets the keys of `section` in `settings`; adds errors to `faults` and leaves those keys unchanged.
    pub fn apply<S: Settings>(&self, section: &Section, settings: &mut S, faults: &mut Vec<Fault>) {
        for Entry { key, line, value } in &section.entries {
            let message = match settings.set(key, value) {
                Ok(()) => continue,
                Err(Unset::Expected(expected)) => {
                    format!("`{key} = {value}`: expected {expected}")
                }
                Err(Unset::UnknownKey) => unknown_key::<S>(key),
            };
            faults.push(self.fault_at(*line, &message));
        }
    }

    fn add(&mut self, entry: Entry) {
        if self.sections.is_empty() {
            self.sections.push(Section {
                entries: Vec::new(),
                line: 0,
                title: "".into(),
            });
        }
        if let Some(section) = self.sections.last_mut() {
            section.entries.push(entry);
        }
    }

    fn check_duplicates(&self, faults: &mut Vec<Fault>) {
        let mut titles = BTreeMap::new();
        for section in &self.sections {
            let title = &section.title;
            if let Some(first) = titles.insert(title, section.line) {
                let message = format!("`[{title}]` stands twice; it is on line {first} too");
                faults.push(self.fault_at(section.line, &message));
            }
            let mut keys = BTreeMap::new();
            for entry in &section.entries {
                let key = &entry.key;
                if let Some(first) = keys.insert(key, entry.line) {
                    let message =
                        format!("`{key}` stands twice in `[{title}]`; it is on line {first} too");
                    faults.push(self.fault_at(entry.line, &message));
                }
            }
        }
    }

    fn fault_at(&self, line: usize, message: &str) -> Fault {
        Fault {
            file: self.name.clone(),
            line,
            message: message.into(),
        }
    }
}

fn unknown_key<S: Settings>(key: &str) -> String {
    let names: Vec<_> = S::KEYS.iter().map(|key| key.name).collect();
    if let Some(name) = nearest(key, names.iter().copied()) {
        return format!("unknown key `{key}`; did you mean `{name}`?");
    }
    format!("unknown key `{key}`; expected one of {}", names.join(", "))
}
