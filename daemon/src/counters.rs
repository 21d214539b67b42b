//! Exports counters that other packages keep as metrics.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use std::fmt;

/// Counters that are read at each scrape; the function returns pairs of metric name and value.
#[derive(Clone, Copy, Debug)]
pub struct Counters<const N: usize>(pub fn() -> [(&'static str, u64); N]);

impl<const N: usize> Collector for Counters<N> {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for (name, value) in (self.0)() {
            let counter = ConstCounter::new(value);
            let help = format!("Count of {}", name.replace('_', " "));
            let metric = encoder.encode_descriptor(name, &help, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}
