//! Usage counts: what a process counts and sends, and what is merged.

use almondwell_core::time_offset::TimeOffset;
use almondwell_core::usage::{Collector, Counts, Options, Recorder, Window};
use almondwell_schema::{Datagram, Usage, UsageAck, UsageCount, UsageWindow};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Maximum length of a datagram, and that of its authentication tag, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;
const TAG_BYTES: usize = 16;

const WINDOW: Window = 1000;
const ENTRY: &str = "entry-1";
const HOLDER: (SocketAddr, u64) = (
    SocketAddr::V4(std::net::SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1)),
    7,
);

fn recorder() -> Recorder {
    let mut recorder = Recorder::new(Options::default(), ENTRY.into(), 1);
    recorder.close(Duration::ZERO, WINDOW);
    recorder
}

/// Counts of one window.
fn counts(pairs: &[(&str, u64)]) -> Counts {
    pairs
        .iter()
        .map(|(name, count)| (Box::from(*name), *count))
        .collect()
}

/// A message with counts of [`WINDOW`].
fn usage(start: u64, total: Option<u64>, pairs: &[(&str, u64)]) -> Usage {
    let counts = pairs.iter().map(|(name, count)| UsageCount {
        workspace: Box::from(*name),
        count: *count,
    });
    let counts = counts.collect();
    let windows = vec![UsageWindow {
        window: WINDOW,
        total,
        counts,
    }];
    Usage {
        entry: ENTRY.into(),
        start,
        windows,
    }
}

fn ack(complete: &[Window], missing: &[Window]) -> UsageAck {
    UsageAck {
        start: 1,
        complete: complete.to_vec(),
        missing: missing.to_vec(),
    }
}

/// Guards against windows that a process closes too early because its wall clock was off when it was started.
#[test]
fn a_new_process_waits_for_other_clocks() {
    let (start, wall_time) = (Duration::from_secs(100), Duration::from_secs(1_800_000_002));
    let mut offset = TimeOffset::default();
    offset.update(start, wall_time);
    assert!(!offset.is_settled(start + Duration::from_millis(250)));
    let mut alone = offset.clone();
    alone.update(
        start + Duration::from_secs(3),
        wall_time + Duration::from_secs(3),
    );
    assert!(alone.is_settled(start + Duration::from_secs(3)));
    let true_time = wall_time.saturating_sub(Duration::from_secs(2));
    for port in [1, 2] {
        offset.record(start, (Ipv4Addr::LOCALHOST, port).into(), true_time);
    }
    assert!(offset.is_settled(start));
    assert_eq!(
        offset.update(start, wall_time),
        true_time.saturating_sub(start)
    );
}

/// Guards against counts in the store that do not count as a message because several windows have ended since: the next windows
/// would be reported without the entry.
#[test]
fn waits_for_an_entry_that_reaches_only_the_store() {
    for (delay, now) in [(10, WINDOW + 2), (10, WINDOW + 3), (20, WINDOW + 5)] {
        let options = Options {
            delay: Duration::from_secs(delay),
            ..Options::default()
        };
        let mut collector = Collector::new(options);
        collector.merge_stored(now, &usage(1, Some(0), &[]));
        assert_eq!(collector.incomplete_count(WINDOW), 0);
        assert_eq!(collector.incomplete_count(WINDOW + 1), 1, "{delay} {now}");
        // An entry that is gone is not waited for.
        let mut collector = Collector::new(options);
        collector.merge_stored(now + 20, &usage(1, Some(0), &[]));
        assert_eq!(collector.incomplete_count(now + 20), 0);
    }
}

/// Guards against reports that wait for a process which was replaced and can send no final counts.
#[test]
fn waits_for_no_process_that_was_replaced() {
    let mut collector = Collector::new(Options::default());
    collector.merge(WINDOW, &usage(1, None, &[("a", 5)]));
    assert_eq!(collector.incomplete_count(WINDOW), 1);
    collector.merge(WINDOW, &usage(2, None, &[("a", 3)]));
    assert_eq!(collector.incomplete_count(WINDOW), 1);
    collector.merge(WINDOW, &usage(2, Some(3), &[]));
    assert_eq!(collector.incomplete_count(WINDOW), 0);
    assert_eq!(collector.counts(WINDOW), counts(&[("a", 8)]));
}

macro_rules! records {
    ($($name:ident = $steps:expr, $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut recorder = recorder();
            let steps: fn(&mut Recorder) = $steps;
            steps(&mut recorder);
            recorder.close(Duration::ZERO, WINDOW + 1);
            assert_eq!(recorder.counts(WINDOW), counts(&$expected));
        })*
    };
}

