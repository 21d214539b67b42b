//! A fleet of entries with their clocks, the datagrams between them, a store and a provider.

mod entry;
mod report;

pub use entry::Fault;
pub use report::Report;

use almondwell_core::time_offset::TimeOffset;
use almondwell_core::usage::{Collector, Counts, Receiver, Recorder, Window};
use almondwell_schema::Usage;
use entry::{Entry, Packet, Process, address, options, receiver, shift};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
/// Time between two sends of an entry.
const PERIOD: Duration = Duration::from_millis(250);
/// Time between two rounds of gossip, which also name the holder.
const GOSSIP_PERIOD: Duration = Duration::from_secs(1);
/// Number of entries that keep counts.
const KEEPERS: usize = 3;
/// True time of the start; not a multiple of a window.
const START: Duration = Duration::from_millis(1_800_000_001_300);
const LENGTH: Duration = Duration::from_secs(50);
const WORKSPACES: usize = 6;
/// Time after the start of a process before which it gets no requests: those who send them check its readiness.
const UNREADY: Duration = Duration::from_millis(1500);
const MAX_DATAGRAM_BYTES: usize = 1400;

pub struct Simulation {
    count: usize,
    entries: Vec<Entry>,
    /// Datagrams in flight by time of arrival.
    flight: Vec<(Duration, usize, usize, Packet)>,
    held_since: Duration,
    holder: (usize, u64),
    /// Whether the process that acquired the lease runs.
    is_held: bool,
    /// The lease object: the last window that was reported, and the snapshot.
    lease: (Window, Vec<u8>),
    loss: f64,
    now: Duration,
    repeats: f64,
    reports: Vec<Report>,
    rng: StdRng,
    starts: u64,
    store: BTreeMap<usize, Usage>,
    truth: BTreeMap<Window, Counts>,
    worst_time_error: Duration,
}

