//! The one queue before an upstream.

use crate::flow::{Arrival, Key, Waiting};
use crate::lane::Lane;
use crate::lengths::Lengths;
use crate::offers::{Held, Offers, Place};
use crate::pace::Pace;
use crate::rate::Rate;
use crate::reservation::{Answer, Offer, Reservation};
use crate::settings::Settings;
use almondwell_schema::{Reason, RequestId, Ticket};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Tiers, of which 0 is the highest.
const TIERS: usize = 4;
/// Places from which one is set aside for the tiers below the highest.
const MIN_PLACES_ASIDE: usize = 4;
/// Grants of the place set aside of which one goes to an overdue reservation.
const OVERDUE_TURN: u64 = 8;
/// Time without a grant after which a class, or a tier without a place set aside, counts as starved.
const STARVED: Duration = Duration::from_secs(20);
/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY: Duration = Duration::from_mins(1);
/// Least speed of service that a wait is estimated with, in places.
const MIN_SPEED: f64 = 0.01;
/// Reservations that each tier below the highest may hold however many higher ones wait.
const KEPT: usize = 8;
/// Highest priority that still adds weight.
const MAX_PRIORITY: u8 = 16;

/// Reservations by tier and weight, and the places they wait for.
#[derive(Clone, Debug)]
pub struct Queue<A> {
    arrivals: Arrival,
    aside_grants: u64,
    deadlines: BTreeSet<(Duration, RequestId)>,
    /// Time of the last grant to each class.
    granted: BTreeMap<Box<str>, Duration>,
    lanes: [Lane<A>; TIERS],
    leaving: bool,
    lengths: Lengths,
    /// Time of the last grant to a tier below the highest.
    lower_granted: Duration,
    offers: Offers<A>,
    pace: Pace,
    rates: [Rate; TIERS],
    settings: Settings,
    shed: Vec<Reservation<A>>,
    spots: BTreeMap<RequestId, Spot>,
    /// Tier that the place set aside serves next.
    turn: usize,
}

/// Where a reservation waits.
#[derive(Clone, Debug)]
struct Spot {
    arrival: Arrival,
    key: Key,
    tier: usize,
}

