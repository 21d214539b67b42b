//! Choice of the entry to fetch from, and of the time.

use almondwell_core::fetches::{Contents, Fetches, Next, Options, Outcome, Reach};
use almondwell_core::position::Position;
use std::net::SocketAddr;
use std::time::Duration;

const OWN: Contents = Contents {
    version: 7,
    position: Position::unpack(70),
};
/// Position with a lower revision than that of `OWN`, in a later era.
const LATER_ERA: u64 = (1 << 40) + 5;
/// An offer of the same contents.
const SAME: (u64, u64) = (7, 70);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn address(index: usize) -> SocketAddr {
    let port = 8000 + u16::try_from(index).expect("tests have few entries");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn offers(offers: &[(u64, u64)]) -> Vec<(SocketAddr, Contents)> {
    let contents = offers
        .iter()
        .map(|(version, revision)| Contents {
            version: *version,
            position: Position::unpack(*revision),
        })
        .enumerate();
    contents
        .map(|(index, contents)| (address(index), contents))
        .collect()
}

const fn reach(is_current: bool) -> Reach {
    Reach {
        configuration: is_current,
        upstreams: is_current,
    }
}

fn next(fetches: &mut Fetches, now: Duration, is_current: bool, offered: &[(u64, u64)]) -> Next {
    let offers = offers(offered).into_iter();
    fetches.next(now, OWN, reach(is_current), offers, |below| below - 1)
}

/// What `next` decides: the index of the entry to fetch from, or the time to decide again.
#[derive(Debug, Eq, PartialEq)]
enum Decision {
    At(u64),
    From(usize),
    Idle,
}

macro_rules! cases {
    ($($name:ident: $past:expr, $now:expr, $is_current:expr, $offers:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut fetches = Fetches::default();
            for (now, from, outcome) in $past {
                fetches.record(at(now), address(from), outcome);
            }
            let decided = match next(&mut fetches, at($now), $is_current, &$offers) {
                Next::At(time) => Decision::At(u64::try_from(time.as_millis()).unwrap()),
                Next::Fetch(from, _) => Decision::From(usize::from(from.port()) - 8000),
                Next::Idle => Decision::Idle,
            };
            assert_eq!(decided, $expected);
        })*
    };
}

const NOTHING: [(u64, usize, Outcome); 0] = [];

// Guards against fetches of old contents, from entries that just failed, and beside the store's own watch.
cases! {
    asks_nobody_when_nothing_is_newer: NOTHING, 0, false, [SAME, (6, 60)] => Decision::Idle;
    asks_for_the_newest_version: NOTHING, 0, false, [(8, 80), (10, 90), (9, 100)] => Decision::From(1);
    asks_for_upstreams_of_a_later_era: NOTHING, 0, false, [SAME, (7, LATER_ERA), (7, 90)] => Decision::From(1);
    asks_for_newer_upstreams_without_the_store: NOTHING, 0, false, [SAME, (7, 71)] => Decision::From(1);
    leaves_upstreams_to_the_store: NOTHING, 0, true, [SAME, (7, 71)] => Decision::Idle;
    leaves_a_new_version_to_the_store_at_first: NOTHING, 500, true, [SAME, (8, 80)] => Decision::At(1500);
    prefers_newer_upstreams_of_equal_versions: NOTHING, 0, false, [(8, 80), (8, 81), (8, 79)] => Decision::From(1);
    asks_another_while_the_first_is_busy: [(0, 1, Outcome::Busy)], 10, false, [(8, 80), (9, 80)] => Decision::From(0);
    waits_while_all_are_busy: [(0, 0, Outcome::Busy), (100, 1, Outcome::Busy)], 110, false, [(9, 80), (9, 80)] => Decision::At(300);
    asks_again_after_a_failure: [(0, 0, Outcome::Failed)], 1000, false, [(9, 80)] => Decision::From(0);
    waits_longer_after_each_failure: [(0, 0, Outcome::Failed), (1000, 0, Outcome::Failed)], 1500, false, [(9, 80)] => Decision::At(3000);
    asks_at_once_after_a_success: [(0, 0, Outcome::Failed), (1000, 0, Outcome::Fetched)], 1001, false, [(9, 80)] => Decision::From(0);
}

/// Guards against a store watch that went silent and is waited for for too long.
#[test]
fn fetches_a_version_that_the_store_does_not_report() {
    let mut fetches = Fetches::default();
    assert_eq!(
        next(&mut fetches, at(100), true, &[(8, 80)]),
        Next::At(at(1100))
    );
    assert_eq!(
        next(&mut fetches, at(900), true, &[(9, 90)]),
        Next::At(at(1100))
    );
    let fetch = next(&mut fetches, at(1100), true, &[(9, 90)]);
    assert!(matches!(fetch, Next::Fetch(..)), "{fetch:?}");
}

/// Guards against fetches beside a watch that makes progress while versions come in quick succession.
#[test]
fn leaves_versions_to_a_store_that_reports_them() {
    let mut fetches = Fetches::default();
    for version in 8..40_u64 {
        let own = Contents { version, ..OWN };
        let now = at(version * 400);
        let newer = offers(&[(version + 2, 80)]);
        let decided = fetches.next(now, own, reach(true), newer.into_iter(), |_| 0);
        assert_eq!(decided, Next::At(now + Options::default().store_lead));
    }
}

/// Guards against a version that is fetched again and again though it cannot be decoded.
#[test]
fn an_invalid_version_is_not_fetched_again() {
    let mut fetches = Fetches::default();
    fetches.reject(9);
    assert_eq!(
        next(&mut fetches, at(0), false, &[(9, 70), (9, 70)]),
        Next::Idle
    );
    let fetch = next(&mut fetches, at(0), false, &[(9, 70), (8, 70)]);
    assert!(
        matches!(fetch, Next::Fetch(from, _) if from == address(1)),
        "{fetch:?}"
    );
}

/// Guards against all entries asking the same one.
#[test]
fn equal_offers_are_chosen_at_random() {
    let chosen = |index| {
        let offers = offers(&[(9, 80), (8, 99), (9, 80), (9, 80)]);
        Fetches::default().next(at(0), OWN, reach(false), offers.into_iter(), |below| {
            assert_eq!(below, 3);
            index
        })
    };
    let Next::Fetch(first, _) = chosen(0) else {
        panic!("expected a fetch");
    };
    let Next::Fetch(last, _) = chosen(2) else {
        panic!("expected a fetch");
    };
    assert_eq!((first, last), (address(0), address(3)));
}

/// Guards against an invalid configuration that is sent with each list of upstreams.
#[test]
fn an_invalid_version_is_not_asked_for_with_upstreams() {
    let mut fetches = Fetches::default();
    let offer = |version| Contents {
        version,
        position: Position::unpack(90),
    };
    fetches.reject(9);
    assert_eq!(fetches.known_version(OWN, offer(9)), 9);
    assert_eq!(fetches.known_version(OWN, offer(10)), OWN.version);
    assert_eq!(fetches.known_version(OWN, offer(0)), OWN.version);
}

/// Guards against a list of another entry, which lists removed upstreams for a while, beside the store's own.
#[test]
fn upstreams_are_left_to_a_watch_of_them() {
    let decide = |configuration, upstreams| {
        let reach = Reach {
            configuration,
            upstreams,
        };
        let offers = offers(&[(7, 71)]).into_iter();
        Fetches::default().next(at(0), OWN, reach, offers, |_| 0)
    };
    assert_eq!(decide(false, true), Next::Idle);
    assert!(matches!(decide(true, false), Next::Fetch(..)));
}
