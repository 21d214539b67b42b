//! Processor time of a decision, by number of upstreams.

use super::size::PLACES;
use almondwell_core::{
    Answer, Binding, Directory, LinkBudget, Queue, Reservation, Settings, Site, Step,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use std::time::{Duration, Instant};

const DECISIONS: u32 = 200_000;
const ROUNDS: usize = 5;
/// Reservations that wait at each side while decisions are timed.
const BACKLOG: u128 = 64;
const SAMPLES: usize = 3;

/// Processor time of a decision.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Cost {
    /// Entry's choice of sides.
    pub(crate) choice: f64,
    /// Entry's choice, and one side's reservation, offer, start and finish.
    pub(crate) micros: f64,
    pub(crate) upstreams: usize,
}

/// Least of a few rounds, since other processes share the machine.
pub(crate) fn measure(seed: u64) -> Vec<Cost> {
    [10, 100, 600, 2400]
        .into_iter()
        .map(|upstreams| {
            let choice = least(|| choose(upstreams, seed));
            let queue = least(|| serve(seed));
            Cost {
                choice,
                micros: choice + queue,
                upstreams,
            }
        })
        .collect()
}

fn least(round: impl Fn() -> Duration) -> f64 {
    (0..ROUNDS)
        .map(|_| round().as_secs_f64() * 1e6 / f64::from(DECISIONS))
        .fold(f64::INFINITY, f64::min)
}

fn choose(upstreams: usize, seed: u64) -> Duration {
    let sites: Vec<_> = (0..upstreams)
        .map(|side| Site {
            is_local: true,
            side,
        })
        .collect();
    let directory = Directory::new(&sites, |side| side as u64);
    let mut random = StdRng::seed_from_u64(seed);
    let mut spill = LinkBudget::new(1 << 20);
    let start = Instant::now();
    for number in 0..u64::from(DECISIONS) {
        let mut binding = Binding::new(SAMPLES, number, 0);
        let mut asked = binding.start(&mut random, &directory);
        let wait = Duration::from_millis(1);
        while let Some(side) = asked.pop() {
            let step = binding.queued(wait, side, wait, &mut random, &directory, &mut spill);
            if let Step::Ask(sides) = step {
                asked.extend(sides);
            }
        }
        std::hint::black_box(binding);
    }
    start.elapsed()
}

fn serve(seed: u64) -> Duration {
    let mut queue = Queue::new(Settings {
        admission: false,
        slots: PLACES,
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
    for request in BACKLOG..BACKLOG + u128::from(DECISIONS) {
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
