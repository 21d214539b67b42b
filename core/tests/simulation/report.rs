//! Reports of the holder.

use super::entry::options;
use super::{GOSSIP_PERIOD, LENGTH, START, Simulation};
use almondwell_core::usage::{Counts, Window};
use std::time::Duration;

/// Reports stop this long before the end, so that each that is checked could be sent.
const TAIL: Duration = Duration::from_secs(12);
const MAX_SNAPSHOT_BYTES: usize = 64 << 10;

/// A report with the true counts of its window.
pub struct Report {
    /// Time from the end of its window until it was sent.
    pub age: Duration,
    pub counts: Counts,
    pub truth: Counts,
    pub window: Window,
}

impl Simulation {
    /// Sends the report of the next window if it is due, and renews the lease.
    pub(super) fn report(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let boot_now = self.now.saturating_sub(entry.booted_at);
        let Some(process) = &mut entry.process else {
            return;
        };
        let time = boot_now + process.true_offset;
        let held_since = time.saturating_sub(self.now.saturating_sub(self.held_since));
        let window = self.lease.0 + 1;
        let due = options();
        if process.collector.incomplete_count(window) > 0 && due.is_look_up_due(time, window) {
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
