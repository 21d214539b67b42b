//! Calls to the store that the ledger and stored work cost.

use crate::series::Series;
use crate::target::{self, Target};
use async_std::task;
use eyre::{Result, ensure, eyre};
use fakes::set::{Set, Settings};
use hdrhistogram::Histogram;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Calls a second.
const RATES: [u32; 5] = [0, 5, 25, 100, 300];
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time after which all outcomes are written.
const SETTLE: Duration = Duration::from_secs(2);
const PIECES: usize = 20;
const SEED: u64 = 1;
/// Default of the setting `ledger_writes`.
const BUDGET: f64 = 100.0;

/// What one rate cost.
struct Row {
    doubled: u64,
    latency: Histogram<u64>,
    /// Writes for each call, its outcome's included.
    per_call: f64,
    rate: u32,
    reads: f64,
    refused: u64,
    writes: f64,
}

/// Calls that the platform has counted.
#[derive(Clone, Copy)]
struct Counts {
    reads: u64,
    writes: u64,
}

/// Measures both; `--seed N` sets the times of the calls.
pub(crate) fn run(parser: &mut lexopt::Parser) -> Result<()> {
    let mut seed = SEED;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => seed = parser.value()?.parse()?,
            Long(_) | Short(_) | Value(_) => return Err(argument.unexpected().into()),
        }
    }
    task::block_on(measure(seed))
}

async fn measure(seed: u64) -> Result<()> {
    let settings = Settings {
        engines: 0,
        plains: 4,
        ..Settings::default()
    };
    let set = Arc::new(Set::start(settings).await?);
    let mut random = StdRng::seed_from_u64(seed);
    println!("calls/s  writes/s  reads/s  writes/call  p50 ms  p99 ms  refused  doubled");
    let mut rows = Vec::new();
    for rate in RATES {
        let row = measure_rate(&set, &mut random, rate).await?;
        row.print();
        rows.push(row);
    }
    let per_piece = measure_stored(&set).await?;
    println!("writes for each piece of stored work: {per_piece:.2}");
    let mut series = Series::new("ledger writes", "writes/s", "keyed calls/s");
    series.points = rows
        .iter()
        .map(|row| (f64::from(row.rate), row.writes))
        .collect();
    println!("{}", series.line());
    let result = json!({
        "rates": rows.iter().map(Row::json).collect::<Vec<_>>(),
        "stored_writes_per_piece": per_piece,
        "writes": series.json(),
    });
    target::finish("ledger", seed, &result, &targets(&rows, per_piece)?)
}

fn targets(rows: &[Row], per_piece: f64) -> Result<Vec<Target>> {
    let last = rows.last().ok_or_else(|| eyre!("no rate was measured"))?;
    let doubled: u64 = rows.iter().map(|row| row.doubled).sum();
    let refused: u64 = rows.iter().map(|row| row.refused).sum();
    Ok(vec![
        Target::below("ledger-writes-per-s", last.writes, BUDGET),
        Target::below("ledger-writes-per-call", last.per_call, 0.5),
        Target::below("ledger-p99-ms", last.milliseconds(0.99), 500.0),
        Target::below("ledger-doubled", doubled as f64, 0.0),
        Target::below("ledger-refused", refused as f64, 0.0),
        Target::below("stored-writes-per-piece", per_piece, 5.0),
    ])
}

async fn measure_rate(set: &Arc<Set>, random: &mut StdRng, rate: u32) -> Result<Row> {
    let before = counts(set).await?;
    let start = Instant::now();
    let calls = send(set, random, rate).await;
    let mut latency = Histogram::new(3)?;
    let mut refused = 0;
    for call in calls {
        match call.await? {
            Some(time) => latency.record(u64::try_from(time.as_micros())?)?,
            None => refused += 1,
        }
    }
    let time = start.elapsed().as_secs_f64();
    let after = counts(set).await?;
    task::sleep(SETTLE).await;
    let settled = counts(set).await?;
    let total = latency.len() + refused;
    Ok(Row {
        doubled: doubled(set).await?,
        latency,
        per_call: (settled.writes - before.writes) as f64 / total.max(1) as f64,
        rate,
        reads: (after.reads - before.reads) as f64 / time,
        refused,
        writes: (after.writes - before.writes) as f64 / time,
    })
}

