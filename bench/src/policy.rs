//! Discrete-event simulation of routing policies under load: runs the production decision code
//! against simulated engines.

mod batch;
mod class;
mod cost;
mod engine;
mod entry;
mod event;
mod ideal;
mod outcome;
mod plan;
mod plot;
mod record;
mod scenario;
mod side;
mod simulation;
mod size;
mod table;
mod targets;
mod trace;

use batch::Batch;
use class::{CLASSES, Pool};
use engine::Engine;
use entry::Entry;
use event::{Event, Events, ToEntry, ToSide};
use outcome::Outcome;
use plan::{Pick, Plan, Route};
use record::{End, Record};
use scenario::Scenario;
use side::Side;
use size::Size;
use trace::{Call, Trace};

use crate::target;
use eyre::Result;
use lexopt::prelude::{Long, ValueExt};
use std::path::Path;

const DEFAULT_SEED: u64 = 20_261_204;

/// Runs each plan in each scenario at each size and prints the results as tables.
///
/// `--seed N` sets the seed; `--only TEXT` runs just the plans whose name contains TEXT.
pub(crate) fn run(parser: &mut lexopt::Parser) -> Result<()> {
    let mut seed = DEFAULT_SEED;
    let mut only = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => seed = parser.value()?.parse()?,
            Long("only") => only = Some(parser.value()?.string()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let plans = plan::all();
    let plans: Vec<_> = plans
        .into_iter()
        .filter(|plan| only.as_ref().is_none_or(|only| plan.name.contains(only)))
        .collect();
    let batch = Batch::run(&plans, seed);
    table::print(&batch);
    let costs = cost::measure(seed);
    let targets = targets::check(&batch, &costs);
    plot::write(&batch, Path::new("target/policy.svg"))?;
    target::write_report("policy", seed, &table::json(&batch, &costs), &targets)
}
