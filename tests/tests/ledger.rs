//! Non-idempotent calls, which run at most once, under kills, pauses, lost replies and outages of the
//! store.

use almondwell_core::ledger::{call_key, shard_of};
use async_std::future::timeout;
use async_std::task;
use eyre::{Result, bail, ensure};
use fakes::http::Answer;
use fakes::set::{Set, Settings};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tests::cases;

const TIMEOUT: Duration = Duration::from_secs(10);

cases! {
    resends_get_the_first_answer(two_sides(5)) = resends_get_first_answer;
    refuses_a_key_with_another_body(two_sides(5)) = refuses_other_body;
    runs_a_key_sent_through_two_entries_once(two_sides(100)) = runs_racing_key_once;
    waiting_resends_hold_no_slot(one_side(3000)) = resends_hold_no_slot;
    a_resend_gets_the_answer_of_a_run_whose_caller_disconnected(two_sides(500)) = resend_gets_answer_of_run;
    never_reruns_a_key_whose_side_was_killed(two_sides(1500)) = side_killed;
    fences_a_holder_that_was_paused_and_replaced(two_sides(50)) = holder_paused;
    takes_over_from_a_killed_holder_whose_write_is_late(two_sides(5)) = killed_with_late_write;
    settles_a_write_whose_reply_was_lost(two_sides(5)) = reply_lost;
    settles_a_delayed_write(two_sides(5)) = write_arrives_late;
    never_runs_before_its_intent_is_durable(two_sides(5)) = write_delayed;
    refuses_as_not_run_while_the_store_is_down(two_sides(5)) = store_down;
    refuses_as_not_run_while_the_store_hangs(two_sides(5)) = store_hangs;
    keeps_outcomes_over_a_graceful_shutdown(two_sides(5)) = side_shut_down;
}

fn two_sides(work_ms: u64) -> Settings {
    Settings {
        engines: 0,
        entries: 2,
        order_services: 2,
        work: Duration::from_millis(work_ms),
        ..Settings::default()
    }
}

fn one_side(work_ms: u64) -> Settings {
    Settings {
        order_services: 1,
        ..two_sides(work_ms)
    }
}

async fn resends_get_first_answer(set: Set) -> Result<()> {
    let first = set.order(0, "booking", "key-1", "fukuoka").await?;
    ensure!(first.status() == 200, "{}", first.text());
    ensure!(first.header("Almondwell-Replayed").is_empty());
    for entry in [0, 1] {
        let again = set.order(entry, "booking", "key-1", "fukuoka").await?;
        ensure!(again.status() == 200, "{}", again.text());
        ensure!(again.header("Almondwell-Replayed") == "true");
        ensure!(again.body == first.body, "{}", again.text());
    }
    expect_runs(&set, "key-1", 1).await
}

async fn refuses_other_body(set: Set) -> Result<()> {
    let first = set.order(0, "booking", "key-1", "fukuoka").await?;
    ensure!(first.status() == 200, "{}", first.text());
    let other = set.order(1, "booking", "key-1", "kagoshima").await?;
    ensure!(other.status() == 422, "{}", other.text());
    ensure!(other.header("Almondwell-Verdict") == "not-run");
    ensure!(other.json()?["error"]["code"] == "key_reused");
    expect_runs(&set, "key-1", 1).await
}

async fn runs_racing_key_once(set: Set) -> Result<()> {
    let set = Arc::new(set);
    let racers: Vec<_> = (0..8)
        .map(|index| spawn(&set, index % 2, "key-1"))
        .collect();
    for racer in racers {
        let answer = racer.await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        ensure!(answer.json()?["run"] == 1);
    }
    expect_runs(&set, "key-1", 1).await
}

/// Sends more resends of a running key than the side has slots. Another key must run before the first
/// run ends.
async fn resends_hold_no_slot(set: Set) -> Result<()> {
    let set = Arc::new(set);
    let first = spawn(&set, 0, "key-1");
    wait_runs(&set, "key-1", 1).await?;
    let resends: Vec<_> = (0..32)
        .map(|index| spawn(&set, index % 2, "key-1"))
        .collect();
    task::sleep(Duration::from_millis(500)).await;
    let other = spawn(&set, 0, "key-2");
    let start = Instant::now();
    wait_runs(&set, "key-2", 1).await?;
    ensure!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    for call in resends.into_iter().chain([first, other]) {
        let answer = call.await?;
        ensure!(answer.status() == 200, "{}", answer.text());
    }
    expect_runs(&set, "key-1", 1).await
}

async fn resend_gets_answer_of_run(set: Set) -> Result<()> {
    let call = Box::pin(set.order(0, "booking", "key-1", "fukuoka"));
    let result = timeout(Duration::from_millis(300), call).await;
    ensure!(
        result.is_err(),
        "the call ended before its caller disconnected"
    );
    wait_runs(&set, "key-1", 1).await?;
    let again = set.order(1, "booking", "key-1", "fukuoka").await?;
    ensure!(again.status() == 200, "{}", again.text());
    expect_runs(&set, "key-1", 1).await
}

