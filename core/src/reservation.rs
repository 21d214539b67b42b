//! Reservations of places and the answers to them.

use almondwell_schema::{Reason, RequestId, Ticket};
use std::time::Duration;

/// What an entry asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation<A> {
    /// Service and class, which share a length estimate.
    pub class: Box<str>,
    /// Sides that hold a reservation for the same request, this one included.
    pub copies: u8,
    /// Where the answer goes.
    pub from: A,
    /// Time until the deadline.
    pub left: Duration,
    /// Each step doubles the weight within the tier.
    pub priority: u8,
    /// The request that asks.
    pub request: RequestId,
    /// Weight of the workspace among its peers.
    pub share: u32,
    /// Time until the first token is due.
    pub target: Duration,
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// The customer's workspace.
    pub workspace: Box<str>,
}

/// A place offered to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer<A> {
    /// Where the offer goes.
    pub from: A,
    /// The request it is for.
    pub request: RequestId,
    /// Number that the request must show.
    pub ticket: Ticket,
}

/// Answer to a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer<A> {
    /// A place is free now.
    Offered(Offer<A>),
    /// The reservation waits; holds the estimated wait.
    Queued(Duration),
    /// The reservation is refused; holds the time after which a new try makes sense.
    Refused(Reason, Duration),
}
