//! Offered and occupied slots of an upstream.

use crate::reservation::Offer;
use almondwell_schema::{RequestId, Ticket};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which an unused offer expires.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

/// Kind of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotKind {
    /// Granted in order of tier.
    Ordered,
    /// Set aside for the tiers below the highest.
    LowTier,
}

/// A request that holds an offered or occupied slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Holder {
    pub(crate) class: Box<str>,
    pub(crate) slot: SlotKind,
    pub(crate) request: RequestId,
    pub(crate) workspace: Box<str>,
}

#[derive(Clone, Debug)]
struct Offered<A> {
    holder: Holder,
    offer: Offer<A>,
    expires_at: Duration,
}

/// A started request.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) holder: Holder,
    pub(crate) started_at: Duration,
}

/// Offered and occupied slots of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Offers<A> {
    /// Number of offered or occupied low-tier slots.
    low_tier: usize,
    by_request: BTreeMap<RequestId, Ticket>,
    expiries: BTreeSet<(Duration, Ticket)>,
    offered: BTreeMap<Ticket, Offered<A>>,
    /// Number of offered or occupied slots that are granted in order of tier.
    ordered: usize,
    running: BTreeMap<Ticket, Running>,
    last_ticket: Ticket,
}

impl<A> Default for Offers<A> {
    fn default() -> Self {
        Self {
            low_tier: 0,
            by_request: BTreeMap::new(),
            expiries: BTreeSet::new(),
            offered: BTreeMap::new(),
            ordered: 0,
            running: BTreeMap::new(),
            last_ticket: 0,
        }
    }
}

impl<A: Clone> Offers<A> {
    /// Number of offered or occupied slots of the kind `slot`.
    pub(crate) fn taken(&self, slot: SlotKind) -> usize {
        match slot {
            SlotKind::LowTier => self.low_tier,
            SlotKind::Ordered => self.ordered,
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

    /// The open offer to `request`.
    pub(crate) fn find(&self, request: RequestId) -> Option<Offer<A>> {
        let ticket = self.by_request.get(&request)?;
        let offered = self.offered.get(ticket)?;
        Some(offered.offer.clone())
    }

    pub(crate) fn create(&mut self, now: Duration, holder: Holder, from: A) -> Offer<A> {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let offer = Offer {
            from,
            request: holder.request,
            ticket,
        };
        let expires_at = now + OFFER_TIMEOUT;
        self.update_count(holder.slot, true);
        self.by_request.insert(holder.request, ticket);
        self.expiries.insert((expires_at, ticket));
        let offered = Offered {
            holder,
            offer: offer.clone(),
            expires_at,
        };
        self.offered.insert(ticket, offered);
        offer
    }

    /// Marks the slot of the offer `ticket` as occupied; `false` if it is not an open offer to `request`.
    pub(crate) fn start(&mut self, now: Duration, ticket: Ticket, request: RequestId) -> bool {
        let is_valid = self
            .offered
            .get(&ticket)
            .is_some_and(|offered| offered.holder.request == request);
        if !is_valid {
            return false;
        }
        let Some(holder) = self.remove_offer(ticket) else {
            return false;
        };
        self.running.insert(
            ticket,
            Running {
                holder,
                started_at: now,
            },
        );
        true
    }

    pub(crate) fn finish(&mut self, ticket: Ticket) -> Option<Running> {
        let running = self.running.remove(&ticket)?;
        self.update_count(running.holder.slot, false);
        Some(running)
    }

    pub(crate) fn withdraw(&mut self, request: RequestId) -> Option<Holder> {
        let ticket = *self.by_request.get(&request)?;
        let holder = self.remove_offer(ticket)?;
        self.update_count(holder.slot, false);
        Some(holder)
    }

    /// Withdraws offers that were not used in time.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some((expires_at, ticket)) = self.expiries.first().copied() {
            if expires_at > now {
                return;
            }
            if let Some(holder) = self.remove_offer(ticket) {
                self.update_count(holder.slot, false);
            }
        }
    }

    fn remove_offer(&mut self, ticket: Ticket) -> Option<Holder> {
        let offered = self.offered.remove(&ticket)?;
        self.expiries.remove(&(offered.expires_at, ticket));
        self.by_request.remove(&offered.holder.request);
        Some(offered.holder)
    }

    fn update_count(&mut self, slot: SlotKind, is_taken: bool) {
        let count = match slot {
            SlotKind::LowTier => &mut self.low_tier,
            SlotKind::Ordered => &mut self.ordered,
        };
        if is_taken {
            *count += 1;
        } else {
            *count -= 1;
        }
    }
}
