//! Counts of this process, and what it has yet to tell to those that keep them.

use super::{Counts, Options, RETENTION, Window};
use almondwell_schema::{Epoch, Usage, UsageAck, UsageCount, UsageWindow};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Sends of a closed window to one receiver at each call; further ones are rarer, since the receiver is likely dead.
const QUICK_SENDS: u32 = 8;
/// Calls between two further sends.
const SLOW_INTERVAL: u32 = 16;
/// Datagrams to one receiver at each call beyond which further windows wait for the next one, so that a new holder is
/// not sent all windows at once.
const MAX_DATAGRAMS: usize = 8;
/// Bytes of a message besides its windows and the entry's name: authentication, variant, lengths and the start.
const ENVELOPE_BYTES: usize = 48;
/// Most bytes of a window besides its counts: number, total and the length of the list.
const WINDOW_BYTES: usize = 24;

/// A process that keeps counts: its control address and, if it holds the lease, the number of the lease. A holder may
/// have been restarted and have lost its counts, but then has another number.
pub type Receiver = (SocketAddr, u64);

/// Requests of one workspace in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    began: u64,
    is_changed: bool,
    /// Requests that were sent and may still turn out not to have run.
    pending: u64,
}

/// What a receiver knows of a closed window.
#[derive(Clone, Copy, Debug, Default)]
struct Delivery {
    is_acknowledged: bool,
    /// Whether the receiver has said that counts are missing.
    is_missing: bool,
    sends: u32,
}

/// Counts of one window.
#[derive(Clone, Debug, Default)]
struct Record {
    closed_at: Option<Duration>,
    counts: BTreeMap<Box<str>, Count>,
    deliveries: BTreeMap<Receiver, Delivery>,
    is_stored: bool,
}

impl Record {
    fn total(&self) -> Option<u64> {
        self.closed_at
            .map(|_| self.counts.values().map(|count| count.began).sum())
    }

    /// The counts for which `is_wanted` holds.
    fn select(&self, is_wanted: impl Fn(&Count) -> bool) -> Vec<UsageCount> {
        let wanted = self.counts.iter().filter(|(_, count)| is_wanted(count));
        wanted
            .map(|(workspace, count)| UsageCount {
                workspace: workspace.clone(),
                count: count.began,
            })
            .collect()
    }
}

/// Counts of this process by window.
#[derive(Clone, Debug)]
pub struct Recorder {
    calls: u32,
    entry: Box<str>,
    /// Holder of the lease, and since when this process knows of it.
    holder: Option<(Option<Receiver>, Duration)>,
    /// First window that is not closed; `None` before the first one is known.
    open: Option<Window>,
    options: Options,
    start: Epoch,
    /// Window of the last write to the store.
    stored_in: Option<Window>,
    windows: BTreeMap<Window, Record>,
}

