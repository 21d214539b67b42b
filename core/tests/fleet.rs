//! Changes of registrations: added, draining, expired and removed.

use almondwell_core::fleet::{Change, Fleet, Options, Source};
use almondwell_core::upstream::{State, Upstream};
use std::net::SocketAddr;
use std::time::Duration;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn upstream(id: &str, state: State) -> Upstream {
    Upstream {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        id: id.into(),
        service: "pool".into(),
        slots: 8,
        started_ms: None,
        version: "v1".into(),
        state,
        zone: "north-a".into(),
    }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(Options::default());
    for id in ids {
        fleet.put(upstream(id, State::Ready));
    }
    fleet
}

fn ready(fleet: &Fleet) -> Vec<String> {
    let services = fleet.ready();
    services
        .values()
        .flatten()
        .map(|upstream| upstream.id.to_string())
        .collect()
}

#[test]
fn a_draining_upstream_is_excluded_immediately() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    assert_eq!(
        fleet.put(upstream("i-a", State::Draining)),
        Change::Draining
    );
    assert_eq!(ready(&fleet), ["i-b"]);
    assert_eq!(fleet.remove(at(10), "i-a"), Change::Removed);
}

#[test]
fn a_removal_without_drain_is_delayed_within_the_platform_limit() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    assert_eq!(fleet.remove(at(0), "i-a"), Change::Held);
    assert_eq!(ready(&fleet), ["i-a", "i-b"]);
    fleet.expire(at(1700));
    assert_eq!(ready(&fleet), ["i-a", "i-b"]);
    assert_eq!(fleet.expire(at(2000)).len(), 1);
    assert_eq!(ready(&fleet), ["i-b"]);
}

/// Guards against a list that other entries take for final while it holds an upstream that was removed.
#[test]
fn a_fleet_is_settled_once_no_removal_is_delayed() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    assert!(fleet.is_settled());
    fleet.remove(at(0), "i-a");
    assert!(!fleet.is_settled());
    fleet.expire(at(2000));
    assert!(fleet.is_settled());
    fleet.remove(at(3000), "i-b");
    fleet.put(upstream("i-b", State::Ready));
    assert!(fleet.is_settled());
}

#[test]
fn upstreams_that_expire_in_an_unnoticed_outage_are_kept() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    for id in ["i-a", "i-b"] {
        fleet.remove(at(0), id);
    }
    fleet.expire(at(1000));
    for id in ["i-a", "i-b"] {
        assert_eq!(fleet.put(upstream(id, State::Ready)), Change::None);
    }
    fleet.expire(at(10_000));
    assert_eq!(ready(&fleet), ["i-a", "i-b"]);
}

#[test]
fn removals_after_an_outage_wait_for_expired_registrations_to_return() {
    let mut fleet = fleet(&["i-a"]);
    fleet.record_outage(at(1000));
    fleet.remove(at(1100), "i-a");
    fleet.expire(at(2950));
    assert_eq!(ready(&fleet), ["i-a"]);
    fleet.expire(at(3100));
    assert!(ready(&fleet).is_empty());
}

#[test]
fn a_list_from_another_entry_applies_immediately() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    let changes = fleet.replace(
        Duration::ZERO,
        Source::Entry,
        vec![upstream("i-b", State::Ready)],
    );
    assert_eq!(changes, [("i-a".into(), Change::Removed)]);
    assert_eq!(ready(&fleet), ["i-b"]);
}

/// After an outage an entry learns of a removal late, while the platform's time limit runs from the removal
/// itself. The full grace period would exceed that limit.
#[test]
fn a_removal_after_a_known_outage_is_delayed_only_for_the_recovery_time() {
    let mut fleet = Fleet::new(Options {
        removal_grace: at(2800),
        ..Options::default()
    });
    fleet.put(upstream("i-a", State::Ready));
    fleet.record_outage(at(1000));
    assert_eq!(fleet.remove(at(2900), "i-a"), Change::Held);
    fleet.expire(at(4800));
    assert_eq!(ready(&fleet), ["i-a"]);
    fleet.expire(at(4900));
    assert!(ready(&fleet).is_empty());
}

/// Another entry also lists upstreams whose removal it delays itself.
#[test]
fn a_list_from_another_entry_does_not_cancel_a_delayed_removal() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    assert_eq!(fleet.remove(at(1000), "i-a"), Change::Held);
    let list = ["i-a", "i-b"].map(|id| upstream(id, State::Ready));
    assert!(
        fleet
            .replace(at(1100), Source::Entry, list.to_vec())
            .is_empty()
    );
    assert_eq!(
        fleet
            .expire(at(1000) + Options::default().removal_grace)
            .len(),
        1
    );
    assert_eq!(ready(&fleet), ["i-b"]);
}

