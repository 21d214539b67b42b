//! State of the request path, shared by all connections.

use crate::backend::Backend;
use crate::drain::Drain;
use crate::figures::Figures;
use crate::metrics::Metrics;
use almondwell_core::fleet::{self, Change, Fleet};
use almondwell_core::peers::{self, Peers};
use almondwell_core::placement;
use almondwell_core::quarantine::Quarantine;
use almondwell_core::table::Table;
use almondwell_core::upstream::{Upstream, UpstreamId};
use almondwell_daemon::Clock;
use almondwell_platform::Store;
use almondwell_schema::{Digest, RouterSettings};
use almondwell_wire::Socket;
use arc_swap::{ArcSwap, ArcSwapOption};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Upstreams that take work, by service.
pub(crate) type Ready = BTreeMap<Box<str>, Vec<Arc<Backend>>>;

/// Part of the drain time for which an unannounced removal is held; the rest is for hearing of it and for
/// what is on its way.
const HELD: f64 = 0.7;

/// State of the request path.
pub(crate) struct Router {
    backends: Mutex<BTreeMap<UpstreamId, Arc<Backend>>>,
    pub(crate) clock: Clock,
    pub(crate) drain: Drain,
    pub(crate) figures: Figures,
    fleet: Mutex<Fleet>,
    /// Whether the configuration has been read since the store was last lost.
    is_current: AtomicBool,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Mutex<Peers<Digest>>,
    pub(crate) placement: placement::Options,
    pub(crate) quarantine: Mutex<Quarantine>,
    ready: ArcSwap<Ready>,
    regions: BTreeMap<Box<str>, Box<str>>,
    pub(crate) settings: RouterSettings,
    /// Datagrams between entries.
    pub(crate) socket: Socket,
    pub(crate) store: Store,
    /// Revision of the store up to which the upstreams are known.
    revision: AtomicU64,
    table: ArcSwapOption<Table>,
    /// The table as the store has it, for entries that don't reach the store.
    written: ArcSwapOption<Vec<u8>>,
}

impl Router {
    pub(crate) fn new(settings: RouterSettings, socket: Socket) -> Self {
        let regions = settings
            .zones
            .iter()
            .filter_map(|pair| pair.split_once('='))
            .map(|(zone, region)| (zone.trim().into(), region.trim().into()))
            .collect();
        Self {
            backends: Mutex::default(),
            clock: Clock::start(),
            drain: Drain::default(),
            figures: Figures::new(&settings),
            fleet: Mutex::new(Fleet::new(fleet::Options {
                hold: settings.drain.mul_f64(HELD),
                ..fleet::Options::default()
            })),
            is_current: AtomicBool::new(false),
            metrics: Metrics::default(),
            peers: Mutex::new(Peers::new(
                peers::Options::default(),
                settings.control,
                settings.seeds.clone(),
            )),
            placement: placement::Options::default(),
            quarantine: Mutex::default(),
            ready: ArcSwap::default(),
            regions,
            socket,
            store: Store::new(settings.store),
            settings,
            revision: AtomicU64::new(0),
            table: ArcSwapOption::empty(),
            written: ArcSwapOption::empty(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The configuration in force, if one has been read.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table.load_full()
    }

    /// Whether the configuration is known to be the newest.
    pub(crate) fn is_current(&self) -> bool {
        self.is_current.load(Ordering::Acquire)
    }

    pub(crate) fn set_current(&self, is_current: bool) {
        if self.is_current.swap(is_current, Ordering::AcqRel) != is_current {
            let version = self.table().map_or(0, |table| table.version);
            if is_current {
                spdlog::info!("store regained", kv: { table = version });
            } else {
                spdlog::warn!("store lost", kv: { table = version });
            }
        }
    }

    /// Puts a table in force unless it is older than the one that is.
    pub(crate) fn adopt(&self, table: Table, written: Vec<u8>, source: &str) {
        let held = self.table().map(|table| table.version);
        let outcome = if held.is_some_and(|held| held >= table.version) {
            "kept"
        } else {
            "adopted"
        };
        spdlog::info!("configuration read", kv: {
            source, version = table.version, held = held.unwrap_or(0),
            routes = table.len(), keys = table.keys().len(), outcome
        });
        if outcome == "kept" {
            return;
        }
        self.metrics
            .table_version
            .set(i64::try_from(table.version).unwrap_or(i64::MAX));
        self.written.store(Some(Arc::new(written)));
        self.table.store(Some(Arc::new(table)));
    }

    /// The table as the store has it.
    pub(crate) fn written(&self) -> Option<Arc<Vec<u8>>> {
        self.written.load_full()
    }

    /// Revision of the store up to which the upstreams are known.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    pub(crate) fn set_revision(&self, revision: u64) {
        self.revision.fetch_max(revision, Ordering::AcqRel);
    }

    /// All upstreams.
    pub(crate) fn upstreams(&self) -> Vec<Upstream> {
        let fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        fleet.iter().cloned().collect()
    }

    /// Upstreams of a service that take work.
    pub(crate) fn ready(&self) -> Arc<Ready> {
        self.ready.load_full()
    }

    /// Whether requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.drain.is_leaving() && self.table.load().is_some() && !self.ready.load().is_empty()
    }

    /// Changes the fleet and logs each change.
    pub(crate) fn change<C>(&self, change: C)
    where
        C: FnOnce(&mut Fleet, Duration) -> Vec<(UpstreamId, Change)>,
    {
        let now = self.now();
        let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        let mut changes = change(&mut fleet, now);
        changes.retain(|(_, change)| *change != Change::None);
        if changes.is_empty() {
            return;
        }
        for (id, change) in &changes {
            spdlog::info!("upstream changed", kv: {
                upstream = id.as_ref(), change = format!("{change:?}")
            });
        }
        self.publish(&fleet);
    }

    /// Notes that the store could not be reached.
    pub(crate) fn outage(&self) {
        let now = self.now();
        self.fleet
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .outage(now);
    }

    fn publish(&self, fleet: &Fleet) {
        let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends.retain(|id, backend| {
            let stays = fleet.contains(id);
            if !stays {
                backend.close_idle(false);
            }
            stays
        });
        let mut ready = Ready::new();
        for (service, mut upstreams) in fleet.ready() {
            upstreams.sort_by_cached_key(|upstream| placement::rank(&upstream.id));
            let list = upstreams
                .into_iter()
                .map(|upstream| backend(&mut backends, upstream))
                .collect();
            ready.insert(service, list);
        }
        self.ready.store(Arc::new(ready));
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        for backend in backends.values() {
            backend.close_idle(true);
        }
    }

    /// How far an availability zone is from this entry.
    pub(crate) fn distance(&self, zone: &str) -> placement::Distance {
        if *zone == *self.settings.zone {
            placement::Distance::Zone
        } else if self
            .regions
            .get(zone)
            .is_some_and(|region| *region == self.settings.region)
        {
            placement::Distance::Region
        } else {
            placement::Distance::Far
        }
    }
}

/// Whole milliseconds, as logs show them.
pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The backend of an upstream; one that has moved or started anew begins without history.
fn backend(backends: &mut BTreeMap<UpstreamId, Arc<Backend>>, upstream: Upstream) -> Arc<Backend> {
    if let Some(known) = backends.get(&upstream.id) {
        let same = known.upstream.address == upstream.address
            && known.upstream.started_ms == upstream.started_ms
            && known.upstream.service == upstream.service;
        if same {
            return known.clone();
        }
        known.close_idle(false);
    }
    let id = upstream.id.clone();
    let new = Arc::new(Backend::new(upstream));
    backends.insert(id, new.clone());
    new
}
