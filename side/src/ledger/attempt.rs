//! One attempt to run a call; it is abandoned if dropped before it starts.

use super::Handle;
use almondwell_core::ledger::Call;
use std::sync::Arc;

/// An attempt to run a call. Dropping it before [`Attempt::start`] releases the call's key.
pub(crate) struct Attempt {
    pub(crate) call: Call,
    pub(crate) handle: Arc<Handle>,
    is_started: bool,
}

impl Attempt {
    pub(crate) fn new(call: Call, handle: Arc<Handle>) -> Self {
        Self {
            call,
            handle,
            is_started: false,
        }
    }

    /// Marks the attempt as started: from now on the call may reach the upstream.
    pub(crate) fn start(&mut self) {
        self.is_started = true;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.is_started {
            return;
        }
        let now = self.handle.clock.now();
        self.handle
            .shard()
            .abandon(now, self.call.key, self.call.run);
        self.handle.notify();
    }
}
