//! Settings of a lease.

use std::time::Duration;

/// Renewals in one lease, so that a single failed one does not end it.
const RENEWALS: u32 = 3;
/// Part of the lease before its end in which the holder begins no call: a call that was begun earlier has arrived by the end,
/// also after a retransmission.
const MARGIN_PARTS: u32 = 10;

/// Settings of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Time for which a write secures the lease.
    pub lease: Duration,
    /// Time before the end of the lease from which the holder begins no call.
    pub margin: Duration,
    /// Time between two reads by a candidate, and between two attempts to acquire the lease.
    pub poll: Duration,
}

impl Options {
    /// Options for a lease of this length.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            margin: lease / MARGIN_PARTS,
            poll: lease / RENEWALS,
        }
    }
}