async fn side_killed(set: Set) -> Result<()> {
    let set = Arc::new(set);
    let call = spawn(&set, 0, "key-1");
    wait_runs(&set, "key-1", 1).await?;
    let holder = holder(&set, "key-1").await?;
    set.upstreams[holder].side.signal("KILL")?;
    let first = call.await?;
    ensure!(first.status() == 409, "{}", first.text());
    ensure!(first.header("Almondwell-Verdict") == "may-have-run");
    for entry in [0, 1] {
        let again = set.order(entry, "booking", "key-1", "fukuoka").await?;
        ensure!(again.header("Almondwell-Verdict") == "may-have-run");
        ensure!(again.json()?["error"]["code"] == "interrupted");
    }
    expect_runs(&set, "key-1", 1).await?;
    for number in 0..8 {
        let key = format!("after-{number}");
        let answer = set.order(1, "booking", &key, "fukuoka").await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        expect_runs(&set, &key, 1).await?;
    }
    Ok(())
}

/// The store delays the write of the holder's intent, the holder is paused, and a resend runs at
/// another side.
async fn holder_paused(set: Set) -> Result<()> {
    let set = Arc::new(set);
    let (primer, key) = keys_of_same_shard();
    let answer = set.order(0, "booking", &primer, "fukuoka").await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    let holder = holder(&set, &primer).await?;
    // Wait until the outcome of the primer has been written.
    task::sleep(Duration::from_millis(1500)).await;
    delay_next_write(&set, Duration::from_millis(1500)).await?;
    let before = writes(&set).await?;
    let first = spawn(&set, 0, &key);
    wait_delayed_write(&set, before).await?;
    set.upstreams[holder].side.signal("STOP")?;
    let resent = set.order(1, "booking", &key, "fukuoka").await;
    task::sleep(Duration::from_millis(1500)).await;
    set.upstreams[holder].side.signal("CONT")?;
    let resent = resent?;
    ensure!(resent.status() == 200, "{}", resent.text());
    let first = first.await?;
    ensure!(first.status() == 200, "{}", first.text());
    ensure!(first.json()?["run"] == 1);
    expect_runs(&set, &key, 1).await
}

/// Two faults at once: the holder is killed while the write of its intent is in flight.
async fn killed_with_late_write(set: Set) -> Result<()> {
    let set = Arc::new(set);
    let (primer, key) = keys_of_same_shard();
    prime(&set, &primer).await?;
    let holder = holder(&set, &primer).await?;
    delay_next_write(&set, Duration::from_secs(3)).await?;
    let before = writes(&set).await?;
    let call = spawn(&set, 0, &key);
    wait_delayed_write(&set, before).await?;
    set.upstreams[holder].side.signal("KILL")?;
    let answer = call.await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    task::sleep(Duration::from_secs(3)).await;
    for key in [&primer, &key] {
        let replayed = set.order(1, "booking", key, "fukuoka").await?;
        ensure!(replayed.status() == 200, "{}", replayed.text());
        ensure!(replayed.header("Almondwell-Replayed") == "true");
        expect_runs(&set, key, 1).await?;
    }
    Ok(())
}

async fn reply_lost(set: Set) -> Result<()> {
    let (primer, key) = keys_of_same_shard();
    prime(&set, &primer).await?;
    set.set_faults(set.platform, &json!({"lose_replies": 1}))
        .await?;
    for _ in 0..2 {
        let answer = set.order(0, "booking", &key, "fukuoka").await?;
        ensure!(answer.status() == 200, "{}", answer.text());
    }
    expect_runs(&set, &key, 1).await?;
    let replayed = set.order(1, "booking", &primer, "fukuoka").await?;
    ensure!(replayed.header("Almondwell-Replayed") == "true");
    Ok(())
}

async fn write_arrives_late(set: Set) -> Result<()> {
    let set = Arc::new(set);
    let (primer, key) = keys_of_same_shard();
    prime(&set, &primer).await?;
    delay_next_write(&set, Duration::from_secs(3)).await?;
    let before = writes(&set).await?;
    let call = spawn(&set, 0, &key);
    wait_delayed_write(&set, before).await?;
    let answer = call.await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    // The delayed write arrives after the one that replaced it.
    task::sleep(Duration::from_secs(2)).await;
    let replayed = set.order(1, "booking", &key, "fukuoka").await?;
    ensure!(replayed.header("Almondwell-Replayed") == "true");
    expect_runs(&set, &key, 1).await
}

/// The write of the intent is delayed, and then the store hangs. Nothing may run until the outcome of
/// the write is known.
async fn write_delayed(set: Set) -> Result<()> {
    let set = Arc::new(set);
    let (primer, key) = keys_of_same_shard();
    prime(&set, &primer).await?;
    delay_next_write(&set, Duration::from_secs(8)).await?;
    let before = writes(&set).await?;
    let call = spawn(&set, 0, &key);
    wait_delayed_write(&set, before).await?;
    set.set_faults(set.platform, &json!({"hang": true})).await?;
    task::sleep(Duration::from_secs(4)).await;
    expect_runs(&set, &key, 0).await?;
    set.set_faults(set.platform, &json!({})).await?;
    let answer = call.await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    expect_runs(&set, &key, 1).await
}

