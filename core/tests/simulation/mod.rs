//! A fleet of entries with their clocks, the datagrams between them, a store and a provider.

use almondwell_core::time_offset::TimeOffset;
use almondwell_core::usage::{Collector, Counts, Options, Receiver, Recorder, Window};
use almondwell_schema::{Usage, UsageAck};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
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
/// Reports stop this long before the end, so that each that is checked could be sent.
const TAIL: Duration = Duration::from_secs(12);
const WORKSPACES: usize = 6;
const MAX_SNAPSHOT_BYTES: usize = 64 << 10;
const MAX_DATAGRAM_BYTES: usize = 1400;

/// What happens at a time, in milliseconds after the start.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The entry reaches the store but no other entry.
    CutOff(usize),
    /// The entry's process does not run for this many milliseconds; its socket receives.
    Freeze(usize, u64),
    /// The entry holds the lease from now on.
    Holder(usize),
    /// The entry's wall clock is off by this many milliseconds.
    Jump(usize, i64),
    /// The entry's process is killed.
    Kill(usize),
    /// All processes are killed, and new ones started half a second later.
    KillAll,
    /// Share of datagrams that are lost.
    Loss(f64),
    /// Share of datagrams that arrive twice.
    Repeats(f64),
    /// The entry's process is started anew.
    Restart(usize),
}

#[derive(Clone, Debug)]
enum Packet {
    Ack(UsageAck),
    Digest {
        wall_time: Duration,
        holder: (usize, u64),
    },
    Usage(Usage),
}

struct Process {
    collector: Collector,
    holder: (usize, u64),
    offset: TimeOffset,
    recorder: Recorder,
    true_offset: Duration,
}

struct Entry {
    /// True time at which its boot-time clock was 0.
    booted_at: Duration,
    frozen_until: Duration,
    inbox: Vec<(usize, Packet)>,
    is_cut_off: bool,
    process: Option<Process>,
    wall_error_ms: i64,
}

/// A report with the true counts of its window.
pub struct Report {
    /// Time from the end of its window until it was sent.
    pub age: Duration,
    pub counts: Counts,
    pub truth: Counts,
    pub window: Window,
}

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

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).unwrap();
    (Ipv4Addr::LOCALHOST, port).into()
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn options() -> Options {
    Options::default()
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
            if self.is_due(index, GOSSIP_PERIOD) {
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
        if process.true_offset.is_zero() {
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
        process.recorder.close(boot_now, options().first_open(time));
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
            self.send(index, self::index(to), &Packet::Usage(usage));
        }
    }

    fn gossip(&mut self, index: usize) {
        let entry = &self.entries[index];
        let Some(process) = &entry.process else {
            return;
        };
        let digest = Packet::Digest {
            wall_time: shift(self.now, entry.wall_error_ms),
            holder: process.holder,
        };
        for _ in 0..3 {
            let to = self.rng.random_range(0..self.count);
            if to != index {
                self.send(index, to, &digest);
            }
        }
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
            Packet::Digest { wall_time, holder } => {
                process.offset.record(boot_now, address(from), wall_time);
                process.collector.hear(window, &format!("entry-{from}"));
                if holder.1 > process.holder.1 {
                    process.holder = holder;
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

    fn report(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let boot_now = self.now.saturating_sub(entry.booted_at);
        let Some(process) = &mut entry.process else {
            return;
        };
        let time = boot_now + process.true_offset;
        let held_since = time.saturating_sub(self.now.saturating_sub(self.held_since));
        let window = self.lease.0 + 1;
        let due = options();
        if process.collector.lacks(window) > 0 && due.is_look_up_due(time, window) {
            for usage in self.store.values() {
                process.collector.merge_stored(due.window_at(time), usage);
            }
        }
        if let Some(counts) = process.collector.report(time, window, held_since) {
            self.lease.0 = window;
            process.collector.forget(window);
            let end = due.window * u32::try_from(window + 1).unwrap();
            let is_first = window == due.window_at(START);
            if !is_first && self.now < (START + LENGTH).saturating_sub(TAIL) {
                let truth = self.truth.get(&window).cloned().unwrap_or_default();
                let age = self.now.saturating_sub(end);
                self.reports.push(Report {
                    age,
                    counts,
                    truth,
                    window,
                });
            }
        }
        // A renewal writes the snapshot once a second.
        if self.is_due(0, GOSSIP_PERIOD)
            && let Some(process) = &self.entries[index].process
        {
            self.lease.1 = process.collector.snapshot(self.lease.0, MAX_SNAPSHOT_BYTES);
        }
    }
}

fn receiver((index, number): (usize, u64)) -> Receiver {
    (address(index), number)
}

fn shift(time: Duration, error_ms: i64) -> Duration {
    let error = Duration::from_millis(error_ms.unsigned_abs());
    if error_ms < 0 {
        time.saturating_sub(error)
    } else {
        time + error
    }
}
