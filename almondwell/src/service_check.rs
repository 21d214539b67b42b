//! Checks within one service file that no single key can show.

use almondwell_schema::{Class, File, FileFault, Kind, Service, Workspace};

const LOWEST_TIER: u8 = 3;
const THOUSAND: u16 = 1000;

/// Adds all errors of `service` to `faults`.
pub(crate) fn check(file: &File, service: &Service, faults: &mut Vec<FileFault>) {
    let mut check = Check { faults, file };
    check.service(service);
    for (name, class) in &service.classes {
        check.class(name, class);
    }
    for (name, workspace) in &service.workspaces {
        check.workspace(name, workspace);
    }
}

struct Check<'a> {
    faults: &'a mut Vec<FileFault>,
    file: &'a File,
}

impl Check<'_> {
    fn service(&mut self, service: &Service) {
        if self.file.line("service", None) == 0 {
            return self.fault("service", None, "`[service]` is missing; expected one");
        }
        if service.name.is_empty() {
            self.missing("service", "name", "the service's name");
        }
        self.name("service", &service.name);
        if service.pool.is_empty() {
            self.missing("service", "pool", "a pool of the instance list");
        }
        match (service.kind, service.model.is_empty()) {
            (Kind::Engine, true) => {
                self.missing("service", "model", "the model name that callers ask for");
            }
            (Kind::Plain, false) => {
                let message = "a plain service has no `model`; expected none";
                self.fault("service", Some("model"), message);
            }
            (Kind::Engine, false) | (Kind::Plain, true) => {}
        }
        self.default_class(service);
        if service.workspaces.is_empty() {
            let message = "no `[workspace NAME]` section; expected one or more";
            self.fault("service", None, message);
        }
    }

    fn default_class(&mut self, service: &Service) {
        if service.classes.contains_key(&service.class) {
            return;
        }
        if service.class.is_empty() {
            return self.missing("service", "class", "the class of a request that names none");
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
        self.fault("service", Some("class"), &message);
    }

    fn class(&mut self, name: &str, class: &Class) {
        let title = format!("class {name}");
        self.name(&title, name);
        if class.tier > LOWEST_TIER {
            let message = format!("`tier = {}`: expected 0 to {LOWEST_TIER}", class.tier);
            self.fault(&title, Some("tier"), &message);
        }
        if class.attainment == 0 || class.attainment >= THOUSAND {
            let message = format!(
                "`attainment = {}`: expected thousandths from 1 to 999",
                class.attainment
            );
            self.fault(&title, Some("attainment"), &message);
        }
        for (key, time) in [
            ("between_tokens", class.between_tokens),
            ("deadline", class.deadline),
            ("first_token", class.first_token),
        ] {
            if time.is_zero() {
                let message = format!("`{key}`: expected more than 0s");
                self.fault(&title, Some(key), &message);
            }
        }
        if class.first_token > class.deadline {
            let message = "`first_token` is longer than `deadline`; expected a shorter target";
            self.fault(&title, Some("first_token"), message);
        }
    }

    fn workspace(&mut self, name: &str, workspace: &Workspace) {
        let title = format!("workspace {name}");
        self.name(&title, name);
        if workspace.key.is_empty() {
            self.missing(&title, "key", "the bearer key of the workspace's callers");
        }
        if workspace.share == 0 {
            self.fault(&title, Some("share"), "`share = 0`: expected 1 or more");
        }
    }

    /// Names stand in paths, headers and metrics.
    fn name(&mut self, title: &str, name: &str) {
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if name.bytes().all(is_plain) {
            return;
        }
        let message = format!("name `{name}`: expected letters, digits, `-`, `_` and `.` only");
        self.fault(title, Some("name"), &message);
    }

    fn missing(&mut self, title: &str, key: &str, expected: &str) {
        let message = format!("`{key}` is missing from `[{title}]`; expected {expected}");
        self.fault(title, Some(key), &message);
    }

    fn fault(&mut self, title: &str, key: Option<&str>, message: &str) {
        self.faults.push(self.file.fault(title, key, message));
    }
}
