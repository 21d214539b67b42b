//! The one queue before an upstream.

use almondwell_schema::{Reason, RequestId, Ticket};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time an offered place waits for its request.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

/// What an entry asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation<A> {
    /// Where the answer goes.
    pub from: A,
    /// Time until the deadline.
    pub left: Duration,
    /// Higher goes first within a tier.
    pub priority: u8,
    /// The request that asks.
    pub request: RequestId,
    /// Tier; 0 is the highest.
    pub tier: u8,
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
    /// The reservation waits; holds the number before it.
    Queued(usize),
    /// The reservation is refused.
    Refused(Reason),
}

/// Reservations in order of tier, priority and arrival, and the places they wait for.
#[derive(Clone, Debug)]
pub struct Queue<A> {
    arrivals: u64,
    backlog: usize,
    leaving: bool,
    offered: BTreeMap<Ticket, Offered<A>>,
    order: BTreeMap<RequestId, Rank>,
    places: usize,
    running: BTreeMap<Ticket, RequestId>,
    tickets: Ticket,
    waiting: BTreeMap<Rank, Waiting<A>>,
}

#[derive(Clone, Debug)]
struct Offered<A> {
    offer: Offer<A>,
    until: Duration,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    tier: u8,
    priority: Reverse<u8>,
    arrival: u64,
}

#[derive(Clone, Debug)]
struct Waiting<A> {
    deadline: Duration,
    reservation: Reservation<A>,
}

impl<A: Clone> Queue<A> {
    /// A queue before an upstream with `places`, for up to `backlog` reservations.
    pub fn new(places: usize, backlog: usize) -> Self {
        Self {
            arrivals: 0,
            backlog,
            leaving: false,
            offered: BTreeMap::new(),
            order: BTreeMap::new(),
            places,
            running: BTreeMap::new(),
            tickets: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Refuses all further reservations and drops those that wait.
    pub fn leave(&mut self) -> Vec<Reservation<A>> {
        self.leaving = true;
        self.order.clear();
        std::mem::take(&mut self.waiting)
            .into_values()
            .map(|waiting| waiting.reservation)
            .collect()
    }

    /// Whether nothing runs and nothing is offered.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.offered.is_empty()
    }

    /// Reservations that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Asks for a place at `now`; a repeated reservation keeps its rank.
    pub fn reserve(&mut self, now: Duration, reservation: Reservation<A>) -> Answer<A> {
        if self.leaving {
            return Answer::Refused(Reason::Leaving);
        }
        let request = reservation.request;
        if let Some(offered) = self.offer_of(request) {
            return Answer::Offered(offered);
        }
        if let Some(rank) = self.order.get(&request) {
            return Answer::Queued(self.waiting.range(..*rank).count());
        }
        if self.waiting.len() >= self.backlog {
            return Answer::Refused(Reason::Full);
        }
        self.arrivals += 1;
        let rank = Rank {
            tier: reservation.tier,
            priority: Reverse(reservation.priority),
            arrival: self.arrivals,
        };
        let deadline = now + reservation.left;
        self.order.insert(request, rank);
        let waiting = Waiting {
            deadline,
            reservation,
        };
        self.waiting.insert(rank, waiting);
        let ahead = self.waiting.range(..rank).count();
        if ahead == 0
            && let Some(offer) = self.next(now)
        {
            return Answer::Offered(offer);
        }
        Answer::Queued(ahead)
    }

    /// Forgets the reservation or the offer of `request`.
    pub fn withdraw(&mut self, request: RequestId) {
        if let Some(rank) = self.order.remove(&request) {
            self.waiting.remove(&rank);
        }
        self.offered
            .retain(|_, offered| offered.offer.request != request);
    }

    /// Offers a free place to the first reservation.
    pub fn next(&mut self, now: Duration) -> Option<Offer<A>> {
        self.expire(now);
        if self.running.len() + self.offered.len() >= self.places {
            return None;
        }
        let (_, waiting) = self.waiting.pop_first()?;
        let reservation = waiting.reservation;
        self.order.remove(&reservation.request);
        self.tickets += 1;
        let offer = Offer {
            from: reservation.from,
            request: reservation.request,
            ticket: self.tickets,
        };
        let offered = Offered {
            offer: offer.clone(),
            until: now + OFFER_TIMEOUT,
        };
        self.offered.insert(self.tickets, offered);
        Some(offer)
    }

    /// Starts the request that was offered `ticket`.
    pub fn start(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: RequestId,
    ) -> Result<(), Reason> {
        self.expire(now);
        match self.offered.get(&ticket) {
            Some(offered) if offered.offer.request == request => {
                self.offered.remove(&ticket);
                self.running.insert(ticket, request);
                Ok(())
            }
            Some(_) | None => Err(Reason::Expired),
        }
    }

    /// Frees the place of `ticket`.
    pub fn finish(&mut self, ticket: Ticket) {
        self.running.remove(&ticket);
    }

    fn offer_of(&self, request: RequestId) -> Option<Offer<A>> {
        self.offered
            .values()
            .find(|offered| offered.offer.request == request)
            .map(|offered| offered.offer.clone())
    }

    fn expire(&mut self, now: Duration) {
        self.offered.retain(|_, offered| offered.until > now);
        let order = &mut self.order;
        self.waiting.retain(|_, waiting| {
            let keep = waiting.deadline > now;
            if !keep {
                order.remove(&waiting.reservation.request);
            }
            keep
        });
    }
}
