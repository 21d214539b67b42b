//! The active configuration. Only newer ones replace it, although the watch of the store and fetches from other entries
//! adopt theirs on several threads.

use almondwell_core::table::{Table, Version};
use arc_swap::ArcSwapOption;
use std::sync::Arc;

/// A configuration in both of its forms.
pub struct Configuration {
    /// As JSON from the store, for entries that cannot reach the store.
    pub raw: Vec<u8>,
    /// The decoded routes, services and workspaces.
    pub table: Arc<Table>,
}

/// The active configuration, if one has been read.
#[derive(Default)]
pub struct Active(ArcSwapOption<Configuration>);

impl Active {
    /// Replaces the active configuration by `next` if that is newer. Returns the version that was active before.
    pub fn adopt(&self, next: Configuration) -> Option<Version> {
        let next = Arc::new(next);
        let previous = self.0.rcu(|current| match current {
            Some(current) if current.table.version >= next.table.version => Some(current.clone()),
            Some(_) | None => Some(next.clone()),
        });
        previous.map(|previous| previous.table.version)
    }

    /// The active configuration, if one has been read.
    pub fn load(&self) -> Option<Arc<Configuration>> {
        self.0.load_full()
    }
}
