//! Costs at the required size, extrapolated from measured slopes.

use crate::fit::Fit;
use crate::series::Series;
use crate::target::Target;
use std::fmt::Write;

const TEMPLATE: &str = include_str!("capacity.md");

// Required size of an installation.
const NODES: f64 = 620.0;
const SIDES: f64 = 2400.0;
const REQUESTS_PER_SECOND: f64 = 19_000.0;
const WORKSPACES: f64 = 860.0;
const CHANGES_PER_DAY: f64 = 1900.0;
const REPLACEMENTS_PER_DAY: f64 = 630.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Share of requests that may run at most once.
const BOOKING_SHARE: f64 = 0.05;
/// Most reservations that wait at one side in a burst, which is its backlog limit.
const MAX_WAITING: f64 = 4096.0;

// Required limits of one process, or of the store for reads and writes.
const MAX_CORE_SHARE: f64 = 0.013;
const MAX_MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0;
const MAX_BYTES_PER_SECOND: f64 = 15.0 * 1024.0;
const MAX_READS_PER_SECOND: f64 = 2000.0;
const MAX_WRITES_PER_SECOND: f64 = 300.0;

/// Source of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Basis {
    /// Given by the requirements, divided evenly where needed, or assumed.
    Assumed,
    /// Extrapolated from measured slopes.
    Fitted,
    /// Measured at the required size.
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

/// One cost of one role, as a row of the table.
#[derive(Clone, Debug)]
struct Row {
    basis: Basis,
    value: f64,
    /// Required limit, if there is one.
    limit: Option<f64>,
    name: &'static str,
    role: &'static str,
    unit: &'static str,
}

/// Costs at the required size.
#[derive(Clone, Debug)]
pub(crate) struct Capacity {
    rows: Vec<Row>,
}

impl Capacity {
    /// Extrapolates the costs from `series`; panics if a series is missing.
    pub(crate) fn from(series: &[Series]) -> Self {
        let fits = Fits(series);
        let mut rows = Self::entry(&fits);
        rows.extend(Self::side(&fits));
        rows.extend(Self::platform(&fits));
        Self { rows }
    }

    fn entry(fits: &Fits<'_>) -> Vec<Row> {
        let requests = REQUESTS_PER_SECOND / NODES;
        let datagrams = fits.slope("entry_datagrams_by_requests") * requests;
        let datagram_core_share = fits.slope("side_busy_by_datagrams") * datagrams;
        let idle_core_share = fits.last_value("entry_busy_by_sides");
        let reservation_bytes = fits.slope("entry_control_by_requests") * requests;
        let configuration_bytes =
            fits.predict("configuration_bytes", WORKSPACES) * CHANGES_PER_DAY / SECONDS_PER_DAY;
        let memory = fits.last_value("entry_memory_by_sides")
            + fits.slope("entry_memory_by_workspaces").max(0.0) * WORKSPACES;
        let row = Row::builder("entry");
        vec![
            row.assumed("requests a second", requests, "/s"),
            row.fitted("datagrams a second", datagrams, "/s"),
            row.fitted("processor for datagrams", datagram_core_share, "core"),
            row.measured(
                "processor at rest, all sides listed",
                idle_core_share,
                "core",
            ),
            row.limited(
                "processor for control",
                datagram_core_share + idle_core_share,
                "core",
                MAX_CORE_SHARE,
            ),
            row.fitted(
                "processor for whole requests",
                fits.slope("entry_busy_by_requests") * requests,
                "core",
            ),
            row.fitted("bytes of reservations", reservation_bytes, "B/s"),
            row.fitted("bytes of configuration", configuration_bytes, "B/s"),
            row.limited(
                "bytes for control",
                reservation_bytes + configuration_bytes,
                "B/s",
                MAX_BYTES_PER_SECOND,
            ),
            row.limited("memory", memory, "B", MAX_MEMORY_BYTES),
        ]
    }

    fn side(fits: &Fits<'_>) -> Vec<Row> {
        let requests = REQUESTS_PER_SECOND / SIDES;
        let datagrams = fits.slope("entry_datagrams_by_requests") * requests;
        let control_core_share = fits.predict("side_busy_by_datagrams", datagrams);
        let bytes = fits.slope("entry_control_by_requests") * requests;
        let row = Row::builder("side");
        vec![
            row.assumed("requests a second", requests, "/s"),
            row.fitted("datagrams a second", datagrams, "/s"),
            row.limited(
                "processor for control",
                control_core_share,
                "core",
                MAX_CORE_SHARE,
            ),
            row.fitted(
                "processor for whole requests",
                fits.slope("side_busy_by_requests") * requests,
                "core",
            ),
            row.limited("bytes for control", bytes, "B/s", MAX_BYTES_PER_SECOND),
            row.limited(
                "memory, backlog full",
                fits.predict("side_memory_by_waiting", MAX_WAITING),
                "B",
                MAX_MEMORY_BYTES,
            ),
        ]
    }

