//! Leases of the holders of stored work, judged by the versions of their heartbeats.

use almondwell_schema::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a new heartbeat after which a holder's lease expires and its work is taken over.
pub const LEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum time between two observations; after a longer gap all leases restart.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(6);

/// Heartbeats of the holders as one observer has seen them, timed by the observer's own clock.
///
/// Leases are for liveness only. If two holders have the same work, conditional writes and the ledger
/// decide what each of them may do.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    observed_at: Duration,
    heartbeats: BTreeMap<Box<str>, Heartbeat>,
}

#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    since: Duration,
    version: Version,
}

impl Holders {
    /// Records all heartbeats that the store lists at `now`, as names of holders with versions.
    pub fn observe<'a>(&mut self, now: Duration, listed: impl Iterator<Item = (&'a str, Version)>) {
        let is_gap = now.saturating_sub(self.observed_at) > MAX_OBSERVATION_GAP;
        self.observed_at = now;
        let heartbeats = listed.map(|(name, version)| {
            let previous = self.heartbeats.get(name);
            let is_same = previous.is_some_and(|heartbeat| heartbeat.version == version);
            let since = previous
                .filter(|_| is_same && !is_gap)
                .map_or(now, |heartbeat| heartbeat.since);
            (name.into(), Heartbeat { since, version })
        });
        self.heartbeats = heartbeats.collect();
    }

    /// Whether the lease of `name` has expired; a holder without a heartbeat has no lease and counts as
    /// expired.
    pub fn is_expired(&self, now: Duration, name: &str) -> bool {
        self.heartbeats
            .get(name)
            .is_none_or(|heartbeat| now.saturating_sub(heartbeat.since) >= LEASE_TIMEOUT)
    }

    /// Holders whose last heartbeat is at least `age` old, with its version.
    pub fn stale(&self, now: Duration, age: Duration) -> impl Iterator<Item = (&str, Version)> {
        self.heartbeats
            .iter()
            .filter(move |(_, heartbeat)| now.saturating_sub(heartbeat.since) >= age)
            .map(|(name, heartbeat)| (&**name, heartbeat.version))
    }
}
