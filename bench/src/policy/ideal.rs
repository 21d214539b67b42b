//! Upper bound for all policies: one queue for all upstreams, with known service times and without
//! network delay.

use super::engine::{PREFILL_TIME, STEP_TIME};
use super::scenario::ARRIVALS_END;
use super::size::SLOTS;
use super::{End, Pool, Record, Scenario, Size, Trace};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

/// A waiting call: tier, service time, index in the trace.
type Waiting = (u8, Duration, usize);

/// Serves `trace` by tier, then shortest call first, and refuses calls that can no longer meet their
/// targets.
pub(crate) fn run(scenario: Scenario, size: &Size, trace: &Trace) -> Vec<Record> {
    let mut records = vec![Record::default(); trace.calls.len()];
    for pool in [Pool::Engines, Pool::Plain] {
        run_pool(scenario, size, trace, pool, &mut records);
    }
    records
}

fn run_pool(scenario: Scenario, size: &Size, trace: &Trace, pool: Pool, records: &mut [Record]) {
    let count = size.pool(pool).len();
    let mut free_slots = vec![SLOTS; count];
    let mut finishes: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut waiting: BTreeSet<Waiting> = BTreeSet::new();
    let calls = trace.calls.iter().enumerate();
    let mut calls = calls
        .filter(|(_, call)| call.class().pool == pool)
        .peekable();
    loop {
        let arrival = calls.peek().map(|(_, call)| call.arrived);
        let finish = finishes.peek().map(|Reverse((at, _))| *at);
        let now = match (arrival, finish) {
            (None, None) => return,
            (Some(at), None) | (None, Some(at)) => at,
            (Some(arrival), Some(finish)) => arrival.min(finish),
        };
        if finish == Some(now) {
            if let Some(Reverse((_, upstream))) = finishes.pop() {
                free_slots[upstream] += 1;
            }
        } else if let Some((id, call)) = calls.next() {
            waiting.insert((
                call.class().tier,
                PREFILL_TIME + STEP_TIME * call.tokens,
                id,
            ));
        }
        while let Some(upstream) = fastest_upstream(&free_slots, scenario, now) {
            let slowdown = scenario.slowdown(upstream, now.min(ARRIVALS_END));
            let meets_target = |id: usize, slowdown| {
                let call = &trace.calls[id];
                now + (PREFILL_TIME + STEP_TIME) * slowdown <= call.arrived + call.class().target
            };
            for (_, _, id) in waiting.extract_if(.., |(_, _, id)| !meets_target(*id, 1)) {
                records[id].end = End::Refused;
            }
            let first = waiting
                .iter()
                .find(|(_, _, id)| meets_target(*id, slowdown))
                .copied();
            let Some((tier, service_time, id)) = first else {
                break;
            };
            waiting.remove(&(tier, service_time, id));
            free_slots[upstream] -= 1;
            let end = now + service_time * slowdown;
            finishes.push(Reverse((end, upstream)));
            records[id] = Record {
                end: End::Finished,
                finished: end,
                first_token: Some(now + (PREFILL_TIME + STEP_TIME) * slowdown),
                started: Some(now),
            };
        }
    }
}

/// The upstream with a free slot and the lowest slowdown; among equals, that with the most free slots.
fn fastest_upstream(free_slots: &[usize], scenario: Scenario, now: Duration) -> Option<usize> {
    (0..free_slots.len())
        .filter(|upstream| free_slots[*upstream] > 0)
        .min_by_key(|upstream| {
            (
                scenario.slowdown(*upstream, now.min(ARRIVALS_END)),
                Reverse(free_slots[*upstream]),
            )
        })
}
