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

/// Labels of the counter of calls to the provider.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct DutyLabels {
    pub(crate) result: &'static str,
}

/// Counters, gauges and latency histograms.
pub(crate) struct Metrics {
    pub(crate) duty_calls: Family<DutyLabels, Counter>,
    pub(crate) duty_number: Gauge,
    pub(crate) requests: Family<Labels, Counter>,
    pub(crate) first_byte: Histogram,
    pub(crate) resumed: Counter,
    pub(crate) retries: Counter,
    pub(crate) table_version: Gauge,
    pub(crate) duration: Histogram,
    pub(crate) usage_clock_error: Gauge,
    pub(crate) usage_incomplete: Counter,
    pub(crate) usage_store_writes: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            duty_calls: Family::default(),
            duty_number: Gauge::default(),
            requests: Family::default(),
            first_byte: Histogram::new(BUCKETS),
            resumed: Counter::default(),
            retries: Counter::default(),
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
            "resumed",
            "Streams that went on elsewhere",
            self.resumed.clone(),
        );
        registry.register("retries", "Sends after the first", self.retries.clone());
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.table_version.clone(),
        );
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
