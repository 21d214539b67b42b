//! Requests that leave an availability zone whose own upstreams are too few.

use almondwell_core::zone_share::{Times, ZoneShare, expected_time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const fn milliseconds(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

const TARGET: Duration = milliseconds(300);

const fn times(local: Option<u64>, remote: Option<u64>) -> Times {
    const fn time(time: Option<u64>) -> Option<Duration> {
        match time {
            Some(time) => Some(milliseconds(time)),
            None => None,
        }
    }
    Times {
        local: time(local),
        remote: time(remote),
    }
}

/// Share after `seconds` with the same expected times.
fn share_after(seconds: u64, times: Times) -> f64 {
    let mut share = ZoneShare::default();
    for tick in 0..seconds * 20 {
        share.leaves(milliseconds(tick * 50), TARGET, times, 0.5);
    }
    share.share()
}

/// Each case gives the expected times here and elsewhere in milliseconds, and bounds of the share after 3 s.
macro_rules! cases {
    ($($name:ident: $local:expr, $remote:expr => $bounds:expr;)*) => {
        $(#[test]
        fn $name() {
            let share = share_after(3, times($local, $remote));
            assert!($bounds.contains(&share), "{share}");
        })*
    };
}

cases! {
    // Guards against traffic that leaves though callers would not notice the difference.
    a_zone_that_is_fast_enough_keeps_its_requests: Some(140), Some(40) => 0.0..=0.0;
    // Guards against requests that leave for a place that is no better.
    requests_stay_if_other_zones_are_slower: Some(400), Some(450) => 0.0..=0.0;
    // Guards against a zone whose upstreams are too few and that keeps all requests.
    requests_leave_an_overloaded_zone: Some(900), Some(40) => 0.9..=0.96;
}

/// Guards against an overflow on a load that an upstream or another entry makes up.
#[test]
fn a_load_beyond_reason_is_no_overflow() {
    let time = expected_time(milliseconds(30), u32::MAX, 6);
    assert!(time > Duration::from_hours(1), "{time:?}");
}

#[test]
fn all_requests_leave_a_zone_without_upstreams() {
    let mut share = ZoneShare::default();
    assert!(share.leaves(Duration::ZERO, TARGET, times(None, Some(40)), 0.99));
}

/// Guards against requests to zones that are cut off or of which nothing recent is known.
#[test]
fn requests_stay_while_no_other_zone_is_usable() {
    let mut share = ZoneShare::default();
    for tick in 0..40 {
        share.leaves(
            milliseconds(tick * 50),
            TARGET,
            times(Some(900), Some(40)),
            0.5,
        );
    }
    assert!(!share.leaves(milliseconds(2000), TARGET, times(Some(900), None), 0.0));
}

/// The load: callers of one zone double for 10 s, within a second. Four entries of the zone know the queues by reports that
/// are 300 ms old.
struct Zone {
    /// Requests at the upstreams here and elsewhere.
    queues: [f64; 2],
    reports: Vec<[f64; 2]>,
    rng: StdRng,
    shares: [ZoneShare; 4],
}

impl Zone {
    const STEP: Duration = milliseconds(10);
    const REPORT_AGE_STEPS: usize = 30;
    const SLOTS: u32 = 6;
    const BASE: Duration = milliseconds(30);
    const WAY: Duration = milliseconds(24);

    /// Plays one step with `arrivals` requests at the zone; returns the expected time here.
    fn step(&mut self, now: Duration, arrivals: f64) -> Duration {
        let known = self.reports.len().checked_sub(Self::REPORT_AGE_STEPS);
        let known = known.map_or([0.0; 2], |index| self.reports[index]);
        // Queues are far below 2^32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let time = |queue: f64| expected_time(Self::BASE, queue as u32, Self::SLOTS);
        let times = Times {
            local: Some(time(known[0])),
            remote: Some(time(known[1]) + Self::WAY),
        };
        for share in &mut self.shares {
            let leaving = (0..100)
                .filter(|_| share.leaves(now, TARGET, times, self.rng.random()))
                .count();
            let leaving = f64::from(u32::try_from(leaving).unwrap()) / 100.0;
            self.queues[0] += arrivals / 4.0 * (1.0 - leaving);
            self.queues[1] += arrivals / 4.0 * leaving;
        }
        let served = f64::from(Self::SLOTS) * Self::STEP.div_duration_f64(Self::BASE);
        for queue in &mut self.queues {
            *queue = (*queue - served).max(0.0);
        }
        self.reports.push(self.queues);
        time(self.queues[0])
    }
}

/// Longest expected time in the zone after the first two seconds of a peak of 1.5 times its capacity, the range of the
/// share meanwhile, and the share 3 s after the peak.
fn play(seed: u64) -> (Duration, f64, f64) {
    let mut zone = Zone {
        queues: [0.0; 2],
        reports: Vec::new(),
        rng: StdRng::seed_from_u64(seed),
        shares: [ZoneShare::default(); 4],
    };
    let (mut longest, mut shares) = (Duration::ZERO, Vec::new());
    for step in 0..1800 {
        let now = Zone::STEP * step;
        let is_peak = (300..1300).contains(&step);
        // 200 requests a second are the capacity.
        let time = zone.step(now, if is_peak { 3.0 } else { 1.2 });
        if is_peak && step > 500 {
            longest = longest.max(time);
            shares.push(zone.shares[0].share());
        }
    }
    let least = shares.iter().copied().fold(1.0, f64::min);
    let most = shares.iter().copied().fold(0.0, f64::max);
    (longest, most - least, zone.shares[0].share())
}

/// Guards against queues that grow for as long as the peak lasts, a share that swings from one end to the other, and requests that
/// go on leaving after it.
#[test]
fn a_peak_is_served_without_oscillation() {
    for seed in 0..10 {
        let (longest, swing, after) = play(seed);
        assert!(longest <= TARGET, "seed {seed}: {longest:?}");
        assert!(swing < 0.6, "seed {seed}: {swing}");
        assert!(after < 0.05, "seed {seed}: {after}");
    }
}
