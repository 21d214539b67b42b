//! Sides that die, pause, leave and are replaced, with an instance list that lags.

use async_std::task;
use eyre::{Result, ensure};
use fakes::http::{call, request};
use fakes::replacement::Addresses;
use fakes::set::{Set, Settings, chat_body};
use http_types::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tests::cases;
use tests::poll::until;

const LAG: Duration = Duration::from_secs(2);
/// Within which new work to a leaving upstream ends.
const LEAVING_BOUND: Duration = Duration::from_secs(3);
const RECOVERY_BOUND: Duration = Duration::from_secs(2);

cases! {
    a_killed_side_delays_no_request_for_long(pair()) = survives_kill;
    a_paused_side_gets_no_work_until_it_runs_again(pair()) = survives_pause;
    a_leaving_side_gets_no_work_though_the_list_lags(lagging()) = ends_work_of_leaving;
    a_side_that_the_list_marks_leaving_gets_no_work(lagging()) = ends_work_of_listed_leaving;
    a_replacement_at_the_same_address_gets_work(lagging()) = serves_replacement;
    a_new_run_of_a_side_that_left_gets_work(lagging()) = serves_new_run;
    a_side_that_moved_gets_work(lagging()) = serves_moved;
    a_waiting_request_outlives_the_sides_it_waits_at(narrow()) = outlives_sides;
    a_paused_side_that_was_replaced_gives_no_more_orders(fenced()) = fences_paused;
    an_unchanged_list_is_not_sent_again(pair()) = reads_changes_only;
}

fn pair() -> Settings {
    Settings {
        engines: 2,
        entries: 1,
        // One side a request, so that a silent one is felt.
        entry_flags: vec![("samples".to_string(), "1".to_string())],
        plains: 0,
        ..Settings::default()
    }
}

fn lagging() -> Settings {
    Settings { lag: LAG, ..pair() }
}

fn fenced() -> Settings {
    Settings {
        engines: 1,
        fenced: true,
        ..pair()
    }
}

fn narrow() -> Settings {
    Settings {
        batch: 1,
        engines: 1,
        token: Duration::from_millis(50),
        ..pair()
    }
}

/// How long requests took.
struct Times(Vec<Duration>);

impl Times {
    fn slowest(&self) -> Duration {
        self.0.iter().max().copied().unwrap_or_default()
    }

    /// Share of requests that lost at least the time in which a silent side is given up.
    fn delayed(&self) -> f64 {
        const SILENCE: Duration = Duration::from_millis(100);
        let delayed = self.0.iter().filter(|time| **time >= SILENCE).count();
        f64::from(u32::try_from(delayed).unwrap_or(u32::MAX))
            / f64::from(u32::try_from(self.0.len()).unwrap_or(u32::MAX))
    }
}

/// Sends requests for `time`; all must be answered.
async fn load(set: &Set, time: Duration) -> Result<Times> {
    let start = Instant::now();
    let mut times = Vec::new();
    while start.elapsed() < time {
        let begin = Instant::now();
        let answer = set.chat(0, "summary", "hammock", 1).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        times.push(begin.elapsed());
    }
    Ok(Times(times))
}

async fn started(set: &Set, index: usize) -> Result<u64> {
    let address = set.upstreams[index].address;
    let records = set.read(address, "/records").await?;
    Ok(records["started"].as_u64().unwrap_or(0))
}

/// Sends requests until the upstream `index` runs one; returns the time that took.
async fn until_started(set: &Set, index: usize, limit: Duration) -> Result<Duration> {
    let before = started(set, index).await?;
    until("work at the upstream", limit, || async {
        load(set, Duration::from_millis(1)).await?;
        Ok(started(set, index).await? > before)
    })
    .await
}

