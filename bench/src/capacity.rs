//! Costs at the letter's size, worked out from measured slopes.

use crate::fit::Fit;
use crate::series::Series;
use crate::target::Target;
use std::fmt::Write;

const TEMPLATE: &str = include_str!("capacity.md");

const NODES: f64 = 620.0;
const SIDES: f64 = 2400.0;
const REQUESTS: f64 = 19_000.0;
const WORKSPACES: f64 = 860.0;
const CHANGES_A_DAY: f64 = 1900.0;
const REPLACEMENTS_A_DAY: f64 = 630.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// Share of requests that may not be repeated.
const BOOKING_SHARE: f64 = 0.05;
/// Reservations that wait at one side in a burst; its backlog limit.
const WAITING: f64 = 4096.0;

const MAX_CORE_SHARE: f64 = 0.013;
const MAX_MEMORY: f64 = 256.0 * 1024.0 * 1024.0;
const MAX_BYTES: f64 = 15.0 * 1024.0;
const MAX_READS: f64 = 2000.0;
const MAX_WRITES: f64 = 300.0;

/// How a figure came about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Basis {
    Assumed,
    Fitted,
    Measured,
}

impl Basis {
    const fn label(self) -> &'static str {
        match self {
            Self::Assumed => "assumed",
            Self::Fitted => "fitted",
            Self::Measured => "measured",
        }
    }
}

/// One cost of one role.
#[derive(Clone, Debug)]
struct Row {
    basis: Basis,
    figure: f64,
    /// Limit of the letter, where it names one.
    limit: Option<f64>,
    name: &'static str,
    role: &'static str,
    unit: &'static str,
}

/// Costs at the letter's size.
#[derive(Clone, Debug)]
pub(crate) struct Capacity {
    rows: Vec<Row>,
}

impl Capacity {
    /// Works the costs out from `series`.
    pub(crate) fn from(series: &[Series]) -> Self {
        let fits = Fits(series);
        let mut rows = Self::entry(&fits);
        rows.extend(Self::side(&fits));
        rows.extend(Self::platform(&fits));
        Self { rows }
    }

    fn entry(fits: &Fits<'_>) -> Vec<Row> {
        let requests = REQUESTS / NODES;
        let datagrams = fits.slope("entry_datagrams_by_requests") * requests;
        let exchange = fits.slope("side_busy_by_datagrams") * datagrams;
        let idle = fits.last("entry_busy_by_sides");
        let reservations = fits.slope("entry_control_by_requests") * requests;
        let configuration =
            fits.at("configuration_bytes", WORKSPACES) * CHANGES_A_DAY / SECONDS_A_DAY;
        let memory = fits.last("entry_memory_by_sides")
            + fits.slope("entry_memory_by_workspaces").max(0.0) * WORKSPACES;
        let row = Row::of("entry");
        vec![
            row.given("requests a second", requests, "/s"),
            row.figure("datagrams a second", datagrams, "/s"),
            row.figure("processor for datagrams", exchange, "core"),
            row.measured("processor at rest, all sides listed", idle, "core"),
            row.limited(
                "processor for control",
                exchange + idle,
                "core",
                MAX_CORE_SHARE,
            ),
            row.figure(
                "processor for whole requests",
                fits.slope("entry_busy_by_requests") * requests,
                "core",
            ),
            row.figure("bytes of reservations", reservations, "B/s"),
            row.figure("bytes of configuration", configuration, "B/s"),
            row.limited(
                "bytes for control",
                reservations + configuration,
                "B/s",
                MAX_BYTES,
            ),
            row.limited("memory", memory, "B", MAX_MEMORY),
        ]
    }

    fn side(fits: &Fits<'_>) -> Vec<Row> {
        let requests = REQUESTS / SIDES;
        let datagrams = fits.slope("entry_datagrams_by_requests") * requests;
        let control = fits.at("side_busy_by_datagrams", datagrams);
        let bytes = fits.slope("entry_control_by_requests") * requests;
        let row = Row::of("side");
        vec![
            row.given("requests a second", requests, "/s"),
            row.figure("datagrams a second", datagrams, "/s"),
            row.limited("processor for control", control, "core", MAX_CORE_SHARE),
            row.figure(
                "processor for whole requests",
                fits.slope("side_busy_by_requests") * requests,
                "core",
            ),
            row.limited("bytes for control", bytes, "B/s", MAX_BYTES),
            row.limited(
                "memory, backlog full",
                fits.at("side_memory_by_waiting", WAITING),
                "B",
                MAX_MEMORY,
            ),
        ]
    }

