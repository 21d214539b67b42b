//! Results as tables and as JSON.

use super::cost::Cost;
use super::{Batch, Outcome};
use serde_json::{Value, json};

const COLUMNS: [&str; 15] = [
    "top", "crest", "tier1", "tier2", "tier3", "p99 s", "good", "used", "waste", "refused",
    "expired", "gap s", "short s", "light", "hits",
];

pub(crate) fn print(batch: &Batch) {
    let mut last = ("", "");
    for outcome in &batch.outcomes {
        if last != (outcome.size, outcome.scenario) {
            last = (outcome.size, outcome.scenario);
            println!("\n{} {}", outcome.size, outcome.scenario);
            print!("{:<20}", "policy");
            for column in COLUMNS {
                print!(" {column:>7}");
            }
            println!();
        }
        print!("{:<20}", outcome.plan);
        for cell in cells(outcome) {
            print!(" {cell:>7}");
        }
        println!();
    }
    println!();
}

fn cells(outcome: &Outcome) -> [String; 15] {
    let share = |value: f64| format!("{value:.3}");
    let sum = |count: fn(&super::outcome::ClassOutcome) -> usize| {
        outcome.classes.iter().map(count).sum::<usize>().to_string()
    };
    [
        share(outcome.top),
        share(outcome.crest),
        share(outcome.tier_attainment(1)),
        share(outcome.tier_attainment(2)),
        share(outcome.tier_attainment(3)),
        share(outcome.top_p99),
        share(outcome.goodput),
        share(outcome.utilization),
        share(outcome.wasted),
        sum(|class| class.refused),
        sum(|class| class.expired),
        format!("{:.1}", outcome.max_gap()),
        share(outcome.short_wait),
        share(outcome.light),
        share(outcome.hits),
    ]
}

pub(crate) fn json(batch: &Batch, costs: &[Cost]) -> Value {
    json!({
        "outcomes": batch.outcomes,
        "costs": costs,
    })
}
