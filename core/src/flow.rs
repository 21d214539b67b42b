//! Waiting reservations of one workspace and class in a tier.

use crate::reservation::Reservation;
use std::collections::BTreeMap;
use std::time::Duration;

/// Sequence number of a reservation in order of arrival at its queue.
pub(crate) type Arrival = u64;

/// Key of a flow.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Key {
    pub(crate) class: Box<str>,
    pub(crate) workspace: Box<str>,
}

/// A waiting reservation.
#[derive(Clone, Debug)]
pub(crate) struct Waiting<A> {
    pub(crate) arrived_at: Duration,
    /// Estimated service time: how long the request will hold its slot.
    pub(crate) cost: Duration,
    pub(crate) deadline: Duration,
    pub(crate) reservation: Reservation<A>,
}

impl<A> Waiting<A> {
    /// Time at which the first token is due.
    pub(crate) fn first_token_due(&self) -> Duration {
        self.arrived_at + self.reservation.target
    }

    /// Whether a slow upstream defers the reservation, since a copy may be served by another upstream.
    pub(crate) fn is_deferred(&self, now: Duration) -> bool {
        let waited = now.saturating_sub(self.arrived_at);
        self.reservation.copies > 1 && waited < self.reservation.target
    }

    /// Expected cost for this queue, when every copy is equally likely to be served first.
    pub(crate) fn load(&self) -> Duration {
        self.cost / u32::from(self.reservation.copies.max(1))
    }
}

/// Reservations of one workspace and class, in order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct Flow<A> {
    /// Virtual start time of the next reservation.
    pub(crate) virtual_start: u64,
    pub(crate) waiting: BTreeMap<Arrival, Waiting<A>>,
    pub(crate) weight: u64,
    /// Sum of the loads of `waiting`.
    pub(crate) load: Duration,
}
