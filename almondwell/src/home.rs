//! What follows from the end of a call at a side.

use crate::entry::Entry;
use crate::job::Job;
use crate::pool::Pool;
use crate::quarantine::Suspects;
use almondwell_daemon::Clock;
use almondwell_schema::{Fault, Fingerprint};
use almondwell_wire::Connection;
use std::net::SocketAddr;
use std::sync::Arc;

/// Where a connection goes after a whole answer, and who learns from a fault.
pub(crate) struct Home {
    clock: Clock,
    fingerprint: Fingerprint,
    pool: Arc<Pool>,
    side: SocketAddr,
    suspects: Arc<Suspects>,
}

impl Home {
    pub(crate) fn new(entry: &Entry, job: &Job, side: SocketAddr) -> Self {
        Self {
            clock: entry.clock,
            fingerprint: job.fingerprint,
            pool: entry.pool.clone(),
            side,
            suspects: entry.suspects.clone(),
        }
    }

    /// Remembers the crashes that `fault` reports.
    pub(crate) fn learn(&self, fault: &Fault) {
        let now = self.clock.now();
        self.suspects.learn(now, self.fingerprint, &fault.crashes);
    }

    /// Keeps the connection for further calls.
    pub(crate) fn keep(&self, connection: Connection) {
        let now = self.clock.now();
        self.suspects.passed(now, self.fingerprint);
        self.pool.keep(self.side, connection, now);
    }
}
