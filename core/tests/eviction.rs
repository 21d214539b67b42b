//! Choice of the client that gives way when memory or connections are short.

use almondwell_core::eviction::{Activity, Candidate, Progress, closable, stalled};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

/// A client at `address` that holds `held` bytes, of which it sent `recent` some milliseconds `ago`.
fn receiving(address: u8, held: usize, recent: usize, ago: u64) -> Candidate<u8, usize> {
    let mut progress = Progress::default();
    progress.record(NOW.saturating_sub(Duration::from_millis(ago)), recent);
    Candidate {
        activity: Activity::Receiving(progress),
        address,
        held,
        id: 0,
    }
}

fn idle(address: u8, milliseconds: u64) -> Candidate<u8, usize> {
    Candidate {
        activity: Activity::Idle(NOW.saturating_sub(Duration::from_millis(milliseconds))),
        address,
        held: 0,
        id: 0,
    }
}

/// The candidates with their index as identifier.
fn numbered<const N: usize>(
    candidates: [Candidate<u8, usize>; N],
) -> impl Iterator<Item = Candidate<u8, usize>> {
    let numbered = candidates.into_iter().enumerate();
    numbered.map(|(id, candidate)| Candidate { id, ..candidate })
}

macro_rules! cases {
    ($($name:ident: $chosen:expr, $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!($chosen, $expected);
        })*
    };
}

cases! {
    // Guards against large bodies that displace others although they make progress.
    a_body_without_progress_gives_way: stalled(NOW, 1.0, numbered([receiving(1, 1000, 1000, 0), receiving(1, 1000, 1000, 5000)])), Some(1);
    a_body_that_drips_gives_way: stalled(NOW, 1.0, numbered([receiving(1, 1_000_000, 100, 0), receiving(1, 1000, 900, 0)])), Some(0);
    the_least_progress_for_its_bytes_gives_way: stalled(NOW, 1.0, numbered([receiving(1, 1000, 100, 0), receiving(1, 100_000, 100, 0), receiving(1, 2000, 100, 0)])), Some(1);
    // Guards against bodies that displace each other for ever, so that none finishes.
    bodies_with_similar_progress_stay: stalled(NOW, 1.0, numbered([receiving(1, 1000, 800, 0), receiving(1, 1000, 900, 0)])), None;
    a_body_that_drips_displaces_none_like_it: stalled(NOW, 0.01, numbered([receiving(1, 1000, 10, 0), receiving(1, 1000, 20, 0)])), None;
    // Guards against evictions that free nothing.
    a_client_that_holds_nothing_stays: stalled(NOW, 1.0, numbered([receiving(1, 0, 0, 0), idle(1, 60_000)])), None;
    // Guards against new connections that close those with an unfinished request first.
    an_idle_connection_closes_first: closable(NOW, numbered([receiving(1, 1000, 1000, 60_000), idle(1, 1000)])), Some(1);
    the_address_with_most_connections_closes_one: closable(NOW, numbered([idle(1, 9000), idle(2, 1000), idle(2, 2000)])), Some(2);
    the_longest_idle_connection_closes: closable(NOW, numbered([idle(1, 1000), idle(1, 3000), idle(1, 2000)])), Some(1);
    a_stalled_request_closes_without_idle_ones: closable(NOW, numbered([receiving(1, 1000, 1000, 0), receiving(1, 1000, 1000, 9000)])), Some(1);
    // Guards against floods of connections that close new ones before their first request arrives.
    a_new_connection_stays: closable(NOW, numbered([idle(1, 100)])), None;
    a_request_with_progress_stays: closable(NOW, numbered([receiving(1, 1000, 1000, 0)])), None;
}
