//! Checks that service files do not clash.

use crate::service_file::Source;
use almondwell_schema::FileFault;
use std::collections::BTreeMap;

/// Where a name, model or key is taken, and by what.
struct Taken<'a> {
    owner: &'a str,
    place: String,
}

/// Adds an error for each name, model and workspace key that two services claim.
pub(crate) fn check(sources: &[Source], faults: &mut Vec<FileFault>) {
    let mut names = BTreeMap::new();
    let mut models = BTreeMap::new();
    let mut keys = BTreeMap::new();
    for source in sources {
        let Source { file, service } = source;
        claim(
            &mut names,
            source,
            ("service", "name"),
            &service.name,
            faults,
        );
        claim(
            &mut models,
            source,
            ("service", "model"),
            &service.model,
            faults,
        );
        for (name, workspace) in &service.workspaces {
            let title = format!("workspace {name}");
            let taken = Taken {
                owner: name,
                place: place(source, &title, "key"),
            };
            let key = &*workspace.key;
            match keys.get(key) {
                Some(Taken { owner, place }) if *owner != &**name => {
                    let message = format!(
                        "workspaces `{owner}` and `{name}` have the same `key`; it is on {place} too"
                    );
                    faults.push(file.fault(&title, Some("key"), &message));
                }
                Some(_) => {}
                None if key.is_empty() => {}
                None => {
                    keys.insert(key, taken);
                }
            }
        }
    }
}

fn claim<'a>(
    taken: &mut BTreeMap<&'a str, String>,
    source: &'a Source,
    (title, key): (&str, &str),
    value: &'a str,
    faults: &mut Vec<FileFault>,
) {
    if value.is_empty() {
        return;
    }
    if let Some(place) = taken.get(value) {
        let message = format!("`{key} = {value}` stands twice; it is on {place} too");
        faults.push(source.file.fault(title, Some(key), &message));
        return;
    }
    taken.insert(value, place(source, title, key));
}

fn place(source: &Source, title: &str, key: &str) -> String {
    let file = &source.file;
    format!("{}:{}", file.name, file.line(title, Some(key)))
}
