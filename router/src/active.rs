//! The active configuration. Only newer ones replace it, although the watch of the store and fetches from other entries
//! adopt theirs on several threads.

use almondwell_core::table::{Table, Version};
use arc_swap::ArcSwapOption;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A configuration in both of its forms.
pub struct Configuration {
    /// As JSON from the store, for entries that cannot reach the store.
    pub raw: Vec<u8>,
    /// The decoded routes, services and workspaces.
    pub table: Arc<Table>,
}

/// The active configuration, if one has been read, and whether a newer one was rejected.
#[derive(Default)]
pub struct Active {
    configuration: ArcSwapOption<Configuration>,
    /// Whether the object in the store was rejected and has a version that could not be read.
    has_rejected_unversioned: AtomicBool,
    /// Newest version that was rejected; 0 for none.
    rejected: AtomicU64,
}

impl Active {
    /// Replaces the active configuration by `next` if that is newer. Returns the version that was active before.
    pub fn adopt(&self, next: Configuration) -> Option<Version> {
        let next = Arc::new(next);
        let previous = self.configuration.rcu(|current| match current {
            Some(current) if current.table.version >= next.table.version => Some(current.clone()),
            Some(_) | None => Some(next.clone()),
        });
        previous.map(|previous| previous.table.version)
    }

    /// The active configuration, if one has been read.
    pub fn load(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Records that a configuration with `version`, if that could be read, was rejected.
    pub fn reject(&self, version: Option<Version>) {
        match version {
            None => self.has_rejected_unversioned.store(true, Ordering::Release),
            Some(version) => {
                self.rejected.fetch_max(version, Ordering::AcqRel);
            }
        }
    }

    /// Records that the object in the store has a version that could be read.
    pub fn record_versioned(&self) {
        self.has_rejected_unversioned
            .store(false, Ordering::Release);
    }

    /// Whether a configuration was rejected that is newer than the active one, or may be.
    pub fn is_behind(&self) -> bool {
        let version = self.load().map_or(0, |active| active.table.version);
        self.has_rejected_unversioned.load(Ordering::Acquire)
            || self.rejected.load(Ordering::Acquire) > version
    }
}
