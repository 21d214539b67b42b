//! State that the tasks of an entry share.

use crate::catalog::Catalog;
use crate::metrics::Metrics;
use crate::sides::Sides;
use crate::waiters::Waiters;
use almondwell_daemon::Clock;
use almondwell_platform::{Instances, Objects};
use almondwell_schema::{Datagram, EntrySettings, RequestId};
use almondwell_wire::{Error, Seal, Socket};
use arc_swap::ArcSwap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// State that the tasks of an entry share.
pub(crate) struct Entry {
    pub(crate) catalog: ArcSwap<Catalog>,
    pub(crate) clock: Clock,
    pub(crate) instances: Instances,
    pub(crate) leaving: AtomicBool,
    pub(crate) metrics: Metrics,
    pub(crate) objects: Objects,
    /// Requests that callers still wait for.
    pub(crate) open: AtomicUsize,
    pub(crate) seal: Seal,
    pub(crate) settings: EntrySettings,
    pub(crate) sides: ArcSwap<Sides>,
    pub(crate) socket: Socket,
    pub(crate) waiters: Waiters,
    epoch: u64,
    requests: AtomicU64,
}

impl Entry {
    pub(crate) async fn bind(settings: EntrySettings) -> Result<Self, Error> {
        let seal = Seal::new(&settings.secret);
        let socket = Socket::bind(settings.control, seal.clone()).await?;
        Ok(Self {
            catalog: ArcSwap::default(),
            clock: Clock::start(),
            instances: Instances::new(settings.platform),
            leaving: AtomicBool::new(false),
            metrics: Metrics::default(),
            objects: Objects::new(settings.platform),
            open: AtomicUsize::new(0),
            seal,
            settings,
            sides: ArcSwap::default(),
            socket,
            waiters: Waiters::default(),
            epoch: rand::random(),
            requests: AtomicU64::new(0),
        })
    }

    /// A request id that no other entry uses.
    pub(crate) fn next_request(&self) -> RequestId {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        (u128::from(self.epoch) << u64::BITS) | u128::from(number)
    }

    /// Sends a datagram at once or not at all, where nothing can be awaited.
    pub(crate) fn send_now(&self, datagram: &Datagram, to: SocketAddr) {
        if !self.socket.send_now(datagram, to) {
            self.metrics.datagrams_unsent.inc();
        }
    }

    /// Sends a datagram; losses are counted and made good by timeouts.
    pub(crate) async fn send(&self, datagram: Datagram, to: SocketAddr) {
        if self.socket.send(&datagram, to).await.is_err() {
            self.metrics.datagrams_unsent.inc();
        }
    }
}
