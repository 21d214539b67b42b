//! Calls of a run, the same for every plan.

use super::class::Class;
use super::engine::{PREFILL, STEP};
use super::scenario::{END, Scenario};
use super::size::{PLACES, ZONES};
use super::{CLASSES, Pool, Size};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Share of calls whose output is `STRAGGLER` times longer.
const STRAGGLERS: f64 = 0.03;
const STRAGGLER: f64 = 15.0;
/// Workspaces by share of the traffic, in hundredths.
pub(crate) const WORKSPACES: [u32; 10] = [34, 22, 14, 8, 6, 5, 4, 3, 2, 2];
/// First of the workspaces that send little.
pub(crate) const FIRST_LIGHT: usize = 3;
const PREFIXES: f64 = 300.0;
const MAX_LOAD: f64 = 2.2;

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) arrived: Duration,
    pub(crate) class: usize,
    pub(crate) entry: usize,
    pub(crate) prefix: u64,
    pub(crate) tokens: u32,
    pub(crate) workspace: usize,
}

impl Call {
    pub(crate) fn class(&self) -> &'static Class {
        &CLASSES[self.class]
    }
}

/// Calls in order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    pub(crate) calls: Vec<Call>,
}

impl Trace {
    pub(crate) fn new(size: &Size, scenario: Scenario, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut calls = Vec::new();
        for pool in [Pool::Engines, Pool::Desks] {
            calls.extend(arrivals(size, scenario, pool, &mut random));
        }
        calls.sort_by_key(|call| call.arrived);
        Self { calls }
    }
}

/// A Poisson process whose rate follows the load, by thinning.
fn arrivals(size: &Size, scenario: Scenario, pool: Pool, random: &mut StdRng) -> Vec<Call> {
    let places = f64::from(u32::try_from(size.pool(pool).len() * PLACES).unwrap_or(0));
    let rate = places / mean_place_time(pool);
    let mut now = 0.0;
    let mut calls = Vec::new();
    loop {
        now += exponential(random) / (rate * MAX_LOAD);
        let arrived = Duration::from_secs_f64(now);
        if arrived >= END {
            return calls;
        }
        if random.random::<f64>() * MAX_LOAD < scenario.load(arrived) {
            calls.push(call(arrived, pool, random));
        }
    }
}

fn call(arrived: Duration, pool: Pool, random: &mut StdRng) -> Call {
    let classes: Vec<_> = (0..CLASSES.len())
        .filter(|class| CLASSES[*class].pool == pool)
        .collect();
    let weights: Vec<_> = classes.iter().map(|class| CLASSES[*class].mix).collect();
    let class = classes[weighted(&weights, random)];
    Call {
        arrived,
        class,
        entry: random.random_range(0..ZONES),
        prefix: prefix(pool, random),
        tokens: tokens(&CLASSES[class], random),
        workspace: weighted(&WORKSPACES, random),
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn tokens(class: &Class, random: &mut StdRng) -> u32 {
    let is_straggler = class.pool == Pool::Engines && random.random::<f64>() < STRAGGLERS;
    let factor = if is_straggler { STRAGGLER } else { 1.0 };
    let length = class.tokens * (0.3 + 0.7 * exponential(random)) * factor;
    (length as u32).max(1)
}

/// A few prefixes are in most calls.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn prefix(pool: Pool, random: &mut StdRng) -> u64 {
    if pool == Pool::Desks {
        return 0;
    }
    let skewed = random.random::<f64>().powi(3) * PREFIXES;
    1 + skewed as u64
}

fn mean_place_time(pool: Pool) -> f64 {
    let stragglers = match pool {
        Pool::Engines => 1.0 + STRAGGLERS * (STRAGGLER - 1.0),
        Pool::Desks => 1.0,
    };
    CLASSES
        .iter()
        .filter(|class| class.pool == pool)
        .map(|class| {
            let decode = class.tokens * stragglers * STEP.as_secs_f64();
            (decode + PREFILL.as_secs_f64()) * f64::from(class.mix) / 100.0
        })
        .sum()
}

fn weighted(weights: &[u32], random: &mut StdRng) -> usize {
    let mut left = random.random_range(0..weights.iter().sum::<u32>());
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    0
}

fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
