//! Queue of one tier, with start-time fair queueing between its flows.

use crate::flow::{Arrival, Flow, Key, Waiting};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Reservations of one tier.
#[derive(Clone, Debug)]
pub(crate) struct Lane<A> {
    /// Flow of each reservation, timely or overdue.
    by_arrival: BTreeMap<Arrival, Key>,
    /// Number of reservations of each class.
    class_counts: BTreeMap<Box<str>, usize>,
    /// Time at which the first token of each timely reservation is due.
    due_times: BTreeSet<(Duration, Arrival)>,
    flows: BTreeMap<Key, Flow<A>>,
    /// Flows with timely reservations, in order of virtual start time.
    start_order: BTreeSet<(u64, Key)>,
    /// Reservations whose first token is overdue; they are served after the timely ones of their tier.
    overdue: BTreeMap<Arrival, Waiting<A>>,
    /// Virtual start time of the reservation served last.
    virtual_time: u64,
    load: Duration,
}

impl<A> Default for Lane<A> {
    fn default() -> Self {
        Self {
            by_arrival: BTreeMap::new(),
            class_counts: BTreeMap::new(),
            due_times: BTreeSet::new(),
            flows: BTreeMap::new(),
            start_order: BTreeSet::new(),
            overdue: BTreeMap::new(),
            virtual_time: 0,
            load: Duration::ZERO,
        }
    }
}