    fn platform(fits: &Fits<'_>) -> Vec<Row> {
        let bookings = REQUESTS * BOOKING_SHARE;
        let row = Row::of("store");
        vec![
            row.given("calls that may run once", bookings, "/s"),
            row.limited(
                "reads of all entries",
                fits.slope("platform_reads_by_entries") * NODES,
                "/s",
                MAX_READS,
            ),
            row.figure(
                "watches of all entries",
                fits.slope("platform_watches_by_entries") * NODES,
                "/s",
            ),
            row.limited(
                "writes of the ledger",
                fits.at("platform_writes_by_bookings", bookings),
                "/s",
                MAX_WRITES,
            ),
            row.given("replacements", REPLACEMENTS_A_DAY / SECONDS_A_DAY, "/s"),
        ]
    }

    /// All rows as a table for people.
    pub(crate) fn table(&self) -> String {
        let mut text = String::from(
            "| role | cost | figure | unit | basis | limit | verdict |\n|---|---|---:|---|---|---:|---|\n",
        );
        for row in &self.rows {
            let limit = row.limit.map_or_else(String::new, number);
            let verdict = match row.limit {
                Some(limit) if row.figure <= limit => "met",
                Some(_) => "missed",
                None => "",
            };
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {} | {limit} | {verdict} |",
                row.role,
                row.name,
                number(row.figure),
                row.unit,
                row.basis.label()
            );
        }
        text
    }

    /// The page `docs/CAPACITY.md`.
    pub(crate) fn page(&self, series: &[Series]) -> String {
        let mut slopes = String::from(
            "| slope | measured | against | points | intercept | slope | residual |\n|---|---|---|---|---:|---:|---:|\n",
        );
        for series in series {
            let fit = series.fit();
            let points: Vec<_> = series
                .points
                .iter()
                .map(|(x, y)| format!("{x:.0}: {}", number(*y)))
                .collect();
            let _ = writeln!(
                slopes,
                "| {} | {} | {} | {} | {} | {} | {} |",
                series.name,
                series.measured,
                series.against,
                points.join(", "),
                number(fit.intercept),
                number(fit.slope),
                number(fit.residual)
            );
        }
        TEMPLATE
            .replace("{{costs}}", &self.table())
            .replace("{{slopes}}", &slopes)
    }

    /// One target for each limit of the letter.
    pub(crate) fn targets(&self) -> Vec<Target> {
        self.rows
            .iter()
            .filter_map(|row| {
                let name = format!("{}-{}", row.role, row.name);
                let name = name.replace(' ', "-").replace(',', "");
                Some(Target::below(&name, row.figure, row.limit?))
            })
            .collect()
    }
}

/// Makes rows of one role.
#[derive(Clone, Copy)]
struct Maker {
    role: &'static str,
}

impl Row {
    const fn of(role: &'static str) -> Maker {
        Maker { role }
    }
}

impl Maker {
    fn row(self, name: &'static str, figure: f64, unit: &'static str) -> Row {
        Row {
            basis: Basis::Fitted,
            figure,
            limit: None,
            name,
            role: self.role,
            unit,
        }
    }

    fn figure(self, name: &'static str, figure: f64, unit: &'static str) -> Row {
        self.row(name, figure, unit)
    }

    fn measured(self, name: &'static str, figure: f64, unit: &'static str) -> Row {
        Row {
            basis: Basis::Measured,
            ..self.row(name, figure, unit)
        }
    }

    fn given(self, name: &'static str, figure: f64, unit: &'static str) -> Row {
        Row {
            basis: Basis::Assumed,
            ..self.row(name, figure, unit)
        }
    }

    fn limited(self, name: &'static str, figure: f64, unit: &'static str, limit: f64) -> Row {
        Row {
            limit: Some(limit),
            ..self.row(name, figure, unit)
        }
    }
}

/// Fits by the names of their series.
struct Fits<'a>(&'a [Series]);

impl Fits<'_> {
    fn series(&self, name: &str) -> &Series {
        self.0
            .iter()
            .find(|series| series.name == name)
            .unwrap_or_else(|| panic!("no series `{name}` was measured"))
    }

    fn fit(&self, name: &str) -> Fit {
        self.series(name).fit()
    }

    /// The last point, measured at the letter's size itself.
    fn last(&self, name: &str) -> f64 {
        self.series(name).points.last().map_or(0.0, |(_, y)| *y)
    }

    fn slope(&self, name: &str) -> f64 {
        self.fit(name).slope
    }

    fn at(&self, name: &str, x: f64) -> f64 {
        self.fit(name).at(x)
    }
}

/// A number with four significant digits at most.
fn number(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 || size >= 1000.0 {
        return format!("{value:.0}");
    }
    if size >= 1.0 {
        return format!("{value:.2}");
    }
    format!("{value:.2e}")
}
