//! The versions of services that may have begun a stream lately.
//!
//! A stream without a record continues only where a single version can have begun it. That is decided by the list that
//! all entries keep in the store, since a version may have left while an entry was down.

use crate::streams::Origin;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without an upstream after which a version is taken off the list: longer than an entry that cannot reach the store
/// may go on using its upstreams, and than any stream lasts.
pub const RETENTION: Duration = Duration::from_mins(10);

/// Versions in use, as this entry knows the stored list.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// Versions on the list, with the time at which this entry last knew an upstream of each.
    listed: BTreeMap<Origin, Duration>,
    /// Versions of registrations that were read together with the list, and that this entry may not follow yet.
    unfollowed: BTreeSet<Origin>,
}

impl Versions {
    /// Replaces the list by the stored one, read at `now`.
    pub fn replace(&mut self, now: Duration, stored: impl IntoIterator<Item = Origin>) {
        let previous = std::mem::take(&mut self.listed);
        self.listed = stored
            .into_iter()
            .map(|origin| {
                let seen_at = previous.get(&origin).copied().unwrap_or(now);
                (origin, seen_at)
            })
            .collect();
    }

    /// Replaces the versions of registrations that this entry may not follow yet.
    pub fn set_unfollowed(&mut self, unfollowed: BTreeSet<Origin>) {
        self.unfollowed = unfollowed;
    }

    /// Records the versions of the registered upstreams; returns whether the stored list has to change.
    pub fn observe(&mut self, now: Duration, registered: &BTreeSet<Origin>) -> bool {
        for (origin, seen_at) in &mut self.listed {
            if registered.contains(origin) {
                *seen_at = now;
            }
        }
        self.target(now, registered).len() != self.listed.len()
            || registered
                .iter()
                .any(|origin| !self.listed.contains_key(origin))
    }

    /// The list as it should be stored: with all registered versions, without those of which no upstream has been known for
    /// [`RETENTION`].
    pub fn target(&self, now: Duration, registered: &BTreeSet<Origin>) -> BTreeSet<Origin> {
        let recent = |seen_at: &Duration| now.saturating_sub(*seen_at) < RETENTION;
        self.listed
            .iter()
            .filter(|(_, seen_at)| recent(seen_at))
            .map(|(origin, _)| origin.clone())
            .chain(registered.iter().cloned())
            .collect()
    }

    /// Whether the list names several versions of a service.
    pub fn is_mixed(&self) -> bool {
        let services: BTreeSet<_> = self.listed.keys().map(|origin| &origin.service).collect();
        services.len() < self.listed.len()
    }

    /// The only version of `service` that can have begun a stream, if the list names one and no upstream of another is
    /// registered.
    pub fn sole(&self, service: &str, registered: &BTreeSet<Origin>) -> Option<&str> {
        let is_of = |origin: &&Origin| *origin.service == *service;
        let mut listed = self.listed.keys().filter(is_of);
        let (Some(only), None) = (listed.next(), listed.next()) else {
            return None;
        };
        let registered = registered.iter().chain(&self.unfollowed);
        registered
            .filter(is_of)
            .all(|origin| origin == only)
            .then_some(&only.version)
    }
}
