//! Counts of all processes, as the holder of the lease and the entries that may follow it keep them.

use super::{CLOSE_SHARE, Counts, DISCOVERY_SHARE, Options, RETENTION, Window};
use almondwell_schema::{
    Epoch, Usage, UsageAck, UsageCell, UsageCounter, UsageSnapshot, UsageWindow,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bound of the counts kept, 8 bytes each: those of a few windows of 620 entries with 860 workspaces each. The oldest
/// windows beyond it are dropped.
const MAX_CELLS: usize = 3_000_000;
/// Bound of the workspaces' names kept.
const MAX_WORKSPACES: usize = 16_384;
/// Windows after the current one from which counts are taken: the clock of their sender may be ahead.
const MAX_AHEAD: Window = 2;

/// One process of an entry.
type Process = (Box<str>, Epoch);

/// Counts of one process in one window.
#[derive(Clone, Debug, Default)]
struct Counter {
    /// Counts by index of the workspace.
    cells: Vec<u32>,
    sum: u64,
    total: Option<u64>,
}

impl Counter {
    fn is_complete(&self) -> bool {
        self.total.is_some_and(|total| self.sum >= total)
    }

    /// Merges a count; returns how many cells were added.
    fn merge(&mut self, index: usize, count: u64) -> usize {
        let previous = self.cells.len();
        if index >= previous {
            self.cells.resize(index + 1, 0);
        }
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let known = &mut self.cells[index];
        self.sum += u64::from(count.saturating_sub(*known));
        *known = count.max(*known);
        self.cells.len() - previous
    }
}

/// The last message from an entry.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Its running process; `None` before its first counts.
    start: Option<Epoch>,
    /// Window in which it was received.
    window: Window,
}

/// Counts of all processes by window.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    cells: usize,
    /// Entries that are expected to send final counts.
    contacts: BTreeMap<Box<str>, Contact>,
    indices: BTreeMap<Box<str>, usize>,
    options: Options,
    /// The last window that needs no counts any more.
    reported: Option<Window>,
    windows: BTreeMap<Window, BTreeMap<Process, Counter>>,
    workspaces: Vec<Box<str>>,
}

impl Collector {
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records in the window `now` a message from the entry with this name.
    pub fn record_contact(&mut self, now: Window, entry: &str) {
        if let Some(contact) = self.contacts.get_mut(entry) {
            contact.window = contact.window.max(now);
        } else {
            let contact = Contact {
                start: None,
                window: now,
            };
            self.contacts.insert(entry.into(), contact);
        }
    }

    /// Merges the counts in a message, received in the window `now`; returns the acknowledgement of its final counts.
    pub fn merge(&mut self, now: Window, usage: &Usage) -> UsageAck {
        self.record_contact(now, &usage.entry);
        if let Some(contact) = self.contacts.get_mut(&usage.entry) {
            contact.start = Some(usage.start);
        }
        let mut ack = UsageAck {
            start: usage.start,
            complete: Vec::new(),
            missing: Vec::new(),
        };
        for window in &usage.windows {
            let is_complete = self.merge_window(now, usage, window);
            if window.total.is_some() {
                let list = if is_complete {
                    &mut ack.complete
                } else {
                    &mut ack.missing
                };
                list.push(window.window);
            }
        }
        self.expire(now);
        ack
    }

    /// Merges counts that were found in the store in the window `now`. They count as a message from their process only if
    /// they are recent: objects outlive their entries.
    pub fn merge_stored(&mut self, now: Window, usage: &Usage) {
        let newest = usage.windows.iter().map(|window| window.window).max();
        let Some(newest) = newest else {
            return;
        };
        let is_replaced = self.contacts.get(&usage.entry).is_some_and(|contact| {
            contact.start.is_some_and(|start| start != usage.start) && contact.window > newest
        });
        if newest.saturating_add(self.options.unreported()) >= now && !is_replaced {
            self.merge(now, usage);
        } else {
            for window in &usage.windows {
                self.merge_window(now, usage, window);
            }
        }
    }

    /// Merges counts of one window; returns whether no more are needed.
    fn merge_window(&mut self, now: Window, usage: &Usage, window: &UsageWindow) -> bool {
        let is_past = window.window.saturating_add(RETENTION) < now;
        if is_past || !self.is_wanted(window.window) {
            return true;
        }
        if window.window > now.saturating_add(MAX_AHEAD) {
            return false;
        }
        let process = (usage.entry.clone(), usage.start);
        for count in &window.counts {
            self.merge_count(&process, window.window, &count.workspace, count.count);
        }
        let counter = self.counter(&process, window.window);
        counter.total = counter.total.max(window.total);
        counter.is_complete()
    }

    fn merge_count(&mut self, process: &Process, window: Window, workspace: &str, count: u64) {
        if let Some(index) = self.index(workspace) {
            self.cells += self.counter(process, window).merge(index, count);
        }
    }

    fn counter(&mut self, process: &Process, window: Window) -> &mut Counter {
        let counters = self.windows.entry(window).or_default();
        counters.entry(process.clone()).or_default()
    }

    fn is_wanted(&self, window: Window) -> bool {
        self.reported.is_none_or(|reported| window > reported)
    }

    /// Index of a workspace's name, unless there are too many.
    fn index(&mut self, workspace: &str) -> Option<usize> {
        if let Some(index) = self.indices.get(workspace) {
            return Some(*index);
        }
        let index = self.workspaces.len();
        if index >= MAX_WORKSPACES {
            return None;
        }
        self.indices.insert(workspace.into(), index);
        self.workspaces.push(workspace.into());
        Some(index)
    }

