//! Validates one service file after parsing: required keys, ranges, and keys that depend on each
//! other.

use almondwell_schema::{Class, File, FileFault, Kind, Service, Workspace};

const MAX_TIER: u8 = 3;
/// Attainment of 100 %, in thousandths.
const ATTAINMENT_SCALE: u16 = 1000;

/// Adds all errors of `service`, which was read from `file`, to `faults`.
pub(crate) fn check(file: &File, service: &Service, faults: &mut Vec<FileFault>) {
    let mut checker = Checker { faults, file };
    checker.check_service(service);
    for (name, class) in &service.classes {
        checker.check_class(name, class);
    }
    for (name, workspace) in &service.workspaces {
        checker.check_workspace(name, workspace);
    }
}

struct Checker<'a> {
    faults: &'a mut Vec<FileFault>,
    file: &'a File,
}

impl Checker<'_> {
    fn check_service(&mut self, service: &Service) {
        if self.file.line("service", None) == 0 {
            return self.add_fault("service", None, "`[service]` is missing; expected one");
        }
        if service.name.is_empty() {
            self.add_missing("service", "name", "the service's name");
        }
        self.check_name("service", &service.name);
        if service.pool.is_empty() {
            self.add_missing("service", "pool", "a pool of the instance list");
        }
        match (service.kind, service.model.is_empty()) {
            (Kind::Engine, true) => {
                self.add_missing("service", "model", "the model name that callers ask for");
            }
            (Kind::Plain, false) => {
                let message = "a plain service has no `model`; expected none";
                self.add_fault("service", Some("model"), message);
            }
            (Kind::Engine, false) | (Kind::Plain, true) => {}
        }
        self.check_default_class(service);
        if service.workspaces.is_empty() {
            let message = "no `[workspace NAME]` section; expected one or more";
            self.add_fault("service", None, message);
        }
    }

    fn check_default_class(&mut self, service: &Service) {
        if service.classes.contains_key(&service.class) {
            return;
        }
        if service.class.is_empty() {
            return self.add_missing("service", "class", "the class of a request that names none");
        }
        let names: Vec<_> = service.classes.keys().map(|name| &**name).collect();
        let message = match names.as_slice() {
            [] => format!(
                "`class = {}`: no `[class NAME]` section; expected one",
                service.class
            ),
            names => format!(
                "`class = {}`: unknown class; expected one of {}",
                service.class,
                names.join(", ")
            ),
        };
        self.add_fault("service", Some("class"), &message);
    }

    fn check_class(&mut self, name: &str, class: &Class) {
        let title = format!("class {name}");
        self.check_name(&title, name);
        if class.tier > MAX_TIER {
            let message = format!("`tier = {}`: expected 0 to {MAX_TIER}", class.tier);
            self.add_fault(&title, Some("tier"), &message);
        }
        if class.attainment == 0 || class.attainment >= ATTAINMENT_SCALE {
            let message = format!(
                "`attainment = {}`: expected thousandths from 1 to 999",
                class.attainment
            );
            self.add_fault(&title, Some("attainment"), &message);
        }
        for (key, time) in [
            ("between_tokens", class.between_tokens),
            ("deadline", class.deadline),
            ("first_token", class.first_token),
        ] {
            if time.is_zero() {
                let message = format!("`{key}`: expected more than 0s");
                self.add_fault(&title, Some(key), &message);
            }
        }
        if class.first_token > class.deadline {
            let message = "`first_token` is longer than `deadline`; expected a shorter target";
            self.add_fault(&title, Some("first_token"), message);
        }
    }

    fn check_workspace(&mut self, name: &str, workspace: &Workspace) {
        let title = format!("workspace {name}");
        self.check_name(&title, name);
        if workspace.key.is_empty() {
            self.add_missing(&title, "key", "the bearer key of the workspace's callers");
        }
        if workspace.share == 0 {
            self.add_fault(&title, Some("share"), "`share = 0`: expected 1 or more");
        }
    }

    /// Restricts the characters of names, since they appear in paths, headers and metrics.
    fn check_name(&mut self, title: &str, name: &str) {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if name.bytes().all(is_allowed) {
            return;
        }
        let message = format!("name `{name}`: expected letters, digits, `-`, `_` and `.` only");
        self.add_fault(title, Some("name"), &message);
    }

    fn add_missing(&mut self, title: &str, key: &str, expected: &str) {
        let message = format!("`{key}` is missing from `[{title}]`; expected {expected}");
        self.add_fault(title, Some(key), &message);
    }

    fn add_fault(&mut self, title: &str, key: Option<&str>, message: &str) {
        self.faults.push(self.file.fault(title, key, message));
    }
}
