//! Targets of the policy benchmark.

use super::cost::Cost;
use super::plan::PRODUCTION_PLAN;
use super::size::SIZES;
use super::{Batch, Outcome, Scenario};
use crate::target::{Comparison, Target};

/// Longest time from an arrival to the next start of a call of the same class.
const MAX_GAP_SECONDS: f64 = 60.0;

/// Targets of the production plan at each size, and of the CPU time of decisions.
pub(crate) fn check(batch: &Batch, costs: &[Cost]) -> Vec<Target> {
    let mut targets = Vec::new();
    for size in &SIZES {
        let find = |scenario| batch.find(size.name, scenario, PRODUCTION_PLAN);
        let (Some(steady), Some(burst), Some(overload), Some(slowed)) = (
            find(Scenario::Steady),
            find(Scenario::Burst),
            find(Scenario::Overload),
            find(Scenario::Slowed),
        ) else {
            continue;
        };
        let mut add = |name: &str, value: f64, bound: f64, comparison: Comparison| {
            let name = format!("{name}-{}", size.name);
            targets.push(Target {
                comparison,
                ..Target::at_most(&name, value, bound)
            });
        };
        add(
            "burst-top-attainment",
            burst.crest / steady.top,
            0.99,
            Comparison::AtLeast,
        );
        add(
            "overload-goodput",
            overload.goodput,
            0.95,
            Comparison::AtLeast,
        );
        let is_production =
            |outcome: &&Outcome| outcome.size == size.name && outcome.plan == PRODUCTION_PLAN;
        let worst = |value: fn(&Outcome) -> f64| {
            batch
                .outcomes
                .iter()
                .filter(is_production)
                .map(value)
                .fold(0.0, f64::max)
        };
        add(
            "wasted-work",
            worst(|outcome| outcome.wasted),
            0.02,
            Comparison::AtMost,
        );
        add(
            "slowed-top-p99",
            slowed.top_p99 / steady.top_p99,
            1.5,
            Comparison::AtMost,
        );
        add(
            "longest-gap-seconds",
            worst(Outcome::max_gap),
            MAX_GAP_SECONDS,
            Comparison::AtMost,
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
    // The cost may grow with the logarithm of the number of upstreams.
    let max_growth = (2400_f64.ln() / 100_f64.ln() * 100.0).round() / 100.0;
    vec![
        Target::at_most("decision-micros-100", micros(100), 5.0),
        Target::at_most(
            "decision-growth-2400",
            micros(2400) / micros(100),
            max_growth,
        ),
    ]
}
