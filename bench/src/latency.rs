//! Latency that the path through entry and side adds to a direct call, and requests per second of
//! CPU time.

use crate::load::{self, Call};
use crate::target::{self, Target};
use crate::usage::Usage;
use async_std::task;
use eyre::{Result, ensure, eyre};
use fakes::http::{open, request};
use fakes::set::{Set, Settings, chat_body};
use futures_lite::AsyncReadExt;
use hdrhistogram::Histogram;
use http_types::Method;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CALLERS: u64 = 8;
const PAIRS_PER_CALLER: usize = 250;
const TOKENS: u64 = 10;
const SEED: u64 = 1;
const REQUESTS_PER_SECOND: u32 = 400;
const LOAD_TIME: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(1);

/// Latency target of the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1900);
/// Latency target between tokens.
const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(64);
/// Share of a latency target by which the path may exceed a direct call.
const MAX_OVERHEAD_SHARE: f64 = 0.05;
/// Requests per second at peak, for all nodes together.
const PEAK_REQUESTS_PER_SECOND: f64 = 19_000.0;
const NODES: f64 = 620.0;
const ENGINES: f64 = 2400.0;
/// Share of a core that a node may spend on control traffic.
const MAX_CONTROL_SHARE: f64 = 0.013;

/// How a call reaches the engine: directly, or through an entry and a side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Direct,
    Path,
}

/// Latencies in microseconds by mode.
struct Latencies {
    direct: Histogram<u64>,
    path: Histogram<u64>,
}

impl Latencies {
    fn new() -> Result<Self> {
        Ok(Self {
            direct: Histogram::new(3)?,
            path: Histogram::new(3)?,
        })
    }

    fn record(&mut self, mode: Mode, time: Duration) -> Result<()> {
        let micros = u64::try_from(time.as_micros())?;
        match mode {
            Mode::Direct => self.direct.record(micros)?,
            Mode::Path => self.path.record(micros)?,
        }
        Ok(())
    }

    fn add(&mut self, other: &Self) -> Result<()> {
        self.direct.add(&other.direct)?;
        self.path.add(&other.path)?;
        Ok(())
    }

    /// Difference between path and direct calls at `quantile`, in milliseconds.
    fn overhead_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.path, quantile) - quantile_ms(&self.direct, quantile)
    }

    fn print(&self, name: &str) {
        for (quantile, label) in [(0.5, "p50"), (0.99, "p99")] {
            println!(
                "{name:<14} {label} {:>9.2} {:>9.2} {:>9.2}",
                quantile_ms(&self.direct, quantile),
                quantile_ms(&self.path, quantile),
                self.overhead_ms(quantile)
            );
        }
    }

    fn json(&self) -> serde_json::Value {
        json!({
            "direct_p50_ms": quantile_ms(&self.direct, 0.5),
            "direct_p99_ms": quantile_ms(&self.direct, 0.99),
            "path_p50_ms": quantile_ms(&self.path, 0.5),
            "path_p99_ms": quantile_ms(&self.path, 0.99),
        })
    }
}

/// Latencies of the first token and between tokens.
struct Sample {
    first_token: Latencies,
    between_tokens: Latencies,
}

/// Measures added latency and throughput; `--seed N` sets the order of the calls.
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
        batch: 64,
        engines: 2,
        entries: 1,
        order_services: 0,
        ..Settings::default()
    };
    let set = Arc::new(Set::start(settings).await?);
    let Sample {
        first_token,
        between_tokens,
    } = measure_latency(&set, seed).await?;
    println!("milliseconds           direct      path     added");
    first_token.print("first token");
    between_tokens.print("between tokens");
    let throughput = measure_throughput(&set).await?;
    println!(
        "requests/s per core: entry {:.0}, sides {:.0}, together {:.0}",
        throughput.entry,
        throughput.sides,
        throughput.combined()
    );
    let result = json!({
        "between_tokens": between_tokens.json(),
        "first_token": first_token.json(),
        "requests_per_core_second": {
            "entry": throughput.entry, "sides": throughput.sides, "together": throughput.combined(),
        },
    });
    target::write_report(
        "latency",
        seed,
        &result,
        &targets(&first_token, &between_tokens, &throughput),
    )
}

