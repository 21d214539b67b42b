//! Latency that the path adds to a direct call, and requests per second of processor time.

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
const PAIRS: usize = 250;
const TOKENS: u64 = 10;
const SEED: u64 = 1;
const RATE: u32 = 400;
const LOAD_TIME: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(1);

/// Target for the first token.
const FIRST_TOKEN: Duration = Duration::from_millis(1900);
/// Target between tokens.
const BETWEEN_TOKENS: Duration = Duration::from_millis(64);
/// Share of a latency target that the path may add.
const ADDED_SHARE: f64 = 0.05;
/// Requests a second at the peak.
const PEAK: f64 = 19_000.0;
const NODES: f64 = 620.0;
const ENGINES: f64 = 2400.0;
/// Share of a core that a node may spend on control.
const CONTROL_SHARE: f64 = 0.013;

/// Way of a call to the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Direct,
    Path,
}

/// Times in microseconds by way.
struct Times {
    direct: Histogram<u64>,
    path: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Self> {
        Ok(Self {
            direct: Histogram::new(3)?,
            path: Histogram::new(3)?,
        })
    }

    fn record(&mut self, way: Way, time: Duration) -> Result<()> {
        let micros = u64::try_from(time.as_micros())?;
        match way {
            Way::Direct => self.direct.record(micros)?,
            Way::Path => self.path.record(micros)?,
        }
        Ok(())
    }

    fn add(&mut self, other: &Self) -> Result<()> {
        self.direct.add(&other.direct)?;
        self.path.add(&other.path)?;
        Ok(())
    }

    /// Milliseconds that the path adds at `quantile`.
    fn added(&self, quantile: f64) -> f64 {
        milliseconds(&self.path, quantile) - milliseconds(&self.direct, quantile)
    }

    fn print(&self, name: &str) {
        for (quantile, label) in [(0.5, "p50"), (0.99, "p99")] {
            println!(
                "{name:<14} {label} {:>9.2} {:>9.2} {:>9.2}",
                milliseconds(&self.direct, quantile),
                milliseconds(&self.path, quantile),
                self.added(quantile)
            );
        }
    }

    fn json(&self) -> serde_json::Value {
        json!({
            "direct_p50_ms": milliseconds(&self.direct, 0.5),
            "direct_p99_ms": milliseconds(&self.direct, 0.99),
            "path_p50_ms": milliseconds(&self.path, 0.5),
            "path_p99_ms": milliseconds(&self.path, 0.99),
        })
    }
}

/// First tokens and the gaps between tokens.
struct Sample {
    first: Times,
    gaps: Times,
}

/// Measures both; `--seed N` sets the order of the calls.
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
        plains: 0,
        ..Settings::default()
    };
    let set = Arc::new(Set::start(settings).await?);
    let Sample { first, gaps } = added(&set, seed).await?;
    println!("milliseconds           direct      path     added");
    first.print("first token");
    gaps.print("between tokens");
    let cost = cost(&set).await?;
    println!(
        "requests/s per core: entry {:.0}, sides {:.0}, together {:.0}",
        cost.entry,
        cost.sides,
        cost.together()
    );
    let result = json!({
        "between_tokens": gaps.json(),
        "first_token": first.json(),
        "requests_per_core_second": {
            "entry": cost.entry, "sides": cost.sides, "together": cost.together(),
        },
    });
    target::finish("latency", seed, &result, &targets(&first, &gaps, &cost))
}

