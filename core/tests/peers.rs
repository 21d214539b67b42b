//! Discovery of entries by one another.

use almondwell_core::peers::{Options, Peers};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Share of messages that are lost.
const LOSS: f64 = 0.05;

type Entry = Peers<()>;

/// Address of the entry `index`.
fn address(index: usize) -> SocketAddr {
    let [_, a, b, c] = u32::try_from(index).unwrap().to_be_bytes();
    (Ipv4Addr::new(10, a, b, c), 8229).into()
}

/// Index of the entry at `address`.
fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => address.ip().to_bits() as usize & 0xff_ffff,
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// A fleet in which all entries know the same three from the start.
struct Fleet {
    entries: Vec<Entry>,
    now: Duration,
    rng: StdRng,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let seeds: Vec<_> = (0..3)
            .map(|_| address(rng.random_range(0..count)))
            .collect();
        let entry = |index| Entry::new(Options::default(), address(index), seeds.clone());
        Self {
            entries: (0..count).map(entry).collect(),
            now: Duration::ZERO,
            rng,
        }
    }

    /// Lets the entries below `live` exchange messages for `time`.
    fn run(&mut self, time: Duration, live: usize) {
        let end = self.now + time;
        while self.now < end {
            self.now += self.entries[0].period(self.now);
            for from in 0..live {
                let rng = &mut self.rng;
                let entry = &mut self.entries[from];
                let targets = entry.gossip_targets(self.now, |below| rng.random_range(0..below));
                let hints = entry.hints(|below| rng.random_range(0..below));
                for target in targets {
                    let to = index(target);
                    if to < live && self.send(from, to, &hints) {
                        let rng = &mut self.rng;
                        let hints = self.entries[to].hints(|below| rng.random_range(0..below));
                        self.send(to, from, &hints);
                    }
                }
            }
        }
    }

    /// Sends a message; returns whether its receiver replies, as to a first one.
    fn send(&mut self, from: usize, to: usize, hints: &[SocketAddr]) -> bool {
        if self.rng.random_bool(LOSS) {
            return false;
        }
        let is_new = self.entries[to].record_message(self.now, address(from), ());
        self.entries[to].add_hints(self.now, hints);
        is_new
    }

    /// Smallest share of `others` that an entry below `live` would send a report to.
    fn least_known(&self, live: usize, others: std::ops::Range<usize>) -> f64 {
        let shares = (0..live).map(|index| {
            let known = self.entries[index].addresses().map(self::index);
            let known: BTreeSet<_> = known.filter(|other| others.contains(other)).collect();
            let expected = others.clone().filter(|other| *other != index);
            ratio(known.len(), expected.count())
        });
        shares.fold(1.0, f64::min)
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    f64::from(u32::try_from(part).unwrap()) / f64::from(u32::try_from(whole).unwrap())
}

macro_rules! cases {
    ($($name:ident: $count:expr;)*) => {
        $(#[test]
        fn $name() {
            (0..5).for_each(|seed| discovers($count, seed));
        })*
    };
}

// Guards against crash reports, and shares of the retry budget, that reach only the entries which happen to be known.
cases! {
    discovers_a_small_fleet: 5;
    discovers_a_fleet_of_29: 29;
    discovers_a_fleet_of_100: 100;
    discovers_a_fleet_of_300: 300;
    discovers_a_fleet_of_620: 620;
}

/// Within the time that the platform allows before traffic starts, each entry knows the others.
fn discovers(count: usize, seed: u64) {
    let mut fleet = Fleet::new(count, seed);
    fleet.run(Duration::from_secs(10), count);
    let least = fleet.least_known(count, 0..count);
    assert!(least >= 0.9, "seed {seed}: after 10 s {least}");
    fleet.run(Duration::from_secs(30), count);
    let least = fleet.least_known(count, 0..count);
    assert!(least >= 0.98, "seed {seed}: after 40 s {least}");
    let known = fleet.entries[0].count(fleet.now);
    assert!(known <= count, "seed {seed}: {known} of {count}");
}

/// An entry that left is dropped everywhere, though others go on naming what they know.
#[test]
fn forgets_entries_that_left() {
    let mut fleet = Fleet::new(60, 1);
    fleet.run(Duration::from_secs(20), 60);
    let left = 50..60;
    fleet.run(Duration::from_mins(1), 50);
    let known = (0..50).filter(|index| {
        let mut addresses = fleet.entries[*index].addresses();
        addresses.any(|known| left.clone().any(|index| address(index) == known))
    });
    assert_eq!(known.count(), 0);
}
