//! Runs each plan in each scenario at each size; the plans share the traces.

use super::ideal;
use super::scenario::SCENARIOS;
use super::simulation::{Run, Simulation};
use super::size::SIZES;
use super::{Outcome, Plan, Route, Scenario, Size, Trace};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const WORKER_THREADS: usize = 3;

/// Outcomes of all runs.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) outcomes: Vec<Outcome>,
}

impl Batch {
    pub(crate) fn run(plans: &[Plan], seed: u64) -> Self {
        let mut jobs = Vec::new();
        for size in &SIZES {
            for scenario in SCENARIOS {
                let trace = Trace::new(size, scenario, seed);
                jobs.push((size, scenario, trace));
            }
        }
        let total = jobs.len() * plans.len();
        let next = AtomicUsize::new(0);
        let outcomes = Mutex::new(vec![None; total]);
        std::thread::scope(|scope| {
            for _ in 0..WORKER_THREADS {
                scope.spawn(|| {
                    loop {
                        let index = next.fetch_add(1, Ordering::Relaxed);
                        if index >= total {
                            return;
                        }
                        let (size, scenario, trace) = &jobs[index / plans.len()];
                        let plan = &plans[index % plans.len()];
                        let outcome = run_one(size, *scenario, trace, plan, seed);
                        if let Ok(mut outcomes) = outcomes.lock() {
                            outcomes[index] = Some(outcome);
                        }
                    }
                });
            }
        });
        let outcomes = outcomes.into_inner().unwrap_or_default();
        Self {
            outcomes: outcomes.into_iter().flatten().collect(),
        }
    }

    pub(crate) fn find(&self, size: &str, scenario: Scenario, plan: &str) -> Option<&Outcome> {
        self.outcomes.iter().find(|outcome| {
            outcome.size == size && outcome.scenario == scenario.name() && outcome.plan == plan
        })
    }
}

fn run_one(size: &Size, scenario: Scenario, trace: &Trace, plan: &Plan, seed: u64) -> Outcome {
    let run = match plan.route {
        Route::Ideal => Run {
            cache_hits: 0,
            records: ideal::run(scenario, size, trace),
        },
        Route::Late(_) | Route::Push(_) => Simulation::new(plan, scenario, size, trace, seed).run(),
    };
    Outcome::new((size, scenario, plan), trace, &run.records, run.cache_hits)
}
