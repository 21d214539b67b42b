//! Registrations that come, drain, lapse and go.

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
fn a_draining_upstream_gets_no_work_at_once() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    assert_eq!(
        fleet.put(upstream("i-a", State::Draining)),
        Change::Draining
    );
    assert_eq!(ready(&fleet), ["i-b"]);
    assert_eq!(fleet.remove(at(10), "i-a"), Change::Removed);
}

#[test]
fn an_unannounced_removal_is_held_no_longer_than_the_platform_allows() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    assert_eq!(fleet.remove(at(0), "i-a"), Change::Held);
    assert_eq!(ready(&fleet), ["i-a", "i-b"]);
    fleet.expire(at(1700));
    assert_eq!(ready(&fleet), ["i-a", "i-b"]);
    assert_eq!(fleet.expire(at(2000)).len(), 1);
    assert_eq!(ready(&fleet), ["i-b"]);
}

#[test]
fn a_lapse_in_an_outage_that_nobody_noticed_loses_no_upstream() {
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
fn removals_after_an_outage_wait_until_lapses_are_back() {
    let mut fleet = fleet(&["i-a"]);
    fleet.outage(at(1000));
    fleet.remove(at(1100), "i-a");
    fleet.expire(at(2950));
    assert_eq!(ready(&fleet), ["i-a"]);
    fleet.expire(at(3100));
    assert!(ready(&fleet).is_empty());
}

#[test]
fn a_list_of_another_entry_counts_at_once() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    let changes = fleet.replace(
        Duration::ZERO,
        Source::Entry,
        vec![upstream("i-b", State::Ready)],
    );
    assert_eq!(changes, [("i-a".into(), Change::Removed)]);
    assert_eq!(ready(&fleet), ["i-b"]);
}

/// An entry that was cut off learns of a removal late: the platform's bound runs from the removal.
#[test]
fn a_removal_after_a_noticed_outage_is_held_for_a_lapse_only() {
    let mut fleet = Fleet::new(Options {
        hold: at(2800),
        ..Options::default()
    });
    fleet.put(upstream("i-a", State::Ready));
    fleet.outage(at(1000));
    assert_eq!(fleet.remove(at(2900), "i-a"), Change::Held);
    fleet.expire(at(4800));
    assert_eq!(ready(&fleet), ["i-a"]);
    fleet.expire(at(4900));
    assert!(ready(&fleet).is_empty());
}

/// The other entry lists what it holds itself.
#[test]
fn a_list_of_another_entry_does_not_end_a_hold() {
    let mut fleet = fleet(&["i-a", "i-b"]);
    assert_eq!(fleet.remove(at(1000), "i-a"), Change::Held);
    let list = ["i-a", "i-b"].map(|id| upstream(id, State::Ready));
    assert!(
        fleet
            .replace(at(1100), Source::Entry, list.to_vec())
            .is_empty()
    );
    assert_eq!(fleet.expire(at(1000) + Options::default().hold).len(), 1);
    assert_eq!(ready(&fleet), ["i-b"]);
}

/// It has started anew elsewhere under the identifier that it had.
#[test]
fn a_list_tells_of_an_upstream_that_has_moved() {
    let mut fleet = fleet(&["i-a"]);
    let moved = Upstream {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        ..upstream("i-a", State::Ready)
    };
    let changes = fleet.replace(at(0), Source::Store, vec![moved.clone()]);
    assert_eq!(changes, [("i-a".into(), Change::Changed)]);
    assert!(fleet.replace(at(0), Source::Store, vec![moved]).is_empty());
}
