//! Seeded random run: mixed traffic while faults are drawn, then checks from the stand-ins' records.

mod book;
mod check;
mod clients;
mod fault;
mod recovery;
mod strikes;
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

use book::Book;
use clients::Clients;
use strikes::Strikes;
use versions::Versions;

/// Sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Non-idempotent calls, each with its own key.
    pub calls: u64,
    /// Callers at once.
    pub callers: u64,
    /// Whether recovery after each kind of kill is measured at the end.
    pub recovery: bool,
    /// Seed of faults, traffic and proxies.
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

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Report {
    /// What the checks found.
    pub findings: Findings,
    /// Number of faults by kind.
    pub faults: Vec<(Kind, usize)>,
    /// Time under faults.
    pub elapsed: Duration,
    /// Recovery after each kind of kill.
    pub recoveries: Vec<Recovery>,
    /// Store calls while under faults, as its stand-in counted them.
    pub store: Value,
    /// Calls of all kinds.
    pub requests: u64,
}

/// Runs traffic under faults, heals everything and checks what must hold.
pub async fn run(settings: Settings) -> Result<Report> {
    let mut set = Set::start(SetSettings {
        engines: 3,
        entries: 3,
        plains: 3,
        proxied: true,
        seed: settings.seed,
        ..SetSettings::default()
    })
    .await?;
    let start = Instant::now();
    let book = Arc::new(Book::default());
    let versions = Arc::new(Versions::of(&set));
    let watcher = task::spawn(versions.clone().watch());
    let is_done = Arc::new(AtomicBool::new(false));
    let clients = Clients::new(&set, settings, book.clone());
    let finished = is_done.clone();
    let traffic = task::spawn(async move {
        clients.run().await;
        finished.store(true, Ordering::Release);
    });
    let mut strikes = Strikes::new(settings.seed);
    while !is_done.load(Ordering::Acquire) {
        strikes.strike(&mut set).await?;
    }
    traffic.await;
    let elapsed = start.elapsed();
    let store = set.read(set.platform, "/counts").await?;
    strikes::heal_all(&mut set).await?;
    let requests = book.requests();
    let spread = versions.spread(&set).await?;
    watcher.cancel().await;
    clients::settle(&set, &book).await;
    let findings = check::check(&set, &book, &versions, spread).await?;
    let recoveries = if settings.recovery {
        recovery::measure(&mut set).await?
    } else {
        Vec::new()
    };
    Ok(Report {
        findings,
        faults: strikes.counts(),
        elapsed,
        recoveries,
        store,
        requests,
    })
}
