//! Stored work, which is accepted without a waiting caller, under kills, pauses, lost replies and
//! outages.

use async_std::task;
use eyre::{Result, bail, ensure};
use fakes::http::{Answer, call, request};
use fakes::set::{Set, Settings, chat_body};
use http_types::Method;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tests::cases;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const TIMEOUT: Duration = Duration::from_mins(1);
const PREFER: (&str, &str) = ("Prefer", "respond-async");

cases! {
    finishes_stored_work(settings(300)) = finishes;
    accepts_a_key_once(settings(5)) = accepts_key_once;
    hides_work_from_other_workspaces(settings(5)) = hides_work;
    picks_up_work_of_a_killed_entry(settings(3000)) = entry_killed;
    picks_up_idempotent_work_of_a_killed_entry(engines()) = entry_killed_with_chat;
    never_reruns_work_of_a_paused_entry(settings(1500)) = entry_paused;
    refuses_work_that_may_have_run(settings(3000)) = side_killed;
    refuses_as_not_run_what_was_not_stored(settings(5)) = store_down;
    accepts_once_when_the_reply_was_lost(settings(5)) = reply_lost;
    removes_results_after_the_retention_period(short_retention()) = removes_results;
    finishes_stored_work_before_a_graceful_shutdown(settings(1500)) = entry_shut_down;
}

fn settings(work_ms: u64) -> Settings {
    Settings {
        engines: 0,
        order_services: 2,
        work: Duration::from_millis(work_ms),
        ..Settings::default()
    }
}

fn engines() -> Settings {
    Settings {
        engines: 1,
        order_services: 0,
        token: Duration::from_millis(20),
        ..Settings::default()
    }
}

fn short_retention() -> Settings {
    Settings {
        entry_flags: vec![("work-kept".to_string(), "2s".to_string())],
        ..settings(5)
    }
}

async fn finishes(set: Set) -> Result<()> {
    let accepted = store(&set, 0, Some("key-1"), "fukuoka").await?;
    ensure!(accepted.status() == 202, "{}", accepted.text());
    ensure!(accepted.header("Preference-Applied") == "respond-async");
    let location = accepted.header("Location");
    for entry in [0, 1] {
        let page = wait_status(&set, entry, &location, "finished").await?;
        ensure!(page["answer"]["status"] == 200, "{page}");
        ensure!(page["answer"]["body"]["echo"] == "fukuoka", "{page}");
        let answer = get(&set, entry, &format!("{location}/answer"), "retail-key").await?;
        ensure!(answer.json()?["echo"] == "fukuoka", "{}", answer.text());
    }
    expect_runs(&set, "key-1", 1).await
}

async fn accepts_key_once(set: Set) -> Result<()> {
    let first = store(&set, 0, Some("key-1"), "fukuoka").await?;
    let location = first.header("Location");
    let again = store(&set, 1, Some("key-1"), "fukuoka").await?;
    ensure!(again.header("Location") == location);
    wait_status(&set, 1, &location, "finished").await?;
    let after = store(&set, 1, Some("key-1"), "fukuoka").await?;
    ensure!(after.status() == 202 && after.header("Location") == location);
    let other = store(&set, 0, Some("key-1"), "kagoshima").await?;
    ensure!(other.status() == 422, "{}", other.text());
    ensure!(other.header("Almondwell-Verdict") == "not-run");
    expect_runs(&set, "key-1", 1).await
}

async fn hides_work(set: Set) -> Result<()> {
    let accepted = store(&set, 0, None, "fukuoka").await?;
    let location = accepted.header("Location");
    wait_status(&set, 0, &location, "finished").await?;
    let other = get(&set, 0, &location, "wholesale-key").await?;
    ensure!(other.status() == 404, "{}", other.text());
    let unknown = get(&set, 0, "/v1/work/7f", "retail-key").await?;
    ensure!(unknown.status() == 404, "{}", unknown.text());
    Ok(())
}

async fn entry_killed(mut set: Set) -> Result<()> {
    let accepted = store(&set, 0, Some("key-1"), "fukuoka").await?;
    let location = accepted.header("Location");
    wait_runs(&set, "key-1").await?;
    set.entries[0].process.kill();
    let start = Instant::now();
    let page = wait_status(&set, 1, &location, "finished").await?;
    println!("finished {:?} after the kill", start.elapsed());
    ensure!(page["answer"]["body"]["run"] == 1, "{page}");
    expect_runs(&set, "key-1", 1).await
}

async fn entry_killed_with_chat(mut set: Set) -> Result<()> {
    let headers = [PREFER, ("Almondwell-Class", "review")];
    let body = chat_body("hammock", 100, false);
    let accepted = set.post(0, "/v1/chat/completions", &headers, &body).await?;
    ensure!(accepted.status() == 202, "{}", accepted.text());
    let location = accepted.header("Location");
    wait_status(&set, 1, &location, "running").await?;
    set.entries[0].process.kill();
    let page = wait_status(&set, 1, &location, "finished").await?;
    let text = page["answer"]["body"]["choices"][0]["message"]["content"].to_string();
    ensure!(text.split_whitespace().count() >= 100, "{text}");
    Ok(())
}

