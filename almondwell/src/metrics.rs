//! Counters of an entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of counters by class.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct Labels {
    pub(crate) class: String,
    pub(crate) service: String,
    pub(crate) verdict: String,
}

/// Counters of an entry.
#[derive(Default)]
pub(crate) struct Metrics {
    pub(crate) answers: Family<Labels, Counter>,
    pub(crate) callers_left: Counter,
    pub(crate) datagrams_failed: Counter,
    pub(crate) datagrams_rejected: Counter,
    pub(crate) datagrams_unsent: Counter,
    pub(crate) requests_rejected: Counter,
}

impl Metrics {
    /// Registers all counters.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "answers",
            "Answers by service, class and verdict",
            self.answers.clone(),
        );
        let counters = [
            (
                "callers_left",
                "Callers that left before their answer",
                &self.callers_left,
            ),
            (
                "datagrams_failed",
                "Datagrams not received",
                &self.datagrams_failed,
            ),
            (
                "datagrams_rejected",
                "Datagrams forged or malformed",
                &self.datagrams_rejected,
            ),
            (
                "datagrams_unsent",
                "Datagrams not sent",
                &self.datagrams_unsent,
            ),
            (
                "requests_rejected",
                "Requests that are no valid HTTP or API calls",
                &self.requests_rejected,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}
