//! CPU time of a placement decision by the number of upstreams.

use super::size::SLOTS;
use almondwell_core::{
    Answer, Binding, Directory, LinkBudget, Queue, Reservation, Settings, Site, Step,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use std::time::{Duration, Instant};

const DECISIONS_PER_ROUND: u32 = 200_000;
const ROUNDS: usize = 5;
/// Reservations that wait at the side while decisions are timed.
const BACKLOG: u128 = 64;
/// Number of sides in the sample of each decision.
const SAMPLES: usize = 3;

/// CPU time of a placement decision, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Cost {
    /// Choice of sides by the entry.
    pub(crate) choice: f64,
    /// Choice of sides by the entry, and reservation, offer, start and finish at one side.
    pub(crate) micros: f64,
    pub(crate) upstreams: usize,
}

/// Measures the cost for several numbers of upstreams. Takes the minimum of `ROUNDS` rounds, since
/// other processes share the machine.
pub(crate) fn measure(seed: u64) -> Vec<Cost> {
    [10, 100, 600, 2400]
        .into_iter()
        .map(|upstreams| {
            let choice = min_micros(|| time_choice(upstreams, seed));
            let queue = min_micros(|| time_queue(seed));
            Cost {
                choice,
                micros: choice + queue,
                upstreams,
            }
        })
        .collect()
}

/// Minimum time per decision over all rounds, in microseconds.
fn min_micros(round: impl Fn() -> Duration) -> f64 {
    (0..ROUNDS)
        .map(|_| round().as_secs_f64() * 1e6 / f64::from(DECISIONS_PER_ROUND))
        .fold(f64::INFINITY, f64::min)
}

/// Times the entry's choice of sides.
fn time_choice(upstreams: usize, seed: u64) -> Duration {
    let sites: Vec<_> = (0..upstreams)
        .map(|side| Site {
            is_local: true,
            side,
        })
        .collect();
    let directory = Directory::new(&sites, |side| side as u64);
    let mut random = StdRng::seed_from_u64(seed);
    let mut link_budget = LinkBudget::new(1 << 20);
    let start = Instant::now();
    for number in 0..u64::from(DECISIONS_PER_ROUND) {
        let mut binding = Binding::new(SAMPLES, number, 0);
        let mut pending = binding.start(&mut random, &directory);
        let wait = Duration::from_millis(1);
        while let Some(side) = pending.pop() {
            let step = binding.queued(wait, side, wait, &mut random, &directory, &mut link_budget);
            if let Step::Ask(sides) = step {
                pending.extend(sides);
            }
        }
        std::hint::black_box(binding);
    }
    start.elapsed()
}

/// Times reservation, offer, start and finish at one side.
fn time_queue(seed: u64) -> Duration {
    let mut queue = Queue::new(Settings {
        admission: false,
        slots: SLOTS,
        ..Settings::default()
    });
    let mut now = Duration::from_secs(seed % 2);
    for request in 0..BACKLOG {
        queue.reserve(now, reservation(request));
    }
    let mut running: std::collections::VecDeque<_> =
        std::iter::from_fn(|| queue.next(now)).collect();
    for offer in &running {
        let _ = queue.start(now, offer.ticket, offer.request);
    }
    let start = Instant::now();
    for request in BACKLOG..BACKLOG + u128::from(DECISIONS_PER_ROUND) {
        now += Duration::from_millis(1);
        if let Some(offer) = running.pop_front() {
            queue.finish(now, offer.ticket);
        }
        let answer = queue.reserve(now, reservation(request));
        debug_assert!(!matches!(answer, Answer::Refused(..)));
        if let Some(offer) = queue.next(now) {
            let _ = queue.start(now, offer.ticket, offer.request);
            running.push_back(offer);
        }
    }
    start.elapsed()
}

fn reservation(request: u128) -> Reservation<()> {
    let classes = ["urgent", "summary", "review", "draft"];
    let class = usize::try_from(request % 4).unwrap_or(0);
    let workspaces = ["w0", "w1", "w2", "w3", "w4"];
    let workspace = usize::try_from(request / 4 % 5).unwrap_or(0);
    Reservation {
        class: classes[class].into(),
        copies: 3,
        from: (),
        left: Duration::from_hours(1),
        priority: 0,
        request,
        share: 1,
        target: Duration::from_secs(2),
        tier: u8::try_from(class).unwrap_or(0),
        workspace: workspaces[workspace].into(),
    }
}
