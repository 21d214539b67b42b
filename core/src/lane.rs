//! Start-time fair queueing between the flows of one tier.

use crate::flow::{Arrival, Flow, Key, Waiting};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Reservations of one tier.
#[derive(Clone, Debug)]
pub(crate) struct Lane<A> {
    ages: BTreeMap<Arrival, Key>,
    classes: BTreeMap<Box<str>, usize>,
    /// When the first token of each timely reservation is due.
    dues: BTreeSet<(Duration, Arrival)>,
    flows: BTreeMap<Key, Flow<A>>,
    order: BTreeSet<(u64, Key)>,
    /// Reservations whose first token was due; they come after the timely ones of their tier.
    overdue: BTreeMap<Arrival, Waiting<A>>,
    /// Start of the reservation served last, in virtual time.
    virtual_time: u64,
    work: Duration,
}

impl<A> Default for Lane<A> {
    fn default() -> Self {
        Self {
            ages: BTreeMap::new(),
            classes: BTreeMap::new(),
            dues: BTreeSet::new(),
            flows: BTreeMap::new(),
            order: BTreeSet::new(),
            overdue: BTreeMap::new(),
            virtual_time: 0,
            work: Duration::ZERO,
        }
    }
}

impl<A> Lane<A> {
    pub(crate) fn is_empty(&self) -> bool {
        self.ages.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.ages.len()
    }

    /// Load of all that waits.
    pub(crate) fn work(&self) -> Duration {
        self.work
    }

    /// Whether a reservation of `class` waits.
    pub(crate) fn has_class(&self, class: &str) -> bool {
        self.classes.contains_key(class)
    }

    /// The timely reservation that is served next.
    pub(crate) fn front(&self) -> Option<&Waiting<A>> {
        let (_, key) = self.order.first()?;
        let (_, waiting) = self.flows.get(key)?.waiting.first_key_value()?;
        Some(waiting)
    }

    /// Arrival and age of the reservation that has waited longest.
    pub(crate) fn oldest(&self, now: Duration) -> Option<(Arrival, Duration)> {
        let (arrival, key) = self.ages.first_key_value()?;
        let in_flow = self
            .flows
            .get(key)
            .and_then(|flow| flow.waiting.get(arrival));
        let waiting = in_flow.or_else(|| self.overdue.get(arrival))?;
        Some((*arrival, now.saturating_sub(waiting.arrived)))
    }

