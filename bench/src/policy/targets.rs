//! Targets and whether they are met.

use super::cost::Cost;
use super::plan::CHOSEN;
use super::size::SIZES;
use super::{Batch, Outcome, Scenario};
use crate::target::{Side, Target};

/// Longest time in seconds that a class with arrivals may go without a start.
const MAX_GAP: f64 = 60.0;

pub(crate) fn check(batch: &Batch, costs: &[Cost]) -> Vec<Target> {
    let mut targets = Vec::new();
    for size in &SIZES {
        let find = |scenario| batch.find(size.name, scenario, CHOSEN);
        let (Some(steady), Some(burst), Some(overload), Some(slowed)) = (
            find(Scenario::Steady),
            find(Scenario::Burst),
            find(Scenario::Overload),
            find(Scenario::Slowed),
        ) else {
            continue;
        };
        let mut add = |name: &str, figure: f64, bound: f64, side: Side| {
            let name = format!("{name}-{}", size.name);
            targets.push(Target {
                side,
                ..Target::below(&name, figure, bound)
            });
        };
        add(
            "burst-top-attainment",
            burst.crest / steady.top,
            0.99,
            Side::Above,
        );
        add("overload-goodput", overload.goodput, 0.95, Side::Above);
        let own = |outcome: &&Outcome| outcome.size == size.name && outcome.plan == CHOSEN;
        let worst = |figure: fn(&Outcome) -> f64| {
            batch
                .outcomes
                .iter()
                .filter(own)
                .map(figure)
                .fold(0.0, f64::max)
        };
        add(
            "wasted-work",
            worst(|outcome| outcome.wasted),
            0.02,
            Side::Below,
        );
        add(
            "slowed-top-p99",
            slowed.top_p99 / steady.top_p99,
            1.5,
            Side::Below,
        );
        add(
            "longest-gap-seconds",
            worst(Outcome::gap),
            MAX_GAP,
            Side::Below,
        );
    }
    targets.extend(cost_targets(costs));
    targets
}

fn cost_targets(costs: &[Cost]) -> Vec<Target> {
    let micros = |upstreams| {
        let cost = costs.iter().find(|cost| cost.upstreams == upstreams);
        cost.map_or(f64::INFINITY, |cost| cost.micros)
    };
    let growth = (2400_f64.ln() / 100_f64.ln() * 100.0).round() / 100.0;
    vec![
        Target::below("decision-micros-100", micros(100), 5.0),
        Target::below("decision-growth-2400", micros(2400) / micros(100), growth),
    ]
}
