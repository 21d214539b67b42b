//! Measures how the costs of each role grow with load and size, and writes the capacity page.

use crate::capacity::Capacity;
use crate::series::Series;
use crate::target::{self, Target};
use crate::{slopes_load, slopes_size};
use async_std::task;
use eyre::{Result, ensure};
use lexopt::prelude::{Long, Short, Value, ValueExt};
use serde_json::{Map, json};
use std::path::PathBuf;

/// Only reported with the results: the load is the same in each run, and no random numbers are used.
const SEED: u64 = 0;

/// Quantity that is varied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variable {
    Bookings,
    Entries,
    Requests,
    Reservations,
    Sides,
    Waiting,
    Workspaces,
}

impl Variable {
    const ALL: [Self; 7] = [
        Self::Bookings,
        Self::Entries,
        Self::Requests,
        Self::Reservations,
        Self::Sides,
        Self::Waiting,
        Self::Workspaces,
    ];

    const fn label(self) -> &'static str {
        match self {
            Self::Bookings => "bookings",
            Self::Entries => "entries",
            Self::Requests => "requests",
            Self::Reservations => "reservations",
            Self::Sides => "sides",
            Self::Waiting => "waiting",
            Self::Workspaces => "workspaces",
        }
    }

    async fn measure(self) -> Result<Vec<Series>> {
        match self {
            Self::Bookings => slopes_load::by_bookings().await,
            Self::Entries => slopes_size::by_entries().await,
            Self::Requests => slopes_load::by_requests().await,
            Self::Reservations => slopes_load::by_reservations().await,
            Self::Sides => slopes_size::by_sides().await,
            Self::Waiting => slopes_load::by_waiting().await,
            Self::Workspaces => slopes_size::by_workspaces().await,
        }
    }
}

/// Measures all slopes and prints the capacity table.
///
/// `--only QUANTITY` measures and prints the slopes against one quantity alone; `--page FILE` writes
/// the capacity page.
pub(crate) fn run(parser: &mut lexopt::Parser) -> Result<()> {
    let mut only = None;
    let mut page_path = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("only") => only = Some(parser.value()?.string()?),
            Long("page") => page_path = Some(PathBuf::from(parser.value()?.string()?)),
            Long(_) | Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    let series = task::block_on(measure(only.as_deref()))?;
    for series in &series {
        println!("{}", series.summary());
    }
    if only.is_some() {
        return Ok(());
    }
    let capacity = Capacity::from(&series);
    println!("{}", capacity.table());
    if let Some(page_path) = page_path {
        std::fs::write(page_path, capacity.page(&series))?;
    }
    let result: Map<_, _> = series
        .iter()
        .map(|series| (series.name.to_string(), series.json()))
        .collect();
    target::write_report("slopes", SEED, &json!(result), &targets(&capacity, &series))
}

fn targets(capacity: &Capacity, series: &[Series]) -> Vec<Target> {
    const MIN_POINTS: f64 = 4.0;
    let min_points = series.iter().map(|series| series.points.len()).min();
    let min_points = min_points.unwrap_or(0) as f64;
    let mut targets = capacity.targets();
    targets.push(Target::at_least(
        "points-of-each-slope",
        min_points,
        MIN_POINTS,
    ));
    targets
}

/// Measures all slopes, or those against one quantity alone.
async fn measure(only: Option<&str>) -> Result<Vec<Series>> {
    let mut all = Vec::new();
    for variable in Variable::ALL {
        if only.is_none_or(|only| only == variable.label()) {
            all.extend(variable.measure().await?);
        }
    }
    let names = Variable::ALL.map(Variable::label).join(", ");
    ensure!(
        !all.is_empty(),
        "--only: expected one of {names}, got `{}`",
        only.unwrap_or_default()
    );
    Ok(all)
}
