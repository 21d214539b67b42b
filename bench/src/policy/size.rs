//! Sizes of the two users.

use super::Pool;
use std::time::Duration;

/// Places of each upstream.
pub(crate) const PLACES: usize = 16;
/// Availability zones; the first two share a region.
pub(crate) const ZONES: usize = 3;
/// One-way delay between regions.
const REGION_DELAY: Duration = Duration::from_millis(12);

/// A user's fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) desks: usize,
    pub(crate) engines: usize,
    pub(crate) name: &'static str,
    pub(crate) zone_delay: Duration,
}

pub(crate) const SIZES: [Size; 2] = [
    Size {
        desks: 3,
        engines: 12,
        name: "amami",
        zone_delay: Duration::from_micros(500),
    },
    Size {
        desks: 3,
        engines: 18,
        name: "federation",
        zone_delay: Duration::from_micros(1500),
    },
];

impl Size {
    /// All sides; those of engines come first.
    pub(crate) fn sides(&self) -> usize {
        self.engines + self.desks
    }

    /// Indexes of the sides of `pool`.
    pub(crate) fn pool(&self, pool: Pool) -> std::ops::Range<usize> {
        match pool {
            Pool::Engines => 0..self.engines,
            Pool::Desks => self.engines..self.sides(),
        }
    }

    pub(crate) fn zone(side: usize) -> usize {
        side % ZONES
    }

    pub(crate) fn is_near(zone: usize, other: usize) -> bool {
        (zone < 2) == (other < 2)
    }

    /// One-way delay between an entry's zone and a side's.
    pub(crate) fn delay(&self, zone: usize, other: usize) -> Duration {
        if Self::is_near(zone, other) {
            self.zone_delay
        } else {
            REGION_DELAY
        }
    }
}
