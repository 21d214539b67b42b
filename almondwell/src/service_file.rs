//! Service files of operators.

use almondwell_schema::{Class, Config, File, FileFault, Kind, Section, Service, Workspace};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

const HIGHEST_TIER_NUMBER: u8 = 3;

/// Reads all `files`; either every file is right or all errors are returned.
pub(crate) fn read_all(files: &[PathBuf], author: &str) -> Result<Config, Vec<FileFault>> {
    let mut faults = Vec::new();
    let mut services = Vec::new();
    for path in files {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => services.extend(read(&name, &text, &mut faults)),
            Err(error) => faults.push(FileFault {
                file: name.into(),
                line: 0,
                message: format!("cannot be read: {error}").into(),
            }),
        }
    }
    check_across(files, &services, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(Config {
        author: author.into(),
        publish: rand::random(),
        replaced: Vec::new(),
        services,
    })
}

/// Reads one service file, adding all its errors to `faults`.
pub(crate) fn read(name: &str, text: &str, faults: &mut Vec<FileFault>) -> Option<Service> {
    let file = match File::parse(name, text) {
        Ok(file) => file,
        Err(fault) => {
            faults.push(fault);
            return None;
        }
    };
    let before = faults.len();
    let mut service = Service::default();
    for section in &file.sections {
        read_section(&file, text, section, &mut service, faults);
    }
    check(&file, text, &service, faults);
    (faults.len() == before).then_some(service)
}

fn read_section(
    file: &File,
    text: &str,
    section: &Section,
    service: &mut Service,
    faults: &mut Vec<FileFault>,
) {
    let (kind, name) = match section.title.split_once(' ') {
        Some((kind, name)) => (kind, name.trim()),
        None => (&*section.title, ""),
    };
    match (kind, name) {
        ("service", "") => file.apply(text, section, service, faults),
        ("class", name) if !name.is_empty() => {
            let mut class = Class::default();
            file.apply(text, section, &mut class, faults);
            service.classes.insert(name.into(), class);
        }
        ("workspace", name) if !name.is_empty() => {
            let mut workspace = Workspace::default();
            file.apply(text, section, &mut workspace, faults);
            service.workspaces.insert(name.into(), workspace);
        }
        _ => {
            let message = format!(
                "unknown section `[{}]`; expected `[service]`, `[class NAME]` or `[workspace NAME]`",
                section.title
            );
            faults.push(file.fault(text, &section.title, None, &message));
        }
    }
}

/// Checks what no single key can show.
fn check(file: &File, text: &str, service: &Service, faults: &mut Vec<FileFault>) {
    let mut fault = |title: &str, key: Option<&str>, message: &str| {
        faults.push(file.fault(text, title, key, message));
    };
    if service.name.is_empty() {
        fault(
            "service",
            None,
            "`name` is missing from `[service]`; expected the service's name",
        );
    }
    if service.pool.is_empty() {
        fault(
            "service",
            None,
            "`pool` is missing from `[service]`; expected a pool of the instance list",
        );
    }
    match (service.kind, service.model.is_empty()) {
        (Kind::Engine, true) => fault(
            "service",
            None,
            "`model` is missing; an engine service needs one",
        ),
        (Kind::Plain, false) => fault("service", Some("model"), "a plain service has no `model`"),
        (Kind::Engine, false) | (Kind::Plain, true) => {}
    }
    if !service.classes.contains_key(&service.class) {
        let message = format!(
            "`class = {}`: expected the name of a `[class NAME]` section",
            service.class
        );
        fault("service", Some("class"), &message);
    }
    for (name, class) in &service.classes {
        let title = format!("class {name}");
        if class.tier > HIGHEST_TIER_NUMBER {
            fault(
                &title,
                Some("tier"),
                &format!(
                    "`tier = {}`: expected 0 to {HIGHEST_TIER_NUMBER}",
                    class.tier
                ),
            );
        }
        if class.attainment == 0 || class.attainment >= 1000 {
            fault(
                &title,
                Some("attainment"),
                "`attainment`: expected thousandths from 1 to 999",
            );
        }
        if class.first_token > class.deadline {
            fault(
                &title,
                Some("first_token"),
                "`first_token` is longer than `deadline`",
            );
        }
    }
    for (name, workspace) in &service.workspaces {
        let title = format!("workspace {name}");
        if workspace.key.is_empty() {
            fault(
                &title,
                None,
                "`key` is missing; expected the bearer key of the workspace's callers",
            );
        }
        if workspace.share == 0 {
            fault(&title, Some("share"), "`share = 0`: expected 1 or more");
        }
    }
}

/// Checks that names, models and keys of several files do not clash.
fn check_across(files: &[PathBuf], services: &[Service], faults: &mut Vec<FileFault>) {
    let mut names = BTreeSet::new();
    let mut models = BTreeSet::new();
    let mut keys: BTreeMap<&str, &str> = BTreeMap::new();
    let mut fault = |message: String| {
        let file = files.first().map(|path| path.display().to_string());
        faults.push(FileFault {
            file: file.unwrap_or_default().into(),
            line: 0,
            message: message.into(),
        });
    };
    for service in services {
        if !names.insert(&service.name) {
            fault(format!("service `{}` is described twice", service.name));
        }
        if !service.model.is_empty() && !models.insert(&service.model) {
            fault(format!("model `{}` belongs to two services", service.model));
        }
        for (name, workspace) in &service.workspaces {
            if let Some(other) = keys.insert(&workspace.key, name)
                && other != &**name
            {
                fault(format!(
                    "workspaces `{other}` and `{name}` have the same key"
                ));
            }
        }
    }
}
