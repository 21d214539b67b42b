//! Sides that are killed, paused, drained and replaced, under an instance list that lags.

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

/// Time until a change of the instance list becomes visible.
const LAG: Duration = Duration::from_secs(2);
/// Time within which a draining side must stop getting new work.
const DRAINING_BOUND: Duration = Duration::from_secs(3);
/// Time within which requests must be answered after a fault, and a new side must get work.
const RECOVERY_BOUND: Duration = Duration::from_secs(2);

cases! {
    a_killed_side_delays_no_request_for_long(two_engines()) = survives_kill;
    a_paused_side_gets_no_work_until_it_resumes(two_engines()) = survives_pause;
    a_leaving_side_gets_no_work_though_the_list_lags(lagging()) = draining_side_gets_no_work;
    a_side_that_the_list_marks_leaving_gets_no_work(lagging()) = side_listed_as_leaving_gets_no_work;
    a_replacement_at_the_same_address_gets_work(lagging()) = serves_replacement;
    a_new_run_of_a_side_that_left_gets_work(lagging()) = serves_new_incarnation;
    a_side_that_moved_gets_work(lagging()) = serves_moved_side;
    a_waiting_request_survives_the_replacement_of_its_side(one_slot()) = survives_replacement;
    a_paused_side_that_was_replaced_is_fenced(fenced()) = fences_paused_side;
    an_unchanged_list_is_not_sent_again(two_engines()) = reads_changes_only;
}

fn two_engines() -> Settings {
    Settings {
        engines: 2,
        entries: 1,
        // Each request samples one side, so that an unresponsive side shows in the times.
        entry_flags: vec![("samples".to_string(), "1".to_string())],
        order_services: 0,
        ..Settings::default()
    }
}

fn lagging() -> Settings {
    Settings {
        lag: LAG,
        ..two_engines()
    }
}

fn fenced() -> Settings {
    Settings {
        engines: 1,
        fenced: true,
        ..two_engines()
    }
}

fn one_slot() -> Settings {
    Settings {
        batch: 1,
        engines: 1,
        token: Duration::from_millis(50),
        ..two_engines()
    }
}

/// Durations of requests.
struct Times(Vec<Duration>);

impl Times {
    fn slowest(&self) -> Duration {
        self.0.iter().max().copied().unwrap_or_default()
    }

    /// Fraction of requests that took at least as long as it takes to give up an unresponsive side.
    fn delayed(&self) -> f64 {
        const GIVE_UP_TIME: Duration = Duration::from_millis(100);
        let delayed = self.0.iter().filter(|time| **time >= GIVE_UP_TIME).count();
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

/// Number of requests that the upstream `index` has started.
async fn started(set: &Set, index: usize) -> Result<u64> {
    let address = set.upstreams[index].address;
    let records = set.read(address, "/records").await?;
    Ok(records["started"].as_u64().unwrap_or(0))
}

/// Sends requests until the upstream `index` starts one; returns the elapsed time.
async fn until_started(set: &Set, index: usize, limit: Duration) -> Result<Duration> {
    let before = started(set, index).await?;
    until("the upstream to start a request", limit, || async {
        load(set, Duration::from_millis(1)).await?;
        Ok(started(set, index).await? > before)
    })
    .await
}

/// Sends requests for longer than `DRAINING_BOUND`; returns the time after which the upstream `index`
/// started its last one.
async fn last_start(set: &Set, index: usize) -> Result<Duration> {
    let start = Instant::now();
    let mut last = Duration::ZERO;
    let mut count = started(set, index).await?;
    while start.elapsed() < DRAINING_BOUND + LAG {
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

async fn draining_side_gets_no_work(set: Set) -> Result<()> {
    // The list may show one side before the other. A request waits while the only known one has left.
    for index in 0..set.upstreams.len() {
        until_started(&set, index, LAG * 3).await?;
    }
    let engine = set.upstreams[0].address;
    let stream = open_streams(&set, engine).await?;
    set.upstreams[0].side.signal("TERM")?;
    let delayed = load(&set, Duration::from_secs(1)).await?.delayed();
    let last = last_start(&set, 0).await?;
    println!("side told to stop: last new work after {last:?}, {delayed:.3} of requests delayed");
    ensure!(last < DRAINING_BOUND, "{last:?}");
    ensure!(delayed < 0.05, "{delayed:.3} of requests delayed");
    drop(stream);
    Ok(())
}

async fn side_listed_as_leaving_gets_no_work(set: Set) -> Result<()> {
    until_started(&set, 0, LAG * 3).await?;
    let mut instance = set.side_instance(0);
    instance.leaving = true;
    set.register(&instance).await?;
    let last = last_start(&set, 0).await?;
    println!("list marks the side, {LAG:?} late: last new work after {last:?}");
    ensure!(last < DRAINING_BOUND, "{last:?}");
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

async fn serves_new_incarnation(mut set: Set) -> Result<()> {
    until_started(&set, 0, LAG * 3).await?;
    set.upstreams[0].side.signal("TERM")?;
    set.upstreams[0].side.wait(Duration::from_secs(10))?;
    let id = set.upstreams[0].id.clone();
    set.replace_side(0, &id, Addresses::Same).await?;
    let recovery = until_started(&set, 0, RECOVERY_BOUND).await?;
    println!("side drained and restarted: work after {recovery:?}");
    Ok(())
}

async fn serves_moved_side(mut set: Set) -> Result<()> {
    until_started(&set, 0, LAG * 3).await?;
    let id = set.upstreams[0].id.clone();
    set.replace_side(0, &id, Addresses::New).await?;
    let recovery = until_started(&set, 0, LAG + RECOVERY_BOUND).await?;
    println!("moved, list {LAG:?} late: work after {recovery:?}");
    Ok(())
}

/// Opens long streams until the engine at `engine` runs one; returns the streams.
async fn open_streams(set: &Set, engine: SocketAddr) -> Result<Vec<http_types::Response>> {
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

async fn survives_replacement(mut set: Set) -> Result<()> {
    let _streams = open_streams(&set, set.upstreams[0].address).await?;
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

/// The old side resumes while the instance list still has both it and its successor.
async fn fences_paused_side(mut set: Set) -> Result<()> {
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
    println!("paused side resumed beside its successor: {records}");
    let refused = records["fenced"].as_u64();
    ensure!(
        refused > Some(0),
        "the engine rejected no request of the old side"
    );
    load(&set, Duration::from_secs(1)).await?;
    let records = set.read(set.upstreams[0].address, "/records").await?;
    ensure!(
        records["fenced"].as_u64() == refused,
        "the old side still sends requests"
    );
    Ok(())
}

/// The entry polls for changes of the instance list: a change must reach it without a read of the
/// whole list, and an unchanged list must not be sent again.
async fn reads_changes_only(set: Set) -> Result<()> {
    let before = set.read(set.platform, "/counts").await?;
    until_started(&set, 0, RECOVERY_BOUND).await?;
    let mut instance = set.side_instance(0);
    instance.leaving = true;
    set.register(&instance).await?;
    let last = last_start(&set, 0).await?;
    let after = set.read(set.platform, "/counts").await?;
    println!("counts {before} then {after}, last work at the draining side after {last:?}");
    ensure!(last < DRAINING_BOUND, "{last:?}");
    let count = |counts: &Value, name: &str| counts[name]["almondwell-instances"].as_u64();
    let grew = |name: &str| count(&after, name) > count(&before, name);
    ensure!(grew("unchanged"), "the entry does not ask for changes");
    ensure!(!grew("lists"), "the entry reads the whole list again");
    Ok(())
}
