//! The sides that this entry sends requests to, updated from the instance list and the sides'
//! messages.

use crate::sides::Sides;
use almondwell_core::Membership;
use almondwell_schema::{Epoch, Instance};
use arc_swap::{ArcSwap, Guard};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The membership, and lock-free snapshots of it for requests.
pub(crate) struct Members {
    instances: ArcSwap<Vec<Instance>>,
    membership: Mutex<Membership>,
    entry_id: Box<str>,
    sides: ArcSwap<Sides>,
}

impl Members {
    pub(crate) fn new(entry_id: &str) -> Self {
        Self {
            instances: ArcSwap::default(),
            membership: Mutex::default(),
            entry_id: entry_id.into(),
            sides: ArcSwap::default(),
        }
    }

    /// Snapshot of the sides that requests may be sent to.
    pub(crate) fn sides(&self) -> Guard<Arc<Sides>> {
        self.sides.load()
    }

    /// The instance list that was read last.
    pub(crate) fn instances(&self) -> Arc<Vec<Instance>> {
        self.instances.load_full()
    }

    /// Replaces the instance list.
    pub(crate) fn replace_instances(&self, instances: Vec<Instance>) {
        let mut membership = self.lock();
        if membership.apply_list(&instances) {
            self.publish(&membership);
        }
        self.instances.store(Arc::new(instances));
    }

    /// Records that a reservation is being sent to `address`, whose answer is outstanding from now on.
    pub(crate) fn record_request(&self, address: SocketAddr, now: Duration) {
        if let Some(liveness) = self.sides().liveness(address) {
            liveness.record_request(now);
        }
    }

    /// Records an answer from the side at `address`, whose incarnation is `epoch`.
    pub(crate) fn record_answer(&self, address: SocketAddr, epoch: Epoch) {
        if self.sides().record_answer(address, epoch) {
            return;
        }
        let mut membership = self.lock();
        if membership.record_answer(address, epoch) {
            spdlog::info!("side is answering again", kv: { address = address.to_string() });
            self.publish(&membership);
        }
    }

    /// Records that the side at `address`, whose incarnation is `epoch`, takes no new work.
    pub(crate) fn mark_leaving(&self, address: SocketAddr, epoch: Epoch) {
        let mut membership = self.lock();
        if membership.record_leaving(address, epoch) {
            spdlog::info!("side is leaving", kv: { address = address.to_string() });
            self.publish(&membership);
        }
    }

    /// Marks sides that have not answered within their lease as suspect; returns those to probe.
    pub(crate) fn check(&self, now: Duration) -> Vec<SocketAddr> {
        let mut membership = self.lock();
        let (is_changed, probes) = membership.check(now);
        if is_changed {
            spdlog::warn!("sides did not answer within their lease", kv: { counts = format!("{:?}", membership.counts()) });
            self.publish(&membership);
        }
        probes
    }

    /// Replaces the snapshot. Called with the lock held, so that an older snapshot never replaces a
    /// newer one.
    fn publish(&self, membership: &Membership) {
        let sides = Sides::new(&self.entry_id, membership);
        self.sides.store(Arc::new(sides));
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
