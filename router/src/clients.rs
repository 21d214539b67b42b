//! Clients' connections, with one limit for their number and one for the memory that they make the process hold.

use crate::client::Client;
use crate::metrics::Metrics;
use crate::router::milliseconds;
use crate::segments;
use almondwell_core::eviction::{self, Activity, Candidate, Progress};
use almondwell_daemon::Clock;
use almondwell_schema::RouterSettings;
use async_std::future::timeout;
use event_listener::Event;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Share of the machine's memory that clients may use. The process itself takes 9 MB, and up to 20 with a large configuration;
/// the rest is for the allocator and for the kernel's buffers.
const MEMORY_SHARE: f64 = 0.4;
/// Share of the machine's memory for what connections take beside their accounts.
const CONNECTION_SHARE: f64 = 0.25;
/// What a connection with a running request takes beside its account: its task, and a piece of the answer as it was read.
const CONNECTION_BYTES: f64 = 24.0 * 1024.0;
const BYTES_PER_MB: f64 = 1e6;
/// Descriptors that are not for clients: the platform sets 200 aside for files; the others are for the store, other entries,
/// and the readiness and admin addresses.
const RESERVED_DESCRIPTORS: u32 = 300;
/// Descriptors of a client: its connection, and that to the upstream that runs its request.
const DESCRIPTORS_PER_CLIENT: u32 = 2;
/// Time after which a further client is evicted for a connection. A client closes within a millisecond unless its machine is
/// overloaded.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest time between two log lines about clients that were refused or closed.
const LOG_PERIOD: Duration = Duration::from_secs(1);

pub(crate) type Id = u64;

/// There is no memory left for the client, or it was evicted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoRoom;

/// What an evicted client gave way for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Eviction {
    Connection,
    Memory,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    Idle(Duration),
    Receiving,
    /// The request is complete and may have been forwarded.
    Running,
}

#[derive(Debug)]
pub(crate) struct State {
    /// Capacity of the read buffer, part of `held`.
    pub(crate) buffer: usize,
    /// Bytes that were held at the eviction and have not been freed since.
    pub(crate) evicted_bytes: usize,
    pub(crate) eviction: Option<Eviction>,
    pub(crate) held: usize,
    pub(crate) phase: Phase,
    pub(crate) progress: Progress,
}

#[derive(Debug)]
pub(crate) struct Shared {
    address: IpAddr,
    pub(crate) evicted: Event,
    pub(crate) state: Mutex<State>,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All clients of the process.
pub(crate) struct Clients {
    pub(crate) clock: Clock,
    /// Most connections.
    connections: usize,
    /// Evicted clients whose connections are still open, of those that gave way for a connection.
    pub(crate) closing: AtomicUsize,
    pub(crate) closed: Event,
    pub(crate) freed: Event,
    /// Bytes of evicted clients that are still held.
    pub(crate) freeing: AtomicUsize,
    pub(crate) held: AtomicUsize,
    logged_ms: AtomicU64,
    /// Most bytes that are held.
    memory: usize,
    pub(crate) metrics: Metrics,
    next_id: AtomicU64,
    open: Mutex<BTreeMap<Id, Arc<Shared>>>,
}

impl Clients {
    pub(crate) fn new(settings: &RouterSettings, metrics: Metrics, clock: Clock) -> Arc<Self> {
        let bytes = f64::from(settings.memory) * BYTES_PER_MB;
        // Far below 2^53.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let (memory, most_connections) = match settings.memory {
            0 => (usize::MAX, usize::MAX),
            _ => (
                (bytes * MEMORY_SHARE) as usize,
                (bytes * CONNECTION_SHARE / CONNECTION_BYTES) as usize,
            ),
        };
        let connections = match settings.descriptors {
            0 => settings.connections,
            descriptors => settings
                .connections
                .min(descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CLIENT)
                .max(1),
        };
        Arc::new(Self {
            clock,
            connections: (connections as usize).min(most_connections.max(1)),
            closing: AtomicUsize::new(0),
            closed: Event::new(),
            freed: Event::new(),
            freeing: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            logged_ms: AtomicU64::new(0),
            memory,
            metrics,
            next_id: AtomicU64::new(0),
            open: Mutex::default(),
        })
    }

    /// Most connections.
    pub(crate) const fn limit(&self) -> usize {
        self.connections
    }

