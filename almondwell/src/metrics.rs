//! Counters, gauges and histograms of an entry.

use crate::job::Job;
use crate::refusal::Refusal;
use almondwell_schema::RequestId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::exemplar::HistogramWithExemplars;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::{Registry, Unit};

/// Upper bound of a histogram's first bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKET_COUNT: u16 = 18;

/// Labels of the request counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Labels {
    pub(crate) class: String,
    pub(crate) outcome: &'static str,
    pub(crate) service: String,
    pub(crate) tier: u8,
    pub(crate) verdict: &'static str,
}

/// Labels of the histograms.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Series {
    class: String,
    service: String,
    tier: u8,
}

/// Label of refused and rejected requests: the error code.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Code {
    code: &'static str,
}

/// Label of an exemplar: the request id.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Trace {
    request: String,
}

impl Trace {
    pub(crate) fn new(request: RequestId) -> Self {
        Self {
            request: format!("{request:032x}"),
        }
    }
}

type Histograms =
    Family<Series, HistogramWithExemplars<Trace>, fn() -> HistogramWithExemplars<Trace>>;

/// Counters, gauges and histograms of an entry.
pub(crate) struct Metrics {
    pub(crate) callers_left: Counter,
    pub(crate) configuration_version: Gauge,
    pub(crate) connections: Gauge,
    pub(crate) connections_refused: Counter,
    pub(crate) datagrams_failed: Counter,
    pub(crate) datagrams_rejected: Counter,
    pub(crate) datagrams_unsent: Counter,
    pub(crate) first_token: Histograms,
    pub(crate) frames_rejected: Counter,
    pub(crate) peers_refused: Counter,
    pub(crate) refusals: Family<Code, Counter>,
    pub(crate) requests: Family<Labels, Counter>,
    pub(crate) requests_rejected: Family<Code, Counter>,
    pub(crate) total: Histograms,
    pub(crate) wait: Histograms,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            callers_left: Counter::default(),
            configuration_version: Gauge::default(),
            connections: Gauge::default(),
            connections_refused: Counter::default(),
            datagrams_failed: Counter::default(),
            datagrams_rejected: Counter::default(),
            datagrams_unsent: Counter::default(),
            first_token: histograms(),
            frames_rejected: Counter::default(),
            peers_refused: Counter::default(),
            refusals: Family::default(),
            requests: Family::default(),
            requests_rejected: Family::default(),
            total: histograms(),
            wait: histograms(),
        }
    }
}

impl Metrics {
    /// Registers all metrics in a new registry, with the prefix `almondwell`.
    pub(crate) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("almondwell");
        self.register_counters(&mut registry);
        self.register_families(&mut registry);
        self.register_gauges(&mut registry);
        self.register_histograms(&mut registry);
        registry
    }

    /// Counts a request that was rejected before it became a job, or a failed lookup of stored work.
    pub(crate) fn count_rejected(&self, refusal: &Refusal) {
        let code = Code { code: refusal.code };
        self.requests_rejected.get_or_create(&code).inc();
    }

    /// Counts a valid call that gets an error response instead of an upstream's answer.
    pub(crate) fn count_refused(&self, refusal: &Refusal) {
        let code = Code { code: refusal.code };
        self.refusals.get_or_create(&code).inc();
    }

    /// Observes how long `job` waited for a grant.
    pub(crate) fn observe_grant_wait(&self, job: &Job, wait: std::time::Duration) {
        let histogram = self.wait.get_or_create(&series(job));
        histogram.observe(wait.as_secs_f64(), Some(Trace::new(job.request)), None);
    }

    fn register_counters(&self, registry: &mut Registry) {
        let counters = [
            (
                "callers_left",
                "Callers that left before their answer",
                &self.callers_left,
            ),
            (
                "connections_refused",
                "Callers' connections refused because too many were open",
                &self.connections_refused,
            ),
            (
                "datagrams_failed",
                "Datagrams not received",
                &self.datagrams_failed,
            ),
            (
                "datagrams_rejected",
                "Datagrams forged, malformed or unexpected",
                &self.datagrams_rejected,
            ),
            (
                "datagrams_unsent",
                "Datagrams not sent",
                &self.datagrams_unsent,
            ),
            (
                "frames_rejected",
                "Frames forged, malformed or unexpected",
                &self.frames_rejected,
            ),
            (
                "peers_refused",
                "Connections of other processes refused or silent",
                &self.peers_refused,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    fn register_families(&self, registry: &mut Registry) {
        registry.register(
            "refusals",
            "Valid requests without an upstream's answer, by error code",
            self.refusals.clone(),
        );
        registry.register(
            "requests",
            "Requests by service, class, tier, outcome and verdict",
            self.requests.clone(),
        );
        registry.register(
            "requests_rejected",
            "Requests that are no valid HTTP or API calls, by error code",
            self.requests_rejected.clone(),
        );
    }

    fn register_gauges(&self, registry: &mut Registry) {
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "connections",
            "Callers' connections open now",
            self.connections.clone(),
        );
    }

    fn register_histograms(&self, registry: &mut Registry) {
        let histograms = [
            (
                "first_token",
                "Time from a request's arrival to the first bytes of its answer",
                &self.first_token,
            ),
            (
                "grant_wait",
                "Time from a request's arrival to the grant of a place",
                &self.wait,
            ),
            (
                "request",
                "Time from a request's arrival to its end",
                &self.total,
            ),
        ];
        for (name, help, family) in histograms {
            registry.register_with_unit(name, help, Unit::Seconds, family.clone());
        }
    }
}

/// Histogram labels of the class of `job`.
pub(crate) fn series(job: &Job) -> Series {
    Series {
        class: job.class_name.to_string(),
        service: job.service.name.to_string(),
        tier: job.class.tier,
    }
}

fn histograms() -> Histograms {
    Family::new_with_constructor(histogram as fn() -> HistogramWithExemplars<Trace>)
}

fn histogram() -> HistogramWithExemplars<Trace> {
    HistogramWithExemplars::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
