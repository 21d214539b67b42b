//! State shared by the tasks of a side.

use crate::entries::Entries;
use crate::fencing::Token;
use crate::health::Health;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::quarantine::Suspects;
use almondwell_configuration::Replica;
use almondwell_core::{Offer, Queue};
use almondwell_daemon::Clock;
use almondwell_platform::Objects;
use almondwell_schema::{Datagram, Epoch, Grant, RequestId, SideSettings};
use almondwell_wire::{Seal, Socket};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// State shared by the tasks of a side.
pub(crate) struct Side {
    pub(crate) clock: Clock,
    pub(crate) entries: Entries,
    /// Identifies this incarnation of the side; random, never 0.
    pub(crate) epoch: Epoch,
    pub(crate) health: Health,
    pub(crate) is_draining: AtomicBool,
    pub(crate) ledger: Ledger,
    pub(crate) metrics: Metrics,
    pub(crate) objects: Objects,
    pub(crate) fencing_token: Token,
    pub(crate) replica: Replica,
    pub(crate) seal: Seal,
    pub(crate) settings: SideSettings,
    pub(crate) socket: Socket,
    pub(crate) suspects: Suspects,
    queue: Mutex<Queue<SocketAddr>>,
}

impl Side {
    pub(crate) fn new(settings: SideSettings, socket: Socket) -> Self {
        let seal = Seal::new(&settings.secret);
        let queue = Queue::new(almondwell_core::Settings {
            backlog: settings.backlog as usize,
            slots: settings.places.into(),
            ..almondwell_core::Settings::default()
        });
        let clock = Clock::start();
        Self {
            clock,
            entries: Entries::default(),
            epoch: rand::random_range(1..=Epoch::MAX),
            health: Health::default(),
            is_draining: AtomicBool::new(false),
            ledger: Ledger::new(&settings, clock),
            metrics: Metrics::default(),
            objects: Objects::new(settings.platform),
            fencing_token: Token::default(),
            replica: Replica::default(),
            seal,
            settings,
            socket,
            suspects: Suspects::default(),
            queue: Mutex::new(queue),
        }
    }

    /// Locks the queue; the guard must not be held across an await.
    pub(crate) fn queue(&self) -> MutexGuard<'_, Queue<SocketAddr>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Grants slots to waiting reservations while slots are free and the upstream is up.
    pub(crate) async fn grant_free_slots(&self) {
        while let Some(offer) = self.next_offer() {
            self.send_grant(offer).await;
        }
    }

    /// Like [`Side::grant_free_slots`]; returns whether `request` was granted one.
    pub(crate) async fn grant_free_slots_checking(&self, request: RequestId) -> bool {
        let mut is_granted = false;
        while let Some(offer) = self.next_offer() {
            is_granted |= offer.request == request;
            self.send_grant(offer).await;
        }
        is_granted
    }

    fn next_offer(&self) -> Option<Offer<SocketAddr>> {
        if !self.health.is_up() {
            return None;
        }
        self.queue().next(self.clock.now())
    }

    pub(crate) async fn send_grant(&self, offer: Offer<SocketAddr>) {
        let grant = Grant {
            request: offer.request,
            ticket: offer.ticket,
            epoch: self.epoch,
        };
        self.send(grant.into(), offer.from).await;
    }

    /// Sends a datagram. A failure is counted and otherwise ignored: the receiver's timeout covers it.
    pub(crate) async fn send(&self, datagram: Datagram, to: SocketAddr) {
        if self.socket.send(&datagram, to).await.is_err() {
            self.metrics.datagrams_unsent.inc();
        }
    }
}