    /// Drops what is too old or too much.
    fn expire(&mut self, now: Window) {
        let oldest = now.saturating_sub(RETENTION);
        self.contacts.retain(|_, contact| contact.window >= oldest);
        while let Some(first) = self.windows.first_entry() {
            if *first.key() >= oldest && self.cells <= MAX_CELLS {
                break;
            }
            let dropped = first.remove();
            let cells: usize = dropped.values().map(|counter| counter.cells.len()).sum();
            self.cells -= cells;
        }
    }

    /// Number of entries whose final counts of `window` are missing: those heard of in or after it, and those with
    /// counts that were not heard of at all.
    pub fn incomplete_count(&self, window: Window) -> usize {
        let counters = self.windows.get(&window);
        let is_complete = |entry: &str, start| {
            let process = (Box::from(entry), start);
            let counter = counters.and_then(|counters| counters.get(&process));
            counter.is_some_and(Counter::is_complete)
        };
        let incomplete = self.contacts.iter().filter(|(entry, contact)| {
            let is_missing = contact.start.is_none_or(|start| !is_complete(entry, start));
            contact.window >= window && is_missing
        });
        let unheard = counters.into_iter().flatten();
        let unheard = unheard.filter(|((entry, _), counter)| {
            !self.contacts.contains_key(entry) && !counter.is_complete()
        });
        incomplete.count() + unheard.count()
    }

    /// The counts of `window` if its report can be sent at true time `now`, by a holder whose lease began at
    /// `held_since`: they are complete, or the deadline has come.
    pub fn report(&self, now: Duration, window: Window, held_since: Duration) -> Option<Counts> {
        let options = self.options;
        let closed = options.end(window) + options.delay.mul_f64(CLOSE_SHARE);
        let discovered = held_since + options.delay.mul_f64(DISCOVERY_SHARE);
        let is_complete = now >= closed.max(discovered) && self.incomplete_count(window) == 0;
        let is_due = now >= options.deadline(window, held_since);
        (is_complete || is_due).then(|| self.counts(window))
    }

    /// The counts of `window` of all processes together.
    pub fn counts(&self, window: Window) -> Counts {
        let mut sums = vec![0; self.workspaces.len()];
        for counter in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            for (sum, count) in sums.iter_mut().zip(&counter.cells) {
                *sum += u64::from(*count);
            }
        }
        let counts = self.workspaces.iter().cloned().zip(sums);
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// The counts of the windows after `reported`, encoded; empty if that takes more than `max_bytes`.
    pub fn snapshot(&self, reported: Window, max_bytes: usize) -> Vec<u8> {
        let mut workspaces = Vec::new();
        let mut indices = BTreeMap::new();
        let mut counters = Vec::new();
        for (window, by_process) in self.windows.range(reported.saturating_add(1)..) {
            for ((entry, start), counter) in by_process {
                // A count takes at least two bytes; more than that many need not be encoded to know the result.
                if workspaces.len() + counters.len() > max_bytes {
                    return Vec::new();
                }
                let cells = counter.cells.iter().enumerate();
                let cells = cells
                    .filter(|(_, count)| **count > 0)
                    .map(|(index, count)| {
                        let workspace = *indices.entry(index).or_insert_with(|| {
                            workspaces.push(self.workspaces[index].clone());
                            u32::try_from(workspaces.len() - 1).unwrap_or(u32::MAX)
                        });
                        UsageCell {
                            workspace,
                            count: u64::from(*count),
                        }
                    });
                counters.push(UsageCounter {
                    entry: entry.clone(),
                    start: *start,
                    window: *window,
                    total: counter.total,
                    cells: cells.collect(),
                });
            }
        }
        let snapshot = UsageSnapshot {
            workspaces,
            counters,
        };
        let mut bytes = postcard::to_stdvec(&snapshot).unwrap_or_default();
        if bytes.len() > max_bytes {
            bytes.clear();
        }
        bytes
    }

    /// Merges an encoded snapshot; one that is empty or invalid changes nothing. Returns whether it was valid.
    pub fn merge_snapshot(&mut self, bytes: &[u8]) -> bool {
        let Ok(snapshot) = postcard::from_bytes::<UsageSnapshot>(bytes) else {
            return bytes.is_empty();
        };
        for counter in &snapshot.counters {
            if !self.is_wanted(counter.window) {
                continue;
            }
            let process = (counter.entry.clone(), counter.start);
            for cell in &counter.cells {
                let workspace = snapshot.workspaces.get(cell.workspace as usize);
                if let Some(workspace) = workspace {
                    self.merge_count(&process, counter.window, workspace, cell.count);
                }
            }
            let known = self.counter(&process, counter.window);
            known.total = known.total.max(counter.total);
        }
        true
    }

    /// The last window that needs no counts any more, if one is known.
    pub const fn reported(&self) -> Option<Window> {
        self.reported
    }

    /// Forgets the windows up to `reported`.
    pub fn forget(&mut self, reported: Window) {
        self.reported = self.reported.max(Some(reported));
        let kept = self.windows.split_off(&reported.saturating_add(1));
        let dropped = std::mem::replace(&mut self.windows, kept);
        let dropped = dropped.values().flat_map(BTreeMap::values);
        self.cells -= dropped.map(|counter| counter.cells.len()).sum::<usize>();
    }
}
