//! Places that are offered or taken.

use crate::reservation::Offer;
use almondwell_schema::{RequestId, Ticket};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time an offered place waits for its request.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

/// Which of an upstream's places a request holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Place {
    /// Given in order of tier.
    Ordered,
    /// Set aside for the tiers below the highest.
    Aside,
}

/// A request that holds a place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Held {
    pub(crate) class: Box<str>,
    pub(crate) place: Place,
    pub(crate) request: RequestId,
    pub(crate) workspace: Box<str>,
}

#[derive(Clone, Debug)]
struct Offered<A> {
    held: Held,
    offer: Offer<A>,
    until: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) held: Held,
    pub(crate) since: Duration,
}

/// Places that are offered or taken.
#[derive(Clone, Debug)]
pub(crate) struct Offers<A> {
    aside: usize,
    by_request: BTreeMap<RequestId, Ticket>,
    ends: BTreeSet<(Duration, Ticket)>,
    offered: BTreeMap<Ticket, Offered<A>>,
    ordered: usize,
    running: BTreeMap<Ticket, Running>,
    tickets: Ticket,
}

impl<A> Default for Offers<A> {
    fn default() -> Self {
        Self {
            aside: 0,
            by_request: BTreeMap::new(),
            ends: BTreeSet::new(),
            offered: BTreeMap::new(),
            ordered: 0,
            running: BTreeMap::new(),
            tickets: 0,
        }
    }
}

impl<A: Clone> Offers<A> {
    /// Places of the kind `place` that are offered or taken.
    pub(crate) fn held(&self, place: Place) -> usize {
        match place {
            Place::Aside => self.aside,
            Place::Ordered => self.ordered,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.offered.is_empty() && self.running.is_empty()
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Running> {
        self.running.get(&ticket)
    }

    pub(crate) fn of(&self, request: RequestId) -> Option<Offer<A>> {
        let ticket = self.by_request.get(&request)?;
        let offered = self.offered.get(ticket)?;
        Some(offered.offer.clone())
    }

    pub(crate) fn make(&mut self, now: Duration, held: Held, from: A) -> Offer<A> {
        self.tickets += 1;
        let ticket = self.tickets;
        let offer = Offer {
            from,
            request: held.request,
            ticket,
        };
        let until = now + OFFER_TIMEOUT;
        self.count(held.place, true);
        self.by_request.insert(held.request, ticket);
        self.ends.insert((until, ticket));
        let offered = Offered {
            held,
            offer: offer.clone(),
            until,
        };
        self.offered.insert(ticket, offered);
        offer
    }

    /// Turns the offer `ticket` into a run.
    pub(crate) fn start(&mut self, now: Duration, ticket: Ticket, request: RequestId) -> bool {
        let is_right = self
            .offered
            .get(&ticket)
            .is_some_and(|offered| offered.held.request == request);
        if !is_right {
            return false;
        }
        let Some(held) = self.take(ticket) else {
            return false;
        };
        self.running.insert(ticket, Running { held, since: now });
        true
    }

    pub(crate) fn finish(&mut self, ticket: Ticket) -> Option<Running> {
        let running = self.running.remove(&ticket)?;
        self.count(running.held.place, false);
        Some(running)
    }

    pub(crate) fn withdraw(&mut self, request: RequestId) -> Option<Held> {
        let ticket = *self.by_request.get(&request)?;
        let held = self.take(ticket)?;
        self.count(held.place, false);
        Some(held)
    }

    /// Takes back offers that were not used in time.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some((until, ticket)) = self.ends.first().copied() {
            if until > now {
                return;
            }
            if let Some(held) = self.take(ticket) {
                self.count(held.place, false);
            }
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<Held> {
        let offered = self.offered.remove(&ticket)?;
        self.ends.remove(&(offered.until, ticket));
        self.by_request.remove(&offered.held.request);
        Some(offered.held)
    }

    fn count(&mut self, place: Place, is_taken: bool) {
        let count = match place {
            Place::Aside => &mut self.aside,
            Place::Ordered => &mut self.ordered,
        };
        if is_taken {
            *count += 1;
        } else {
            *count -= 1;
        }
    }
}
