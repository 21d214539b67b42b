//! Seeded random fault injection: mixed traffic under random faults, then checks against the records
//! of the fakes.

mod check;
mod clients;
mod fault;
mod history;
mod injector;
mod recovery;
mod versions;

use crate::set::{Set, Settings as SetSettings};
use async_std::task;
use eyre::Result;
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub use check::Findings;
pub use fault::Kind;
pub use recovery::Recovery;

use clients::Clients;
use history::History;
use injector::Injector;
use versions::Versions;

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of non-idempotent calls, each with its own key.
    pub calls: u64,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Whether to measure the recovery after each kind of kill at the end.
    pub recovery: bool,
    /// Seed of the faults, the traffic and the proxies.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            calls: 10_000,
            callers: 48,
            recovery: true,
            seed: 1,
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Findings of the checks.
    pub findings: Findings,
    /// Number of faults by kind.
    pub faults: Vec<(Kind, usize)>,
    /// Duration of the traffic under faults.
    pub elapsed: Duration,
    /// Recovery time after each kind of kill; empty if it was not measured.
    pub recoveries: Vec<Recovery>,
    /// Calls to the store under faults, as counted by the fake platform: its page `/counts`.
    pub store: Value,
    /// Number of calls of all kinds under faults.
    pub requests: u64,
}

/// Runs traffic under faults, ends all faults and checks the invariants.
pub async fn run(settings: Settings) -> Result<Report> {
    let mut set = Set::start(SetSettings {
        engines: 3,
        entries: 3,
        order_services: 3,
        proxied: true,
        seed: settings.seed,
        ..SetSettings::default()
    })
    .await?;
    let start = Instant::now();
    let history = Arc::new(History::default());
    let versions = Arc::new(Versions::of(&set));
    let watcher = task::spawn(versions.clone().watch());
    let is_done = Arc::new(AtomicBool::new(false));
    let clients = Clients::new(&set, settings, history.clone());
    let finished = is_done.clone();
    let traffic = task::spawn(async move {
        clients.run().await;
        finished.store(true, Ordering::Release);
    });
    let mut injector = Injector::new(settings.seed);
    while !is_done.load(Ordering::Acquire) {
        injector.inject(&mut set).await?;
    }
    traffic.await;
    let elapsed = start.elapsed();
    let store = set.read(set.platform, "/counts").await?;
    injector::heal_all(&mut set).await?;
    let requests = history.requests();
    let propagation = versions.measure_propagation(&set).await?;
    watcher.cancel().await;
    clients::resend_unsettled(&set, &history).await;
    let findings = check::check(&set, &history, &versions, propagation).await?;
    let recoveries = if settings.recovery {
        recovery::measure(&mut set).await?
    } else {
        Vec::new()
    };
    Ok(Report {
        findings,
        faults: injector.counts(),
        elapsed,
        recoveries,
        store,
        requests,
    })
}
