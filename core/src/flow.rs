//! Reservations of one workspace and class that wait in a tier.

use crate::reservation::Reservation;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of a reservation in order of arrival at its queue.
pub(crate) type Arrival = u64;

/// Class and workspace.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Key {
    pub(crate) class: Box<str>,
    pub(crate) workspace: Box<str>,
}

/// A reservation that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting<A> {
    pub(crate) arrived: Duration,
    /// Estimated time that the request will hold its place.
    pub(crate) cost: Duration,
    pub(crate) deadline: Duration,
    pub(crate) reservation: Reservation<A>,
}

impl<A> Waiting<A> {
    /// When the first token is due.
    pub(crate) fn due(&self) -> Duration {
        self.arrived + self.reservation.target
    }

    /// Whether a slow upstream leaves the reservation to its copies elsewhere.
    pub(crate) fn is_held_back(&self, now: Duration) -> bool {
        let waited = now.saturating_sub(self.arrived);
        self.reservation.copies > 1 && waited < self.reservation.target
    }

    /// The cost that falls on this queue when every copy is as likely to be served first.
    pub(crate) fn load(&self) -> Duration {
        self.cost / u32::from(self.reservation.copies.max(1))
    }
}

/// Reservations of one workspace and class, in order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct Flow<A> {
    /// Virtual time at which the next reservation may start.
    pub(crate) start: u64,
    pub(crate) waiting: BTreeMap<Arrival, Waiting<A>>,
    pub(crate) weight: u64,
    /// Sum of the loads of `waiting`.
    pub(crate) work: Duration,
}
