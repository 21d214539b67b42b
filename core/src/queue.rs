//! Priority queue of reservations in front of one upstream.
//!
//! A slot is one concurrent request at the upstream; the setting `places` is their number. Slots are granted
//! in order of tier, and within a tier by weighted fair queueing. One of them, the low-tier slot, may be set
//! aside for the tiers below the highest.

use crate::flow::{Arrival, Key, Waiting};
use crate::lane::Lane;
use crate::offers::{Holder, Offers, SlotKind};
use crate::pace::Pace;
use crate::rate::Rate;
use crate::reservation::{Answer, Offer, Reservation};
use crate::service_times::ServiceTimes;
use crate::settings::Settings;
use almondwell_schema::{Reason, RequestId, Ticket};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of tiers; tier 0 is the highest.
const TIER_COUNT: usize = 4;
/// Minimum number of slots of an upstream with a low-tier slot.
const MIN_SLOTS_FOR_LOW_TIER_SLOT: usize = 4;
/// One in this many grants of the low-tier slot goes to an overdue reservation.
const OVERDUE_GRANT_INTERVAL: u64 = 8;
/// Time without a grant after which a class counts as starved; also applies to the lower tiers together
/// where there is no low-tier slot.
const STARVATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Shortest retry delay sent with a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest retry delay sent with a refusal.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);
/// Lower bound of the number of slots that wait estimates assume for a tier.
const MIN_ESTIMATED_SLOTS: f64 = 0.01;
/// Reservations that each tier below the highest may queue regardless of the higher tiers.
const MIN_LOW_TIER_BACKLOG: usize = 8;
/// Priority above which the weight no longer grows.
const MAX_PRIORITY: u8 = 16;

/// Queue of reservations, and the slots that they wait for.
///
/// `A` is the return address of an answer.
#[derive(Clone, Debug)]
pub struct Queue<A> {
    last_arrival: Arrival,
    low_tier_grants: u64,
    deadlines: BTreeSet<(Duration, RequestId)>,
    /// Time of the last grant to each class.
    class_granted_at: BTreeMap<Box<str>, Duration>,
    lanes: [Lane<A>; TIER_COUNT],
    is_closed: bool,
    service_times: ServiceTimes,
    /// Time of the last grant to a tier below the highest.
    low_tier_granted_at: Duration,
    offers: Offers<A>,
    pace: Pace,
    /// Rate of granted work of each tier.
    grant_rates: [Rate; TIER_COUNT],
    settings: Settings,
    shed: Vec<Reservation<A>>,
    positions: BTreeMap<RequestId, Position>,
    /// Tier that gets the next grant of the low-tier slot.
    next_low_tier: usize,
}

/// Position of a reservation in the lanes.
#[derive(Clone, Debug)]
struct Position {
    arrival: Arrival,
    key: Key,
    tier: usize,
}

