//! The bound: one queue for all upstreams, with known lengths and no delay.

use super::engine::{PREFILL, STEP};
use super::scenario::END;
use super::size::PLACES;
use super::{End, Pool, Record, Scenario, Size, Trace};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

/// A call that waits: tier, place time, index.
type Waiting = (u8, Duration, usize);

/// Runs `trace` by tier, shortest first, and refuses what cannot meet its target.
pub(crate) fn run(scenario: Scenario, size: &Size, trace: &Trace) -> Vec<Record> {
    let mut records = vec![Record::default(); trace.calls.len()];
    for pool in [Pool::Engines, Pool::Desks] {
        run_pool(scenario, size, trace, pool, &mut records);
    }
    records
}

fn run_pool(scenario: Scenario, size: &Size, trace: &Trace, pool: Pool, records: &mut [Record]) {
    let count = size.pool(pool).len();
    let mut free = vec![PLACES; count];
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
                free[upstream] += 1;
            }
        } else if let Some((id, call)) = calls.next() {
            waiting.insert((call.class().tier, PREFILL + STEP * call.tokens, id));
        }
        while let Some(upstream) = fastest(&free, scenario, now) {
            let slow = scenario.slow(upstream, now.min(END));
            let meets = |id: usize, slow| {
                let call = &trace.calls[id];
                now + (PREFILL + STEP) * slow <= call.arrived + call.class().target
            };
            for (_, _, id) in waiting.extract_if(.., |(_, _, id)| !meets(*id, 1)) {
                records[id].end = End::Refused;
            }
            let first = waiting.iter().find(|(_, _, id)| meets(*id, slow)).copied();
            let Some((tier, length, id)) = first else {
                break;
            };
            waiting.remove(&(tier, length, id));
            free[upstream] -= 1;
            let end = now + length * slow;
            finishes.push(Reverse((end, upstream)));
            records[id] = Record {
                end: End::Finished,
                finished: end,
                first_token: Some(now + (PREFILL + STEP) * slow),
                started: Some(now),
            };
        }
    }
}

/// A free place at an upstream that is not slowed, or else at any.
fn fastest(free: &[usize], scenario: Scenario, now: Duration) -> Option<usize> {
    (0..free.len())
        .filter(|upstream| free[*upstream] > 0)
        .min_by_key(|upstream| {
            (
                scenario.slow(*upstream, now.min(END)),
                Reverse(free[*upstream]),
            )
        })
}