records! {
    // Guards against requests that are lost because their window has just been closed.
    counts_in_the_first_open_window = |it| it.count(WINDOW - 1, "a"), [("a", 1)];
    counts_a_request_that_ran = |it| { let window = it.start(WINDOW, "a"); it.confirm(window, "a"); }, [("a", 1)];
    // Guards against refused requests on the bill.
    does_not_count_a_request_that_did_not_run = |it| {
        let window = it.start(WINDOW, "a");
        assert!(!it.cancel(window, "a"));
    }, [];
    // Guards against long requests that are counted when they end, windows after they began.
    counts_a_running_request_in_the_window_of_its_send = |it| { it.start(WINDOW, "a"); }, [("a", 1)];
    // Guards against requests that are counted twice, at the end of their window and at their own.
    counts_a_request_that_ends_later_once = |it| {
        let window = it.start(WINDOW, "a");
        it.close(Duration::ZERO, WINDOW + 1);
        it.confirm(window, "a");
        assert!(it.cancel(window, "a"));
    }, [("a", 1)];
}

macro_rules! merges {
    ($($name:ident = $messages:expr, $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut collector = Collector::new(Options::default());
            let acks = $messages.into_iter().map(|message| collector.merge(WINDOW, &message));
            let ack = acks.last().unwrap();
            let (expected, is_complete): (&[(&str, u64)], Option<bool>) = $expected;
            assert_eq!(collector.counts(WINDOW), counts(expected));
            assert_eq!((ack.complete.is_empty(), ack.missing.is_empty()), match is_complete {
                None => (true, true),
                Some(is_complete) => (!is_complete, is_complete),
            });
        })*
    };
}

merges! {
    merges_by_maximum = [usage(1, None, &[("a", 5)]), usage(1, None, &[("a", 3)])], (&[("a", 5)], None);
    // Guards against a restarted process that replaces what the last one counted.
    adds_the_counts_of_two_processes = [usage(1, None, &[("a", 5)]), usage(2, None, &[("a", 3)])], (&[("a", 8)], None);
    acknowledges_complete_counts = [usage(1, None, &[("a", 5)]), usage(1, Some(7), &[("b", 2)])],
        (&[("a", 5), ("b", 2)], Some(true));
    // Guards against counts that are taken for complete though a datagram was lost.
    asks_for_missing_counts = [usage(1, Some(7), &[("b", 2)])], (&[("b", 2)], Some(false));
    acknowledges_an_empty_window = [usage(1, Some(0), &[])], (&[], Some(true));
}

/// Guards against a report that differs after its window was forgotten, and senders that repeat its counts forever.
#[test]
fn acknowledges_windows_that_were_reported() {
    let mut collector = Collector::new(Options::default());
    collector.forget(WINDOW);
    let ack = collector.merge(WINDOW, &usage(1, Some(7), &[]));
    assert_eq!(ack.complete, [WINDOW]);
    assert_eq!(collector.counts(WINDOW), Counts::new());
}

/// Guards against finals that are sent again after their acknowledgement, and against ones that a new holder never gets.
#[test]
fn sends_final_counts_until_they_are_acknowledged() {
    let mut recorder = recorder();
    let old: Vec<_> = (0..WINDOW).collect();
    recorder.acknowledge(HOLDER, &ack(&old, &[]));
    recorder.count(WINDOW, "a");
    assert_eq!(recorder.messages(&[HOLDER], MAX_DATAGRAM_BYTES).len(), 1);
    assert!(recorder.messages(&[HOLDER], MAX_DATAGRAM_BYTES).is_empty());
    recorder.close(Duration::ZERO, WINDOW + 1);
    let send = |recorder: &mut Recorder| {
        let mut messages = recorder.messages(&[HOLDER], MAX_DATAGRAM_BYTES);
        messages.pop().map(|(_, message)| message)
    };
    // The total is repeated; the counts follow once the receiver says that it lacks some.
    assert_eq!(send(&mut recorder), Some(usage(1, Some(1), &[])));
    assert_eq!(send(&mut recorder), Some(usage(1, Some(1), &[])));
    recorder.acknowledge(HOLDER, &ack(&[], &[WINDOW]));
    assert_eq!(send(&mut recorder), Some(usage(1, Some(1), &[("a", 1)])));
    recorder.acknowledge(HOLDER, &ack(&[WINDOW], &[]));
    assert_eq!(send(&mut recorder), None);
    let next = (HOLDER.0, HOLDER.1 + 1);
    let windows = recorder
        .messages(&[next], MAX_DATAGRAM_BYTES)
        .pop()
        .unwrap()
        .1
        .windows;
    assert_eq!(windows.last().unwrap().window, WINDOW);
}