/// An upstream may restart at another address under the same identifier.
#[test]
fn a_list_reports_a_changed_address() {
    let mut fleet = fleet(&["i-a"]);
    let moved = Upstream {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        ..upstream("i-a", State::Ready)
    };
    let changes = fleet.replace(at(0), Source::Store, vec![moved.clone()]);
    assert_eq!(changes, [("i-a".into(), Change::Changed)]);
    assert!(fleet.replace(at(0), Source::Store, vec![moved]).is_empty());
}

/// An entry that starts has a list of another entry, and learns from the store that an upstream is gone. The platform's
/// limit runs from the removal, which may have happened at any time since that list.
#[test]
fn a_removal_that_is_learned_late_counts_from_the_last_list() {
    let mut fleet = Fleet::new(Options {
        removal_grace: at(2800),
        ..Options::default()
    });
    let list = ["i-a", "i-b"].map(|id| upstream(id, State::Ready));
    fleet.replace(at(200), Source::Entry, list.to_vec());
    let listed = vec![upstream("i-b", State::Ready)];
    let changes = fleet.replace(at(1600), Source::Store, listed);
    assert_eq!(changes, [("i-a".into(), Change::Held)]);
    fleet.expire(at(2900));
    assert_eq!(ready(&fleet), ["i-a", "i-b"]);
    fleet.expire(at(3000));
    assert_eq!(ready(&fleet), ["i-b"]);
}

/// As above, but the grace period since the last list is over when the entry learns of the removal.
#[test]
fn a_removal_that_is_learned_after_its_grace_period_applies_immediately() {
    let mut fleet = Fleet::new(Options::default());
    let list = ["i-a", "i-b"].map(|id| upstream(id, State::Ready));
    fleet.replace(at(200), Source::Entry, list.to_vec());
    let listed = vec![upstream("i-b", State::Ready)];
    let changes = fleet.replace(at(2100), Source::Store, listed);
    assert_eq!(changes, [("i-a".into(), Change::Removed)]);
    assert_eq!(ready(&fleet), ["i-b"]);
}

/// The outage explains why the list is old: its registrations may have expired and return.
#[test]
fn a_removal_that_is_learned_late_after_an_outage_is_delayed() {
    let mut fleet = Fleet::new(Options::default());
    let list = ["i-a", "i-b"].map(|id| upstream(id, State::Ready));
    fleet.replace(at(200), Source::Entry, list.to_vec());
    fleet.record_outage(at(4900));
    fleet.replace(at(5000), Source::Store, Vec::new());
    fleet.expire(at(6700));
    assert_eq!(ready(&fleet), ["i-a", "i-b"]);
}

/// When the store is watched and the removal is learned, and when its grace period of 1.75 s ends.
macro_rules! watched {
    ($($name:ident: $known:expr, $start:expr, $now:expr => $end:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut fleet = fleet(&["i-a", "i-b"]);
            fleet.confirm(at($known));
            fleet.record_watch(at($now), at($start));
            fleet.remove(at($now), "i-a");
            fleet.confirm(at($start));
            fleet.expire(at($end - 1));
            assert_eq!(ready(&fleet), ["i-a", "i-b"]);
            fleet.expire(at($end));
            assert_eq!(ready(&fleet), ["i-b"]);
        })*
    };
}

// Guards against upstreams that are used for too long after a removal which is reported late, and against registrations
// that are dropped before they can return though their removal is reported at once.
watched! {
    a_removal_that_a_waiting_watch_reports_is_delayed_fully: 1000, 1000, 3300 => 5050;
    a_removal_within_the_delay_after_a_change_is_delayed_fully: 1000, 1400, 1450 => 3200;
    a_removal_after_a_failed_watch_counts_from_the_answer_before: 1000, 2000, 2050 => 2750;
}

/// Another entry delays the removal longer than this one, and lists the upstream meanwhile. Guards against an upstream that
/// comes back by such a list, while the store, which has reported its removal, does not report it again.
#[test]
fn a_list_from_another_entry_does_not_bring_a_removed_upstream_back() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    fleet.confirm(at(100));
    assert_eq!(fleet.remove(at(3000), "i-a"), Change::Removed);
    let list = || ["i-a", "i-b"].map(|id| upstream(id, State::Ready)).to_vec();
    assert!(fleet.replace(at(4000), Source::Entry, list()).is_empty());
    let changes = fleet.replace(at(5000), Source::Store, list());
    assert_eq!(changes, [("i-a".into(), Change::Added)]);
}

/// Guards against a copy of the store that removes live upstreams at once, where the last answer is longer ago than a removal
/// is delayed.
#[test]
fn upstreams_that_a_list_of_a_new_era_lacks_are_held() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    fleet.confirm(at(0));
    fleet.record_era(at(2400));
    let listed = vec![upstream("i-b", State::Ready)];
    let changes = fleet.replace(at(2400), Source::Store, listed);
    assert_eq!(changes, [("i-a".into(), Change::Held)]);
    fleet.expire(at(4300));
    assert_eq!(ready(&fleet), ["i-a", "i-b"]);
    fleet.expire(at(4400));
    assert_eq!(ready(&fleet), ["i-b"]);
}
