//! Checks service files for names, models and workspace keys that conflict.

use crate::service_file::Source;
use almondwell_schema::FileFault;
use std::collections::BTreeMap;

/// First use of a workspace key: the workspace's name, and the location as `file:line`.
struct FirstUse<'a> {
    owner: &'a str,
    location: String,
}

/// Adds an error for each service name or model that appears twice, and for each key that
/// workspaces of different names share.
pub(crate) fn check(sources: &[Source], faults: &mut Vec<FileFault>) {
    let mut names = BTreeMap::new();
    let mut models = BTreeMap::new();
    let mut keys = BTreeMap::new();
    for source in sources {
        let Source { file, service } = source;
        check_unique(
            &mut names,
            source,
            ("service", "name"),
            &service.name,
            faults,
        );
        check_unique(
            &mut models,
            source,
            ("service", "model"),
            &service.model,
            faults,
        );
        for (name, workspace) in &service.workspaces {
            let title = format!("workspace {name}");
            let first_use = FirstUse {
                owner: name,
                location: location(source, &title, "key"),
            };
            let key = &*workspace.key;
            match keys.get(key) {
                Some(FirstUse { owner, location }) if *owner != &**name => {
                    let message = format!(
                        "workspaces `{owner}` and `{name}` have the same `key`; it is on {location} too"
                    );
                    faults.push(file.fault(&title, Some("key"), &message));
                }
                Some(_) => {}
                None if key.is_empty() => {}
                None => {
                    keys.insert(key, first_use);
                }
            }
        }
    }
}

/// Adds an error if `value` is in `locations` already, else adds its location.
fn check_unique<'a>(
    locations: &mut BTreeMap<&'a str, String>,
    source: &'a Source,
    (title, key): (&str, &str),
    value: &'a str,
    faults: &mut Vec<FileFault>,
) {
    if value.is_empty() {
        return;
    }
    if let Some(location) = locations.get(value) {
        let message = format!("`{key} = {value}` stands twice; it is on {location} too");
        faults.push(source.file.fault(title, Some(key), &message));
        return;
    }
    locations.insert(value, location(source, title, key));
}

fn location(source: &Source, title: &str, key: &str) -> String {
    let file = &source.file;
    format!("{}:{}", file.name, file.line(title, Some(key)))
}
