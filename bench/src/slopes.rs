//! Slopes of each role's costs, and the capacity page that follows from them.

use crate::capacity::Capacity;
use crate::series::Series;
use crate::target::{self, Target};
use crate::{slopes_load, slopes_size};
use async_std::task;
use eyre::{Result, ensure};
use lexopt::prelude::{Long, Short, Value, ValueExt};
use serde_json::{Map, json};
use std::path::PathBuf;

/// The loads are the same at each run; nothing is drawn.
const SEED: u64 = 0;

/// What is varied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Against {
    Bookings,
    Entries,
    Requests,
    Reservations,
    Sides,
    Waiting,
    Workspaces,
}

impl Against {
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

/// Measures all slopes; `--only QUANTITY` prints some alone and `--page FILE` writes the capacity page.
pub(crate) fn run(parser: &mut lexopt::Parser) -> Result<()> {
    let mut only = None;
    let mut page = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("only") => only = Some(parser.value()?.string()?),
            Long("page") => page = Some(PathBuf::from(parser.value()?.string()?)),
            Long(_) | Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    let series = task::block_on(measure(only.as_deref()))?;
    for series in &series {
        println!("{}", series.line());
    }
    if only.is_some() {
        return Ok(());
    }
    let capacity = Capacity::from(&series);
    println!("{}", capacity.table());
    if let Some(page) = page {
        std::fs::write(page, capacity.page(&series))?;
    }
    let result: Map<_, _> = series
        .iter()
        .map(|series| (series.name.to_string(), series.json()))
        .collect();
    target::finish("slopes", SEED, &json!(result), &targets(&capacity, &series))
}

fn targets(capacity: &Capacity, series: &[Series]) -> Vec<Target> {
    const LEAST_POINTS: f64 = 4.0;
    let fewest = series.iter().map(|series| series.points.len()).min();
    let fewest = fewest.unwrap_or(0) as f64;
    let mut targets = capacity.targets();
    targets.push(Target::above("points-of-each-slope", fewest, LEAST_POINTS));
    targets
}

/// Measures all slopes, or those against one quantity alone.
async fn measure(only: Option<&str>) -> Result<Vec<Series>> {
    let mut all = Vec::new();
    for against in Against::ALL {
        if only.is_none_or(|only| only == against.label()) {
            all.extend(against.measure().await?);
        }
    }
    let names = Against::ALL.map(Against::label).join(", ");
    ensure!(!all.is_empty(), "--only: expected one of {names}");
    Ok(all)
}
