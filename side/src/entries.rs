//! Entries that have spoken to a side lately.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time after which an entry that says nothing is forgotten.
const MEMORY: Duration = Duration::from_mins(2);
/// Most entries that are remembered.
const LIMIT: usize = 1024;

/// Entries that have spoken lately, and whether they know that the side is leaving.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    entries: Mutex<BTreeMap<SocketAddr, Acquaintance>>,
}

#[derive(Clone, Copy, Debug)]
struct Acquaintance {
    heard: Duration,
    is_told: bool,
}

impl Entries {
    /// Notes a datagram of the entry at `from`.
    pub(crate) fn heard(&self, from: SocketAddr, now: Duration) {
        let mut entries = self.lock();
        if let Some(entry) = entries.get_mut(&from) {
            entry.heard = now;
            return;
        }
        entries.retain(|_, entry| now.saturating_sub(entry.heard) < MEMORY);
        if entries.len() < LIMIT {
            let entry = Acquaintance {
                heard: now,
                is_told: false,
            };
            entries.insert(from, entry);
        }
    }

    /// Notes whether the entry at `from` knows that this run is leaving.
    pub(crate) fn noted(&self, from: SocketAddr, is_told: bool) {
        if let Some(entry) = self.lock().get_mut(&from) {
            entry.is_told |= is_told;
        }
    }

    /// Addresses of all entries.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    /// Addresses of entries that do not know yet that the side is leaving.
    pub(crate) fn untold(&self) -> Vec<SocketAddr> {
        self.lock()
            .iter()
            .filter(|(_, entry)| !entry.is_told)
            .map(|(address, _)| *address)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Acquaintance>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
