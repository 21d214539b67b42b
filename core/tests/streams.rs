//! Records of where streams began.

use almondwell_core::streams::{Known, Options, Origin, StreamId, Streams};
use std::sync::Arc;
use std::time::Duration;

const LIFETIME: Duration = seconds(24);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn origin(version: &str) -> Origin {
    Origin {
        service: "pool".into(),
        version: version.into(),
    }
}

fn streams() -> Streams {
    Streams::new(Options {
        max_records: 3,
        shards: 2,
    })
}

fn known(version: &str) -> Known {
    Known::Origin(Arc::new(origin(version)))
}

/// What a process knows that starts anew and reads all that `streams` would store at `now`.
fn restarted(streams: &Streams, now: Duration) -> Streams {
    let mut restarted = self::streams();
    for shard in 0..2 {
        let groups: Vec<_> = streams
            .groups(now, shard)
            .into_iter()
            .map(|(origin, streams)| ((*origin).clone(), streams))
            .collect();
        restarted.merge_stored(now, &groups);
    }
    restarted
}

/// Each case gives the versions at which entries record the stream 1 at 0 s, and what is known of it after some seconds.
macro_rules! cases {
    ($($name:ident: $versions:expr, after $after:expr => $known:expr;)*) => {
        $(#[test]
        fn $name() {
            let versions: &[&str] = &$versions;
            let mut streams = streams();
            for version in versions {
                streams.record(Duration::ZERO, 1, &origin(version), LIFETIME, true);
            }
            let restarted = restarted(&streams, Duration::ZERO);
            assert_eq!(streams.known(seconds($after), 1), $known);
            assert_eq!(restarted.known(seconds($after), 1), $known, "after a restart");
        })*
    };
}

cases! {
    a_stream_without_a_record_is_unknown: [], after 0 => Known::Unknown;
    a_recorded_stream_is_known: ["v1"], after 23 => known("v1");
    a_stream_that_went_on_at_its_version_is_known: ["v1", "v1"], after 0 => known("v1");
    // Guards against a version that is chosen by the order in which records arrive.
    a_stream_with_two_versions_is_ambiguous: ["v1", "v2"], after 0 => Known::Ambiguous;
    // Guards against an ambiguous stream that a repeated record makes certain again.
    an_ambiguous_stream_stays_so: ["v1", "v2", "v1", "v1"], after 23 => Known::Ambiguous;
    an_expired_record_is_forgotten: ["v1"], after 24 => Known::Unknown;
}

/// Guards against records that live for ever since entries read back what they wrote.
#[test]
fn a_stored_record_is_not_prolonged_by_being_read() {
    let mut streams = streams();
    streams.record(Duration::ZERO, 1, &origin("v1"), LIFETIME, true);
    for at in 1..=30 {
        let groups: Vec<_> = streams
            .groups(seconds(at), 1)
            .into_iter()
            .map(|(origin, _)| ((*origin).clone(), vec![(1, LIFETIME)]))
            .collect();
        streams.merge_stored(seconds(at), &groups);
    }
    assert_eq!(streams.known(seconds(30), 1), Known::Unknown);
}

/// Guards against a record that is lost since it changed while it was written.
#[test]
fn a_record_that_changed_during_a_write_is_written_again() {
    let mut streams = streams();
    streams.record(seconds(1), 1, &origin("v1"), LIFETIME, true);
    assert_eq!(streams.unwritten(1), [1]);
    streams.mark_written(seconds(1), &[1]);
    assert!(streams.unwritten(1).is_empty());
    streams.record(seconds(2), 1, &origin("v1"), LIFETIME, true);
    streams.mark_written(seconds(1), &[1]);
    assert_eq!(streams.unwritten(1), [1]);
}

/// Guards against a write for each entry that begins streams of a shard.
#[test]
fn only_keepers_have_records_to_write() {
    let mut streams = streams();
    streams.record(Duration::ZERO, 1, &origin("v1"), LIFETIME, false);
    assert!(streams.unwritten(1).is_empty());
    assert_eq!(streams.known(Duration::ZERO, 1), known("v1"));
}

#[test]
fn a_shard_is_due_after_its_delay() {
    let mut streams = streams();
    streams.record(seconds(1), 1, &origin("v1"), LIFETIME, true);
    streams.record(seconds(2), 2, &origin("v1"), LIFETIME, true);
    let due = |at| streams.due(seconds(at), |_| seconds(2));
    assert!(due(2).is_empty());
    assert_eq!(due(3), [1]);
    assert_eq!(due(4), [0, 1]);
}

/// Guards against memory that grows with the number of streams.
#[test]
fn records_are_bounded_and_make_room_as_they_expire() {
    let mut streams = streams();
    let mut record = |at, stream: StreamId| {
        let lifetime = seconds(10);
        streams.record(seconds(at), stream, &origin("v1"), lifetime, true)
    };
    assert!(record(0, 1) && record(0, 2) && record(5, 3));
    assert!(!record(9, 4));
    assert!(record(10, 4));
    assert_eq!(streams.len(), 2);
}
