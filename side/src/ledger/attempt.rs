//! One attempt to run a call, given up unless it reaches the upstream.

use super::Held;
use almondwell_core::ledger::Call;
use std::sync::Arc;

/// An attempt that has not reached the upstream; a drop gives it up.
pub(crate) struct Attempt {
    pub(crate) call: Call,
    pub(crate) held: Arc<Held>,
    is_started: bool,
}

impl Attempt {
    pub(crate) fn new(call: Call, held: Arc<Held>) -> Self {
        Self {
            call,
            held,
            is_started: false,
        }
    }

    /// From here on the call may reach the upstream.
    pub(crate) fn start(&mut self) {
        self.is_started = true;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.is_started {
            return;
        }
        let now = self.held.clock.now();
        self.held.shard().give_up(now, self.call.key, self.call.run);
        self.held.notify();
    }
}
