//! State that the tasks of an entry share.

use crate::burn::Burn;
use crate::catalog::Catalog;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::sides::Sides;
use crate::waiters::Waiters;
use almondwell_daemon::Clock;
use almondwell_platform::{Instances, Objects};
use almondwell_schema::{Datagram, EntrySettings, RequestId};
use almondwell_wire::{Error, Seal, Socket};
use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender, bounded};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// State that the tasks of an entry share.
pub(crate) struct Entry {
    pub(crate) burn: Arc<Burn>,
    pub(crate) catalog: ArcSwap<Catalog>,
    pub(crate) clock: Clock,
    pub(crate) instances: Instances,
    pub(crate) leaving: AtomicBool,
    pub(crate) memory: Memory,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) objects: Objects,
    /// Callers' connections; one that is idle closes soon after `leaving` is set.
    pub(crate) open: AtomicUsize,
    pub(crate) pool: Arc<Pool>,
    pub(crate) seal: Seal,
    pub(crate) settings: EntrySettings,
    pub(crate) sides: ArcSwap<Sides>,
    pub(crate) socket: Socket,
    pub(crate) waiters: Waiters,
    epoch: u64,
    requests: AtomicU64,
    stay: Sender<Infallible>,
    stop: Receiver<Infallible>,
}

impl Entry {
    pub(crate) async fn bind(settings: EntrySettings) -> Result<Self, Error> {
        let seal = Seal::new(&settings.secret);
        let socket = Socket::bind(settings.control, seal.clone()).await?;
        let (stay, stop) = bounded(1);
        Ok(Self {
            burn: Arc::new(Burn::new(&settings)),
            catalog: ArcSwap::default(),
            clock: Clock::start(),
            instances: Instances::new(settings.platform),
            leaving: AtomicBool::new(false),
            memory: Memory::new(settings.body_memory),
            metrics: Arc::default(),
            objects: Objects::new(settings.platform),
            open: AtomicUsize::new(0),
            pool: Arc::default(),
            seal,
            settings,
            sides: ArcSwap::default(),
            socket,
            waiters: Waiters::default(),
            epoch: rand::random(),
            requests: AtomicU64::new(0),
            stay,
            stop,
        })
    }

    /// Reports unready from now on and lets idle connections close.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.stay.close();
    }

    /// Returns once the entry is leaving.
    pub(crate) async fn left(&self) {
        // Nothing is ever sent: the channel ends when it is closed.
        let _ = self.stop.recv().await;
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
