//! Limit on the memory for frames that are being received.

use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that incomplete frames on all connections of the process may take together.
const LIMIT_BYTES: usize = 128 << 20;

static FREE_BYTES: AtomicUsize = AtomicUsize::new(LIMIT_BYTES);

/// Memory reserved for one frame; released when dropped.
#[derive(Default)]
pub(crate) struct Reservation {
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more; fails with [`ErrorKind::OutOfMemory`] at the limit of the process.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), ErrorKind> {
        FREE_BYTES
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
                free.checked_sub(bytes)
            })
            .map_err(|_| ErrorKind::OutOfMemory)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        FREE_BYTES.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