/// Sends requests for `LEAVING_BOUND` and more; returns when the upstream `index` ran its last.
async fn last_start(set: &Set, index: usize) -> Result<Duration> {
    let start = Instant::now();
    let mut last = Duration::ZERO;
    let mut count = started(set, index).await?;
    while start.elapsed() < LEAVING_BOUND + LAG {
        load(set, Duration::from_millis(1)).await?;
        let now = started(set, index).await?;
        if now > count {
            last = start.elapsed();
            count = now;
        }
    }
    Ok(last)
}

async fn survives_kill(mut set: Set) -> Result<()> {
    load(&set, Duration::from_millis(500)).await?;
    set.upstreams[0].side.kill();
    let slowest = load(&set, Duration::from_secs(3)).await?.slowest();
    println!("side killed: slowest request {slowest:?}");
    ensure!(slowest < RECOVERY_BOUND, "{slowest:?}");
    let id = set.upstreams[0].id.clone();
    set.replace_side(0, &id, Addresses::Same).await?;
    let recovery = until_started(&set, 0, RECOVERY_BOUND).await?;
    println!("side started again: work after {recovery:?}");
    Ok(())
}

async fn survives_pause(set: Set) -> Result<()> {
    load(&set, Duration::from_millis(500)).await?;
    set.upstreams[0].side.signal("STOP")?;
    let slowest = load(&set, Duration::from_secs(1)).await?.slowest();
    println!("side paused: slowest request {slowest:?}");
    ensure!(slowest < RECOVERY_BOUND, "{slowest:?}");
    let paused = started(&set, 0).await?;
    let delayed = load(&set, Duration::from_secs(2)).await?.delayed();
    println!("side paused for longer: {delayed:.3} of requests delayed");
    ensure!(delayed < 0.05, "{delayed:.3} of requests delayed");
    ensure!(paused == started(&set, 0).await?);
    set.upstreams[0].side.signal("CONT")?;
    let recovery = until_started(&set, 0, RECOVERY_BOUND).await?;
    println!("side running again: work after {recovery:?}");
    Ok(())
}

async fn ends_work_of_leaving(set: Set) -> Result<()> {
    until_started(&set, 0, LAG * 3).await?;
    let engine = set.upstreams[0].address;
    let stream = hold(&set, engine).await?;
    set.upstreams[0].side.signal("TERM")?;
    let delayed = load(&set, Duration::from_secs(1)).await?.delayed();
    let last = last_start(&set, 0).await?;
    println!("side told to stop: last new work after {last:?}, {delayed:.3} of requests delayed");
    ensure!(last < LEAVING_BOUND, "{last:?}");
    ensure!(delayed < 0.05, "{delayed:.3} of requests delayed");
    drop(stream);
    Ok(())
}

async fn ends_work_of_listed_leaving(set: Set) -> Result<()> {
    until_started(&set, 0, LAG * 3).await?;
    let mut line = set.side_instance(0);
    line.leaving = true;
    set.register(&line).await?;
    let last = last_start(&set, 0).await?;
    println!("list marks the side, {LAG:?} late: last new work after {last:?}");
    ensure!(last < LEAVING_BOUND, "{last:?}");
    Ok(())
}

async fn serves_replacement(mut set: Set) -> Result<()> {
    until_started(&set, 0, LAG * 3).await?;
    set.replace_side(0, "side-of-another-name", Addresses::Same)
        .await?;
    let recovery = until_started(&set, 0, RECOVERY_BOUND).await?;
    println!("replaced at the same address: work after {recovery:?}");
    task::sleep(LAG + Duration::from_millis(1500)).await;
    until_started(&set, 0, RECOVERY_BOUND).await?;
    Ok(())
}

async fn serves_new_run(mut set: Set) -> Result<()> {
    until_started(&set, 0, LAG * 3).await?;
    set.upstreams[0].side.signal("TERM")?;
    set.upstreams[0].side.wait(Duration::from_secs(10))?;
    let id = set.upstreams[0].id.clone();
    set.replace_side(0, &id, Addresses::Same).await?;
    let recovery = until_started(&set, 0, RECOVERY_BOUND).await?;
    println!("left and started again: work after {recovery:?}");
    Ok(())
}

