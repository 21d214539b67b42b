//! Classes of the simulated traffic.

use std::time::Duration;

/// Pool of upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Pool {
    /// Engines that run language models.
    Engines,
    /// Plain HTTP services, for bookings and lookups.
    Plain,
}

/// A class of the simulated traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) deadline: Duration,
    /// Share of the pool's calls, in percent.
    pub(crate) percentage: u32,
    pub(crate) name: &'static str,
    pub(crate) pool: Pool,
    /// Latency target of the first token.
    pub(crate) target: Duration,
    pub(crate) tier: u8,
    /// Mean output tokens of calls that are not stragglers.
    pub(crate) tokens: f64,
}

/// All classes, ordered by tier within each pool.
pub(crate) const CLASSES: [Class; 6] = [
    Class {
        deadline: Duration::from_mins(5),
        percentage: 25,
        name: "urgent",
        pool: Pool::Engines,
        target: Duration::from_secs(1),
        tier: 0,
        tokens: 60.0,
    },
    Class {
        deadline: Duration::from_mins(5),
        percentage: 35,
        name: "summary",
        pool: Pool::Engines,
        target: Duration::from_secs(2),
        tier: 1,
        tokens: 120.0,
    },
    Class {
        deadline: Duration::from_mins(15),
        percentage: 25,
        name: "review",
        pool: Pool::Engines,
        target: Duration::from_secs(10),
        tier: 2,
        tokens: 300.0,
    },
    Class {
        deadline: Duration::from_mins(15),
        percentage: 15,
        name: "draft",
        pool: Pool::Engines,
        target: Duration::from_secs(30),
        tier: 3,
        tokens: 150.0,
    },
    Class {
        deadline: Duration::from_secs(30),
        percentage: 40,
        name: "booking",
        pool: Pool::Plain,
        target: Duration::from_secs(1),
        tier: 0,
        tokens: 3.0,
    },
    Class {
        deadline: Duration::from_secs(30),
        percentage: 60,
        name: "lookup",
        pool: Pool::Plain,
        target: Duration::from_secs(2),
        tier: 1,
        tokens: 2.0,
    },
];
