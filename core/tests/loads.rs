//! Load reports of engines that entries pass on to each other.

use almondwell_core::backlog::{Backlog, Report};
use almondwell_core::peers::{Options, Peers};
use almondwell_core::placement::{self, Candidate, Prompt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Prefill rate of the engines in tokens per millisecond.
const RATE: f64 = 50.0;
/// Prefill time of one request.
const PREFILL: Duration = Duration::from_millis(150);
/// Time between two rounds of the exchange.
const PERIOD: Duration = Duration::from_millis(250);
/// Rounds in which a report is passed on, up to an age of 1.5 s.
const ROUNDS: u32 = 6;

fn milliseconds(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Each case gives the age of a report in milliseconds, the number of requests that waited, and the estimated wait.
macro_rules! waits {
    ($($name:ident: $age:expr, $waiting:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let report = Report { age: milliseconds($age), waiting: $waiting };
            assert_eq!(report.wait(PREFILL), milliseconds($expected));
        })*
    };
}

waits! {
    // Guards against an estimate that ignores the requests of other entries.
    each_waiting_request_adds_its_prefill: 0, 4 => 600;
    // Guards against a queue that counts in full though it has been drained meanwhile.
    a_queue_drains_while_the_report_ages: 500, 4 => 100;
    // Guards against an underflow.
    an_old_report_of_a_short_queue_counts_nothing: 900, 4 => 0;
    // Guards against an engine with running requests alone being taken for a busy one.
    an_engine_without_a_queue_has_no_wait: 0, 0 => 0;
}

/// Load: 24 entries send long prompts to the engines of a band, and each sees few of the requests that wait at one
/// engine. Guards against an entry that sends to an engine whose queue others built.
#[test]
fn avoids_a_queue_that_other_entries_built() {
    let backlog = Backlog::default();
    let report = Report {
        age: milliseconds(300),
        waiting: 20,
    };
    let own = backlog.wait(milliseconds(1000), RATE);
    let candidate = |id, wait| Candidate {
        distance: placement::Distance::Zone,
        failures: 0.0,
        has_parts: false,
        id,
        inflight: 0,
        reported: None,
        slots: 64,
        wait,
    };
    let prompt = Some(Prompt {
        shared_prefix: None,
        prefill: Duration::ZERO,
    });
    let choose = |wait| {
        let candidates = [
            candidate("busy", wait),
            candidate("idle", milliseconds(100)),
        ];
        placement::choose(&placement::Options::default(), prompt, &candidates)
    };
    assert_eq!(
        choose(own),
        Some(0),
        "the entry's own backlog hides the queue"
    );
    assert_eq!(choose(own.max(report.wait(PREFILL))), Some(1));
}

/// Share of `count` entries that know a report, which one of them got, while it may be used.
fn share_reached(count: u32, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let address = |index: u32| -> SocketAddr { (Ipv4Addr::from_bits(index + 1), 8229).into() };
    let mut entries: Vec<Peers<()>> = (0..count)
        .map(|index| Peers::new(Options::default(), address(index), Vec::new()))
        .collect();
    let all: Vec<_> = (0..count).map(address).collect();
    for entry in &mut entries {
        entry.add_hints(Duration::ZERO, &all);
    }
    let mut knows = vec![false; count as usize];
    knows[0] = true;
    for round in 1..=ROUNDS {
        let age = PERIOD * round;
        let before = knows.clone();
        for (entry, _) in entries.iter_mut().zip(before).filter(|(_, knows)| *knows) {
            for target in entry.gossip_targets(age, |below| rng.random_range(0..below)) {
                let SocketAddr::V4(target) = target else {
                    continue;
                };
                knows[target.ip().to_bits() as usize - 1] = true;
            }
        }
    }
    let reached = knows.iter().filter(|knows| **knows).count();
    f64::from(u32::try_from(reached).unwrap_or(u32::MAX)) / f64::from(count)
}

/// Each case gives a number of entries. Guards against reports that expire before most entries have them.
macro_rules! fleets {
    ($($name:ident: $count:expr;)*) => {
        $(#[test]
        fn $name() {
            for seed in 0..10 {
                let share = share_reached($count, seed);
                assert!(share > 0.9, "seed {seed}: {share}");
            }
        })*
    };
}

fleets! {
    a_report_reaches_a_fleet_of_24: 24;
    a_report_reaches_a_fleet_of_620: 620;
}
