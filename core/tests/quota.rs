//! Shares of the requests that an upstream takes from all entries together.

use almondwell_core::quota::Quota;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Span in which the platform counts requests, and the least time between two of the test's requests at one entry.
const SPAN: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(20);

/// Times at which `entries` entries send to an upstream that names `limit`, where each has a request for it in each
/// step with the probability `demand`.
fn sent(entries: usize, limit: f64, demand: f64, seed: u64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut quotas = vec![Quota::default(); entries];
    let mut sent = Vec::new();
    let mut now = Duration::ZERO;
    while now < Duration::from_mins(2) {
        now += STEP;
        for quota in &mut quotas {
            let draw = rng.random();
            quota.update(now, limit, entries, draw);
            if rng.random_bool(demand) && quota.is_open(now) {
                quota.take(now, limit, entries, rng.random());
                sent.push(now);
            }
        }
    }
    sent
}

fn most_in_a_span(times: &[Duration]) -> usize {
    let count = |first: &Duration| {
        let in_span = times
            .iter()
            .filter(|at| **at >= *first && **at < *first + SPAN);
        in_span.count()
    };
    times.iter().map(count).max().unwrap_or_default()
}

macro_rules! cases {
    ($($name:ident: $entries:expr, $limit:expr;)*) => {
        $(#[test]
        fn $name() {
            (0..5).for_each(|seed| keeps_a_limit($entries, $limit, seed));
        })*
    };
}

// Guards against entries that together send more than a limit allows, however many they are.
cases! {
    a_limit_of_half_a_request_for_one_entry: 1, 0.5;
    a_limit_of_one_request_for_4_entries: 4, 1.0;
    a_limit_of_one_request_for_29_entries: 29, 1.0;
    a_limit_of_one_request_for_620_entries: 620, 1.0;
    a_limit_of_20_requests_for_4_entries: 4, 20.0;
    a_limit_of_20_requests_for_29_entries: 29, 20.0;
    a_limit_of_100_requests_for_300_entries: 300, 100.0;
}

/// The platform allows one and a half times the limit and five requests more in each span.
fn keeps_a_limit(entries: usize, limit: f64, seed: u64) {
    for demand in [0.02, 1.0] {
        let times = sent(entries, limit, demand, seed);
        let most = f64::from(u32::try_from(most_in_a_span(&times)).unwrap());
        let allowed = 1.5 * limit * SPAN.as_secs_f64() + 5.0;
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
    let times = sent(entries, limit, 1.0, seed);
    let rate = f64::from(u32::try_from(times.len()).unwrap()) / 120.0;
    assert!(rate >= 0.4 * limit, "seed {seed}: only {rate} a second");
}

#[test]
fn a_first_limit_opens_at_random_times() {
    let open_at_once = (0..100).filter(|draw| {
        let mut quota = Quota::default();
        quota.update(Duration::ZERO, 1.0, 100, f64::from(*draw) / 100.0);
        quota.is_open(Duration::from_millis(10))
    });
    assert!(open_at_once.count() <= 2);
}

#[test]
fn a_limit_of_zero_lets_a_request_through_now_and_then() {
    let times = sent(4, 0.0, 1.0, 1);
    assert!(!times.is_empty());
    assert!(most_in_a_span(&times) <= 5);
}
