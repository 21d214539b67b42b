//! The version that alone can have begun a stream without a record.

use almondwell_core::streams::Origin;
use almondwell_core::versions::{RETENTION, Versions};
use std::collections::BTreeSet;
use std::time::Duration;

fn origins(list: &[(&str, &str)]) -> BTreeSet<Origin> {
    let origin = |(service, version): &(&str, &str)| Origin {
        service: (*service).into(),
        version: (*version).into(),
    };
    list.iter().map(origin).collect()
}

/// Each case gives the stored list, the registered upstreams, and the only version of `pool`.
macro_rules! cases {
    ($($name:ident: $stored:expr, $registered:expr => $sole:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut versions = Versions::default();
            versions.replace(Duration::ZERO, origins(&$stored));
            assert_eq!(versions.sole("pool", &origins(&$registered)), $sole);
        })*
    };
}

cases! {
    a_single_version: [("pool", "v1")], [("pool", "v1")] => Some("v1");
    other_services_do_not_count: [("desk", "v2"), ("pool", "v1")], [("desk", "v3"), ("pool", "v1")] => Some("v1");
    // Guards against a stream of a version that left while all entries were down.
    a_version_that_left: [("pool", "v1"), ("pool", "v2")], [("pool", "v2")] => None;
    // Guards against the same where the new version has not been listed yet.
    a_version_that_is_not_listed_yet: [("pool", "v1")], [("pool", "v2")] => None;
    two_registered_versions: [("pool", "v1")], [("pool", "v1"), ("pool", "v2")] => None;
    // Guards against a guess while the list has not been written.
    no_list: [], [("pool", "v1")] => None;
    an_upstream_that_is_away: [("pool", "v1")], [] => Some("v1");
}

/// Guards against a guess at an entry that learns late of a version that is not listed yet.
#[test]
fn a_version_that_this_entry_does_not_follow_yet() {
    let mut versions = Versions::default();
    let known = origins(&[("pool", "v1")]);
    versions.replace(Duration::ZERO, known.clone());
    versions.set_unfollowed(origins(&[("desk", "v2"), ("pool", "v1")]));
    assert_eq!(versions.sole("pool", &known), Some("v1"));
    versions.set_unfollowed(origins(&[("pool", "v2")]));
    assert_eq!(versions.sole("pool", &known), None);
}

#[test]
fn a_new_version_is_due_to_be_listed() {
    let mut versions = Versions::default();
    let registered = origins(&[("pool", "v1"), ("pool", "v2")]);
    assert!(versions.observe(Duration::ZERO, &registered));
    versions.replace(Duration::ZERO, registered.clone());
    assert!(versions.is_mixed());
    assert!(!versions.observe(Duration::ZERO, &registered));
}

/// Guards against a list that grows with each release, so that no stream without a record ever goes on again.
#[test]
fn an_unused_version_is_taken_off_the_list() {
    let mut versions = Versions::default();
    versions.replace(Duration::ZERO, origins(&[("pool", "v1"), ("pool", "v2")]));
    let registered = origins(&[("pool", "v2")]);
    let just_before = RETENTION.saturating_sub(Duration::from_secs(1));
    assert!(!versions.observe(just_before, &registered));
    assert!(versions.observe(RETENTION, &registered));
    assert_eq!(versions.target(RETENTION, &registered), registered);
}

/// Guards against a version that is taken off the list since reading the list does not show when it was last used.
#[test]
fn a_version_is_kept_from_its_last_use() {
    let mut versions = Versions::default();
    let registered = origins(&[("pool", "v1")]);
    versions.replace(Duration::ZERO, registered.clone());
    versions.observe(RETENTION, &registered);
    versions.replace(RETENTION, registered.clone());
    let later = RETENTION + RETENTION / 2;
    assert!(!versions.observe(later, &BTreeSet::new()));
}
