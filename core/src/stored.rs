//! Which holders of stored work are alive, by the versions of their heartbeats.

use almondwell_schema::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a new heartbeat after which a holder's work is taken over.
pub const LEASE: Duration = Duration::from_secs(10);
/// Time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_secs(3);
/// Longest time between two looks; after a longer one, leases start anew.
const MAX_GAP: Duration = Duration::from_secs(6);

/// Heartbeats as one observer has seen them, on its own clock.
///
/// Leases serve liveness only: what two holders of the same work may do is decided by conditional
/// writes and the ledger.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    looked: Duration,
    seen: BTreeMap<Box<str>, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    since: Duration,
    version: Version,
}

impl Holders {
    /// Takes in all heartbeats that the store lists at `now`.
    pub fn look<'a>(&mut self, now: Duration, listed: impl Iterator<Item = (&'a str, Version)>) {
        let is_late = now.saturating_sub(self.looked) > MAX_GAP;
        self.looked = now;
        let seen = listed.map(|(name, version)| {
            let before = self.seen.get(name);
            let is_same = before.is_some_and(|seen| seen.version == version);
            let since = before
                .filter(|_| is_same && !is_late)
                .map_or(now, |seen| seen.since);
            (name.into(), Seen { since, version })
        });
        self.seen = seen.collect();
    }

    /// Whether the lease of `name` has lapsed; a holder without a heartbeat has none.
    pub fn is_dead(&self, now: Duration, name: &str) -> bool {
        self.seen
            .get(name)
            .is_none_or(|seen| now.saturating_sub(seen.since) >= LEASE)
    }

    /// Holders whose last heartbeat is older than `age`, with its version.
    pub fn older(&self, now: Duration, age: Duration) -> impl Iterator<Item = (&str, Version)> {
        self.seen
            .iter()
            .filter(move |(_, seen)| now.saturating_sub(seen.since) >= age)
            .map(|(name, seen)| (&**name, seen.version))
    }
}
