//! The sides that this entry deals with, kept up to date by the list and by the sides.

use crate::sides::Sides;
use almondwell_core::Membership;
use almondwell_schema::{Epoch, Instance};
use arc_swap::{ArcSwap, Guard};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The membership and what requests read of it.
pub(crate) struct Members {
    instances: ArcSwap<Vec<Instance>>,
    membership: Mutex<Membership>,
    owner: Box<str>,
    sides: ArcSwap<Sides>,
}

impl Members {
    pub(crate) fn new(owner: &str) -> Self {
        Self {
            instances: ArcSwap::default(),
            membership: Mutex::default(),
            owner: owner.into(),
            sides: ArcSwap::default(),
        }
    }

    /// Sides that may be asked.
    pub(crate) fn sides(&self) -> Guard<Arc<Sides>> {
        self.sides.load()
    }

    /// The last instance list that was read.
    pub(crate) fn instances(&self) -> Arc<Vec<Instance>> {
        self.instances.load_full()
    }

    /// Takes over an instance list.
    pub(crate) fn list(&self, instances: Vec<Instance>) {
        let mut membership = self.lock();
        if membership.list(&instances) {
            self.publish(&membership);
        }
        self.instances.store(Arc::new(instances));
    }

    /// Notes that a reservation is on its way to `address`.
    pub(crate) fn asked(&self, address: SocketAddr, now: Duration) {
        if let Some(pulse) = self.sides().pulse(address) {
            pulse.asked(now);
        }
    }

    /// Notes that the run `epoch` of a side has answered.
    pub(crate) fn heard(&self, address: SocketAddr, epoch: Epoch) {
        if self.sides().heard(address, epoch) {
            return;
        }
        let mut membership = self.lock();
        if membership.heard(address, epoch) {
            spdlog::info!("side answers again", kv: { address = address.to_string() });
            self.publish(&membership);
        }
    }

    /// Notes that the run `epoch` of a side is leaving.
    pub(crate) fn leaving(&self, address: SocketAddr, epoch: Epoch) {
        let mut membership = self.lock();
        if membership.leaving(address, epoch) {
            spdlog::info!("side is leaving", kv: { address = address.to_string() });
            self.publish(&membership);
        }
    }

    /// Finds silent sides; returns those to probe.
    pub(crate) fn check(&self, now: Duration) -> Vec<SocketAddr> {
        let mut membership = self.lock();
        let (is_changed, probes) = membership.check(now);
        if is_changed {
            spdlog::warn!("sides are silent", kv: { counts = format!("{:?}", membership.counts()) });
            self.publish(&membership);
        }
        probes
    }

    /// Made under the lock, so that an older view never replaces a newer one.
    fn publish(&self, membership: &Membership) {
        let sides = Sides::new(&self.owner, membership);
        self.sides.store(Arc::new(sides));
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
