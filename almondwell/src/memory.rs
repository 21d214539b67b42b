//! Bound on the bytes that bodies of requests hold together.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that bodies may still take.
pub(crate) struct Memory {
    free: AtomicU64,
}

impl Memory {
    pub(crate) const fn new(bytes: u64) -> Self {
        Self {
            free: AtomicU64::new(bytes),
        }
    }

    /// Takes `bytes` until the hold is dropped; `None` when fewer are free.
    pub(crate) fn hold(&self, bytes: usize) -> Option<Hold<'_>> {
        let bytes = bytes as u64;
        self.free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
                free.checked_sub(bytes)
            })
            .ok()?;
        Some(Hold {
            bytes,
            memory: self,
        })
    }
}

/// Bytes taken by one body.
pub(crate) struct Hold<'a> {
    bytes: u64,
    memory: &'a Memory,
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.memory.free.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
