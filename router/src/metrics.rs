//! Prometheus metrics of the router.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::time::Duration;

/// Upper bounds of the latency buckets in seconds, from a local response up to the longest time limits.
const BUCKETS: [f64; 10] = [0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0];

/// Labels of the request counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Labels {
    pub(crate) outcome: &'static str,
    pub(crate) reason: &'static str,
}

/// Label of the counter of resumed streams.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Source {
    pub(crate) source: &'static str,
}

/// Label of the counters of fetches.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Fetch {
    pub(crate) outcome: &'static str,
}

/// Labels of the counter of calls to the provider.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct DutyLabels {
    pub(crate) result: &'static str,
}

/// Counters, gauges and latency histograms.
#[derive(Clone)]
pub(crate) struct Metrics {
    /// Connections closed for new ones.
    pub(crate) connections_evicted: Counter,
    pub(crate) connections_refused: Counter,
    /// Requests that continue a stream, by how its origin was found.
    pub(crate) continuations: Family<Source, Counter>,
    /// Bytes that clients make the process hold.
    pub(crate) held_bytes: Gauge,
    /// Requests refused for lack of memory.
    pub(crate) no_room: Counter,
    /// Unfinished requests that gave way to others.
    pub(crate) requests_evicted: Counter,
    pub(crate) duty_calls: Family<DutyLabels, Counter>,
    pub(crate) duty_number: Gauge,
    pub(crate) requests: Family<Labels, Counter>,
    pub(crate) fetches: Family<Fetch, Counter>,
    pub(crate) fetches_served: Family<Fetch, Counter>,
    pub(crate) first_byte: Histogram,
    pub(crate) left_zone: Counter,
    pub(crate) loads_merged: Counter,
    pub(crate) resumed: Counter,
    pub(crate) retries: Counter,
    pub(crate) store_eras: Counter,
    pub(crate) stream_writes: Counter,
    pub(crate) streams_unrecorded: Counter,
    pub(crate) table_faults: Gauge,
    pub(crate) table_rejected: Gauge,
    pub(crate) table_version: Gauge,
    pub(crate) duration: Histogram,
    pub(crate) usage_clock_error: Gauge,
    pub(crate) usage_incomplete: Counter,
    pub(crate) usage_store_writes: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            connections_evicted: Counter::default(),
            connections_refused: Counter::default(),
            continuations: Family::default(),
            held_bytes: Gauge::default(),
            no_room: Counter::default(),
            requests_evicted: Counter::default(),
            duty_calls: Family::default(),
            duty_number: Gauge::default(),
            requests: Family::default(),
            fetches: Family::default(),
            fetches_served: Family::default(),
            first_byte: Histogram::new(BUCKETS),
            left_zone: Counter::default(),
            loads_merged: Counter::default(),
            resumed: Counter::default(),
            retries: Counter::default(),
            store_eras: Counter::default(),
            stream_writes: Counter::default(),
            streams_unrecorded: Counter::default(),
            table_faults: Gauge::default(),
            table_rejected: Gauge::default(),
            table_version: Gauge::default(),
            duration: Histogram::new(BUCKETS),
            usage_clock_error: Gauge::default(),
            usage_incomplete: Counter::default(),
            usage_store_writes: Counter::default(),
        }
    }
}

impl Metrics {
    /// A registry with all metrics under the prefix `almondwell`.
    pub(crate) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("almondwell");
        registry.register(
            "duty_calls",
            "Calls to the provider by result",
            self.duty_calls.clone(),
        );
        registry.register(
            "duty_number",
            "Number of the lease that this entry holds; 0 for none",
            self.duty_number.clone(),
        );
        registry.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        registry.register(
            "configuration_fetches",
            "Fetches of the configuration from other entries by how they ended",
            self.fetches.clone(),
        );
        registry.register(
            "configuration_fetches_served",
            "Fetches of the configuration by other entries by how they ended",
            self.fetches_served.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of an answer",
            self.first_byte.clone(),
        );
        registry.register(
            "request_seconds",
            "Time to the end of a request",
            self.duration.clone(),
        );
        registry.register(
            "left_zone",
            "Requests to services without engines that left the availability zone",
            self.left_zone.clone(),
        );
        registry.register(
            "engine_loads_merged",
            "Load reports of engines that other entries passed on and that were newer than the known ones",
            self.loads_merged.clone(),
        );
        registry.register(
            "resumed",
            "Streams that went on elsewhere",
            self.resumed.clone(),
        );
        registry.register("retries", "Sends after the first", self.retries.clone());
        registry.register(
            "configuration_faults",
            "Parts of the configuration in force that could not be read",
            self.table_faults.clone(),
        );
        registry.register(
            "configuration_rejected",
            "Whether a newer configuration than the one in force was rejected, 1 or 0",
            self.table_rejected.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.table_version.clone(),
        );
        self.register_limits(&mut registry);
        self.register_streams(&mut registry);
        registry.register(
            "usage_clock_error_ms",
            "Difference of the wall clock from the time that the entries agree on",
            self.usage_clock_error.clone(),
        );
        registry.register(
            "usage_incomplete",
            "Usage reports that lacked final counts of an entry",
            self.usage_incomplete.clone(),
        );
        registry.register(
            "usage_store_writes",
            "Writes of usage counts that the holder did not acknowledge in time",
            self.usage_store_writes.clone(),
        );
        registry
    }

    fn register_streams(&self, registry: &mut Registry) {
        registry.register(
            "stream_continuations",
            "Requests that continue a stream, by how its origin was found",
            self.continuations.clone(),
        );
        registry.register(
            "store_eras",
            "New eras of the store, which it begins when it comes back from an older copy",
            self.store_eras.clone(),
        );
        registry.register(
            "stream_writes",
            "Writes of the origins of streams to the store",
            self.stream_writes.clone(),
        );
        registry.register(
            "streams_unrecorded",
            "Streams whose origin was not recorded, since too many are",
            self.streams_unrecorded.clone(),
        );
    }

    fn register_limits(&self, registry: &mut Registry) {
        registry.register(
            "connections_evicted",
            "Connections without progress that were closed for new ones",
            self.connections_evicted.clone(),
        );
        registry.register(
            "connections_refused",
            "Connections refused since none gave way",
            self.connections_refused.clone(),
        );
        registry.register(
            "held_bytes",
            "Bytes that clients make the process hold",
            self.held_bytes.clone(),
        );
        registry.register(
            "requests_evicted",
            "Unfinished requests without progress that were refused for others",
            self.requests_evicted.clone(),
        );
        registry.register(
            "requests_without_room",
            "Requests refused for lack of memory",
            self.no_room.clone(),
        );
    }

    pub(crate) fn record_continuation(&self, source: &'static str) {
        self.continuations.get_or_create(&Source { source }).inc();
    }

    pub(crate) fn record_request(
        &self,
        outcome: &'static str,
        reason: &'static str,
        time: Duration,
    ) {
        self.requests
            .get_or_create(&Labels { outcome, reason })
            .inc();
        self.duration.observe(time.as_secs_f64());
    }
}
