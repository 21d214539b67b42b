//! Adoption of configurations by several threads.

use almondwell_core::table::{Table, Version};
use almondwell_router::active::{Active, Configuration};
use std::sync::Arc;
use std::thread;

const THREADS: u64 = 4;
const VERSIONS: u64 = 50_000;

fn configuration(version: Version) -> Configuration {
    Configuration {
        raw: Vec::new(),
        table: Arc::new(Table::new(version)),
    }
}

fn version(active: &Active) -> Version {
    active.load().map_or(0, |active| active.table.version)
}

/// Guards against an older configuration that replaces a newer one, since its version was compared before.
#[test]
fn threads_that_adopt_at_once_leave_the_newest() {
    let active = Active::default();
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let active = &active;
            scope.spawn(move || {
                for turn in 0..VERSIONS {
                    let next = turn * THREADS + thread + 1;
                    active.adopt(configuration(next));
                    let held = version(active);
                    assert!(held >= next, "version {held} is active after {next}");
                }
            });
        }
    });
    assert_eq!(version(&active), THREADS * VERSIONS);
}

#[test]
fn an_older_configuration_is_not_adopted() {
    let active = Active::default();
    assert_eq!(active.adopt(configuration(5)), None);
    assert_eq!(active.adopt(configuration(4)), Some(5));
    assert_eq!(version(&active), 5);
}
