//! State of a router process, shared by all connections.

use crate::active::{Active, Configuration};
use crate::backend::Backend;
use crate::clients::Clients;
use crate::demand::Demand;
use crate::drain::Drain;
use crate::duties::Duties;
use crate::metrics::Metrics;
use crate::services::Services;
use crate::stopping::Class;
use crate::streams::{self, Streams};
use crate::usage::Usage;
use almondwell_core::answer_times::{self, AnswerTimes};
use almondwell_core::causes::Causes;
use almondwell_core::fleet::{self, Change, Fleet};
use almondwell_core::peers::{self, Peers};
use almondwell_core::placement;
use almondwell_core::position::Position;
use almondwell_core::table::Table;
use almondwell_core::upstream::{Upstream, UpstreamId};
use almondwell_daemon::{BootClock, Clock};
use almondwell_platform::decode::Rejection;
use almondwell_platform::store::Revision;
use almondwell_platform::{Objects, Store};
use almondwell_schema::{Digest, RouterSettings};
use almondwell_wire::Socket;
use arc_swap::ArcSwap;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Upstreams that accept requests, by service.
pub(crate) type Ready = BTreeMap<Box<str>, Vec<Arc<Backend>>>;

/// Share of the drain time for which an unannounced removal is delayed. The rest is needed to learn of the
/// removal and to finish requests that are already on their way.
const REMOVAL_GRACE_SHARE: f64 = 0.7;

/// Configuration, upstreams and connections to peers of one router process.
pub(crate) struct Router {
    active: Active,
    /// Time of `clock` at which the store last confirmed the configuration, in milliseconds.
    confirmed_ms: AtomicU64,
    /// Times of recent answers, which decide what a stopping router still begins.
    answer_times: Mutex<AnswerTimes<Class>>,
    backends: Mutex<BTreeMap<UpstreamId, Arc<Backend>>>,
    pub(crate) clients: Arc<Clients>,
    /// Clock that also counts the time for which the machine is suspended.
    pub(crate) boot_clock: BootClock,
    pub(crate) clock: Clock,
    pub(crate) drain: Drain,
    pub(crate) duties: Duties,
    /// Requests and parts of prompts that crash upstreams.
    pub(crate) causes: Mutex<Causes>,
    pub(crate) cause_writes: Demand,
    /// Demand for a fetch of contents of the store that another entry announced.
    pub(crate) fetches: Demand,
    fleet: Mutex<Fleet>,
    pub(crate) services: Services,
    /// Whether the configuration has been read since the store was last unreachable.
    is_current: AtomicBool,
    /// Whether the list of upstreams has been read since the store was last unreachable.
    is_list_current: AtomicBool,
    pub(crate) metrics: Metrics,
    /// Client for the objects that entries write.
    pub(crate) objects: Objects,
    pub(crate) peers: Mutex<Peers<Digest>>,
    pub(crate) placement: placement::Options,
    ready: ArcSwap<Ready>,
    /// Region of each availability zone.
    regions: BTreeMap<Box<str>, Box<str>>,
    pub(crate) settings: RouterSettings,
    /// Socket for datagrams between entries.
    pub(crate) socket: Socket,
    pub(crate) store: Store,
    pub(crate) streams: Streams,
    /// Position in the store that the list of upstreams reflects.
    position: Mutex<Position>,
    pub(crate) usage: Usage,
}

