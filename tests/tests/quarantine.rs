//! Requests that crash every upstream that runs them.

use async_std::task;
use eyre::{Result, ensure};
use fakes::http::Answer;
use fakes::set::{Set, Settings, chat_body, wait_ready};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tests::cases;

cases! {
    crashes_two_upstreams_at_most(engines(4)) = bounds_crashes;
    crashes_two_at_most_behind_proxies(proxied()) = bounds_crashes;
    crashes_two_at_most_while_the_store_is_down(engines(4)) = bounds_crashes_without_store;
    keeps_the_quarantine_over_a_restart_of_entries_and_sides(engines(3)) = keeps_quarantine;
    quarantines_no_request_that_ran_beside_a_crash(engines(1)) = spares_concurrent_requests;
    serves_others_after_a_crash(engines(2)) = serves_others;
}

/// Maximum number of crashes that one request may cause, however often and through whichever entry it
/// is sent.
const MAX_CRASHES: usize = 2;
const PATH: &str = "/v1/chat/completions";

fn engines(engines: usize) -> Settings {
    Settings {
        engines,
        entries: 3,
        order_services: 0,
        ..Settings::default()
    }
}

fn proxied() -> Settings {
    Settings {
        proxied: true,
        ..engines(3)
    }
}

async fn bounds_crashes(mut set: Set) -> Result<()> {
    let mut crashes = 0;
    for number in 0..9 {
        let answer = send(&set, number % 3, &crashing_body("poison")).await?;
        ensure_refused(&answer)?;
        crashes += restart_crashed(&mut set).await?;
    }
    ensure!(
        (1..=MAX_CRASHES).contains(&crashes),
        "expected 1 to {MAX_CRASHES} crashes, got {crashes}"
    );
    let answer = send(&set, 0, &crashing_body("poison")).await?;
    ensure!(answer.status() == 422, "{}", answer.text());
    ensure!(answer.json()?["error"]["code"] == "quarantined");
    ensure!(answer.header("Almondwell-Verdict") == "not-run");
    Ok(())
}

async fn bounds_crashes_without_store(mut set: Set) -> Result<()> {
    set.set_faults(set.platform, &json!({"down": true})).await?;
    let mut crashes = 0;
    for number in 0..6 {
        let answer = send(&set, number % 3, &crashing_body("poison")).await?;
        ensure_refused(&answer)?;
        crashes += restart_crashed(&mut set).await?;
    }
    ensure!(
        (1..=MAX_CRASHES).contains(&crashes),
        "expected 1 to {MAX_CRASHES} crashes, got {crashes}"
    );
    Ok(())
}

async fn keeps_quarantine(mut set: Set) -> Result<()> {
    send(&set, 0, &crashing_body("poison")).await?;
    let before = restart_crashed(&mut set).await?;
    ensure!(
        before == MAX_CRASHES,
        "expected {MAX_CRASHES} crashes, got {before}"
    );
    // The quarantine is stored after the answer has been sent.
    task::sleep(Duration::from_millis(500)).await;
    for upstream in &mut set.upstreams {
        upstream.side.restart()?;
    }
    for entry in &mut set.entries {
        entry.process.restart()?;
    }
    for upstream in &set.upstreams {
        wait_ready(upstream.admin, "/live").await?;
    }
    for entry in &set.entries {
        wait_ready(entry.admin, "/ready").await?;
    }
    task::sleep(Duration::from_millis(500)).await;
    for entry in 0..3 {
        let answer = send(&set, entry, &crashing_body("poison")).await?;
        ensure!(answer.status() == 422, "{}", answer.text());
    }
    let after = restart_crashed(&mut set).await?;
    ensure!(
        after == 0,
        "{after} crashes after the restart of all entries and sides"
    );
    Ok(())
}

async fn spares_concurrent_requests(set: Set) -> Result<()> {
    let prompts: Vec<_> = (0..5).map(|index| format!("bystander {index}")).collect();
    let set = Arc::new(async_std::sync::Mutex::new(set));
    let address = set.lock().await.entries[0].callers;
    let concurrent_calls: Vec<_> = prompts
        .iter()
        .map(|prompt| {
            let body = chat_body(prompt, 300, false);
            task::spawn(post(address, body))
        })
        .collect();
    task::sleep(Duration::from_millis(150)).await;
    let crashing_call = task::spawn(post(address, crashing_body("poison")));
    task::sleep(Duration::from_millis(300)).await;
    let mut crashes = restart_crashed(&mut *set.lock().await).await?;
    ensure!(crashes == 1, "expected 1 crash, got {crashes}");
    for call in concurrent_calls {
        call.await?;
    }
    crashing_call.await?;
    crashes += restart_crashed(&mut *set.lock().await).await?;
    for prompt in &prompts {
        let body = chat_body(prompt, 300, false);
        let answer = post(address, body).await?;
        ensure!(answer.status() == 200, "{prompt}: {}", answer.text());
    }
    crashes += restart_crashed(&mut *set.lock().await).await?;
    ensure!(
        crashes <= MAX_CRASHES,
        "expected at most {MAX_CRASHES} crashes, got {crashes}"
    );
    Ok(())
}

async fn serves_others(mut set: Set) -> Result<()> {
    send(&set, 0, &crashing_body("poison")).await?;
    restart_crashed(&mut set).await?;
    for number in 0..8 {
        let prompt = format!("harmless {number}");
        let answer = set.chat(number % 3, "summary", &prompt, 5).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
    }
    Ok(())
}

fn ensure_refused(answer: &Answer) -> Result<()> {
    ensure!(answer.status() >= 400, "{}", answer.text());
    ensure!(answer.header("Almondwell-Verdict") != "ran");
    Ok(())
}

fn crashing_body(prompt: &str) -> String {
    json!({
        "model": "almond",
        "messages": [{"role": "user", "content": prompt}],
        "metadata": {"crash": true},
    })
    .to_string()
}

async fn send(set: &Set, entry: usize, body: &str) -> Result<Answer> {
    set.post(entry, PATH, &[], body).await
}

async fn post(address: std::net::SocketAddr, body: String) -> Result<Answer> {
    let headers = [("Authorization", "Bearer retail-key")];
    let request = fakes::http::request(http_types::Method::Post, address, PATH, &headers, body);
    fakes::http::call(address, request, Duration::from_mins(1)).await
}

/// Restarts the engines that have crashed, as a platform would; returns their number.
async fn restart_crashed(set: &mut Set) -> Result<usize> {
    let mut crashes = 0;
    for upstream in &mut set.upstreams {
        if upstream.upstream.exit_status().is_some() {
            crashes += 1;
            upstream.upstream.restart()?;
            wait_ready(upstream.address, "/health").await?;
        }
    }
    // Wait until the sides have noticed that their upstreams are back.
    task::sleep(Duration::from_millis(250)).await;
    Ok(crashes)
}
