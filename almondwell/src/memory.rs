//! Limits the memory that the bodies of all requests take together.

use std::sync::atomic::{AtomicU64, Ordering};

/// Memory budget for request bodies, in bytes.
pub(crate) struct Memory {
    free: AtomicU64,
}

impl Memory {
    pub(crate) const fn new(bytes: u64) -> Self {
        Self {
            free: AtomicU64::new(bytes),
        }
    }

    /// Reserves `bytes` until the permit is dropped; `None` if fewer are free.
    pub(crate) fn acquire(&self, bytes: usize) -> Option<Permit<'_>> {
        let bytes = bytes as u64;
        self.free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
                free.checked_sub(bytes)
            })
            .ok()?;
        Some(Permit {
            bytes,
            memory: self,
        })
    }
}

/// Bytes reserved for one body.
pub(crate) struct Permit<'a> {
    bytes: u64,
    memory: &'a Memory,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.memory.free.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
