//! Records of where streams began.

use almondwell_core::streams::{Extent, Known, Options, Origin, Recent, StreamId, Streams};
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
            .groups(now, shard, Extent::Complete)
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
            .groups(seconds(at), 1, Extent::Complete)
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
fn a_shard_is_unwritten_since_its_oldest_record() {
    let mut streams = streams();
    streams.record(seconds(1), 1, &origin("v1"), LIFETIME, true);
    streams.record(seconds(2), 3, &origin("v1"), LIFETIME, true);
    streams.record(seconds(3), 2, &origin("v1"), LIFETIME, true);
    let unwritten = streams.unwritten_shards();
    assert_eq!(unwritten, [(0, seconds(3)), (1, seconds(1))].into());
}

/// Guards against records that are in neither object, since one of the two is written without them.
#[test]
fn recent_records_are_those_that_the_complete_object_lacks() {
    let mut streams = streams();
    let recent = |streams: &Streams| -> Vec<StreamId> {
        let groups = streams.groups(seconds(3), 1, Extent::Recent);
        let streams = groups.into_iter().flat_map(|(_, streams)| streams);
        streams.map(|(stream, _)| stream).collect()
    };
    streams.record(seconds(1), 1, &origin("v1"), LIFETIME, true);
    streams.mark_written(seconds(1), &[1]);
    assert_eq!(recent(&streams), [1]);
    streams.record(seconds(3), 3, &origin("v1"), LIFETIME, true);
    streams.mark_complete(seconds(2), 1);
    assert_eq!(recent(&streams), [3]);
    assert_eq!(streams.unwritten(1), [3]);
}

#[test]
fn recent_streams_of_an_upstream_are_forgotten() {
    let mut recent = Recent::default();
    recent.push(seconds(0), 1);
    recent.push(seconds(70), 2);
    recent.push(seconds(80), 3);
    assert_eq!(recent.since(Duration::ZERO), [2, 3]);
    assert_eq!(recent.since(seconds(80)), [3]);
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

/// Guards against memory that grows with the versions that a datagram names for the same stream.
#[test]
fn origins_that_no_record_takes_are_not_kept() {
    let mut streams = streams();
    for version in 0..100 {
        let origin = origin(&version.to_string());
        streams.record(Duration::ZERO, 1, &origin, LIFETIME, true);
        streams.merge_stored(Duration::ZERO, &[(origin, vec![(1, LIFETIME)])]);
    }
    assert_eq!(streams.origin_count(), 2);
}
