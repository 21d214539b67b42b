//! Usage of the workspaces by window. Counts nothing yet.

#![allow(
    clippy::unnecessary_wraps,
    clippy::unused_self,
    reason = "the callers are complete, the counters are not"
)]

use crate::router::Router;
use almondwell_schema::RouterSettings;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Number of a usage window.
pub(crate) type Window = u64;
/// Requests that began in one window, by workspace.
pub(crate) type Counts = BTreeMap<Box<str>, u64>;

/// Counts of recent windows.
pub(crate) struct Usage {
    window: Duration,
}

impl Usage {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        Self {
            window: settings.usage_window,
        }
    }

    /// The window that true time is in now.
    pub(crate) fn window(&self, _now: Duration) -> Window {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let windows = unix_time.as_millis() / self.window.as_millis().max(1);
        Window::try_from(windows).unwrap_or(Window::MAX)
    }

    /// The counts of `window` if its report can be sent now.
    pub(crate) fn report(&self, _router: &Router, _window: Window) -> Option<Counts> {
        Some(Counts::new())
    }

    /// Counts of the windows after `reported`, for the lease object.
    pub(crate) fn snapshot(&self, _reported: Window) -> Vec<u8> {
        Vec::new()
    }

    /// Merges a snapshot found in the lease object.
    pub(crate) fn merge_snapshot(&self, _bytes: &[u8]) {}

    /// Forgets the windows up to `reported`.
    pub(crate) fn forget(&self, _reported: Window) {}
}