async fn store_down(set: Set) -> Result<()> {
    refused_then_run(&set, &json!({"down": true})).await
}

async fn store_hangs(set: Set) -> Result<()> {
    refused_then_run(&set, &json!({"hang": true})).await
}

async fn refused_then_run(set: &Set, faults: &serde_json::Value) -> Result<()> {
    let (primer, key) = keys_of_same_shard();
    prime(set, &primer).await?;
    set.set_faults(set.platform, faults).await?;
    let start = Instant::now();
    let headers = [("Idempotency-Key", &*key), ("Almondwell-Deadline", "1s")];
    let path = "/v1/services/orders/booking";
    let refused = set.post(0, path, &headers, "fukuoka").await?;
    ensure!(refused.status() == 503, "{}", refused.text());
    ensure!(refused.header("Almondwell-Verdict") == "not-run");
    ensure!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    expect_runs(set, &key, 0).await?;
    set.set_faults(set.platform, &json!({})).await?;
    let again = set.order(1, "booking", &key, "fukuoka").await?;
    ensure!(again.status() == 200, "{}", again.text());
    expect_runs(set, &key, 1).await
}

async fn side_shut_down(mut set: Set) -> Result<()> {
    let answer = set.order(0, "booking", "key-1", "fukuoka").await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    let holder = holder(&set, "key-1").await?;
    set.upstreams[holder].side.signal("TERM")?;
    let status = set.upstreams[holder].side.wait(TIMEOUT)?;
    ensure!(status.success(), "{status}");
    let replayed = set.order(1, "booking", "key-1", "fukuoka").await?;
    ensure!(replayed.status() == 200, "{}", replayed.text());
    ensure!(replayed.header("Almondwell-Replayed") == "true");
    expect_runs(&set, "key-1", 1).await
}

fn spawn(set: &Arc<Set>, entry: usize, key: &str) -> task::JoinHandle<Result<Answer>> {
    let set = set.clone();
    let key = key.to_string();
    task::spawn(async move { set.order(entry, "booking", &key, "fukuoka").await })
}

/// Two keys of the same ledger shard.
fn keys_of_same_shard() -> (String, String) {
    let shard = |key: &str| shard_of(call_key("orders", "retail", key));
    let wanted = shard("primer");
    let key = (0..1000)
        .map(|number| format!("key-{number}"))
        .find(|key| shard(key) == wanted);
    ("primer".to_string(), key.unwrap_or_default())
}

/// Runs `key`, so that a side holds its shard, and waits until its outcome has been written.
async fn prime(set: &Set, key: &str) -> Result<()> {
    let answer = set.order(0, "booking", key, "fukuoka").await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    task::sleep(Duration::from_millis(1500)).await;
    Ok(())
}

/// Makes the next write take effect after `delay` and loses its response.
async fn delay_next_write(set: &Set, delay: Duration) -> Result<()> {
    let faults = json!({"late_writes": 1, "delay_ms": delay.as_millis()});
    set.set_faults(set.platform, &faults).await
}

/// Waits until the store has received more than `before` writes, then ends the fault for later calls.
async fn wait_delayed_write(set: &Set, before: u64) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if writes(set).await? > before {
            return set.set_faults(set.platform, &json!({})).await;
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    bail!("no write reached the store within {TIMEOUT:?}")
}

/// Number of writes that the store has received.
async fn writes(set: &Set) -> Result<u64> {
    let counts = set.read(set.platform, "/counts").await?;
    Ok(counts["writes"].as_u64().unwrap_or_default())
}

/// Index of the upstream that ran `key`, whose side holds the ledger shard of the key.
async fn holder(set: &Set, key: &str) -> Result<usize> {
    for (index, upstream) in set.upstreams.iter().enumerate() {
        let records = set.read(upstream.address, "/records").await?;
        if records["runs"][key].as_u64().is_some() {
            return Ok(index);
        }
    }
    bail!("no upstream ran `{key}`")
}

/// Number of runs of `key` at all upstreams.
async fn runs(set: &Set, key: &str) -> Result<u64> {
    let mut runs = 0;
    for upstream in &set.upstreams {
        let records = set.read(upstream.address, "/records").await?;
        runs += records["runs"][key].as_u64().unwrap_or_default();
    }
    Ok(runs)
}

async fn expect_runs(set: &Set, key: &str, expected: u64) -> Result<()> {
    let runs = runs(set, key).await?;
    ensure!(
        runs == expected,
        "expected {expected} runs of `{key}`, got {runs}"
    );
    Ok(())
}

async fn wait_runs(set: &Set, key: &str, expected: u64) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if runs(set, key).await? == expected {
            return Ok(());
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    bail!("`{key}` did not run {expected} times within {TIMEOUT:?}")
}