/// Bounds: a twentieth of the letter's latency targets; and the peak's requests of one node or
/// engine within the share of a core that the letter allows for control, though a call is more.
fn targets(first: &Times, gaps: &Times, cost: &Cost) -> Vec<Target> {
    let bound = |target: Duration| target.as_secs_f64() * 1000.0 * ADDED_SHARE;
    vec![
        Target::below(
            "added-first-token-p50-ms",
            first.added(0.5),
            bound(FIRST_TOKEN),
        ),
        Target::below(
            "added-first-token-p99-ms",
            first.added(0.99),
            bound(FIRST_TOKEN),
        ),
        Target::below(
            "added-between-tokens-p99-ms",
            gaps.added(0.99),
            bound(BETWEEN_TOKENS),
        ),
        Target::above(
            "entry-requests-per-core",
            cost.entry,
            (PEAK / NODES / CONTROL_SHARE).round(),
        ),
        Target::above(
            "side-requests-per-core",
            cost.sides,
            (PEAK / ENGINES / CONTROL_SHARE).round(),
        ),
    ]
}

async fn added(set: &Arc<Set>, seed: u64) -> Result<Sample> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| task::spawn(call_in_pairs(set.clone(), seed + caller, caller)))
        .collect();
    let mut sum = Sample {
        first: Times::new()?,
        gaps: Times::new()?,
    };
    for caller in callers {
        let sample = caller.await?;
        sum.first.add(&sample.first)?;
        sum.gaps.add(&sample.gaps)?;
    }
    Ok(sum)
}

/// Calls both ways again and again, in random order.
async fn call_in_pairs(set: Arc<Set>, seed: u64, caller: u64) -> Result<Sample> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut sample = Sample {
        first: Times::new()?,
        gaps: Times::new()?,
    };
    for number in 0..PAIRS {
        let mut ways = [Way::Direct, Way::Path];
        if random.random_bool(0.5) {
            ways.reverse();
        }
        for way in ways {
            let address = match way {
                Way::Direct => set.upstreams[number % 2].address,
                Way::Path => set.entries[0].callers,
            };
            let prompt = format!("caller {caller} call {number}");
            stream(address, &prompt, way, &mut sample).await?;
        }
    }
    Ok(sample)
}

async fn stream(address: SocketAddr, prompt: &str, way: Way, sample: &mut Sample) -> Result<()> {
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body(prompt, TOKENS, true);
    let path = "/v1/chat/completions";
    let request = request(Method::Post, address, path, &headers, body);
    let start = Instant::now();
    let mut response = open(address, request).await?;
    ensure!(response.status() == 200, "{way:?}: {}", response.status());
    let mut buffer = [0; 4096];
    let mut last = None;
    while response.read(&mut buffer).await? > 0 {
        let now = Instant::now();
        match last {
            None => sample.first.record(way, now - start)?,
            Some(last) => sample.gaps.record(way, now - last)?,
        }
        last = Some(now);
    }
    last.map(|_| ()).ok_or_else(|| eyre!("{way:?}: no token"))
}

/// Requests per second of processor time.
struct Cost {
    entry: f64,
    sides: f64,
}

impl Cost {
    fn together(&self) -> f64 {
        1.0 / (1.0 / self.entry + 1.0 / self.sides)
    }
}

async fn cost(set: &Arc<Set>) -> Result<Cost> {
    load::send(set, Call::Chat(TOKENS), RATE, WARM_UP).await?;
    let before = busy(set)?;
    let outcome = load::send(set, Call::Chat(TOKENS), RATE, LOAD_TIME).await?;
    let after = busy(set)?;
    ensure!(outcome.answered == outcome.sent, "{outcome:?}");
    let answered = outcome.answered as f64;
    Ok(Cost {
        entry: answered / after.0.saturating_sub(before.0).as_secs_f64(),
        sides: answered / after.1.saturating_sub(before.1).as_secs_f64(),
    })
}

/// Processor time of the entry and of all sides.
fn busy(set: &Set) -> Result<(Duration, Duration)> {
    let entry = Usage::of(set.entries[0].process.id())?.busy;
    let mut sides = Duration::ZERO;
    for upstream in &set.upstreams {
        sides += Usage::of(upstream.side.id())?.busy;
    }
    Ok((entry, sides))
}

fn milliseconds(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1000.0
}
