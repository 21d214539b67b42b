//! The set of known upstreams, updated from changes of their registrations.
//!
//! A registration that expires during an outage of the store returns within seconds if its upstream is
//! alive, and an outage may go unnoticed while a watch is waiting. A removal without a preceding drain is
//! therefore delayed for a grace period. An upstream keeps serving for longer than that, whether its
//! registration expired or it is shutting down.
//!
//! That longer time counts from the removal itself. Where an entry may have learned of it late, the grace period
//! therefore counts from the last moment at which the registrations were known.

use crate::streams::Origin;
use crate::upstream::{State, Upstream, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Grace periods for removals.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Grace period of a removal without a preceding drain. It must be shorter than the time within which
    /// an upstream that shuts down has to stop getting new requests.
    pub removal_grace: Duration,
    /// Time after an outage of the store during which a removal may be an expired registration of a live
    /// upstream. The platform restores these within 2 s.
    pub outage_recovery: Duration,
    /// Time for which another entry may list an upstream after its removal: until it learns of the removal, and then for
    /// its own grace period.
    pub peer_delay: Duration,
    /// Delay up to which a removal counts as learned at once: that after a change, in which further changes are collected,
    /// and a call to the store.
    pub prompt_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            removal_grace: Duration::from_millis(1750),
            outage_recovery: Duration::from_secs(2),
            peer_delay: Duration::from_secs(10),
            prompt_delay: Duration::from_millis(500),
        }
    }
}

/// Effect of an update on one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is available for requests from now on.
    Added,
    /// Another attribute changed, such as its address.
    Changed,
    /// It gets no new requests.
    Draining,
    /// Its removal is delayed, since the registration may have expired in an outage.
    Held,
    /// Nothing changed.
    None,
    /// It was removed.
    Removed,
}

/// Origin of a list of upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another entry, which can reach the store and has applied its own grace period to removals.
    Entry,
    /// The platform's store.
    Store,
}

/// Upstreams by identifier.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Last moment at which the registrations were known, from the store or from another entry.
    known_at: Option<Duration>,
    /// Upstreams whose removal is delayed, with the end of the grace period.
    held_until: BTreeMap<UpstreamId, Duration>,
    options: Options,
    /// End of the time after an outage in which a removal may be an expired registration.
    recovery_until: Duration,
    /// Upstreams that the store has removed lately, with the time.
    removed_at: BTreeMap<UpstreamId, Duration>,
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

    /// Records that the store was unreachable at `now`.
    pub fn record_outage(&mut self, now: Duration) {
        self.recovery_until = now + self.options.outage_recovery;
    }

    /// Records that the store came back at `now` from an older copy, which may lack registrations of live upstreams.
    pub fn record_era(&mut self, now: Duration) {
        self.record_outage(now);
    }

    /// Records that the registrations of the moment `at` are known.
    pub fn confirm(&mut self, at: Duration) {
        self.known_at = self.known_at.max(Some(at));
    }

    /// Records, before its changes are applied, that a watch which started at `start` was answered at `now`. One that
    /// had to wait was answered as soon as there was a change; another one may report changes from before its start.
    pub fn record_watch(&mut self, now: Duration, start: Duration) {
        if now.saturating_sub(start) > self.options.prompt_delay {
            self.confirm(now);
        }
    }

    /// Adds or updates an upstream; cancels a delayed removal.
    pub fn put(&mut self, upstream: Upstream) -> Change {
        self.held_until.remove(&upstream.id);
        self.removed_at.remove(&upstream.id);
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

    /// Removes an upstream at once if it was draining, or else after the grace period.
    pub fn remove(&mut self, now: Duration, id: &str) -> Change {
        let Some(known) = self.upstreams.get(id) else {
            return Change::None;
        };
        if known.state == State::Draining {
            self.delete_for_good(now, id);
            return Change::Removed;
        }
        let until = self.grace_end(now);
        if until <= now {
            self.delete_for_good(now, id);
            return Change::Removed;
        }
        self.held_until.entry(id.into()).or_insert(until);
        Change::Held
    }

    /// End of the grace period of a removal that is learned at `now`.
    fn grace_end(&self, now: Duration) -> Duration {
        let Options {
            outage_recovery,
            prompt_delay,
            removal_grace,
            ..
        } = self.options;
        // After a known outage, the removal may have happened long before this entry learned of it. The
        // delay then only has to cover the return of an expired registration.
        if now < self.recovery_until {
            let grace = removal_grace.min(outage_recovery);
            return self.recovery_until.max(now + grace);
        }
        match self.known_at {
            Some(known_at) if now.saturating_sub(known_at) > prompt_delay => {
                known_at + removal_grace
            }
            Some(_) | None => now + removal_grace,
        }
    }

    /// Replaces all upstreams by `list`; returns the changes other than [`Change::None`]. `now` is the time of an answer
    /// of the store, or that at which another entry was asked.
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
            // Another entry also lists upstreams whose removal it delays, so its list doesn't show that a
            // registration has returned.
            if source == Source::Entry && self.is_removed(now, &upstream.id) {
                continue;
            }
            let id = upstream.id.clone();
            changes.push((id, self.put(upstream)));
        }
        for id in missing {
            let change = match source {
                Source::Entry => {
                    self.delete(&id);
                    Change::Removed
                }
                Source::Store => self.remove(now, &id),
            };
            changes.push((id, change));
        }
        if source == Source::Entry {
            self.confirm(now);
        }
        changes.retain(|(_, change)| *change != Change::None);
        changes
    }

    /// Removes the upstreams whose grace period has ended; returns their identifiers.
    pub fn expire(&mut self, now: Duration) -> Vec<UpstreamId> {
        let due: Vec<_> = self
            .held_until
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.delete_for_good(now, id);
        }
        due
    }

    /// Whether no removal is delayed.
    pub fn is_settled(&self) -> bool {
        self.held_until.is_empty()
    }

    /// Whether the store has removed the upstream, so that another entry may list it by mistake.
    fn is_removed(&self, now: Duration, id: &str) -> bool {
        let is_recent = |at: &Duration| now.saturating_sub(*at) < self.options.peer_delay;
        self.held_until.contains_key(id) || self.removed_at.get(id).is_some_and(is_recent)
    }

    /// Deletes an upstream that the store has removed.
    fn delete_for_good(&mut self, now: Duration, id: &str) {
        let peer_delay = self.options.peer_delay;
        self.removed_at
            .retain(|_, at| now.saturating_sub(*at) < peer_delay);
        self.removed_at.insert(id.into(), now);
        self.delete(id);
    }

    fn delete(&mut self, id: &str) {
        self.held_until.remove(id);
        self.upstreams.remove(id);
    }

    /// Whether an upstream is known, in any state.
    pub fn contains(&self, id: &str) -> bool {
        self.upstreams.contains_key(id)
    }

    /// All upstreams, including draining ones and those with a delayed removal.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// The versions of all upstreams, by service.
    pub fn versions(&self) -> BTreeSet<Origin> {
        let origin = |upstream: &Upstream| Origin {
            service: upstream.service.clone(),
            version: upstream.version.clone(),
        };
        self.upstreams.values().map(origin).collect()
    }

    /// The upstreams that accept new requests, by service.
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
