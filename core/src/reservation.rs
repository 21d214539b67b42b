//! Reservations of slots, and their answers.

use almondwell_schema::{Reason, RequestId, Ticket};
use std::time::Duration;

/// An entry's request for a slot.
///
/// `A` is the return address of the answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation<A> {
    /// Service and class; requests of one class share an estimate of the service time.
    pub class: Box<str>,
    /// Number of sides that hold a reservation for the same request, including this one.
    pub copies: u8,
    /// Return address of the answer.
    pub from: A,
    /// Time until the deadline.
    pub left: Duration,
    /// Priority within the tier; each step doubles the weight.
    pub priority: u8,
    /// Identifier of the request.
    pub request: RequestId,
    /// Weight of the workspace in fair queueing.
    pub share: u32,
    /// Time until the first token is due.
    pub target: Duration,
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// The customer's workspace.
    pub workspace: Box<str>,
}

/// A slot offered to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer<A> {
    /// Return address of the offer.
    pub from: A,
    /// The request that may take the slot.
    pub request: RequestId,
    /// Ticket that the request must present to start.
    pub ticket: Ticket,
}

/// Answer to a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer<A> {
    /// A slot is free now.
    Offered(Offer<A>),
    /// The reservation waits; contains the estimated wait.
    Queued(Duration),
    /// The reservation is refused; contains the delay after which to retry.
    Refused(Reason, Duration),
}