async fn entry_paused(set: Set) -> Result<()> {
    let accepted = store(&set, 0, Some("key-1"), "fukuoka").await?;
    let location = accepted.header("Location");
    wait_runs(&set, "key-1").await?;
    set.entries[0].process.signal("STOP")?;
    let page = wait_status(&set, 1, &location, "finished").await;
    set.entries[0].process.signal("CONT")?;
    ensure!(page?["answer"]["body"]["run"] == 1);
    task::sleep(Duration::from_secs(3)).await;
    let page = wait_status(&set, 0, &location, "finished").await?;
    ensure!(page["answer"]["body"]["run"] == 1, "{page}");
    expect_runs(&set, "key-1", 1).await
}

async fn side_killed(set: Set) -> Result<()> {
    let accepted = store(&set, 0, Some("key-1"), "fukuoka").await?;
    let location = accepted.header("Location");
    wait_runs(&set, "key-1").await?;
    for upstream in &set.upstreams {
        let records = set.read(upstream.address, "/records").await?;
        if records["runs"]["key-1"].is_u64() {
            upstream.side.signal("KILL")?;
        }
    }
    let page = wait_status(&set, 1, &location, "refused").await?;
    ensure!(page["verdict"] == "may-have-run", "{page}");
    expect_runs(&set, "key-1", 1).await
}

async fn store_down(set: Set) -> Result<()> {
    set.set_faults(set.platform, &json!({"down": true})).await?;
    let headers = [PREFER, ("Almondwell-Deadline", "1s")];
    let path = "/v1/services/orders/booking";
    let refused = set.post(0, path, &headers, "fukuoka").await?;
    ensure!(refused.status() == 503, "{}", refused.text());
    ensure!(refused.header("Almondwell-Verdict") == "not-run");
    set.set_faults(set.platform, &json!({})).await?;
    task::sleep(Duration::from_secs(5)).await;
    // The order service records a call without a key under the empty key.
    expect_runs(&set, "", 0).await
}

async fn reply_lost(set: Set) -> Result<()> {
    set.set_faults(set.platform, &json!({"lose_replies": 1}))
        .await?;
    let accepted = store(&set, 0, Some("key-1"), "fukuoka").await?;
    ensure!(accepted.status() == 202, "{}", accepted.text());
    let location = accepted.header("Location");
    wait_status(&set, 1, &location, "finished").await?;
    expect_runs(&set, "key-1", 1).await
}

async fn removes_results(set: Set) -> Result<()> {
    let accepted = store(&set, 0, Some("key-1"), "fukuoka").await?;
    let location = accepted.header("Location");
    wait_status(&set, 0, &location, "finished").await?;
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if get(&set, 0, &location, "retail-key").await?.status() == 404 {
            return Ok(());
        }
        task::sleep(Duration::from_millis(200)).await;
    }
    bail!("the result still exists after {TIMEOUT:?}")
}

async fn entry_shut_down(mut set: Set) -> Result<()> {
    let accepted = store(&set, 0, Some("key-1"), "fukuoka").await?;
    let location = accepted.header("Location");
    wait_runs(&set, "key-1").await?;
    set.entries[0].process.signal("TERM")?;
    let status = set.entries[0].process.wait(TIMEOUT)?;
    ensure!(status.success(), "{status}");
    let page = get(&set, 1, &location, "retail-key").await?;
    ensure!(page.json()?["status"] == "finished", "{}", page.text());
    expect_runs(&set, "key-1", 1).await
}

async fn store(set: &Set, entry: usize, key: Option<&str>, body: &str) -> Result<Answer> {
    let mut headers = vec![PREFER];
    headers.extend(key.map(|key| ("Idempotency-Key", key)));
    let path = "/v1/services/orders/booking";
    set.post(entry, path, &headers, body).await
}

async fn get(set: &Set, entry: usize, path: &str, key: &str) -> Result<Answer> {
    let address = set.entries[entry].callers;
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", &*bearer)];
    let request = request(Method::Get, address, path, &headers, "");
    call(address, request, CALL_TIMEOUT).await
}

/// Polls the stored work at `location` through the entry `entry` until it has `status`; returns its
/// page.
async fn wait_status(set: &Set, entry: usize, location: &str, status: &str) -> Result<Value> {
    let start = Instant::now();
    let mut last = String::new();
    while start.elapsed() < TIMEOUT {
        let answer = get(set, entry, location, "retail-key").await?;
        ensure!(answer.status() == 200, "{}", answer.text());
        let page = answer.json()?;
        if page["status"] == status {
            return Ok(page);
        }
        last = page.to_string();
        task::sleep(Duration::from_millis(50)).await;
    }
    bail!("{location}: expected the status `{status}` within {TIMEOUT:?}, got {last}")
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

async fn wait_runs(set: &Set, key: &str) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if runs(set, key).await? > 0 {
            return Ok(());
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    bail!("`{key}` did not run within {TIMEOUT:?}")
}
