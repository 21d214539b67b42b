//! Limit on the memory for frames that are being received.

use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that incomplete frames on all connections of the process may take together, unless set otherwise.
const DEFAULT_LIMIT_BYTES: usize = 128 << 20;

static HELD_BYTES: AtomicUsize = AtomicUsize::new(0);
static LIMIT_BYTES: AtomicUsize = AtomicUsize::new(DEFAULT_LIMIT_BYTES);

/// Sets the memory that incomplete frames on all connections of the process may take together.
pub fn limit_frame_memory(bytes: usize) {
    LIMIT_BYTES.store(bytes, Ordering::Release);
}

/// Memory reserved for one frame; released when dropped.
#[derive(Default)]
pub(crate) struct Reservation {
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more; fails with [`ErrorKind::OutOfMemory`] at the limit of the process.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), ErrorKind> {
        let limit = LIMIT_BYTES.load(Ordering::Acquire);
        HELD_BYTES
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |held| {
                held.checked_add(bytes).filter(|sum| *sum <= limit)
            })
            .map_err(|_| ErrorKind::OutOfMemory)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        HELD_BYTES.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
