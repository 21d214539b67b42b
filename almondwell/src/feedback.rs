//! Feeds the outcome of a call at a side back into the entry's state.

use crate::entry::Entry;
use crate::job::Job;
use crate::pool::Pool;
use crate::quarantine::Suspects;
use almondwell_daemon::Clock;
use almondwell_schema::{Fault, Fingerprint};
use almondwell_wire::Connection;
use std::net::SocketAddr;
use std::sync::Arc;

/// Returns the connection to the pool after a complete answer, and records crashes after a fault.
pub(crate) struct Feedback {
    clock: Clock,
    fingerprint: Fingerprint,
    pool: Arc<Pool>,
    side: SocketAddr,
    suspects: Arc<Suspects>,
}

impl Feedback {
    pub(crate) fn new(entry: &Entry, job: &Job, side: SocketAddr) -> Self {
        Self {
            clock: entry.clock,
            fingerprint: job.fingerprint,
            pool: entry.pool.clone(),
            side,
            suspects: entry.suspects.clone(),
        }
    }

    /// Records the crashes that `fault` reports.
    pub(crate) fn record_fault(&self, fault: &Fault) {
        let now = self.clock.now();
        self.suspects
            .record_crashes(now, self.fingerprint, &fault.crashes);
    }

    /// Records that the request ran without a crash, and returns the connection to the pool.
    pub(crate) fn record_success(&self, connection: Connection) {
        let now = self.clock.now();
        self.suspects.record_success(now, self.fingerprint);
        self.pool.put(self.side, connection, now);
    }
}
