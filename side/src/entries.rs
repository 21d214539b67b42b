//! Entries from which the side has received datagrams recently.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time without datagrams after which an entry is removed when a new one is added.
const RETENTION_PERIOD: Duration = Duration::from_mins(2);
/// Limit of tracked entries; further ones are ignored.
const MAX_ENTRIES: usize = 1024;

/// Recently active entries and whether they have acknowledged that the side is draining.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    entries: Mutex<BTreeMap<SocketAddr, Entry>>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    last_seen: Duration,
    has_acknowledged: bool,
}

impl Entries {
    /// Records a datagram from the entry at `from`, received at `now`.
    pub(crate) fn record_datagram(&self, from: SocketAddr, now: Duration) {
        let mut entries = self.lock();
        if let Some(entry) = entries.get_mut(&from) {
            entry.last_seen = now;
            return;
        }
        entries.retain(|_, entry| now.saturating_sub(entry.last_seen) < RETENTION_PERIOD);
        if entries.len() < MAX_ENTRIES {
            let entry = Entry {
                last_seen: now,
                has_acknowledged: false,
            };
            entries.insert(from, entry);
        }
    }

    /// Records an acknowledgement by the entry at `from`; `is_current` tells whether it names this
    /// incarnation of the side.
    pub(crate) fn record_acknowledgement(&self, from: SocketAddr, is_current: bool) {
        if let Some(entry) = self.lock().get_mut(&from) {
            entry.has_acknowledged |= is_current;
        }
    }

    /// Addresses of all tracked entries.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    /// Addresses of entries that have not acknowledged yet that the side is draining.
    pub(crate) fn unacknowledged(&self) -> Vec<SocketAddr> {
        self.lock()
            .iter()
            .filter(|(_, entry)| !entry.has_acknowledged)
            .map(|(address, _)| *address)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
