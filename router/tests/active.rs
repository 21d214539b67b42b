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

/// Each case records what happens one after the other, and expects whether a newer configuration was rejected.
macro_rules! rejections {
    ($($name:ident: [$($step:expr),*] => $is_behind:expr;)*) => {
        $(#[test]
        fn $name() {
            let active = Active::default();
            for step in [$($step),*] {
                match step {
                    Step::Adopt(version) => {
                        active.adopt(configuration(version));
                    }
                    Step::Read => active.record_versioned(),
                    Step::Reject(version) => active.reject(version),
                }
            }
            assert_eq!(active.is_behind(), $is_behind);
        })*
    };
}

enum Step {
    Adopt(Version),
    Read,
    Reject(Option<Version>),
}

// Guards against an active configuration that counts as the latest though a newer one was rejected, and against one that
// never does again.
rejections! {
    is_behind_a_newer_rejected_version: [Step::Adopt(5), Step::Reject(Some(6))] => true;
    is_not_behind_an_older_rejected_version: [Step::Adopt(5), Step::Reject(Some(4))] => false;
    is_behind_the_newest_of_rejected_versions: [Step::Reject(Some(9)), Step::Reject(Some(6)), Step::Adopt(7)] => true;
    is_not_behind_after_a_newer_version: [Step::Adopt(5), Step::Reject(Some(6)), Step::Adopt(7)] => false;
    is_behind_after_another_object_of_the_store: [Step::Adopt(5), Step::Reject(Some(6)), Step::Read] => true;
    is_behind_a_rejected_version_that_is_unknown: [Step::Adopt(5), Step::Reject(None), Step::Adopt(7)] => true;
    is_not_behind_once_the_store_has_a_known_version: [Step::Adopt(5), Step::Reject(None), Step::Adopt(7), Step::Read] => false;
}