impl<A> Lane<A> {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_arrival.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_arrival.len()
    }

    /// Total load of the waiting reservations.
    pub(crate) fn load(&self) -> Duration {
        self.load
    }

    /// Whether a reservation of `class` waits.
    pub(crate) fn has_class(&self, class: &str) -> bool {
        self.class_counts.contains_key(class)
    }

    /// The timely reservation that is served next.
    pub(crate) fn front(&self) -> Option<&Waiting<A>> {
        let (_, key) = self.start_order.first()?;
        let (_, waiting) = self.flows.get(key)?.waiting.first_key_value()?;
        Some(waiting)
    }

    /// Arrival and age of the reservation that has waited longest.
    pub(crate) fn oldest(&self, now: Duration) -> Option<(Arrival, Duration)> {
        let (arrival, key) = self.by_arrival.first_key_value()?;
        let in_flow = self
            .flows
            .get(key)
            .and_then(|flow| flow.waiting.get(arrival));
        let waiting = in_flow.or_else(|| self.overdue.get(arrival))?;
        Some((*arrival, now.saturating_sub(waiting.arrived_at)))
    }

    /// The flow with the highest load per weight.
    pub(crate) fn heaviest(&self) -> Option<&Key> {
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.waiting.is_empty())
            .max_by_key(|(_, flow)| virtual_cost(flow.load, flow.weight))
            .map(|(key, _)| key)
    }

    pub(crate) fn push(&mut self, key: Key, arrival: Arrival, weight: u64, waiting: Waiting<A>) {
        let load = waiting.load();
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(key.clone()).or_insert_with(|| Flow {
            virtual_start: virtual_time,
            waiting: BTreeMap::new(),
            weight,
            load: Duration::ZERO,
        });
        flow.weight = weight;
        if flow.waiting.is_empty() {
            flow.virtual_start = flow.virtual_start.max(virtual_time);
            self.start_order.insert((flow.virtual_start, key.clone()));
        }
        self.due_times.insert((waiting.first_token_due(), arrival));
        flow.waiting.insert(arrival, waiting);
        flow.load += load;
        self.load += load;
        *self.class_counts.entry(key.class.clone()).or_default() += 1;
        self.by_arrival.insert(arrival, key);
    }

    /// Moves the next reservation whose first token is overdue to the overdue ones; `false` without one.
    pub(crate) fn move_next_overdue(&mut self, now: Duration) -> bool {
        let Some((due, arrival)) = self.due_times.first().copied() else {
            return false;
        };
        if due > now {
            return false;
        }
        self.due_times.pop_first();
        let key = self.by_arrival.get(&arrival).cloned();
        let waiting = key.and_then(|key| self.remove_timely(&key, arrival));
        if let Some(waiting) = waiting {
            self.overdue.insert(arrival, waiting);
        }
        true
    }

    /// Removes the next timely reservation in fair order, or else the oldest overdue one.
    pub(crate) fn pop(&mut self) -> Option<Waiting<A>> {
        let Some((start, key)) = self.start_order.first().cloned() else {
            return self.pop_overdue();
        };
        self.virtual_time = start;
        let arrival = *self.flows.get(&key)?.waiting.first_key_value()?.0;
        let waiting = self.remove_timely(&key, arrival)?;
        if let Some(flow) = self.flows.get_mut(&key) {
            let is_backlogged = self.start_order.remove(&(flow.virtual_start, key.clone()));
            flow.virtual_start = start + virtual_cost(waiting.cost, flow.weight);
            if is_backlogged {
                self.start_order.insert((flow.virtual_start, key));
            }
        }
        self.deduct(arrival, waiting.load());
        Some(waiting)
    }

    /// Removes the oldest overdue reservation.
    pub(crate) fn pop_overdue(&mut self) -> Option<Waiting<A>> {
        let (arrival, waiting) = self.overdue.pop_first()?;
        self.deduct(arrival, waiting.load());
        Some(waiting)
    }

    /// Removes the reservation that has waited longest.
    pub(crate) fn pop_oldest(&mut self) -> Option<Waiting<A>> {
        let (arrival, key) = self.by_arrival.first_key_value()?;
        let (arrival, key) = (*arrival, key.clone());
        self.remove(&key, arrival)
    }

    /// Removes the newest overdue reservation, or else the newest of the flow with the highest load per
    /// weight.
    pub(crate) fn pop_heaviest(&mut self) -> Option<Waiting<A>> {
        if let Some((arrival, waiting)) = self.overdue.pop_last() {
            self.deduct(arrival, waiting.load());
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
            .or_else(|| self.remove_timely(key, arrival))?;
        self.deduct(arrival, waiting.load());
        Some(waiting)
    }

    /// Removes a timely reservation from its flow; [`Lane::deduct`] must follow unless it stays in the lane.
    fn remove_timely(&mut self, key: &Key, arrival: Arrival) -> Option<Waiting<A>> {
        let flow = self.flows.get_mut(key)?;
        let waiting = flow.waiting.remove(&arrival)?;
        flow.load = flow.load.saturating_sub(waiting.load());
        self.due_times.remove(&(waiting.first_token_due(), arrival));
        if flow.waiting.is_empty() {
            self.start_order.remove(&(flow.virtual_start, key.clone()));
        }
        Some(waiting)
    }

    /// Load served before a new reservation of flow `key` with service time `cost`.
    pub(crate) fn load_ahead(&self, key: &Key, weight: u64, cost: Duration) -> Duration {
        let own_load = self.flows.get(key).map_or(Duration::ZERO, |flow| flow.load);
        let virtual_finish = virtual_cost(own_load + cost, weight);
        self.flows
            .values()
            .filter(|flow| !flow.waiting.is_empty())
            .map(|flow| flow.load.min(real_cost(virtual_finish, flow.weight)))
            .sum()
    }

    /// Deducts a removed reservation from the totals; resets the fair-queueing state of an empty lane.
    fn deduct(&mut self, arrival: Arrival, load: Duration) {
        if let Some(key) = self.by_arrival.remove(&arrival)
            && let Some(count) = self.class_counts.get_mut(&key.class)
        {
            *count -= 1;
            if *count == 0 {
                self.class_counts.remove(&key.class);
            }
        }
        self.load = self.load.saturating_sub(load);
        if self.by_arrival.is_empty() {
            self.due_times.clear();
            self.flows.clear();
            self.start_order.clear();
            self.virtual_time = 0;
            self.load = Duration::ZERO;
        }
    }
}

/// Nanoseconds of `cost` per unit of weight.
fn virtual_cost(cost: Duration, weight: u64) -> u64 {
    u64::try_from(cost.as_nanos()).unwrap_or(u64::MAX) / weight.max(1)
}

/// Inverse of [`virtual_cost`].
fn real_cost(virtual_cost: u64, weight: u64) -> Duration {
    Duration::from_nanos(virtual_cost.saturating_mul(weight))
}