    /// Bytes that clients make the process hold.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Acquire)
    }

    /// Adds a connection, in place of another one if there are as many as allowed; `None` if no other one gives way.
    pub(crate) async fn admit(self: &Arc<Self>, address: IpAddr) -> Option<Client> {
        let mut is_closing = false;
        loop {
            let closed = self.closed.listen();
            if let Some(client) = self.insert(address) {
                return Some(client);
            }
            is_closing &= self.closing.load(Ordering::Acquire) > 0;
            if !is_closing && !self.evict_connection() {
                self.metrics.connections_refused.inc();
                self.log();
                return None;
            }
            // Evicted clients close when their tasks run next. If one does not, another one is evicted.
            is_closing = timeout(CLOSE_TIMEOUT, closed).await.is_ok();
        }
    }

    /// Takes `bytes` of memory, if as much is left beside free segments or in their place.
    pub(crate) fn try_hold(&self, bytes: usize) -> bool {
        let take = |limit: usize| {
            self.held
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |held| {
                    held.checked_add(bytes).filter(|sum| *sum <= limit)
                })
                .is_ok()
        };
        let free = segments::free_bytes();
        if take(self.memory.saturating_sub(free)) {
            return true;
        }
        let excess = (self.held() + free + bytes).saturating_sub(self.memory);
        segments::shrink(excess) && take(self.memory.saturating_sub(segments::free_bytes()))
    }

    fn insert(self: &Arc<Self>, address: IpAddr) -> Option<Client> {
        let mut open = self.lock();
        if open.len() >= self.connections {
            return None;
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::new(Shared {
            address,
            evicted: Event::new(),
            state: Mutex::new(State {
                buffer: 0,
                evicted_bytes: 0,
                eviction: None,
                held: 0,
                phase: Phase::Idle(self.clock.now()),
                progress: Progress::default(),
            }),
        });
        open.insert(id, shared.clone());
        Some(Client::new(self.clone(), id, shared))
    }

    fn evict_connection(&self) -> bool {
        let now = self.clock.now();
        let victim = eviction::closable(now, candidates(&self.lock()));
        victim.is_some_and(|id| self.evict(id, Eviction::Connection))
    }

    /// Evicts the client with the least progress, if that is far less than the `share` of the one that needs memory.
    pub(crate) fn evict_stalled(&self, share: f64) -> bool {
        let now = self.clock.now();
        let victim = eviction::stalled(now, share, candidates(&self.lock()));
        victim.is_some_and(|id| self.evict(id, Eviction::Memory))
    }

    /// Evicts a client; `false` if it has sent a complete request meanwhile.
    fn evict(&self, id: Id, eviction: Eviction) -> bool {
        let Some(shared) = self.lock().get(&id).cloned() else {
            return false;
        };
        {
            let mut state = shared.lock();
            if state.eviction.is_some() || matches!(state.phase, Phase::Running) {
                return false;
            }
            state.eviction = Some(eviction);
            state.evicted_bytes = state.held;
            self.freeing.fetch_add(state.held, Ordering::AcqRel);
            if eviction == Eviction::Connection {
                self.closing.fetch_add(1, Ordering::AcqRel);
            }
        }
        match eviction {
            Eviction::Connection => self.metrics.connections_evicted.inc(),
            Eviction::Memory => self.metrics.requests_evicted.inc(),
        };
        shared.evicted.notify(usize::MAX);
        self.log();
        true
    }

    /// Logs that memory or connections are short, unless that was logged lately.
    pub(crate) fn log(&self) {
        let now = milliseconds(self.clock.now());
        let logged = self.logged_ms.load(Ordering::Acquire);
        let period = milliseconds(LOG_PERIOD);
        let is_due = logged == 0 || now.saturating_sub(logged) >= period;
        let is_first = || {
            self.logged_ms
                .compare_exchange(logged, now.max(1), Ordering::AcqRel, Ordering::Acquire)
                .is_ok()
        };
        if is_due && is_first() {
            spdlog::warn!("memory or connections for clients are short", kv: {
                held = self.held(), memory = self.memory,
                connections = self.lock().len(), limit = self.connections,
                refused = self.metrics.no_room.get(), evicted = self.metrics.requests_evicted.get(),
                closed = self.metrics.connections_evicted.get(),
                unaccepted = self.metrics.connections_refused.get()
            });
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<Id, Arc<Shared>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The clients that may be evicted.
fn candidates(
    open: &BTreeMap<Id, Arc<Shared>>,
) -> impl Iterator<Item = Candidate<IpAddr, Id>> + '_ {
    open.iter().filter_map(|(id, shared)| {
        let state = shared.lock();
        let activity = match state.phase {
            _ if state.eviction.is_some() => return None,
            Phase::Idle(since) => Activity::Idle(since),
            Phase::Receiving => Activity::Receiving(state.progress),
            Phase::Running => return None,
        };
        Some(Candidate {
            activity,
            address: shared.address,
            held: state.held,
            id: *id,
        })
    })
}
