//! Transfers that are given up when they stop, however long they take as a whole.

use std::time::Duration;

/// Time between two checks of a transfer.
pub const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Bytes that have to arrive between two checks. They are a twentieth of what a link of 10 Mbit/s carries, so that
/// transfers that share such a link go on, while a peer that sends single bytes is given up.
pub const MIN_BYTES: u64 = 64 << 10;

/// Progress of one transfer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Bytes received at the last check.
    bytes: u64,
}

impl Progress {
    /// A transfer of which `bytes` have been received.
    pub const fn new(bytes: u64) -> Self {
        Self { bytes }
    }

    /// Whether enough arrived since the last check, [`CHECK_PERIOD`] ago; `bytes` is all that has been received.
    pub const fn has_advanced(&mut self, bytes: u64) -> bool {
        let has_advanced = bytes >= self.bytes + MIN_BYTES;
        self.bytes = bytes;
        has_advanced
    }
}
