//! Fleet sizes of the two users' installations.

use super::Pool;
use std::time::Duration;

/// Concurrency limit of each upstream.
pub(crate) const SLOTS: usize = 16;
/// Availability zones; the first two share a region.
pub(crate) const ZONES: usize = 3;
/// One-way delay between regions.
const REGION_DELAY: Duration = Duration::from_millis(12);

/// Fleet of one user's installation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) plain: usize,
    pub(crate) engines: usize,
    pub(crate) name: &'static str,
    /// One-way delay between zones of a region.
    pub(crate) zone_delay: Duration,
}

pub(crate) const SIZES: [Size; 2] = [
    Size {
        plain: 3,
        engines: 12,
        name: "amami",
        zone_delay: Duration::from_micros(500),
    },
    Size {
        plain: 3,
        engines: 18,
        name: "federation",
        zone_delay: Duration::from_micros(1500),
    },
];

impl Size {
    /// Number of sides; the sides of engines have the first indexes.
    pub(crate) fn sides(&self) -> usize {
        self.engines + self.plain
    }

    /// Indexes of the sides of `pool`.
    pub(crate) fn pool(&self, pool: Pool) -> std::ops::Range<usize> {
        match pool {
            Pool::Engines => 0..self.engines,
            Pool::Plain => self.engines..self.sides(),
        }
    }

    pub(crate) fn zone(side: usize) -> usize {
        side % ZONES
    }

    /// Whether two zones are in the same region.
    pub(crate) fn is_same_region(zone: usize, other: usize) -> bool {
        (zone < 2) == (other < 2)
    }

    /// One-way delay between an entry's zone and a side's.
    pub(crate) fn delay(&self, zone: usize, other: usize) -> Duration {
        if Self::is_same_region(zone, other) {
            self.zone_delay
        } else {
            REGION_DELAY
        }
    }
}
