//! Bounds on things that run at the same time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Free slots, shared by the tasks that take them.
#[derive(Clone)]
pub(crate) struct Slots(Arc<AtomicUsize>);

/// A slot, free again when dropped.
pub(crate) struct Slot(Arc<AtomicUsize>);

impl Slots {
    pub(crate) fn new(count: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(count)))
    }

    /// A slot, unless all are taken.
    pub(crate) fn take(&self) -> Option<Slot> {
        let free = &self.0;
        free.fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
            free.checked_sub(1)
        })
        .ok()?;
        Some(Slot(free.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }
}
