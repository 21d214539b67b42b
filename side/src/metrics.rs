//! Counters and gauges of a side.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters and gauges of a side.
#[derive(Default)]
pub(crate) struct Metrics {
    pub(crate) calls_cancelled: Counter,
    pub(crate) calls_refused: Counter,
    pub(crate) calls_running: Gauge,
    pub(crate) connections_accepted: Counter,
    pub(crate) connections_refused: Counter,
    pub(crate) datagrams_failed: Counter,
    pub(crate) datagrams_rejected: Counter,
    pub(crate) datagrams_unsent: Counter,
    pub(crate) frames_rejected: Counter,
    pub(crate) reservations_waiting: Gauge,
    pub(crate) upstream_failures: Counter,
}

impl Metrics {
    /// Registers all counters and gauges.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "calls_cancelled",
                "Calls whose caller left",
                &self.calls_cancelled,
            ),
            (
                "calls_refused",
                "Calls without a valid grant",
                &self.calls_refused,
            ),
            (
                "connections_accepted",
                "Connections that sent a first byte",
                &self.connections_accepted,
            ),
            (
                "connections_refused",
                "Connections refused or silent before their first frame",
                &self.connections_refused,
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
                "frames_rejected",
                "Frames forged or malformed",
                &self.frames_rejected,
            ),
            (
                "upstream_failures",
                "Calls that failed at the upstream",
                &self.upstream_failures,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "calls_running",
            "Calls that run at the upstream now",
            self.calls_running.clone(),
        );
        registry.register(
            "reservations_waiting",
            "Reservations that wait for a place now",
            self.reservations_waiting.clone(),
        );
    }
}
