//! Classes of the measured traffic.

use std::time::Duration;

/// Pool of upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Pool {
    Engines,
    Desks,
}

/// A class of the measured traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) deadline: Duration,
    /// Share of the pool's calls, in hundredths.
    pub(crate) mix: u32,
    pub(crate) name: &'static str,
    pub(crate) pool: Pool,
    pub(crate) target: Duration,
    pub(crate) tier: u8,
    /// Mean output of calls that are no stragglers.
    pub(crate) tokens: f64,
}

/// All classes, by tier within their pools.
pub(crate) const CLASSES: [Class; 6] = [
    Class {
        deadline: Duration::from_mins(5),
        mix: 25,
        name: "urgent",
        pool: Pool::Engines,
        target: Duration::from_secs(1),
        tier: 0,
        tokens: 60.0,
    },
    Class {
        deadline: Duration::from_mins(5),
        mix: 35,
        name: "summary",
        pool: Pool::Engines,
        target: Duration::from_secs(2),
        tier: 1,
        tokens: 120.0,
    },
    Class {
        deadline: Duration::from_mins(15),
        mix: 25,
        name: "review",
        pool: Pool::Engines,
        target: Duration::from_secs(10),
        tier: 2,
        tokens: 300.0,
    },
    Class {
        deadline: Duration::from_mins(15),
        mix: 15,
        name: "draft",
        pool: Pool::Engines,
        target: Duration::from_secs(30),
        tier: 3,
        tokens: 150.0,
    },
    Class {
        deadline: Duration::from_secs(30),
        mix: 40,
        name: "booking",
        pool: Pool::Desks,
        target: Duration::from_secs(1),
        tier: 0,
        tokens: 3.0,
    },
    Class {
        deadline: Duration::from_secs(30),
        mix: 60,
        name: "lookup",
        pool: Pool::Desks,
        target: Duration::from_secs(2),
        tier: 1,
        tokens: 2.0,
    },
];
