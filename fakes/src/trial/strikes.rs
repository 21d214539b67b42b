//! Draws faults, makes them, and heals them.

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

/// Share of strikes that make two faults at once, in thousandths.
const TWICE: u32 = 300;
/// Longest time that a planned stop is waited for.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Draws faults and counts them.
pub(super) struct Strikes {
    counts: BTreeMap<Kind, usize>,
    random: StdRng,
}

/// A fault and the instance that it meets.
type Strike = (Kind, usize);

impl Strikes {
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

    /// Makes one or two faults for a while, heals them, and leaves a pause.
    pub(super) async fn strike(&mut self, set: &mut Set) -> Result<()> {
        let mut drawn = vec![self.draw()];
        if self.random.random_range(0..1000) < TWICE {
            drawn.push(self.draw());
        }
        for strike in &drawn {
            begin(set, *strike).await?;
        }
        self.pause(100, 1500).await;
        for strike in &drawn {
            end(set, *strike).await?;
        }
        self.pause(100, 500).await;
        Ok(())
    }

    fn draw(&mut self) -> Strike {
        let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
        *self.counts.entry(kind).or_default() += 1;
        (kind, self.random.random_range(0..usize::MAX))
    }

    async fn pause(&mut self, low: u64, high: u64) {
        let time = self.random.random_range(low..high);
        task::sleep(Duration::from_millis(time)).await;
    }
}

async fn begin(set: &mut Set, (kind, draw): Strike) -> Result<()> {
    let upstream = draw % set.upstreams.len();
    let entry = draw % set.entries.len();
    let side = set.upstreams[upstream].control;
    let behind = set.upstreams[upstream].address;
    let platform = set.platform;
    match kind {
        Kind::CutSide => link(set, side, Fault::CUT),
        Kind::CutStore => link(set, platform, Fault::CUT),
        Kind::CutUpstream => link(set, behind, Fault::CUT),
        Kind::DelaySide => link(set, side, slow()),
        Kind::DropSide => link(set, side, lossy()),
        Kind::FreezeSide => link(set, side, frozen()),
        Kind::FreezeUpstream => link(set, behind, frozen()),
        Kind::KillEntry => set.entries[entry].process.kill(),
        Kind::KillSide => set.upstreams[upstream].side.kill(),
        Kind::KillUpstream => set.upstreams[upstream].upstream.kill(),
        Kind::LateWrites => store(set, json!({"late_writes": 3, "delay_ms": 300})).await?,
        Kind::LoseReplies => store(set, json!({"lose_replies": 3})).await?,
        Kind::RacePublish => race(set).await,
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

async fn end(set: &mut Set, (kind, draw): Strike) -> Result<()> {
    let upstream = draw % set.upstreams.len();
    let entry = draw % set.entries.len();
    let side = set.upstreams[upstream].control;
    let behind = set.upstreams[upstream].address;
    match kind {
        Kind::CutSide | Kind::DelaySide | Kind::DropSide | Kind::FreezeSide => {
            link(set, side, Fault::default());
        }
        Kind::CutStore => link(set, set.platform, Fault::default()),
        Kind::CutUpstream | Kind::FreezeUpstream => link(set, behind, Fault::default()),
        Kind::KillEntry => start_again(&mut set.entries[entry].process)?,
        Kind::KillSide => start_again(&mut set.upstreams[upstream].side)?,
        Kind::KillUpstream => start_again(&mut set.upstreams[upstream].upstream)?,
        Kind::LateWrites | Kind::LoseReplies | Kind::SlowStore | Kind::StoreDown => {
            store(set, json!({})).await?;
        }
        Kind::RacePublish => {}
        Kind::StopEntry => signal(&set.entries[entry].process, "CONT"),
        Kind::StopSide => signal(&set.upstreams[upstream].side, "CONT"),
        Kind::StopUpstream => signal(&set.upstreams[upstream].upstream, "CONT"),
        Kind::TermEntry => stop_and_start(&mut set.entries[entry].process).await?,
        Kind::TermSide => stop_and_start(&mut set.upstreams[upstream].side).await?,
    }
    Ok(())
}

/// Ends all faults and waits until every process serves.
pub(super) async fn heal_all(set: &mut Set) -> Result<()> {
    for proxy in set.proxies.values() {
        proxy.set(Faults::default());
    }
    store(set, json!({})).await?;
    for entry in &mut set.entries {
        revive(&mut entry.process)?;
    }
    for upstream in &mut set.upstreams {
        revive(&mut upstream.side)?;
        revive(&mut upstream.upstream)?;
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

fn revive(process: &mut Process) -> Result<()> {
    if process.exited().is_some() {
        return process.restart();
    }
    signal(process, "CONT");
    Ok(())
}

/// Starts a process again, unless another strike has done so.
fn start_again(process: &mut Process) -> Result<()> {
    if process.exited().is_some() {
        process.restart()?;
    }
    Ok(())
}

async fn stop_and_start(process: &mut Process) -> Result<()> {
    // A process that another strike has stopped takes the signal once it goes on.
    signal(process, "CONT");
    let start = Instant::now();
    while start.elapsed() < STOP_TIMEOUT && process.exited().is_none() {
        task::sleep(Duration::from_millis(10)).await;
    }
    process.restart()
}

/// A process that has ended takes no signal, which is no failure of the run.
fn signal(process: &Process, name: &str) {
    let _ = process.signal(name);
}

fn link(set: &Set, address: SocketAddr, fault: Fault) {
    if let Some(proxy) = set.proxies.get(&address) {
        proxy.set(fault.into());
    }
}

async fn store(set: &Set, faults: serde_json::Value) -> Result<()> {
    set.control(set.platform, &faults).await
}

/// The loser's failure is what the race is for.
async fn race(set: &Set) {
    let services = &set.settings.services;
    let _ = zip(set.publish(services), set.publish(services)).await;
}

fn slow() -> Fault {
    Fault {
        bandwidth: 3_750_000,
        delay_ms: 12,
        jitter_ms: 30,
        ..Fault::default()
    }
}

fn lossy() -> Fault {
    Fault {
        drop: 300,
        ..Fault::default()
    }
}

fn frozen() -> Fault {
    Fault {
        freeze: true,
        ..Fault::default()
    }
}