impl Recorder {
    /// Counts of the process of `entry` that was started as `start`.
    pub const fn new(options: Options, entry: Box<str>, start: Epoch) -> Self {
        Self {
            calls: 0,
            entry,
            holder: None,
            open: None,
            options,
            start,
            stored_in: None,
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request that began in `window`, or in the first open window if that one is closed.
    pub fn count(&mut self, window: Window, workspace: &str) {
        let count = self.entry_of(self.effective(window), workspace);
        count.began += 1;
        count.is_changed = true;
    }

    /// Records a request that was sent in `window` and may have begun; returns the window that it belongs to.
    pub fn start(&mut self, window: Window, workspace: &str) -> Window {
        let window = self.effective(window);
        self.entry_of(window, workspace).pending += 1;
        window
    }

    /// Counts a started request, unless it was counted when its window was closed.
    pub fn confirm(&mut self, window: Window, workspace: &str) {
        if self.is_open(window) {
            let count = self.entry_of(window, workspace);
            count.pending = count.pending.saturating_sub(1);
            count.began += 1;
            count.is_changed = true;
        }
    }

    /// Drops a started request that did not run; returns whether it was counted when its window was closed.
    pub fn cancel(&mut self, window: Window, workspace: &str) -> bool {
        let is_open = self.is_open(window);
        if is_open {
            let count = self.entry_of(window, workspace);
            count.pending = count.pending.saturating_sub(1);
        }
        !is_open
    }

    /// Closes the windows before `end`. Requests that were sent in them and have no outcome yet count: an upstream
    /// that does not run a request says so at once.
    pub fn close(&mut self, now: Duration, end: Window) {
        let oldest = end.saturating_sub(RETENTION);
        // A new process says that it counted nothing in the last windows, so that no report waits for it.
        let first = end.saturating_sub(self.options.unreported());
        let open = self.open.unwrap_or(first);
        for window in open.max(oldest)..end {
            let record = self.windows.entry(window).or_default();
            record.closed_at = Some(now);
            for count in record.counts.values_mut() {
                count.is_changed |= count.pending > 0;
                count.began += std::mem::take(&mut count.pending);
            }
        }
        self.open = Some(open.max(end));
        self.windows = self.windows.split_off(&oldest);
    }

    /// Messages for each receiver: what has changed since the last call, and the closed windows that it has not
    /// acknowledged. Each has at most `max_bytes` and is of use without the others.
    pub fn messages(
        &mut self,
        receivers: &[Receiver],
        max_bytes: usize,
    ) -> Vec<(SocketAddr, Usage)> {
        self.calls = self.calls.wrapping_add(1);
        let is_slow_turn = self.calls.is_multiple_of(SLOW_INTERVAL);
        let mut messages = Vec::new();
        for receiver in receivers {
            let mut batch = Batch::new(max_bytes.saturating_sub(ENVELOPE_BYTES + self.entry.len()));
            for (window, record) in &mut self.windows {
                if batch.parts.len() > MAX_DATAGRAMS {
                    break;
                }
                let mut counts = record.select(|count| count.is_changed);
                let total = record.total();
                if total.is_some() {
                    let delivery = record.deliveries.entry(*receiver).or_default();
                    let is_due = delivery.sends < QUICK_SENDS || is_slow_turn;
                    if delivery.is_acknowledged || !(is_due || delivery.is_missing) {
                        continue;
                    }
                    delivery.sends = delivery.sends.saturating_add(1);
                    if std::mem::take(&mut delivery.is_missing) {
                        counts = record.select(|_| true);
                    }
                } else if counts.is_empty() {
                    continue;
                }
                batch.push(*window, total, counts);
            }
            for windows in batch.finish() {
                messages.push((receiver.0, self.usage(windows)));
            }
        }
        for record in self.windows.values_mut() {
            for count in record.counts.values_mut() {
                count.is_changed = false;
            }
        }
        messages
    }

    /// Records what the process at `receiver` has.
    pub fn acknowledge(&mut self, receiver: Receiver, ack: &UsageAck) {
        if ack.start != self.start {
            return;
        }
        let mut update = |window: &Window, is_acknowledged: bool| {
            if let Some(record) = self.windows.get_mut(window) {
                let delivery = record.deliveries.entry(receiver).or_default();
                delivery.is_acknowledged |= is_acknowledged;
                delivery.is_missing = !is_acknowledged;
            }
        };
        ack.complete.iter().for_each(|window| update(window, true));
        ack.missing.iter().for_each(|window| update(window, false));
    }

    /// Whether `receiver` has acknowledged all closed windows.
    pub fn is_acknowledged(&self, receiver: Receiver) -> bool {
        let mut closed = self
            .windows
            .values()
            .filter(|record| record.closed_at.is_some());
        closed.all(|record| is_delivered(record, Some(receiver)))
    }

    /// The counts to be written to the store at `now`, in `window`: those of closed windows that the holder has not
    /// acknowledged in time. At most once in a window.
    pub fn unacknowledged(
        &mut self,
        now: Duration,
        window: Window,
        holder: Option<Receiver>,
    ) -> Option<Usage> {
        if self.stored_in == Some(window) {
            return None;
        }
        let known_since = match self.holder {
            Some((known, since)) if known == holder => since,
            Some(_) | None => {
                self.holder = Some((holder, now));
                now
            }
        };
        let limit = self.options.store_after();
        // A holder that this process has just heard of had no chance to acknowledge anything.
        let is_late = |record: &Record| {
            let closed_at = record.closed_at.map(|at| at.max(known_since));
            closed_at.is_some_and(|at| now.saturating_sub(at) >= limit)
        };
        let is_missing =
            |record: &Record| record.closed_at.is_some() && !is_delivered(record, holder);
        let is_due = |record: &Record| is_late(record) && is_missing(record) && !record.is_stored;
        if !self.windows.values().any(is_due) {
            return None;
        }
        self.stored_in = Some(window);
        let missing = self.windows.iter().filter(|(_, record)| is_missing(record));
        let windows = missing
            .map(|(window, record)| UsageWindow {
                window: *window,
                total: record.total(),
                counts: record.select(|_| true),
            })
            .collect();
        Some(self.usage(windows))
    }

    /// Records that the store has `usage`.
    pub fn record_stored(&mut self, usage: &Usage) {
        for window in &usage.windows {
            if let Some(record) = self.windows.get_mut(&window.window) {
                record.is_stored = true;
            }
        }
    }

    /// The counts of `window` so far.
    pub fn counts(&self, window: Window) -> Counts {
        let record = self.windows.get(&window);
        let counts = record.into_iter().flat_map(|record| &record.counts);
        counts
            .filter(|(_, count)| count.began > 0)
            .map(|(workspace, count)| (workspace.clone(), count.began))
            .collect()
    }

    fn usage(&self, windows: Vec<UsageWindow>) -> Usage {
        Usage {
            entry: self.entry.clone(),
            start: self.start,
            windows,
        }
    }

    fn effective(&self, window: Window) -> Window {
        self.open.map_or(window, |open| open.max(window))
    }

    fn is_open(&self, window: Window) -> bool {
        self.open.is_none_or(|open| window >= open)
    }

    fn entry_of(&mut self, window: Window, workspace: &str) -> &mut Count {
        let record = self.windows.entry(window).or_default();
        record.counts.entry(workspace.into()).or_default()
    }
}

fn is_delivered(record: &Record, receiver: Option<Receiver>) -> bool {
    let delivery = receiver.and_then(|receiver| record.deliveries.get(&receiver));
    delivery.is_some_and(|delivery| delivery.is_acknowledged)
}

/// Bytes of an encoded integer, of which each has 7 bits.
const fn integer_bytes(integer: u64) -> usize {
    (u64::BITS - (integer | 1).leading_zeros()).div_ceil(7) as usize
}

/// Windows with their counts, split into parts of limited size.
struct Batch {
    bytes: usize,
    max_bytes: usize,
    parts: Vec<Vec<UsageWindow>>,
}

impl Batch {
    fn new(max_bytes: usize) -> Self {
        Self {
            bytes: 0,
            max_bytes,
            parts: vec![Vec::new()],
        }
    }

    fn push(&mut self, window: Window, total: Option<u64>, counts: Vec<UsageCount>) {
        self.push_window(window, total);
        for count in counts {
            let name = count.workspace.len();
            let bytes = name + integer_bytes(name as u64) + integer_bytes(count.count);
            if self.bytes + bytes > self.max_bytes {
                self.parts.push(Vec::new());
                self.bytes = 0;
                self.push_window(window, total);
            }
            self.bytes += bytes;
            let part = self.parts.last_mut().and_then(|part| part.last_mut());
            if let Some(part) = part {
                part.counts.push(count);
            }
        }
    }

    fn push_window(&mut self, window: Window, total: Option<u64>) {
        if self.bytes + WINDOW_BYTES > self.max_bytes {
            self.parts.push(Vec::new());
            self.bytes = 0;
        }
        self.bytes += WINDOW_BYTES;
        if let Some(part) = self.parts.last_mut() {
            part.push(UsageWindow {
                window,
                total,
                counts: Vec::new(),
            });
        }
    }

    fn finish(mut self) -> Vec<Vec<UsageWindow>> {
        self.parts.retain(|part| !part.is_empty());
        self.parts
    }
}