impl Router {
    pub(crate) fn lock_answer_times(&self) -> MutexGuard<'_, AnswerTimes<Class>> {
        self.answer_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn new(settings: RouterSettings, socket: Socket) -> Self {
        let regions = settings
            .zones
            .iter()
            .filter_map(|pair| pair.split_once('='))
            .map(|(zone, region)| (zone.trim().into(), region.trim().into()))
            .collect();
        let (clock, metrics) = (Clock::start(), Metrics::default());
        let store = Store::new(settings.store);
        Self {
            active: Active::default(),
            confirmed_ms: AtomicU64::new(0),
            answer_times: Mutex::new(AnswerTimes::new(answer_times::Options::default())),
            backends: Mutex::default(),
            boot_clock: BootClock,
            causes: Mutex::default(),
            cause_writes: Demand::default(),
            clients: Clients::new(&settings, metrics.clone(), clock),
            clock,
            fetches: Demand::default(),
            drain: Drain::default(),
            duties: Duties::new(&settings),
            services: Services::new(&settings),
            fleet: Mutex::new(Fleet::new(fleet::Options {
                removal_grace: settings.drain.mul_f64(REMOVAL_GRACE_SHARE),
                ..fleet::Options::default()
            })),
            is_current: AtomicBool::new(false),
            is_list_current: AtomicBool::new(false),
            metrics,
            objects: Objects::beside(&store),
            peers: Mutex::new(Peers::new(
                peers::Options::default(),
                settings.control,
                settings.seeds.clone(),
            )),
            placement: placement::Options::default(),
            ready: ArcSwap::default(),
            regions,
            socket,
            store,
            streams: Streams::new(&settings),
            usage: Usage::new(&settings),
            settings,
            position: Mutex::default(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The active configuration, if one has been read.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.active.load().map(|active| active.table.clone())
    }

    /// Whether the active configuration is known to be the latest.
    pub(crate) fn is_current(&self) -> bool {
        self.follows_store() && !self.active.is_behind()
    }

    /// Whether the configuration has been read since the store was last unreachable, also if it was rejected.
    pub(crate) fn follows_store(&self) -> bool {
        self.is_current.load(Ordering::Acquire)
    }

    pub(crate) fn set_current(&self, is_current: bool) {
        if self.is_current.swap(is_current, Ordering::AcqRel) != is_current {
            let version = self.table().map_or(0, |table| table.version);
            if is_current {
                spdlog::info!("store reachable", kv: { table = version });
            } else {
                spdlog::warn!("store unreachable", kv: { table = version });
            }
        }
    }

    /// Records that the store has answered with all changes of the configuration.
    pub(crate) fn confirm_configuration(&self) {
        self.confirmed_ms
            .store(milliseconds(self.now()), Ordering::Release);
        self.set_current(true);
    }

    /// Time since the store last confirmed that the configuration is the latest.
    pub(crate) fn confirmation_age(&self) -> Duration {
        let confirmed = Duration::from_millis(self.confirmed_ms.load(Ordering::Acquire));
        self.now().saturating_sub(confirmed)
    }

    /// Activates a table if its version is newer than the active one's. `source` and `revision`, that of the object in the
    /// store if it is known, are logged.
    pub(crate) fn adopt(
        &self,
        table: Table,
        raw: Vec<u8>,
        source: &str,
        revision: Option<Revision>,
    ) {
        let table = Arc::new(table);
        let held = self.active.adopt(Configuration {
            raw,
            table: table.clone(),
        });
        let is_kept = held.is_some_and(|held| held >= table.version);
        spdlog::info!("configuration read", kv: {
            source, revision = revision.unwrap_or(0), version = table.version, held = held.unwrap_or(0),
            routes = table.len(), keys = table.keys().len(),
            outcome = if is_kept { "kept" } else { "adopted" }
        });
        if !is_kept {
            let version = i64::try_from(table.version).unwrap_or(i64::MAX);
            self.metrics.table_version.set(version);
            self.record_faults(&table);
            self.count_rejection();
        }
    }

    /// Records that a configuration was rejected, which keeps the one before active. `source` and `revision` are logged as in
    /// [`Self::adopt`].
    pub(crate) fn reject(&self, rejection: &Rejection, source: &str, revision: Option<Revision>) {
        spdlog::error!("invalid configuration ignored", kv: {
            source, revision = revision.unwrap_or(0), version = rejection.version.unwrap_or(0),
            held = self.table().map_or(0, |table| table.version), fault = rejection.fault.as_ref()
        });
        self.active.reject(rejection.version);
        self.count_rejection();
    }

    /// Records that the version of the object in the store could be read.
    pub(crate) fn record_versioned(&self) {
        self.active.record_versioned();
        self.count_rejection();
    }

    fn count_rejection(&self) {
        let is_behind = self.active.is_behind();
        self.metrics.table_rejected.set(is_behind.into());
    }

    /// Logs which parts of the active configuration could not be read.
    fn record_faults(&self, table: &Table) {
        let (count, first) = (table.faults.count(), table.faults.first());
        for fault in first {
            spdlog::error!("part of the configuration ignored", kv: {
                version = table.version, fault = fault.as_ref()
            });
        }
        if count > first.len() {
            spdlog::error!("further parts of the configuration ignored", kv: {
                version = table.version, count = count - first.len()
            });
        }
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.table_faults.set(count);
    }

    /// The active configuration with its JSON, if one has been read.
    pub(crate) fn active(&self) -> Option<Arc<Configuration>> {
        self.active.load()
    }

    /// Position in the store that the list of upstreams reflects.
    pub(crate) fn position(&self) -> Position {
        *self.lock_position()
    }

    /// Position of the list that is offered to other entries. While removals are delayed it comes before that of the store, so
    /// that entries which fetch the list fetch it once more.
    pub(crate) fn offered_position(&self) -> Position {
        let Position { era, revision } = self.position();
        let is_settled = self.lock_fleet().is_settled();
        Position {
            era,
            revision: revision.saturating_sub(u64::from(!is_settled)),
        }
    }

    pub(crate) fn set_position(&self, position: Position) {
        let mut known = self.lock_position();
        *known = position.max(*known);
    }

    fn lock_position(&self) -> MutexGuard<'_, Position> {
        self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All registered upstreams, also those that accept no requests.
    pub(crate) fn upstreams(&self) -> Vec<Upstream> {
        self.lock_fleet().iter().cloned().collect()
    }

    fn lock_fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Upstreams that accept requests, by service.
    pub(crate) fn ready(&self) -> Arc<Ready> {
        self.ready.load_full()
    }

    /// Whether the router is not draining, has a configuration and knows an upstream that accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.drain.is_draining() && self.active.load().is_some() && !self.ready.load().is_empty()
    }

    /// Applies `change` to the fleet, logs what changed and publishes the new list of backends.
    pub(crate) fn update_fleet<C>(&self, change: C)
    where
        C: FnOnce(&mut Fleet, Duration) -> Vec<(UpstreamId, Change)>,
    {
        let now = self.now();
        let mut fleet = self.lock_fleet();
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

    /// Whether the list of upstreams follows the store, so that those of other entries are not needed.
    pub(crate) fn is_list_current(&self) -> bool {
        self.is_list_current.load(Ordering::Acquire)
    }

    /// Records that the list of upstreams reflects `position` of the store.
    pub(crate) fn record_list(&self, position: Position) {
        self.set_position(position);
        self.is_list_current.store(true, Ordering::Release);
    }

    /// Records that the list of upstreams could not be read from the store.
    pub(crate) fn record_outage(&self) {
        self.is_list_current.store(false, Ordering::Release);
        let now = self.now();
        self.lock_fleet().record_outage(now);
    }

    /// Records that the list of upstreams is about to be replaced by that of a new era.
    pub(crate) fn record_era(&self) {
        let now = self.now();
        self.lock_fleet().record_era(now);
    }

    fn publish(&self, fleet: &Fleet) {
        let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends.retain(|id, backend| {
            let is_registered = fleet.contains(id);
            if !is_registered {
                backend.close_idle(false);
            }
            is_registered
        });
        let mut ready = Ready::new();
        for (service, mut upstreams) in fleet.ready() {
            upstreams.sort_by_cached_key(|upstream| placement::sort_key(&upstream.id));
            let list = upstreams
                .into_iter()
                .map(|upstream| self.backend_for(&mut backends, upstream))
                .collect();
            ready.insert(service, list);
        }
        self.streams.set_registered(fleet.versions());
        self.ready.store(Arc::new(ready));
    }

    /// The backend of an upstream. One whose address, service, start time or version has changed gets a new backend.
    fn backend_for(
        &self,
        backends: &mut BTreeMap<UpstreamId, Arc<Backend>>,
        upstream: Upstream,
    ) -> Arc<Backend> {
        if let Some(existing) = backends.get(&upstream.id) {
            let is_same = existing.upstream.address == upstream.address
                && existing.upstream.started_ms == upstream.started_ms
                && existing.upstream.service == upstream.service
                && existing.upstream.version == upstream.version;
            if is_same {
                return existing.clone();
            }
            existing.close_idle(false);
            streams::record_restart(self, existing, &upstream);
        }
        let id = upstream.id.clone();
        let created = Arc::new(Backend::new(upstream));
        backends.insert(id, created.clone());
        created
    }

    /// The backend that entries name `key` to each other.
    pub(crate) fn backend(&self, key: u32) -> Option<Arc<Backend>> {
        let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends
            .values()
            .find(|backend| backend.key == key)
            .cloned()
    }

    /// Closes connections that have exceeded their idle timeout.
    pub(crate) fn close_stale(&self) {
        let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        for backend in backends.values() {
            backend.close_idle(true);
        }
    }

    /// Distance between an availability zone and this entry.
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

/// Whole milliseconds, for log lines.
pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
