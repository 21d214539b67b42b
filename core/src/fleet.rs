//! The upstreams that may get work, followed through the registrations' changes.
//!
//! A registration that lapses while the store is away comes back within seconds if its upstream lives, and
//! an outage may pass unnoticed while a watch waits. A removal that no drain announced is therefore held
//! back for a moment: the upstream serves on for longer than that, be it lapsed or leaving.

use crate::upstream::{State, Upstream, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Times of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time for which an unannounced removal is held: a part of the time within which a leaving upstream
    /// must get no more work.
    pub hold: Duration,
    /// Time after an outage of the store in which a removal may be a lapse; the platform has lapsed
    /// registrations back within 2 s.
    pub lapse: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(1750),
            lapse: Duration::from_secs(2),
        }
    }
}

/// What an update did to one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It may get work from now on.
    Added,
    /// What is known of it changed in another way, such as its address.
    Changed,
    /// It gets no new work.
    Draining,
    /// Its removal waits, since it may be a lapse.
    Held,
    /// Nothing that matters changed.
    None,
    /// It is gone.
    Removed,
}

/// Who gave a list of upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another entry, which reaches the store and has held back lapses itself.
    Entry,
    /// The store.
    Store,
}

/// Upstreams by identifier.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    held: BTreeMap<UpstreamId, Duration>,
    options: Options,
    /// Time until which removals may be lapses.
    unsure_until: Duration,
    upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl Fleet {
    /// A fleet without upstreams.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Notes that the store could not be reached at `now`.
    pub fn outage(&mut self, now: Duration) {
        self.unsure_until = now + self.options.lapse;
    }

    /// Takes in a registration.
    pub fn put(&mut self, upstream: Upstream) -> Change {
        self.held.remove(&upstream.id);
        let known = self.upstreams.get(&upstream.id);
        let change = match (known.map(|known| known.state), upstream.state) {
            (None | Some(State::Draining), State::Ready) => Change::Added,
            (Some(State::Ready) | None, State::Draining) => Change::Draining,
            (Some(_), _) if known != Some(&upstream) => Change::Changed,
            (Some(_), _) => Change::None,
        };
        self.upstreams.insert(upstream.id.clone(), upstream);
        change
    }

    /// Takes in the removal of a registration.
    pub fn remove(&mut self, now: Duration, id: &str) -> Change {
        let Some(known) = self.upstreams.get(id) else {
            return Change::None;
        };
        if known.state == State::Draining {
            self.forget(id);
            return Change::Removed;
        }
        // After an outage that was noticed, only lapses are waited for: the removal may be old.
        let hold = if now < self.unsure_until {
            self.options.hold.min(self.options.lapse)
        } else {
            self.options.hold
        };
        let until = self.unsure_until.max(now + hold);
        self.held.entry(id.into()).or_insert(until);
        Change::Held
    }

    /// Takes in a whole list; returns what changed.
    pub fn replace(
        &mut self,
        now: Duration,
        source: Source,
        list: Vec<Upstream>,
    ) -> Vec<(UpstreamId, Change)> {
        let listed: BTreeSet<_> = list.iter().map(|upstream| upstream.id.clone()).collect();
        let known = self.upstreams.keys();
        let missing: Vec<_> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changes = Vec::new();
        for upstream in list {
            // Another entry lists what it holds itself: that says nothing of whether it is back.
            if source == Source::Entry && self.held.contains_key(&upstream.id) {
                continue;
            }
            let id = upstream.id.clone();
            changes.push((id, self.put(upstream)));
        }
        for id in missing {
            let change = match source {
                Source::Entry => {
                    self.forget(&id);
                    Change::Removed
                }
                Source::Store => self.remove(now, &id),
            };
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != Change::None);
        changes
    }

    /// Removes what has not come back; returns it.
    pub fn expire(&mut self, now: Duration) -> Vec<UpstreamId> {
        let due: Vec<_> = self
            .held
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.forget(id);
        }
        due
    }

    fn forget(&mut self, id: &str) {
        self.held.remove(id);
        self.upstreams.remove(id);
    }

    /// Whether an upstream is known.
    pub fn contains(&self, id: &str) -> bool {
        self.upstreams.contains_key(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// The upstreams that take work, by service.
    pub fn ready(&self) -> BTreeMap<Box<str>, Vec<Upstream>> {
        let mut services: BTreeMap<Box<str>, Vec<Upstream>> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            if upstream.state == State::Ready {
                services
                    .entry(upstream.service.clone())
                    .or_default()
                    .push(upstream.clone());
            }
        }
        services
    }
}