/// Time of a call that was answered, or `None`.
type Call = task::JoinHandle<Result<Option<Duration>>>;

/// Sends keyed calls at random times, `rate` a second on average.
async fn send(set: &Arc<Set>, random: &mut StdRng, rate: u32) -> Vec<Call> {
    let start = Instant::now();
    let total = rate * u32::try_from(LOAD_TIME.as_secs()).unwrap_or(0);
    let mut times: Vec<_> = (0..total)
        .map(|_| LOAD_TIME.mul_f64(random.random::<f64>()))
        .collect();
    times.sort_unstable();
    let mut calls = Vec::new();
    for (number, time) in times.into_iter().enumerate() {
        task::sleep(time.saturating_sub(start.elapsed())).await;
        let set = set.clone();
        let key = format!("{rate}-{number}");
        calls.push(task::spawn(async move { call(&set, number, &key).await }));
    }
    task::sleep(LOAD_TIME.saturating_sub(start.elapsed())).await;
    calls
}

async fn call(set: &Set, number: usize, key: &str) -> Result<Option<Duration>> {
    let start = Instant::now();
    let entry = number % set.entries.len();
    let answer = set.order(entry, "booking", key, "fukuoka").await?;
    Ok((answer.status() == 200).then(|| start.elapsed()))
}

/// Writes for each piece of idempotent work that is stored, heartbeats included.
async fn measure_stored(set: &Set) -> Result<f64> {
    let before = counts(set).await?;
    for number in 0..PIECES {
        let headers = [("Prefer", "respond-async")];
        let path = "/v1/services/orders/lookup";
        let entry = number % set.entries.len();
        let answer = set.post(entry, path, &headers, "stock").await?;
        ensure!(answer.status() == 202, "{}", answer.text());
    }
    task::sleep(SETTLE).await;
    let after = counts(set).await?;
    Ok((after.writes - before.writes) as f64 / PIECES as f64)
}

async fn counts(set: &Set) -> Result<Counts> {
    let counts = set.read(set.platform, "/counts").await?;
    let count = |name: &str| counts[name].as_u64().unwrap_or_default();
    Ok(Counts {
        reads: count("reads") + count("watches"),
        writes: count("writes"),
    })
}

/// Runs of keys past the first.
async fn doubled(set: &Set) -> Result<u64> {
    let mut doubled = 0;
    for upstream in &set.upstreams {
        let records = set.read(upstream.address, "/records").await?;
        let runs = records["runs"]
            .as_object()
            .ok_or_else(|| eyre!("no runs"))?;
        doubled += runs
            .iter()
            .filter(|(key, _)| !key.is_empty())
            .filter_map(|(_, runs)| runs.as_u64())
            .map(|runs| runs - 1)
            .sum::<u64>();
    }
    Ok(doubled)
}

impl Row {
    fn milliseconds(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn print(&self) {
        println!(
            "{:>7} {:>9.1} {:>8.1} {:>12.2} {:>7.1} {:>7.1} {:>8} {:>8}",
            self.rate,
            self.writes,
            self.reads,
            self.per_call,
            self.milliseconds(0.5),
            self.milliseconds(0.99),
            self.refused,
            self.doubled
        );
    }

    fn json(&self) -> serde_json::Value {
        json!({
            "doubled": self.doubled,
            "p50_ms": self.milliseconds(0.5),
            "p99_ms": self.milliseconds(0.99),
            "rate": self.rate,
            "writes_per_call": self.per_call,
            "reads_per_s": self.reads,
            "refused": self.refused,
            "writes_per_s": self.writes,
        })
    }
}