impl<A: Clone> Queue<A> {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            arrivals: 0,
            aside_grants: 0,
            deadlines: BTreeSet::new(),
            granted: BTreeMap::new(),
            lanes: std::array::from_fn(|_| Lane::default()),
            leaving: false,
            lengths: Lengths::default(),
            lower_granted: Duration::ZERO,
            offers: Offers::default(),
            pace: Pace::default(),
            rates: [Rate::default(); TIERS],
            settings,
            shed: Vec::new(),
            spots: BTreeMap::new(),
            turn: 1,
        }
    }

    /// Refuses all further reservations and drops those that wait.
    pub fn leave(&mut self) -> Vec<Reservation<A>> {
        self.leaving = true;
        self.spots.clear();
        self.deadlines.clear();
        let mut dropped = Vec::new();
        for lane in &mut self.lanes {
            while let Some(waiting) = lane.pop_oldest() {
                dropped.push(waiting.reservation);
            }
        }
        dropped
    }

    /// Whether nothing runs and nothing is offered.
    pub fn is_idle(&self) -> bool {
        self.offers.is_empty()
    }

    /// Reservations that wait.
    pub fn waiting(&self) -> usize {
        self.spots.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.offers.running()
    }

    /// Whether the upstream's streams are slow at `now`.
    pub fn is_slow(&mut self, now: Duration) -> bool {
        self.pace.is_slow(now)
    }

    /// Asks for a place at `now`; a repeated reservation keeps its rank.
    ///
    /// Offers of free places, also to this reservation, come from [`Queue::next`].
    pub fn reserve(&mut self, now: Duration, reservation: Reservation<A>) -> Answer<A> {
        if self.leaving {
            return Answer::Refused(Reason::Leaving, MIN_RETRY);
        }
        self.expire(now);
        let request = reservation.request;
        if let Some(offer) = self.offers.of(request) {
            return Answer::Offered(offer);
        }
        let tier = self.tier(&reservation);
        let key = self.key(&reservation);
        let cost = self
            .lengths
            .place(&reservation.class, &reservation.workspace);
        let weight = weight(&reservation);
        let wait = self.wait(now, tier, &key, weight, cost);
        if self.spots.contains_key(&request) {
            return Answer::Queued(wait);
        }
        if let Some(retry) = self.too_late(now, tier, &reservation, wait) {
            return Answer::Refused(Reason::Late, retry);
        }
        if self.is_full(tier) && !self.shed_heaviest(tier, &key) {
            return Answer::Refused(Reason::Full, retry_after(wait));
        }
        self.push(now, tier, key, weight, cost, reservation);
        self.shed_lower(tier);
        Answer::Queued(wait)
    }

    /// Reservations that gave way to others since the last call; they are refused as `Full`.
    pub fn take_shed(&mut self) -> Vec<Reservation<A>> {
        std::mem::take(&mut self.shed)
    }

    /// Forgets the reservation or the offer of `request`.
    pub fn withdraw(&mut self, request: RequestId) {
        self.forget(request);
        self.offers.withdraw(request);
    }

    /// Offers a free place to the next reservation.
    pub fn next(&mut self, now: Duration) -> Option<Offer<A>> {
        self.expire(now);
        let (waiting, place) = self.pop(now)?;
        let reservation = waiting.reservation;
        self.spots.remove(&reservation.request);
        self.deadlines
            .remove(&(waiting.deadline, reservation.request));
        let tier = self.tier(&reservation);
        self.rates[tier].add(now, waiting.cost);
        if tier > 0 {
            self.lower_granted = now;
        }
        self.note_grant(now, &reservation.class);
        let held = Held {
            class: reservation.class,
            place,
            request: reservation.request,
            workspace: reservation.workspace,
        };
        Some(self.offers.make(now, held, reservation.from))
    }

    /// Starts the request that was offered `ticket`.
    pub fn start(
        &mut self,
        now: Duration,
        ticket: Ticket,
        request: RequestId,
    ) -> Result<(), Reason> {
        self.expire(now);
        if self.offers.start(now, ticket, request) {
            Ok(())
        } else {
            Err(Reason::Expired)
        }
    }

    /// Notes a token, or another piece of an answer, of the request that holds `ticket`.
    pub fn token(&mut self, now: Duration, ticket: Ticket) {
        // A stream that outlives its place would count as stalled after its end.
        let Some(running) = self.offers.get(ticket) else {
            return;
        };
        if !self.pace.token(now, ticket) {
            let time = now.saturating_sub(running.since);
            self.lengths.record_first_token(&running.held.class, time);
        }
    }

    /// Frees the place of `ticket`.
    pub fn finish(&mut self, now: Duration, ticket: Ticket) {
        self.pace.end(ticket);
        if let Some(running) = self.offers.finish(ticket) {
            let time = now.saturating_sub(running.since);
            let held = running.held;
            self.lengths.record(&held.class, &held.workspace, time);
        }
    }

    fn tier(&self, reservation: &Reservation<A>) -> usize {
        if self.settings.tiers {
            usize::from(reservation.tier).min(TIERS - 1)
        } else {
            0
        }
    }

    fn key(&self, reservation: &Reservation<A>) -> Key {
        if !self.settings.fair {
            return Key {
                class: "".into(),
                workspace: "".into(),
            };
        }
        Key {
            class: reservation.class.clone(),
            workspace: reservation.workspace.clone(),
        }
    }

    /// Places that tiers share in order, and places set aside.
    fn split(&self) -> (usize, usize) {
        let places = self.settings.places;
        let aside = self.settings.trickle && places >= MIN_PLACES_ASIDE;
        (places - usize::from(aside), usize::from(aside))
    }

    /// Estimated wait of a newcomer; it counts nothing of lower tiers.
    fn wait(
        &mut self,
        now: Duration,
        tier: usize,
        key: &Key,
        weight: u64,
        cost: Duration,
    ) -> Duration {
        let (ordered, aside) = self.split();
        let limit = self.pace.limit(now, ordered);
        let higher = &self.lanes[..tier];
        let queued: usize = higher.iter().map(Lane::len).sum::<usize>() + self.lanes[tier].len();
        if self.offers.held(Place::Ordered) + queued < limit {
            return Duration::ZERO;
        }
        let above: Duration = higher.iter().map(Lane::work).sum();
        let own = self.lanes[tier].ahead(key, weight, cost) + cost;
        let taken: f64 = self.rates[..tier].iter().map(|rate| rate.read(now)).sum();
        let left = (float(limit) - taken).max(MIN_SPEED);
        let in_order = (above + own).div_f64(left);
        if tier == 0 || aside == 0 {
            return in_order;
        }
        in_order.min(own.div_f64(float(aside) / float(TIERS - 1)))
    }

    /// When to come back, if the first token would come too late.
    fn too_late(
        &self,
        now: Duration,
        tier: usize,
        reservation: &Reservation<A>,
        wait: Duration,
    ) -> Option<Duration> {
        if !self.settings.admission || wait.is_zero() {
            return None;
        }
        let first_token = self.lengths.first_token(&reservation.class);
        let late = (wait + first_token).saturating_sub(reservation.target);
        if late.is_zero() || (tier > 0 && self.is_starved(now, tier, &reservation.class)) {
            return None;
        }
        Some(retry_after(late))
    }

    /// Whether no request of `class` was granted for long and none waits.
    fn is_starved(&self, now: Duration, tier: usize, class: &str) -> bool {
        let granted = self.granted.get(class).copied().unwrap_or_default();
        now.saturating_sub(granted) > STARVED && !self.lanes[tier].has_class(class)
    }

    /// Whether `tier` and those above fill the backlog; lower tiers do not count.
    fn is_full(&self, tier: usize) -> bool {
        let waiting: usize = self.lanes[..=tier].iter().map(Lane::len).sum();
        let has_kept = tier > 0 && self.lanes[tier].len() < KEPT;
        waiting >= self.settings.backlog && !has_kept
    }

    /// Sheds a reservation of the heaviest workspace of `tier`, unless that is the newcomer's.
    fn shed_heaviest(&mut self, tier: usize, key: &Key) -> bool {
        if self.lanes[tier]
            .heaviest()
            .is_none_or(|heaviest| heaviest == key)
        {
            return false;
        }
        self.shed_from(tier)
    }

    /// Sheds reservations of tiers below `tier` while more wait than the backlog and what each
    /// lower tier keeps.
    fn shed_lower(&mut self, tier: usize) {
        while self.spots.len() > self.settings.backlog + KEPT * (TIERS - 1) {
            let lowest = (tier + 1..TIERS)
                .rev()
                .find(|lower| self.lanes[*lower].len() > KEPT);
            let Some(lowest) = lowest else { return };
            if !self.shed_from(lowest) {
                return;
            }
        }
    }

    fn shed_from(&mut self, tier: usize) -> bool {
        let Some(waiting) = self.lanes[tier].pop_heaviest() else {
            return false;
        };
        let request = waiting.reservation.request;
        self.spots.remove(&request);
        self.deadlines.remove(&(waiting.deadline, request));
        self.shed.push(waiting.reservation);
        true
    }

    fn push(
        &mut self,
        now: Duration,
        tier: usize,
        key: Key,
        weight: u64,
        cost: Duration,
        reservation: Reservation<A>,
    ) {
        self.arrivals += 1;
        let request = reservation.request;
        let spot = Spot {
            arrival: self.arrivals,
            key: key.clone(),
            tier,
        };
        let waiting = Waiting {
            arrived: now,
            cost,
            deadline: now + reservation.left,
            reservation,
        };
        self.deadlines.insert((waiting.deadline, request));
        self.spots.insert(request, spot);
        self.lanes[tier].push(key, self.arrivals, weight, waiting);
    }

    fn pop(&mut self, now: Duration) -> Option<(Waiting<A>, Place)> {
        if self.settings.admission {
            self.set_overdue(now);
        }
        let (ordered, aside) = self.split();
        let limit = self.pace.limit(now, ordered);
        if self.offers.held(Place::Ordered) < limit {
            let waiting = self.pop_ordered(now, aside)?;
            return Some((waiting, Place::Ordered));
        }
        if self.offers.held(Place::Aside) >= aside || limit < ordered {
            return None;
        }
        let tier = (0..TIERS - 1)
            .map(|step| 1 + (self.turn - 1 + step) % (TIERS - 1))
            .find(|tier| !self.lanes[*tier].is_empty())?;
        self.turn = 1 + tier % (TIERS - 1);
        self.aside_grants += 1;
        let lane = &mut self.lanes[tier];
        let overdue = self.aside_grants.is_multiple_of(OVERDUE_TURN);
        let waiting = if overdue { lane.pop_overdue() } else { None };
        let waiting = waiting.or_else(|| lane.pop())?;
        Some((waiting, Place::Aside))
    }

    fn pop_ordered(&mut self, now: Duration, aside: usize) -> Option<Waiting<A>> {
        let is_starved =
            aside == 0 && self.settings.trickle && now.saturating_sub(self.lower_granted) > STARVED;
        if is_starved && let Some(waiting) = self.pop_oldest_lower(now) {
            return Some(waiting);
        }
        let slow = self.pace.is_slow(now);
        for lane in &mut self.lanes {
            let is_held = slow && lane.front().is_some_and(|front| front.is_held_back(now));
            if !is_held && let Some(waiting) = lane.pop() {
                return Some(waiting);
            }
        }
        None
    }

    fn pop_oldest_lower(&mut self, now: Duration) -> Option<Waiting<A>> {
        let lane = self.lanes[1..]
            .iter_mut()
            .filter(|lane| !lane.is_empty())
            .min_by_key(|lane| lane.oldest(now))?;
        let (_, age) = lane.oldest(now)?;
        if age > STARVED {
            lane.pop_oldest()
        } else {
            None
        }
    }

    /// Sets reservations apart whose first token was due.
    fn set_overdue(&mut self, now: Duration) {
        for lane in &mut self.lanes {
            while lane.set_overdue(now) {}
        }
    }

    fn note_grant(&mut self, now: Duration, class: &str) {
        match self.granted.get_mut(class) {
            Some(granted) => *granted = now,
            None => {
                self.granted.insert(class.into(), now);
            }
        }
    }

    fn forget(&mut self, request: RequestId) {
        let Some(spot) = self.spots.remove(&request) else {
            return;
        };
        if let Some(waiting) = self.lanes[spot.tier].remove(&spot.key, spot.arrival) {
            self.deadlines.remove(&(waiting.deadline, request));
        }
    }

    fn expire(&mut self, now: Duration) {
        self.offers.expire(now);
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.forget(request);
            self.deadlines.remove(&(deadline, request));
        }
    }
}

fn weight<A>(reservation: &Reservation<A>) -> u64 {
    let share = u64::from(reservation.share.max(1));
    share << reservation.priority.min(MAX_PRIORITY)
}

fn retry_after(late: Duration) -> Duration {
    late.clamp(MIN_RETRY, MAX_RETRY)
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
