//! Reads and validates service files.

use crate::{service_check, service_conflict};
use almondwell_schema::{Class, Config, File, FileFault, Section, Service, Workspace, nearest};
use std::path::{Path, PathBuf};

const SECTIONS: [&str; 3] = ["class", "service", "workspace"];

/// A service and the parsed file that describes it.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) file: File,
    pub(crate) service: Service,
}

/// Reads `files` into one configuration by `author`; if any file is invalid, returns the errors of
/// all files.
pub(crate) fn read_all(files: &[PathBuf], author: &str) -> Result<Config, Vec<FileFault>> {
    let mut faults = Vec::new();
    let mut sources = Vec::new();
    for path in files {
        let first_new = faults.len();
        sources.extend(read(path, &mut faults));
        faults[first_new..].sort_by_key(|fault| fault.line);
    }
    service_conflict::check(&sources, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(Config {
        author: author.into(),
        publish: rand::random(),
        replaced: Vec::new(),
        services: sources.into_iter().map(|source| source.service).collect(),
    })
}

/// Reads one service file, adding all its errors to `faults`.
fn read(path: &Path, faults: &mut Vec<FileFault>) -> Option<Source> {
    let name = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            faults.push(FileFault {
                file: name.into(),
                line: 0,
                message: format!("cannot be read: {error}").into(),
            });
            return None;
        }
    };
    let file = File::parse(&name, &text, faults);
    let mut service = Service::default();
    for section in &file.sections {
        read_section(&file, section, &mut service, faults);
    }
    service_check::check(&file, &service, faults);
    Some(Source { file, service })
}

fn read_section(
    file: &File,
    section: &Section,
    service: &mut Service,
    faults: &mut Vec<FileFault>,
) {
    let (kind, name) = match section.title.split_once(' ') {
        Some((kind, name)) => (kind, name.trim()),
        None => (&*section.title, ""),
    };
    match (kind, name) {
        ("service", "") => file.apply(section, service, faults),
        ("class", name) if !name.is_empty() => {
            let mut class = Class::default();
            file.apply(section, &mut class, faults);
            service.classes.insert(name.into(), class);
        }
        ("workspace", name) if !name.is_empty() => {
            let mut workspace = Workspace::default();
            file.apply(section, &mut workspace, faults);
            service.workspaces.insert(name.into(), workspace);
        }
        (kind, name) => faults.push(FileFault {
            file: file.name.clone(),
            line: section.line.max(1),
            message: unknown_section_message(&section.title, kind, name).into(),
        }),
    }
}

fn unknown_section_message(title: &str, kind: &str, name: &str) -> String {
    let expected = "expected `[service]`, `[class NAME]` or `[workspace NAME]`";
    if title.is_empty() {
        return format!("keys stand before the first section; {expected}");
    }
    match nearest(kind, SECTIONS.into_iter()) {
        Some(nearest) if nearest != kind => {
            let suggestion = format!("{nearest} {name}");
            format!(
                "unknown section `[{title}]`; did you mean `[{}]`?",
                suggestion.trim()
            )
        }
        Some(_) | None => format!("unknown section `[{title}]`; {expected}"),
    }
}