    fn platform(fits: &Fits<'_>) -> Vec<Row> {
        let bookings = REQUESTS_PER_SECOND * BOOKING_SHARE;
        let row = Row::builder("store");
        vec![
            row.assumed("calls that may run once", bookings, "/s"),
            row.limited(
                "reads of all entries",
                fits.slope("platform_reads_by_entries") * NODES,
                "/s",
                MAX_READS_PER_SECOND,
            ),
            row.fitted(
                "watches of all entries",
                fits.slope("platform_watches_by_entries") * NODES,
                "/s",
            ),
            row.limited(
                "writes of the ledger",
                fits.predict("platform_writes_by_bookings", bookings),
                "/s",
                MAX_WRITES_PER_SECOND,
            ),
            row.assumed("replacements", REPLACEMENTS_PER_DAY / SECONDS_PER_DAY, "/s"),
        ]
    }

    /// All rows as a Markdown table.
    pub(crate) fn table(&self) -> String {
        let mut text = String::from(
            "| role | cost | figure | unit | basis | limit | verdict |\n|---|---|---:|---|---|---:|---|\n",
        );
        for row in &self.rows {
            let limit = row.limit.map_or_else(String::new, format_number);
            let result = match row.limit {
                Some(limit) if row.value <= limit => "met",
                Some(_) => "missed",
                None => "",
            };
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {} | {limit} | {result} |",
                row.role,
                row.name,
                format_number(row.value),
                row.unit,
                row.basis.label()
            );
        }
        text
    }

    /// Content of the page `docs/CAPACITY.md`.
    pub(crate) fn page(&self, series: &[Series]) -> String {
        let mut slopes = String::from(
            "| slope | measured | against | points | intercept | slope | residual |\n|---|---|---|---|---:|---:|---:|\n",
        );
        for series in series {
            let fit = series.fit();
            let points: Vec<_> = series
                .points
                .iter()
                .map(|(x, y)| format!("{x:.0}: {}", format_number(*y)))
                .collect();
            let _ = writeln!(
                slopes,
                "| {} | {} | {} | {} | {} | {} | {} |",
                series.name,
                series.measured,
                series.varied,
                points.join(", "),
                format_number(fit.intercept),
                format_number(fit.slope),
                format_number(fit.residual)
            );
        }
        TEMPLATE
            .replace("{{costs}}", &self.table())
            .replace("{{slopes}}", &slopes)
    }

    /// One target for each cost that has a limit.
    pub(crate) fn targets(&self) -> Vec<Target> {
        self.rows
            .iter()
            .filter_map(|row| {
                let name = format!("{}-{}", row.role, row.name);
                let name = name.replace(' ', "-").replace(',', "");
                Some(Target::at_most(&name, row.value, row.limit?))
            })
            .collect()
    }
}

/// Builds the rows of one role.
#[derive(Clone, Copy)]
struct RowBuilder {
    role: &'static str,
}

impl Row {
    const fn builder(role: &'static str) -> RowBuilder {
        RowBuilder { role }
    }
}

impl RowBuilder {
    fn row(self, name: &'static str, value: f64, unit: &'static str) -> Row {
        Row {
            basis: Basis::Fitted,
            value,
            limit: None,
            name,
            role: self.role,
            unit,
        }
    }

    fn fitted(self, name: &'static str, value: f64, unit: &'static str) -> Row {
        self.row(name, value, unit)
    }

    fn measured(self, name: &'static str, value: f64, unit: &'static str) -> Row {
        Row {
            basis: Basis::Measured,
            ..self.row(name, value, unit)
        }
    }

    fn assumed(self, name: &'static str, value: f64, unit: &'static str) -> Row {
        Row {
            basis: Basis::Assumed,
            ..self.row(name, value, unit)
        }
    }

    fn limited(self, name: &'static str, value: f64, unit: &'static str, limit: f64) -> Row {
        Row {
            limit: Some(limit),
            ..self.row(name, value, unit)
        }
    }
}

/// Looks up fits by the name of their series.
struct Fits<'a>(&'a [Series]);

impl Fits<'_> {
    fn series(&self, name: &str) -> &Series {
        self.0
            .iter()
            .find(|series| series.name == name)
            .unwrap_or_else(|| panic!("series `{name}` was not measured"))
    }

    fn fit(&self, name: &str) -> Fit {
        self.series(name).fit()
    }

    /// Value of the last point, which was measured at the required size.
    fn last_value(&self, name: &str) -> f64 {
        self.series(name).points.last().map_or(0.0, |(_, y)| *y)
    }

    fn slope(&self, name: &str) -> f64 {
        self.fit(name).slope
    }

    fn predict(&self, name: &str, x: f64) -> f64 {
        self.fit(name).predict(x)
    }
}

/// Formats a number without fraction from 1000 on, with two decimals from 1 on, and otherwise in
/// scientific notation with three significant digits.
fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude == 0.0 || magnitude >= 1000.0 {
        return format!("{value:.0}");
    }
    if magnitude >= 1.0 {
        return format!("{value:.2}");
    }
    format!("{value:.2e}")
}
