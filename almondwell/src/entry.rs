//! Shared state of an entry process.

use crate::answer_times::AnswerTimes;
use crate::budgets::Budgets;
use crate::burn::Burn;
use crate::catalog::Catalog;
use crate::directories::Directories;
use crate::drain::Drain;
use crate::members::Members;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::quarantine::Suspects;
use crate::stored;
use crate::waiters::Waiters;
use almondwell_configuration::Replica;
use almondwell_daemon::Clock;
use almondwell_platform::Objects;
use almondwell_schema::{Datagram, EntrySettings, Epoch, RequestId};
use almondwell_wire::{Seal, Socket};
use arc_swap::ArcSwap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Shared state of an entry process.
pub(crate) struct Entry {
    pub(crate) answer_times: Arc<AnswerTimes>,
    pub(crate) budgets: Budgets,
    pub(crate) burn: Arc<Burn>,
    pub(crate) catalog: ArcSwap<Catalog>,
    pub(crate) clock: Clock,
    pub(crate) memory: Memory,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) objects: Objects,
    pub(crate) pool: Arc<Pool>,
    pub(crate) directories: Directories,
    pub(crate) drain: Drain,
    /// Identifies this incarnation of the entry; random, never 0. The high half of its request ids.
    pub(crate) epoch: Epoch,
    pub(crate) members: Members,
    pub(crate) replica: Replica,
    pub(crate) seal: Seal,
    pub(crate) settings: EntrySettings,
    pub(crate) socket: Socket,
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) stored: stored::State,
    pub(crate) waiters: Waiters,
    request_count: AtomicU64,
}

impl Entry {
    pub(crate) fn new(settings: EntrySettings, socket: Socket) -> Self {
        let seal = Seal::new(&settings.secret);
        let epoch = rand::random_range(1..=Epoch::MAX);
        let stored_name = format!("{}.{epoch:016x}", settings.id);
        Self {
            answer_times: Arc::default(),
            budgets: Budgets::default(),
            burn: Arc::new(Burn::new(&settings)),
            catalog: ArcSwap::default(),
            clock: Clock::start(),
            memory: Memory::new(settings.body_memory),
            metrics: Arc::default(),
            objects: Objects::new(settings.platform),
            pool: Arc::default(),
            directories: Directories::new(&settings),
            drain: Drain::default(),
            epoch,
            members: Members::new(&settings.id),
            replica: Replica::default(),
            seal,
            settings,
            socket,
            suspects: Arc::default(),
            stored: stored::State::new(&stored_name),
            waiters: Waiters::default(),
            request_count: AtomicU64::new(0),
        }
    }

    /// Returns a new request id: this incarnation's epoch in the high 64 bits, so that ids differ
    /// between entries, and a counter in the low 64 bits.
    pub(crate) fn next_request(&self) -> RequestId {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        (u128::from(self.epoch) << u64::BITS) | u128::from(number)
    }

    /// Sends a datagram without waiting, for code that cannot await. A datagram that cannot be sent
    /// immediately is dropped and counted.
    pub(crate) fn try_send(&self, datagram: &Datagram, to: SocketAddr) {
        if !self.socket.send_now(datagram, to) {
            self.metrics.datagrams_unsent.inc();
        }
    }

    /// Sends a datagram. Failures are only counted; timeouts recover from lost datagrams.
    pub(crate) async fn send(&self, datagram: Datagram, to: SocketAddr) {
        if self.socket.send(&datagram, to).await.is_err() {
            self.metrics.datagrams_unsent.inc();
        }
    }
}
