//! Draws random faults, injects them and ends them.

use super::fault::Kind;
use crate::process::Process;
use crate::proxy::{Fault, Faults};
use crate::set::{Set, wait_ready};
use async_std::task;
use eyre::Result;
use futures_lite::future::zip;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Injections per thousand that have two faults at once.
const DOUBLE_FAULTS_PER_THOUSAND: u32 = 300;
/// Time after which a process that does not end after SIGTERM is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Draws random faults and counts them by kind.
pub(super) struct Injector {
    counts: BTreeMap<Kind, usize>,
    random: StdRng,
}

/// Kind of a fault, and a random number that selects the instance.
type Injection = (Kind, usize);

impl Injector {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            counts: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn counts(&self) -> Vec<(Kind, usize)> {
        self.counts
            .iter()
            .map(|(kind, count)| (*kind, *count))
            .collect()
    }

    /// Injects one or two faults for a random time, ends them and waits for a random time.
    pub(super) async fn inject(&mut self, set: &mut Set) -> Result<()> {
        let mut injections = vec![self.draw()];
        if self.random.random_range(0..1000) < DOUBLE_FAULTS_PER_THOUSAND {
            injections.push(self.draw());
        }
        for injection in &injections {
            begin(set, *injection).await?;
        }
        self.sleep(100, 1500).await;
        for injection in &injections {
            end(set, *injection).await?;
        }
        self.sleep(100, 500).await;
        Ok(())
    }

    fn draw(&mut self) -> Injection {
        let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
        *self.counts.entry(kind).or_default() += 1;
        (kind, self.random.random_range(0..usize::MAX))
    }

    async fn sleep(&mut self, min_ms: u64, max_ms: u64) {
        let time = self.random.random_range(min_ms..max_ms);
        task::sleep(Duration::from_millis(time)).await;
    }
}

async fn begin(set: &mut Set, (kind, draw): Injection) -> Result<()> {
    let upstream = draw % set.upstreams.len();
    let entry = draw % set.entries.len();
    let side = set.upstreams[upstream].control;
    let address = set.upstreams[upstream].address;
    let platform = set.platform;
    match kind {
        Kind::CutSide => set_fault(set, side, Fault::CUT),
        Kind::CutStore => set_fault(set, platform, Fault::CUT),
        Kind::CutUpstream => set_fault(set, address, Fault::CUT),
        Kind::DelaySide => set_fault(set, side, slow_link()),
        Kind::DropSide => set_fault(set, side, lossy_link()),
        Kind::FreezeSide => set_fault(set, side, frozen_link()),
        Kind::FreezeUpstream => set_fault(set, address, frozen_link()),
        Kind::KillEntry => set.entries[entry].process.kill(),
        Kind::KillSide => set.upstreams[upstream].side.kill(),
        Kind::KillUpstream => set.upstreams[upstream].upstream.kill(),
        Kind::LateWrites => store(set, json!({"late_writes": 3, "delay_ms": 300})).await?,
        Kind::LoseReplies => store(set, json!({"lose_replies": 3})).await?,
        Kind::RacePublish => publish_concurrently(set).await,
        Kind::SlowStore => store(set, json!({"delay_ms": 200})).await?,
        Kind::StopEntry => signal(&set.entries[entry].process, "STOP"),
        Kind::StopSide => signal(&set.upstreams[upstream].side, "STOP"),
        Kind::StopUpstream => signal(&set.upstreams[upstream].upstream, "STOP"),
        Kind::StoreDown => store(set, json!({"down": true})).await?,
        Kind::TermEntry => signal(&set.entries[entry].process, "TERM"),
        Kind::TermSide => signal(&set.upstreams[upstream].side, "TERM"),
    }
    Ok(())
}