impl Simulation {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries = (0..count).map(|_| Entry {
            booted_at: START.saturating_sub(Duration::from_secs(rng.random_range(10..100_000))),
            frozen_until: Duration::ZERO,
            inbox: Vec::new(),
            is_cut_off: false,
            process: None,
            wall_error_ms: 0,
        });
        let entries = entries.collect();
        let mut simulation = Self {
            count,
            entries,
            flight: Vec::new(),
            held_since: START,
            holder: (0, 1),
            is_held: true,
            lease: (options().window_at(START) - 1, Vec::new()),
            loss: 0.01,
            now: START,
            repeats: 0.01,
            reports: Vec::new(),
            rng,
            starts: 0,
            store: BTreeMap::new(),
            truth: BTreeMap::new(),
            worst_time_error: Duration::ZERO,
        };
        (0..count).for_each(|index| simulation.start(index));
        simulation
    }

    /// The reports, in the order of their sending.
    pub fn reports(&self) -> &[Report] {
        &self.reports
    }

    /// Largest difference of an entry's time from true time, from 5 s after the start.
    pub const fn time_error(&self) -> Duration {
        self.worst_time_error
    }

    pub fn run(&mut self, faults: &[(u64, Fault)]) {
        let mut faults: Vec<_> = faults
            .iter()
            .flat_map(|(at, fault)| {
                let restart = matches!(fault, Fault::KillAll)
                    .then(|| (0..self.count).map(|index| (at + 500, Fault::Restart(index))));
                restart
                    .into_iter()
                    .flatten()
                    .chain([(*at, *fault)])
                    .collect::<Vec<_>>()
            })
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        let mut faults = faults.into_iter().peekable();
        let end = START + LENGTH;
        while self.now < end {
            let due = self.now.saturating_sub(START);
            while let Some((_, fault)) = faults.next_if(|(at, _)| Duration::from_millis(*at) <= due)
            {
                self.apply(fault);
            }
            self.step();
            self.now += STEP;
        }
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::CutOff(index) => self.entries[index].is_cut_off = true,
            Fault::Freeze(index, time) => {
                self.entries[index].frozen_until = self.now + Duration::from_millis(time);
            }
            Fault::Holder(index) => self.take_over(index),
            Fault::Jump(index, error_ms) => self.entries[index].wall_error_ms = error_ms,
            Fault::Kill(index) => self.kill(index),
            Fault::KillAll => (0..self.count).for_each(|index| self.kill(index)),
            Fault::Loss(share) => self.loss = share,
            Fault::Repeats(share) => self.repeats = share,
            Fault::Restart(index) => self.start(index),
        }
    }

    fn kill(&mut self, index: usize) {
        self.entries[index].process = None;
        self.entries[index].inbox.clear();
        self.is_held &= self.holder.0 != index;
    }

    fn start(&mut self, index: usize) {
        self.starts += 1;
        let name = format!("entry-{index}");
        self.entries[index].process = Some(Process {
            collector: Collector::new(options()),
            holder: self.holder,
            offset: TimeOffset::default(),
            recorder: Recorder::new(options(), name.into(), self.starts),
            started_at: self.now,
            true_offset: Duration::ZERO,
        });
    }

    fn take_over(&mut self, index: usize) {
        self.holder = (index, self.holder.1 + 1);
        self.held_since = self.now;
        self.is_held = true;
        if let Some(process) = &mut self.entries[index].process {
            process.holder = self.holder;
            process.collector.merge_snapshot(&self.lease.1);
            process.collector.forget(self.lease.0);
        }
    }

    fn is_due(&self, index: usize, period: Duration) -> bool {
        let phase = STEP * u32::try_from(index * 3 % 25).unwrap();
        let time = (self.now + phase).saturating_sub(START);
        time.as_millis().is_multiple_of(period.as_millis())
    }

    fn step(&mut self) {
        let (arrived, flight) = std::mem::take(&mut self.flight)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.flight = flight;
        for (_, from, to, packet) in arrived {
            if self.entries[to].process.is_some() {
                self.entries[to].inbox.push((from, packet));
            }
        }
        for index in 0..self.count {
            let entry = &self.entries[index];
            if entry.process.is_none() || entry.frozen_until > self.now {
                continue;
            }
            for (from, packet) in std::mem::take(&mut self.entries[index].inbox) {
                self.receive(index, from, packet);
            }
            if self.is_due(index, PERIOD) {
                self.tick(index);
            }
            let period = if self.is_new(index) {
                PERIOD
            } else {
                GOSSIP_PERIOD
            };
            if self.is_due(index, period) {
                self.gossip(index);
            }
            self.request(index);
        }
        let (index, _) = self.holder;
        let is_running = self.is_held && self.entries[index].frozen_until <= self.now;
        if is_running && self.is_due(0, PERIOD) {
            self.report(index);
        }
    }

    /// A request may begin at the entry.
    fn request(&mut self, index: usize) {
        if !self.rng.random_bool(0.3) {
            return;
        }
        let workspace = format!("workspace-{}", self.rng.random_range(0..WORKSPACES));
        // The entry counts by its own time; at the limits of a window it may differ by some milliseconds.
        let window = options().window_at(self.now);
        let now = self.now.saturating_sub(self.entries[index].booted_at);
        let margin = Duration::from_millis(150);
        if options().window_at(self.now.saturating_sub(margin))
            != options().window_at(self.now + margin)
        {
            return;
        }
        let Some(process) = &mut self.entries[index].process else {
            return;
        };
        let is_first = process.started_at == START;
        let is_ready = self.now >= process.started_at + UNREADY;
        if process.true_offset.is_zero() || !(is_first || is_ready) {
            return;
        }
        let counted = options().window_at(now + process.true_offset);
        process.recorder.count(counted, &workspace);
        *self
            .truth
            .entry(window)
            .or_default()
            .entry(workspace.into())
            .or_default() += 1;
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let boot_now = now.saturating_sub(entry.booted_at);
        let wall_time = shift(now, entry.wall_error_ms);
        let Some(process) = &mut entry.process else {
            return;
        };
        process.true_offset = process.offset.update(boot_now, wall_time);
        let time = boot_now + process.true_offset;
        if now > START + Duration::from_secs(5) {
            self.worst_time_error = self.worst_time_error.max(time.abs_diff(now));
        }
        let window = options().window_at(time);
        if process.offset.is_settled(boot_now) {
            process.recorder.close(boot_now, options().first_open(time));
        }
        let holder = receiver(process.holder);
        let mut receivers: Vec<Receiver> = vec![holder, (address(index), 0)];
        for keeper in 0..KEEPERS {
            if receivers.iter().all(|(known, _)| *known != address(keeper)) {
                receivers.push((address(keeper), 0));
            }
        }
        let stored = process
            .recorder
            .unacknowledged(boot_now, window, Some(holder));
        let messages = process.recorder.messages(&receivers, MAX_DATAGRAM_BYTES);
        if let Some(usage) = stored {
            process.recorder.record_stored(&usage);
            self.store.insert(index, usage);
        }
        for (to, usage) in messages {
            self.send(index, entry::index(to), &Packet::Usage(usage));
        }
    }

    fn gossip(&mut self, index: usize) {
        let Some(digest) = self.digest(index, self.is_new(index)) else {
            return;
        };
        for _ in 0..3 {
            let to = self.rng.random_range(0..self.count);
            if to != index {
                self.send(index, to, &digest);
            }
        }
    }

    /// Whether the entry's process has been started lately: it gossips more often, and others answer it.
    fn is_new(&self, index: usize) -> bool {
        let process = self.entries[index].process.as_ref();
        process.is_some_and(|process| self.now < process.started_at + GOSSIP_PERIOD)
    }

    fn digest(&self, index: usize, is_new: bool) -> Option<Packet> {
        let entry = &self.entries[index];
        let process = entry.process.as_ref()?;
        Some(Packet::Digest {
            wall_time: shift(self.now, entry.wall_error_ms),
            holder: process.holder,
            is_new,
        })
    }

    fn send(&mut self, from: usize, to: usize, packet: &Packet) {
        if from == to {
            self.entries[to].inbox.push((from, packet.clone()));
            return;
        }
        if self.entries[from].is_cut_off || self.entries[to].is_cut_off {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.repeats));
        for _ in 0..copies {
            if !self.rng.random_bool(self.loss) {
                let delay = Duration::from_millis(self.rng.random_range(1..60));
                self.flight
                    .push((self.now + delay, from, to, packet.clone()));
            }
        }
    }

    fn receive(&mut self, index: usize, from: usize, packet: Packet) {
        let boot_now = self.now.saturating_sub(self.entries[index].booted_at);
        let Some(process) = &mut self.entries[index].process else {
            return;
        };
        let window = options().window_at(boot_now + process.true_offset);
        match packet {
            Packet::Ack(ack) => {
                let holder = receiver(process.holder);
                let receiver = if holder.0 == address(from) {
                    holder
                } else {
                    (address(from), 0)
                };
                process.recorder.acknowledge(receiver, &ack);
            }
            Packet::Digest {
                wall_time,
                holder,
                is_new,
            } => {
                process.offset.record(boot_now, address(from), wall_time);
                process
                    .collector
                    .record_contact(window, &format!("entry-{from}"));
                if holder.1 > process.holder.1 {
                    process.holder = holder;
                }
                if is_new && let Some(digest) = self.digest(index, false) {
                    self.send(index, from, &digest);
                }
            }
            Packet::Usage(usage) => {
                let ack = process.collector.merge(window, &usage);
                if !ack.complete.is_empty() || !ack.missing.is_empty() {
                    self.send(index, from, &Packet::Ack(ack));
                }
            }
        }
    }
}
