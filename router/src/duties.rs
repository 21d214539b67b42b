//! Duties: calls to the provider that one entry, the holder of a lease, makes on behalf of all.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// What this entry knows of the lease.
#[derive(Default)]
pub(crate) struct Duties {
    /// Control address of the holder with the highest number known, and this number.
    holder: Mutex<Option<(SocketAddr, u64)>>,
    is_holder: AtomicBool,
}

impl Duties {
    /// Control address and number of the holder that this entry knows of.
    pub(crate) fn holder(&self) -> Option<(SocketAddr, u64)> {
        *self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this entry holds the lease now.
    pub(crate) fn is_holder(&self) -> bool {
        self.is_holder.load(Ordering::Acquire)
    }

    /// Records a holder that the store or another entry's digest names; the highest number wins.
    pub(crate) fn record_holder(&self, address: SocketAddr, number: u64) {
        let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
        if holder.is_none_or(|(_, known)| known < number) {
            *holder = Some((address, number));
        }
    }
}
