//! Resource usage and counters of a process at one moment.

use crate::counters::{self, Counters, sum};
use crate::usage::Usage;
use eyre::Result;
use fakes::set::Set;

const DATAGRAM_BYTES: [&str; 2] = ["datagram_bytes_received", "datagram_bytes_sent"];
pub(crate) const DATAGRAMS: [&str; 2] = ["datagrams_received", "datagrams_sent"];
/// Bytes of the IP and UDP headers of one datagram.
const DATAGRAM_HEADER_BYTES: f64 = 28.0;

/// Resource usage and counters of a process at one moment.
pub(crate) struct Snapshot {
    counters: Counters,
    pub(crate) usage: Usage,
}

impl Snapshot {
    pub(crate) async fn entry(set: &Set, index: usize) -> Result<Self> {
        let entry = &set.entries[index];
        Ok(Self {
            counters: counters::read(entry.admin).await?,
            usage: Usage::of(entry.process.id())?,
        })
    }

    pub(crate) async fn side(set: &Set, index: usize) -> Result<Self> {
        let upstream = &set.upstreams[index];
        Ok(Self {
            counters: counters::read(upstream.admin).await?,
            usage: Usage::of(upstream.side.id())?,
        })
    }

    /// Increase of the sum of the counters `names` since `earlier`.
    pub(crate) fn increase(&self, earlier: &Self, names: &[&str]) -> f64 {
        sum(&self.counters, names) - sum(&earlier.counters, names)
    }

    /// Bytes of datagrams sent and received since `earlier`, with IP and UDP headers.
    pub(crate) fn control_bytes(&self, earlier: &Self) -> f64 {
        self.increase(earlier, &DATAGRAM_BYTES)
            + DATAGRAM_HEADER_BYTES * self.increase(earlier, &DATAGRAMS)
    }
}