async fn serves_moved(mut set: Set) -> Result<()> {
    until_started(&set, 0, LAG * 3).await?;
    let id = set.upstreams[0].id.clone();
    set.replace_side(0, &id, Addresses::New).await?;
    let recovery = until_started(&set, 0, LAG + RECOVERY_BOUND).await?;
    println!("moved, list {LAG:?} late: work after {recovery:?}");
    Ok(())
}

/// Occupies one place of each engine for a while.
async fn hold(set: &Set, engine: SocketAddr) -> Result<Vec<http_types::Response>> {
    let address = set.entries[0].callers;
    let headers = [("Authorization", "Bearer retail-key")];
    let mut streams = Vec::new();
    let is_running = |records: serde_json::Value| records["running"].as_u64() > Some(0);
    while !is_running(set.read(engine, "/records").await?) {
        let body = chat_body("long", 10_000, true);
        let request = request(
            Method::Post,
            address,
            "/v1/chat/completions",
            &headers,
            body,
        );
        streams.push(fakes::http::open(address, request).await?);
    }
    Ok(streams)
}

async fn outlives_sides(mut set: Set) -> Result<()> {
    let _streams = hold(&set, set.upstreams[0].address).await?;
    let address = set.entries[0].callers;
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body("waits", 1, false);
    let waiting = request(
        Method::Post,
        address,
        "/v1/chat/completions",
        &headers,
        body,
    );
    let waiting = task::spawn(call(address, waiting, Duration::from_secs(30)));
    task::sleep(Duration::from_millis(500)).await;
    let id = set.upstreams[0].id.clone();
    let start = Instant::now();
    set.replace_side(0, &id, Addresses::Same).await?;
    let answer = waiting.await?;
    println!(
        "waited at a side that was replaced: answer after {:?}",
        start.elapsed()
    );
    ensure!(answer.status() == 200, "{}", answer.text());
    ensure!(
        start.elapsed() < RECOVERY_BOUND * 2,
        "{:?}",
        start.elapsed()
    );
    Ok(())
}

/// The old side wakes up while the list still shows it beside its successor.
async fn fences_paused(mut set: Set) -> Result<()> {
    until_started(&set, 0, RECOVERY_BOUND).await?;
    set.upstreams[0].side.signal("STOP")?;
    let old = set
        .start_successor(0, "side-successor", Addresses::New)
        .await?;
    until_started(&set, 0, RECOVERY_BOUND * 2).await?;
    load(&set, Duration::from_secs(1)).await?;
    old.signal("CONT")?;
    load(&set, Duration::from_secs(2)).await?;
    let records = set.read(set.upstreams[0].address, "/records").await?;
    println!("paused side woken beside its successor: {records}");
    let refused = records["fenced"].as_u64();
    ensure!(refused > Some(0), "the old side was never asked");
    load(&set, Duration::from_secs(1)).await?;
    let records = set.read(set.upstreams[0].address, "/records").await?;
    ensure!(
        records["fenced"].as_u64() == refused,
        "the old side still gives orders"
    );
    Ok(())
}

/// A registered change reaches the entry without a list; without changes neither does a list.
async fn reads_changes_only(set: Set) -> Result<()> {
    let before = set.read(set.platform, "/counts").await?;
    until_started(&set, 0, RECOVERY_BOUND).await?;
    let mut line = set.side_instance(0);
    line.leaving = true;
    set.register(&line).await?;
    let last = last_start(&set, 0).await?;
    let after = set.read(set.platform, "/counts").await?;
    println!("counts {before} then {after}, last work at the leaving side after {last:?}");
    ensure!(last < LEAVING_BOUND, "{last:?}");
    let count = |counts: &Value, name: &str| counts[name]["almondwell-instances"].as_u64();
    let grew = |name: &str| count(&after, name) > count(&before, name);
    ensure!(grew("unchanged"), "the entry does not ask for changes");
    ensure!(!grew("lists"), "the entry reads the whole list again");
    Ok(())
}
