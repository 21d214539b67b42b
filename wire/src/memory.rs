//! Bound on the memory that frames take while they arrive.

use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that frames of all connections of the process may take while they arrive.
const LIMIT: usize = 128 << 20;

static FREE: AtomicUsize = AtomicUsize::new(LIMIT);

/// Bytes taken by one frame; given back when dropped.
#[derive(Default)]
pub(crate) struct Hold {
    bytes: usize,
}

impl Hold {
    /// Takes `bytes` more.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), ErrorKind> {
        FREE.fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
            free.checked_sub(bytes)
        })
        .map_err(|_| ErrorKind::OutOfMemory)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        FREE.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