impl<A: Clone> Queue<A> {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            last_arrival: 0,
            low_tier_grants: 0,
            deadlines: BTreeSet::new(),
            class_granted_at: BTreeMap::new(),
            lanes: std::array::from_fn(|_| Lane::default()),
            is_closed: false,
            service_times: ServiceTimes::default(),
            low_tier_granted_at: Duration::ZERO,
            offers: Offers::default(),
            pace: Pace::default(),
            grant_rates: [Rate::default(); TIER_COUNT],
            settings,
            shed: Vec::new(),
            positions: BTreeMap::new(),
            next_low_tier: 1,
        }
    }

    /// Closes the queue: refuses all further reservations, and returns those that were waiting.
    pub fn close(&mut self) -> Vec<Reservation<A>> {
        self.is_closed = true;
        self.positions.clear();
        self.deadlines.clear();
        let mut dropped = Vec::new();
        for lane in &mut self.lanes {
            while let Some(waiting) = lane.pop_oldest() {
                dropped.push(waiting.reservation);
            }
        }
        dropped
    }

    /// Whether no slot is taken or offered.
    pub fn is_idle(&self) -> bool {
        self.offers.is_empty()
    }

    /// Number of waiting reservations.
    pub fn waiting(&self) -> usize {
        self.positions.len()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.offers.running()
    }

    /// Whether the upstream's token streams are slow at `now`, compared with their usual pace.
    pub fn is_slow(&mut self, now: Duration) -> bool {
        self.pace.is_slow(now)
    }

    /// Enqueues a reservation at `now`; a repeated one keeps its position.
    ///
    /// Offers of free slots, also for this reservation, come from [`Queue::next`]. The answer is refused as
    /// `Leaving` after [`Queue::close`], as `Late` if the first token would miss its target, and as `Full`
    /// if the backlog is full.
    pub fn reserve(&mut self, now: Duration, reservation: Reservation<A>) -> Answer<A> {
        if self.is_closed {
            return Answer::Refused(Reason::Leaving, MIN_RETRY_DELAY);
        }
        self.expire(now);
        let request = reservation.request;
        if let Some(offer) = self.offers.find(request) {
            return Answer::Offered(offer);
        }
        let tier = self.effective_tier(&reservation);
        let key = self.flow_key(&reservation);
        let cost = self
            .service_times
            .service_time(&reservation.class, &reservation.workspace);
        let weight = weight(&reservation);
        let wait = self.estimate_wait(now, tier, &key, weight, cost);
        if self.positions.contains_key(&request) {
            return Answer::Queued(wait);
        }
        if let Some(retry) = self.late_retry_delay(now, tier, &reservation, wait) {
            return Answer::Refused(Reason::Late, retry);
        }
        if self.is_full(tier) && !self.shed_heaviest(tier, &key) {
            return Answer::Refused(Reason::Full, retry_delay(wait));
        }
        self.push(now, tier, key, weight, cost, reservation);
        self.shed_lower(tier);
        Answer::Queued(wait)
    }

    /// Reservations that were shed for others since the last call; they are refused as `Full`.
    pub fn take_shed(&mut self) -> Vec<Reservation<A>> {
        std::mem::take(&mut self.shed)
    }

    /// Removes the reservation or the offer of `request`.
    pub fn withdraw(&mut self, request: RequestId) {
        self.remove_waiting(request);
        self.offers.withdraw(request);
    }

    /// Offers a free slot to the next reservation; `None` without a free slot or a reservation for it.
    pub fn next(&mut self, now: Duration) -> Option<Offer<A>> {
        self.expire(now);
        let (waiting, slot) = self.pop(now)?;
        let reservation = waiting.reservation;
        self.positions.remove(&reservation.request);
        self.deadlines
            .remove(&(waiting.deadline, reservation.request));
        let tier = self.effective_tier(&reservation);
        self.grant_rates[tier].add(now, waiting.cost);
        if tier > 0 {
            self.low_tier_granted_at = now;
        }
        self.record_grant(now, &reservation.class);
        let holder = Holder {
            class: reservation.class,
            slot,
            request: reservation.request,
            workspace: reservation.workspace,
        };
        Some(self.offers.create(now, holder, reservation.from))
    }

    /// Starts the request that was offered `ticket`.
    ///
    /// # Errors
    ///
    /// `Expired` if the ticket is unknown, belongs to another request or was not used in time.
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

    /// Records a token, or another piece of the response, of the request that holds `ticket`.
    pub fn token(&mut self, now: Duration, ticket: Ticket) {
        // Tokens after the end of a run are ignored: they would add a stream that is never removed, which
        // then counts as stalled.
        let Some(running) = self.offers.get(ticket) else {
            return;
        };
        if !self.pace.record_token(now, ticket) {
            let time = now.saturating_sub(running.started_at);
            self.service_times
                .record_first_token(&running.holder.class, time);
        }
    }

    /// Frees the slot of `ticket`, and records how long it was taken.
    pub fn finish(&mut self, now: Duration, ticket: Ticket) {
        self.pace.end_stream(ticket);
        if let Some(running) = self.offers.finish(ticket) {
            let time = now.saturating_sub(running.started_at);
            let holder = running.holder;
            self.service_times
                .record(&holder.class, &holder.workspace, time);
        }
    }

    fn effective_tier(&self, reservation: &Reservation<A>) -> usize {
        if self.settings.tiers {
            usize::from(reservation.tier).min(TIER_COUNT - 1)
        } else {
            0
        }
    }

    fn flow_key(&self, reservation: &Reservation<A>) -> Key {
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

    /// Number of slots granted in order of tier, and number of low-tier slots.
    fn slot_counts(&self) -> (usize, usize) {
        let slots = self.settings.slots;
        let has_low_tier_slot = self.settings.low_tier_slot && slots >= MIN_SLOTS_FOR_LOW_TIER_SLOT;
        (
            slots - usize::from(has_low_tier_slot),
            usize::from(has_low_tier_slot),
        )
    }

    /// Estimated wait of a new reservation; lower tiers don't count.
    fn estimate_wait(
        &mut self,
        now: Duration,
        tier: usize,
        key: &Key,
        weight: u64,
        cost: Duration,
    ) -> Duration {
        let (ordered, low_tier) = self.slot_counts();
        let limit = self.pace.slot_limit(now, ordered);
        let higher = &self.lanes[..tier];
        let queued: usize = higher.iter().map(Lane::len).sum::<usize>() + self.lanes[tier].len();
        if self.offers.taken(SlotKind::Ordered) + queued < limit {
            return Duration::ZERO;
        }
        let higher_load: Duration = higher.iter().map(Lane::load).sum();
        let tier_load = self.lanes[tier].load_ahead(key, weight, cost) + cost;
        let used_slots: f64 = self.grant_rates[..tier]
            .iter()
            .map(|rate| rate.value(now))
            .sum();
        let available_slots = (to_f64(limit) - used_slots).max(MIN_ESTIMATED_SLOTS);
        let ordered_wait = (higher_load + tier_load).div_f64(available_slots);
        if tier == 0 || low_tier == 0 {
            return ordered_wait;
        }
        ordered_wait.min(tier_load.div_f64(to_f64(low_tier) / to_f64(TIER_COUNT - 1)))
    }

    /// Retry delay, if the first token would come after its target.
    fn late_retry_delay(
        &self,
        now: Duration,
        tier: usize,
        reservation: &Reservation<A>,
        wait: Duration,
    ) -> Option<Duration> {
        if !self.settings.admission || wait.is_zero() {
            return None;
        }
        let first_token = self.service_times.first_token(&reservation.class);
        let lateness = (wait + first_token).saturating_sub(reservation.target);
        if lateness.is_zero() || (tier > 0 && self.is_starved(now, tier, &reservation.class)) {
            return None;
        }
        Some(retry_delay(lateness))
    }

    /// Whether no request of `class` was granted a slot for [`STARVATION_TIMEOUT`] and none waits.
    fn is_starved(&self, now: Duration, tier: usize, class: &str) -> bool {
        let granted_at = self
            .class_granted_at
            .get(class)
            .copied()
            .unwrap_or_default();
        now.saturating_sub(granted_at) > STARVATION_TIMEOUT && !self.lanes[tier].has_class(class)
    }

    /// Whether the backlog is full for `tier`; lower tiers don't count.
    fn is_full(&self, tier: usize) -> bool {
        let waiting: usize = self.lanes[..=tier].iter().map(Lane::len).sum();
        let is_below_min = tier > 0 && self.lanes[tier].len() < MIN_LOW_TIER_BACKLOG;
        waiting >= self.settings.backlog && !is_below_min
    }

    /// Sheds a reservation of the heaviest flow of `tier`, unless that is `key`, the flow of the new
    /// reservation.
    fn shed_heaviest(&mut self, tier: usize, key: &Key) -> bool {
        if self.lanes[tier]
            .heaviest()
            .is_none_or(|heaviest| heaviest == key)
        {
            return false;
        }
        self.shed_from(tier)
    }

    /// Sheds reservations of tiers below `tier` while more wait than the backlog and the guaranteed
    /// minimum of each lower tier.
    fn shed_lower(&mut self, tier: usize) {
        while self.positions.len() > self.settings.backlog + MIN_LOW_TIER_BACKLOG * (TIER_COUNT - 1)
        {
            let lowest = (tier + 1..TIER_COUNT)
                .rev()
                .find(|lower| self.lanes[*lower].len() > MIN_LOW_TIER_BACKLOG);
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
        self.positions.remove(&request);
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
        self.last_arrival += 1;
        let request = reservation.request;
        let position = Position {
            arrival: self.last_arrival,
            key: key.clone(),
            tier,
        };
        let waiting = Waiting {
            arrived_at: now,
            cost,
            deadline: now.saturating_add(reservation.left),
            reservation,
        };
        self.deadlines.insert((waiting.deadline, request));
        self.positions.insert(request, position);
        self.lanes[tier].push(key, self.last_arrival, weight, waiting);
    }

    fn pop(&mut self, now: Duration) -> Option<(Waiting<A>, SlotKind)> {
        if self.settings.admission {
            self.move_overdue(now);
        }
        let (ordered, low_tier) = self.slot_counts();
        let limit = self.pace.slot_limit(now, ordered);
        if self.offers.taken(SlotKind::Ordered) < limit {
            let waiting = self.pop_ordered(now, low_tier)?;
            return Some((waiting, SlotKind::Ordered));
        }
        if self.offers.taken(SlotKind::LowTier) >= low_tier || limit < ordered {
            return None;
        }
        let tier = (0..TIER_COUNT - 1)
            .map(|step| 1 + (self.next_low_tier - 1 + step) % (TIER_COUNT - 1))
            .find(|tier| !self.lanes[*tier].is_empty())?;
        self.next_low_tier = 1 + tier % (TIER_COUNT - 1);
        self.low_tier_grants += 1;
        let lane = &mut self.lanes[tier];
        let is_overdue_turn = self.low_tier_grants.is_multiple_of(OVERDUE_GRANT_INTERVAL);
        let waiting = if is_overdue_turn {
            lane.pop_overdue()
        } else {
            None
        };
        let waiting = waiting.or_else(|| lane.pop())?;
        Some((waiting, SlotKind::LowTier))
    }

    fn pop_ordered(&mut self, now: Duration, low_tier: usize) -> Option<Waiting<A>> {
        let is_starved = low_tier == 0
            && self.settings.low_tier_slot
            && now.saturating_sub(self.low_tier_granted_at) > STARVATION_TIMEOUT;
        if is_starved && let Some(waiting) = self.pop_oldest_low_tier(now) {
            return Some(waiting);
        }
        let is_slow = self.pace.is_slow(now);
        for lane in &mut self.lanes {
            let is_deferred = is_slow && lane.front().is_some_and(|front| front.is_deferred(now));
            if !is_deferred && let Some(waiting) = lane.pop() {
                return Some(waiting);
            }
        }
        None
    }

    fn pop_oldest_low_tier(&mut self, now: Duration) -> Option<Waiting<A>> {
        let lane = self.lanes[1..]
            .iter_mut()
            .filter(|lane| !lane.is_empty())
            .min_by_key(|lane| lane.oldest(now))?;
        let (_, age) = lane.oldest(now)?;
        if age > STARVATION_TIMEOUT {
            lane.pop_oldest()
        } else {
            None
        }
    }

    /// Moves reservations whose first token is overdue behind the timely ones of their tier.
    fn move_overdue(&mut self, now: Duration) {
        for lane in &mut self.lanes {
            while lane.move_next_overdue(now) {}
        }
    }

    fn record_grant(&mut self, now: Duration, class: &str) {
        match self.class_granted_at.get_mut(class) {
            Some(granted_at) => *granted_at = now,
            None => {
                self.class_granted_at.insert(class.into(), now);
            }
        }
    }

    fn remove_waiting(&mut self, request: RequestId) {
        let Some(position) = self.positions.remove(&request) else {
            return;
        };
        if let Some(waiting) = self.lanes[position.tier].remove(&position.key, position.arrival) {
            self.deadlines.remove(&(waiting.deadline, request));
        }
    }

    fn expire(&mut self, now: Duration) {
        self.offers.expire(now);
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.remove_waiting(request);
            self.deadlines.remove(&(deadline, request));
        }
    }
}

/// Weight of a reservation in its tier: the share, doubled with each step of priority.
fn weight<A>(reservation: &Reservation<A>) -> u64 {
    let share = u64::from(reservation.share.max(1));
    share << reservation.priority.min(MAX_PRIORITY)
}

fn retry_delay(delay: Duration) -> Duration {
    delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