    /// The flow with the most work per weight.
    pub(crate) fn heaviest(&self) -> Option<&Key> {
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.waiting.is_empty())
            .max_by_key(|(_, flow)| virtual_cost(flow.work, flow.weight))
            .map(|(key, _)| key)
    }

    pub(crate) fn push(&mut self, key: Key, arrival: Arrival, weight: u64, waiting: Waiting<A>) {
        let load = waiting.load();
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(key.clone()).or_insert_with(|| Flow {
            start: virtual_time,
            waiting: BTreeMap::new(),
            weight,
            work: Duration::ZERO,
        });
        flow.weight = weight;
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(virtual_time);
            self.order.insert((flow.start, key.clone()));
        }
        self.dues.insert((waiting.due(), arrival));
        flow.waiting.insert(arrival, waiting);
        flow.work += load;
        self.work += load;
        *self.classes.entry(key.class.clone()).or_default() += 1;
        self.ages.insert(arrival, key);
    }

    /// Sets one reservation apart whose first token was due; `false` when there is none.
    pub(crate) fn set_overdue(&mut self, now: Duration) -> bool {
        let Some((due, arrival)) = self.dues.first().copied() else {
            return false;
        };
        if due > now {
            return false;
        }
        self.dues.pop_first();
        let key = self.ages.get(&arrival).cloned();
        let waiting = key.and_then(|key| self.take(&key, arrival));
        if let Some(waiting) = waiting {
            self.overdue.insert(arrival, waiting);
        }
        true
    }

    /// Takes the next timely reservation by weight, or else the oldest overdue one.
    pub(crate) fn pop(&mut self) -> Option<Waiting<A>> {
        let Some((start, key)) = self.order.first().cloned() else {
            return self.pop_overdue();
        };
        self.virtual_time = start;
        let arrival = *self.flows.get(&key)?.waiting.first_key_value()?.0;
        let waiting = self.take(&key, arrival)?;
        if let Some(flow) = self.flows.get_mut(&key) {
            let is_active = self.order.remove(&(flow.start, key.clone()));
            flow.start = start + virtual_cost(waiting.cost, flow.weight);
            if is_active {
                self.order.insert((flow.start, key));
            }
        }
        self.forget(arrival, waiting.load());
        Some(waiting)
    }

    /// Takes the oldest overdue reservation.
    pub(crate) fn pop_overdue(&mut self) -> Option<Waiting<A>> {
        let (arrival, waiting) = self.overdue.pop_first()?;
        self.forget(arrival, waiting.load());
        Some(waiting)
    }

    /// Takes the reservation that has waited longest.
    pub(crate) fn pop_oldest(&mut self) -> Option<Waiting<A>> {
        let (arrival, key) = self.ages.first_key_value()?;
        let (arrival, key) = (*arrival, key.clone());
        self.remove(&key, arrival)
    }

    /// Takes the newest overdue reservation, or else the newest of the flow with the most work per
    /// weight.
    pub(crate) fn pop_heaviest(&mut self) -> Option<Waiting<A>> {
        if let Some((arrival, waiting)) = self.overdue.pop_last() {
            self.forget(arrival, waiting.load());
            return Some(waiting);
        }
        let key = self.heaviest()?.clone();
        let (arrival, _) = self.flows.get(&key)?.waiting.last_key_value()?;
        let arrival = *arrival;
        self.remove(&key, arrival)
    }

    pub(crate) fn remove(&mut self, key: &Key, arrival: Arrival) -> Option<Waiting<A>> {
        let waiting = self
            .overdue
            .remove(&arrival)
            .or_else(|| self.take(key, arrival))?;
        self.forget(arrival, waiting.load());
        Some(waiting)
    }

    /// Takes a timely reservation out of its flow.
    fn take(&mut self, key: &Key, arrival: Arrival) -> Option<Waiting<A>> {
        let flow = self.flows.get_mut(key)?;
        let waiting = flow.waiting.remove(&arrival)?;
        flow.work = flow.work.saturating_sub(waiting.load());
        self.dues.remove(&(waiting.due(), arrival));
        if flow.waiting.is_empty() {
            self.order.remove(&(flow.start, key.clone()));
        }
        Some(waiting)
    }

    /// Load served before a newcomer of `key` that costs `cost`.
    pub(crate) fn ahead(&self, key: &Key, weight: u64, cost: Duration) -> Duration {
        let own = self.flows.get(key).map_or(Duration::ZERO, |flow| flow.work);
        let turn = virtual_cost(own + cost, weight);
        self.flows
            .values()
            .filter(|flow| !flow.waiting.is_empty())
            .map(|flow| flow.work.min(real_cost(turn, flow.weight)))
            .sum()
    }

    /// Forgets who was served before once nothing waits.
    fn forget(&mut self, arrival: Arrival, load: Duration) {
        if let Some(key) = self.ages.remove(&arrival)
            && let Some(count) = self.classes.get_mut(&key.class)
        {
            *count -= 1;
            if *count == 0 {
                self.classes.remove(&key.class);
            }
        }
        self.work = self.work.saturating_sub(load);
        if self.ages.is_empty() {
            self.dues.clear();
            self.flows.clear();
            self.order.clear();
            self.virtual_time = 0;
            self.work = Duration::ZERO;
        }
    }
}

/// Nanoseconds of `cost` per unit of weight.
fn virtual_cost(cost: Duration, weight: u64) -> u64 {
    u64::try_from(cost.as_nanos()).unwrap_or(u64::MAX) / weight.max(1)
}

fn real_cost(virtual_cost: u64, weight: u64) -> Duration {
    Duration::from_nanos(virtual_cost.saturating_mul(weight))
}