/// Added latency is bounded by a twentieth of the required latency targets. One node or engine must
/// serve its share of the peak within the share of a core that is allowed for control traffic; this
/// bound is strict, since a call costs more than its control traffic.
fn targets(
    first_token: &Latencies,
    between_tokens: &Latencies,
    throughput: &Throughput,
) -> Vec<Target> {
    let bound = |target: Duration| target.as_secs_f64() * 1000.0 * MAX_OVERHEAD_SHARE;
    vec![
        Target::at_most(
            "added-first-token-p50-ms",
            first_token.overhead_ms(0.5),
            bound(FIRST_TOKEN_TARGET),
        ),
        Target::at_most(
            "added-first-token-p99-ms",
            first_token.overhead_ms(0.99),
            bound(FIRST_TOKEN_TARGET),
        ),
        Target::at_most(
            "added-between-tokens-p99-ms",
            between_tokens.overhead_ms(0.99),
            bound(BETWEEN_TOKENS_TARGET),
        ),
        Target::at_least(
            "entry-requests-per-core",
            throughput.entry,
            (PEAK_REQUESTS_PER_SECOND / NODES / MAX_CONTROL_SHARE).round(),
        ),
        Target::at_least(
            "side-requests-per-core",
            throughput.sides,
            (PEAK_REQUESTS_PER_SECOND / ENGINES / MAX_CONTROL_SHARE).round(),
        ),
    ]
}

async fn measure_latency(set: &Arc<Set>, seed: u64) -> Result<Sample> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| task::spawn(call_in_pairs(set.clone(), seed + caller, caller)))
        .collect();
    let mut total = Sample {
        first_token: Latencies::new()?,
        between_tokens: Latencies::new()?,
    };
    for caller in callers {
        let sample = caller.await?;
        total.first_token.add(&sample.first_token)?;
        total.between_tokens.add(&sample.between_tokens)?;
    }
    Ok(total)
}

/// Sends pairs of a direct call and one through the path, in random order within each pair.
async fn call_in_pairs(set: Arc<Set>, seed: u64, caller: u64) -> Result<Sample> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut sample = Sample {
        first_token: Latencies::new()?,
        between_tokens: Latencies::new()?,
    };
    for number in 0..PAIRS_PER_CALLER {
        let mut modes = [Mode::Direct, Mode::Path];
        if random.random_bool(0.5) {
            modes.reverse();
        }
        for mode in modes {
            let address = match mode {
                Mode::Direct => set.upstreams[number % 2].address,
                Mode::Path => set.entries[0].callers,
            };
            let prompt = format!("caller {caller} call {number}");
            time_stream(address, &prompt, mode, &mut sample).await?;
        }
    }
    Ok(sample)
}

async fn time_stream(
    address: SocketAddr,
    prompt: &str,
    mode: Mode,
    sample: &mut Sample,
) -> Result<()> {
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body(prompt, TOKENS, true);
    let path = "/v1/chat/completions";
    let request = request(Method::Post, address, path, &headers, body);
    let start = Instant::now();
    let mut response = open(address, request).await?;
    ensure!(
        response.status() == 200,
        "{mode:?} call: expected status 200, got {}",
        response.status()
    );
    let mut buffer = [0; 4096];
    let mut last = None;
    while response.read(&mut buffer).await? > 0 {
        let now = Instant::now();
        match last {
            None => sample.first_token.record(mode, now - start)?,
            Some(last) => sample.between_tokens.record(mode, now - last)?,
        }
        last = Some(now);
    }
    last.map(|_| ())
        .ok_or_else(|| eyre!("{mode:?} call: the stream ended without a token"))
}

/// Requests per second of CPU time.
struct Throughput {
    entry: f64,
    sides: f64,
}

impl Throughput {
    fn combined(&self) -> f64 {
        1.0 / (1.0 / self.entry + 1.0 / self.sides)
    }
}

async fn measure_throughput(set: &Arc<Set>) -> Result<Throughput> {
    load::send(set, Call::Chat(TOKENS), REQUESTS_PER_SECOND, WARM_UP).await?;
    let before = cpu_times(set)?;
    let outcome = load::send(set, Call::Chat(TOKENS), REQUESTS_PER_SECOND, LOAD_TIME).await?;
    let after = cpu_times(set)?;
    ensure!(
        outcome.answered == outcome.sent,
        "expected an answer with status 200 to each call, got {outcome:?}"
    );
    let answered = outcome.answered as f64;
    Ok(Throughput {
        entry: answered / after.0.saturating_sub(before.0).as_secs_f64(),
        sides: answered / after.1.saturating_sub(before.1).as_secs_f64(),
    })
}

/// CPU time of the entry, and of all sides together.
fn cpu_times(set: &Set) -> Result<(Duration, Duration)> {
    let entry = Usage::of(set.entries[0].process.id())?.cpu_time;
    let mut sides = Duration::ZERO;
    for upstream in &set.upstreams {
        sides += Usage::of(upstream.side.id())?.cpu_time;
    }
    Ok((entry, sides))
}

fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1000.0
}