async fn end(set: &mut Set, (kind, draw): Injection) -> Result<()> {
    let upstream = draw % set.upstreams.len();
    let entry = draw % set.entries.len();
    let side = set.upstreams[upstream].control;
    let address = set.upstreams[upstream].address;
    match kind {
        Kind::CutSide | Kind::DelaySide | Kind::DropSide | Kind::FreezeSide => {
            set_fault(set, side, Fault::default());
        }
        Kind::CutStore => set_fault(set, set.platform, Fault::default()),
        Kind::CutUpstream | Kind::FreezeUpstream => set_fault(set, address, Fault::default()),
        Kind::KillEntry => restart_if_ended(&mut set.entries[entry].process)?,
        Kind::KillSide => restart_if_ended(&mut set.upstreams[upstream].side)?,
        Kind::KillUpstream => restart_if_ended(&mut set.upstreams[upstream].upstream)?,
        Kind::LateWrites | Kind::LoseReplies | Kind::SlowStore | Kind::StoreDown => {
            store(set, json!({})).await?;
        }
        Kind::RacePublish => {}
        Kind::StopEntry => signal(&set.entries[entry].process, "CONT"),
        Kind::StopSide => signal(&set.upstreams[upstream].side, "CONT"),
        Kind::StopUpstream => signal(&set.upstreams[upstream].upstream, "CONT"),
        Kind::TermEntry => restart_after_stop(&mut set.entries[entry].process).await?,
        Kind::TermSide => restart_after_stop(&mut set.upstreams[upstream].side).await?,
    }
    Ok(())
}

/// Ends all faults, restarts or resumes all processes and waits until they are ready.
pub(super) async fn heal_all(set: &mut Set) -> Result<()> {
    for proxy in set.proxies.values() {
        proxy.set_faults(Faults::default());
    }
    store(set, json!({})).await?;
    for entry in &mut set.entries {
        restart_or_resume(&mut entry.process)?;
    }
    for upstream in &mut set.upstreams {
        restart_or_resume(&mut upstream.side)?;
        restart_or_resume(&mut upstream.upstream)?;
    }
    for upstream in &set.upstreams {
        wait_ready(upstream.address, "/health").await?;
        wait_ready(upstream.admin, "/live").await?;
    }
    for entry in &set.entries {
        wait_ready(entry.admin, "/ready").await?;
    }
    Ok(())
}

fn restart_or_resume(process: &mut Process) -> Result<()> {
    if process.exit_status().is_some() {
        return process.restart();
    }
    signal(process, "CONT");
    Ok(())
}

/// Restarts a process unless the end of another fault has already done so.
fn restart_if_ended(process: &mut Process) -> Result<()> {
    if process.exit_status().is_some() {
        process.restart()?;
    }
    Ok(())
}

async fn restart_after_stop(process: &mut Process) -> Result<()> {
    // A process that another fault has paused handles SIGTERM only once it is resumed.
    signal(process, "CONT");
    let start = Instant::now();
    while start.elapsed() < STOP_TIMEOUT && process.exit_status().is_none() {
        task::sleep(Duration::from_millis(10)).await;
    }
    process.restart()
}

/// Sends a signal; an error is ignored, since another fault may have ended the process.
fn signal(process: &Process, name: &str) {
    let _ = process.signal(name);
}

fn set_fault(set: &Set, address: SocketAddr, fault: Fault) {
    if let Some(proxy) = set.proxies.get(&address) {
        proxy.set_faults(fault.into());
    }
}

/// Replaces the faults of the store, which the fake platform injects.
async fn store(set: &Set, faults: serde_json::Value) -> Result<()> {
    set.set_faults(set.platform, &faults).await
}

/// Publishes twice concurrently; errors are ignored, since one of the two is expected to lose.
async fn publish_concurrently(set: &Set) {
    let services = &set.settings.services;
    let _ = zip(set.publish(services), set.publish(services)).await;
}

fn slow_link() -> Fault {
    Fault {
        bandwidth: 3_750_000,
        delay_ms: 12,
        jitter_ms: 30,
        ..Fault::default()
    }
}

fn lossy_link() -> Fault {
    Fault {
        drop: 300,
        ..Fault::default()
    }
}

fn frozen_link() -> Fault {
    Fault {
        freeze: true,
        ..Fault::default()
    }
}