/// Guards against messages that cost more than what has changed.
#[test]
fn messages_name_only_what_has_changed() {
    let bytes = |recorder: &mut Recorder| {
        let messages = recorder.messages(&[HOLDER], MAX_DATAGRAM_BYTES);
        let lengths = messages.into_iter().map(|(_, usage)| {
            postcard::to_stdvec(&Datagram::Usage(usage)).unwrap().len() + TAG_BYTES
        });
        lengths.collect::<Vec<_>>()
    };
    let mut recorder = Recorder::new(Options::default(), "edge-north-a-01".into(), u64::MAX);
    recorder.close(Duration::ZERO, 360_000_000);
    bytes(&mut recorder);
    let old: Vec<_> = (359_999_990..360_000_000).collect();
    let old = UsageAck {
        start: u64::MAX,
        ..ack(&old, &[])
    };
    recorder.acknowledge(HOLDER, &old);
    assert!(bytes(&mut recorder).is_empty());
    for index in 0..24 {
        recorder.count(360_000_000, &format!("workspace-{index:04}"));
    }
    let first = bytes(&mut recorder);
    recorder.count(360_000_000, "workspace-0001");
    let second = bytes(&mut recorder);
    recorder.close(Duration::ZERO, 360_000_001);
    let last = bytes(&mut recorder);
    let ack = UsageAck {
        start: u64::MAX,
        ..ack(&[360_000_000], &[])
    };
    let ack = postcard::to_stdvec(&Datagram::UsageAck(ack)).unwrap().len() + TAG_BYTES;
    println!("24 workspaces {first:?}, one workspace {second:?}, total {last:?}, ack {ack}");
    assert!(first < vec![450] && second < vec![80] && last < vec![60]);
}

/// Guards against messages that are too long for a datagram, and against counts that are lost in splitting.
#[test]
fn messages_of_860_workspaces_fit_into_datagrams() {
    let mut recorder = recorder();
    for index in 0..860 {
        for _ in 0..=index % 3 {
            recorder.count(WINDOW, &format!("workspace-{index:04}"));
        }
    }
    recorder.close(Duration::ZERO, WINDOW + 1);
    let mut collector = Collector::new(Options::default());
    let messages = recorder.messages(&[HOLDER], MAX_DATAGRAM_BYTES);
    assert!(messages.len() <= 20, "{} datagrams", messages.len());
    let (mut bytes, count) = (0, messages.len());
    for (_, usage) in messages {
        let datagram = postcard::to_stdvec(&Datagram::Usage(usage.clone())).unwrap();
        assert!(
            datagram.len() + TAG_BYTES <= MAX_DATAGRAM_BYTES,
            "{} bytes",
            datagram.len()
        );
        bytes += datagram.len();
        collector.merge(WINDOW, &usage);
    }
    println!("860 workspaces: {bytes} bytes in {count} datagrams");
    assert_eq!(collector.counts(WINDOW), recorder.counts(WINDOW));
    assert_eq!(collector.incomplete_count(WINDOW), 0);
}

/// Guards against state of a holder that outgrows the machine's memory, and against snapshots that outgrow the lease
/// object.
#[test]
fn a_holder_of_620_entries_stays_small() {
    let mut collector = Collector::new(Options::default());
    for window in WINDOW..WINDOW + 5 {
        for entry in 0..620_u32 {
            let counts = (0..860).map(|index| UsageCount {
                workspace: format!("workspace-{index:04}").into(),
                count: 2,
            });
            let windows = vec![UsageWindow {
                window,
                total: Some(1720),
                counts: counts.collect(),
            }];
            let usage = Usage {
                entry: format!("entry-{entry}").into(),
                start: 1,
                windows,
            };
            collector.merge(window, &usage);
        }
    }
    assert_eq!(collector.incomplete_count(WINDOW + 4), 0);
    assert!(collector.snapshot(0, 64 << 10).is_empty());
    let kept = (WINDOW..WINDOW + 5).filter(|window| !collector.counts(*window).is_empty());
    assert!(kept.count() <= 5);
}

/// Guards against snapshots of an ordinary deployment that are not written because they are too long.
#[test]
fn a_snapshot_of_29_entries_and_24_workspaces_is_short() {
    let mut collector = Collector::new(Options::default());
    for window in WINDOW..WINDOW + 4 {
        for entry in 0..29_u32 {
            let counts = (0..24).map(|index| UsageCount {
                workspace: format!("workspace-{index:04}").into(),
                count: 200,
            });
            let windows = vec![UsageWindow {
                window,
                total: Some(4800),
                counts: counts.collect(),
            }];
            let usage = Usage {
                entry: format!("entry-{entry}").into(),
                start: u64::MAX,
                windows,
            };
            collector.merge(window, &usage);
        }
    }
    let snapshot = collector.snapshot(WINDOW, 64 << 10);
    println!(
        "29 entries, 24 workspaces, 3 windows: {} bytes",
        snapshot.len()
    );
    let mut restored = Collector::new(Options::default());
    assert!(restored.merge_snapshot(&snapshot));
    assert!(restored.counts(WINDOW).is_empty());
    assert_eq!(restored.counts(WINDOW + 1), collector.counts(WINDOW + 1));
    // Merging it again, or an invalid one, changes nothing.
    assert!(restored.merge_snapshot(&snapshot));
    assert!(!restored.merge_snapshot(&snapshot[..snapshot.len() / 2]));
    assert_eq!(restored.counts(WINDOW + 1), collector.counts(WINDOW + 1));
    let by_window: BTreeMap<_, _> = (0..4)
        .map(|index| (index, restored.incomplete_count(WINDOW + index)))
        .collect();
    assert_eq!(by_window[&3], 0);
}
