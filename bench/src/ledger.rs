//! Store calls caused by the ledger and by stored work.

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

/// Rates of keyed calls, in calls per second.
const CALL_RATES: [u32; 5] = [0, 5, 25, 100, 300];
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time within which the outcomes of all calls are written.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const STORED_REQUESTS: usize = 20;
const SEED: u64 = 1;
/// Default of the setting `ledger_writes`, in writes per second.
const MAX_WRITES_PER_SECOND: f64 = 100.0;

/// Measurements at one rate of calls.
struct Row {
    /// Number of times that a key ran again after its first run, since the benchmark started.
    duplicates: u64,
    latency: Histogram<u64>,
    /// Store writes per call, with the write of its outcome.
    writes_per_call: f64,
    /// Rate of calls, in calls per second.
    rate: u32,
    /// Store reads and watches per second.
    reads: f64,
    refused: u64,
    /// Store writes per second.
    writes: f64,
}

/// Store calls that the platform has counted.
#[derive(Clone, Copy)]
struct Counts {
    /// Reads and watches.
    reads: u64,
    writes: u64,
}

/// Measures the store calls of the ledger and of stored work; `--seed N` sets the times of the calls.
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
        order_services: 4,
        ..Settings::default()
    };
    let set = Arc::new(Set::start(settings).await?);
    let mut random = StdRng::seed_from_u64(seed);
    println!("calls/s  writes/s  reads/s  writes/call  p50 ms  p99 ms  refused  doubled");
    let mut rows = Vec::new();
    for rate in CALL_RATES {
        let row = measure_rate(&set, &mut random, rate).await?;
        row.print();
        rows.push(row);
    }
    let writes_per_stored = measure_stored(&set).await?;
    println!("writes for each piece of stored work: {writes_per_stored:.2}");
    let mut series = Series::new("ledger writes", "writes/s", "keyed calls/s");
    series.points = rows
        .iter()
        .map(|row| (f64::from(row.rate), row.writes))
        .collect();
    println!("{}", series.summary());
    let result = json!({
        "rates": rows.iter().map(Row::json).collect::<Vec<_>>(),
        "stored_writes_per_piece": writes_per_stored,
        "writes": series.json(),
    });
    target::write_report("ledger", seed, &result, &targets(&rows, writes_per_stored)?)
}

fn targets(rows: &[Row], writes_per_stored: f64) -> Result<Vec<Target>> {
    let last = rows.last().ok_or_else(|| eyre!("no rate was measured"))?;
    let duplicates: u64 = rows.iter().map(|row| row.duplicates).sum();
    let refused: u64 = rows.iter().map(|row| row.refused).sum();
    Ok(vec![
        Target::at_most("ledger-writes-per-s", last.writes, MAX_WRITES_PER_SECOND),
        Target::at_most("ledger-writes-per-call", last.writes_per_call, 0.5),
        Target::at_most("ledger-p99-ms", last.latency_ms(0.99), 500.0),
        Target::at_most("ledger-doubled", duplicates as f64, 0.0),
        Target::at_most("ledger-refused", refused as f64, 0.0),
        Target::at_most("stored-writes-per-piece", writes_per_stored, 5.0),
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
    task::sleep(SETTLE_TIME).await;
    let settled = counts(set).await?;
    let total = latency.len() + refused;
    Ok(Row {
        duplicates: count_duplicates(set).await?,
        latency,
        writes_per_call: (settled.writes - before.writes) as f64 / total.max(1) as f64,
        rate,
        reads: (after.reads - before.reads) as f64 / time,
        refused,
        writes: (after.writes - before.writes) as f64 / time,
    })
}

/// A task that returns the latency of a call answered with status 200, or else `None`.
type Call = task::JoinHandle<Result<Option<Duration>>>;

/// Sends keyed calls at random times, `rate` per second on average.
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

/// Store writes per idempotent request that is stored, with the writes of heartbeats.
async fn measure_stored(set: &Set) -> Result<f64> {
    let before = counts(set).await?;
    for number in 0..STORED_REQUESTS {
        let headers = [("Prefer", "respond-async")];
        let path = "/v1/services/orders/lookup";
        let entry = number % set.entries.len();
        let answer = set.post(entry, path, &headers, "stock").await?;
        ensure!(
            answer.status() == 202,
            "expected status 202 for stored work, got: {}",
            answer.text()
        );
    }
    task::sleep(SETTLE_TIME).await;
    let after = counts(set).await?;
    Ok((after.writes - before.writes) as f64 / STORED_REQUESTS as f64)
}

async fn counts(set: &Set) -> Result<Counts> {
    let counts = set.read(set.platform, "/counts").await?;
    let count = |name: &str| counts[name].as_u64().unwrap_or_default();
    Ok(Counts {
        reads: count("reads") + count("watches"),
        writes: count("writes"),
    })
}

/// Number of times that a key ran again after its first run.
async fn count_duplicates(set: &Set) -> Result<u64> {
    let mut duplicates = 0;
    for upstream in &set.upstreams {
        let records = set.read(upstream.address, "/records").await?;
        let runs = records["runs"]
            .as_object()
            .ok_or_else(|| eyre!("`/records` of an upstream has no object `runs`"))?;
        duplicates += runs
            .iter()
            .filter(|(key, _)| !key.is_empty())
            .filter_map(|(_, runs)| runs.as_u64())
            .map(|runs| runs - 1)
            .sum::<u64>();
    }
    Ok(duplicates)
}

impl Row {
    fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn print(&self) {
        println!(
            "{:>7} {:>9.1} {:>8.1} {:>12.2} {:>7.1} {:>7.1} {:>8} {:>8}",
            self.rate,
            self.writes,
            self.reads,
            self.writes_per_call,
            self.latency_ms(0.5),
            self.latency_ms(0.99),
            self.refused,
            self.duplicates
        );
    }

    fn json(&self) -> serde_json::Value {
        json!({
            "doubled": self.duplicates,
            "p50_ms": self.latency_ms(0.5),
            "p99_ms": self.latency_ms(0.99),
            "rate": self.rate,
            "writes_per_call": self.writes_per_call,
            "reads_per_s": self.reads,
            "refused": self.refused,
            "writes_per_s": self.writes,
        })
    }
}
