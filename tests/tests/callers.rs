//! Many concurrent callers, and callers that disconnect.

use async_std::task;
use eyre::{Result, ensure};
use fakes::http::{call, open, request};
use fakes::set::{Set, Settings, chat_body};
use futures_lite::AsyncReadExt;
use http_types::{Method, Response};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tests::{cases, metrics};

const STREAMS: usize = 200;
const TOKENS: u64 = 20;

cases! {
    streams_to_200_callers_at_once(large_batches()) = streams_to_all;
    withdraws_the_reservation_of_a_caller_that_disconnected(one_slot()) = withdraws_reservation;
    cancels_a_stalled_stream_when_its_caller_disconnects(stalled()) = cancels_stalled_stream;
    reuses_connections_to_sides(Settings::default()) = reuses_connections;
}

fn one_slot() -> Settings {
    Settings {
        batch: 1,
        token: Duration::from_millis(100),
        ..one_engine()
    }
}

fn stalled() -> Settings {
    Settings {
        prefill: Duration::from_millis(1),
        token: Duration::from_secs(20),
        ..one_engine()
    }
}

fn one_engine() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        order_services: 0,
        ..Settings::default()
    }
}

fn large_batches() -> Settings {
    Settings {
        batch: 64,
        engines: 4,
        order_services: 0,
        ..Settings::default()
    }
}

async fn streams_to_all(set: Set) -> Result<()> {
    let set = Arc::new(set);
    let callers: Vec<_> = (0..STREAMS)
        .map(|caller| task::spawn(check_stream(set.clone(), caller)))
        .collect();
    for caller in callers {
        caller.await?;
    }
    Ok(())
}

/// Compares a stream through an entry with the answer that the engine gives directly.
async fn check_stream(set: Arc<Set>, caller: usize) -> Result<()> {
    let prompt = format!("caller {caller}");
    let body = chat_body(&prompt, TOKENS, true);
    let entry = set.entries[caller % set.entries.len()].callers;
    let mut response = stream(entry, &body).await?;
    let mut text = Vec::new();
    response.read_to_end(&mut text).await?;
    let engine = set.upstreams[0].address;
    let direct = post(engine, &body);
    let direct = call(engine, direct, Duration::from_secs(30)).await?;
    ensure!(direct.text().ends_with("data: [DONE]\n\n"));
    let text = String::from_utf8_lossy(&text);
    ensure!(
        text == direct.text(),
        "truncated, or not the answer to `{prompt}`: {text}"
    );
    Ok(())
}

async fn withdraws_reservation(set: Set) -> Result<()> {
    let entry = set.entries[0].callers;
    let mut first = stream(entry, &chat_body("first", 1000, true)).await?;
    first.read_exact(&mut [0; 8]).await?;
    let waiting = task::spawn(async move { stream(entry, &chat_body("second", 1, true)).await });
    wait_for(&set, "reservations_waiting", 1).await?;
    waiting.cancel().await;
    wait_for(&set, "reservations_waiting", 0).await?;
    drop(first);
    wait_for(&set, "calls_running", 0).await?;
    let records = set.read(set.upstreams[0].address, "/records").await?;
    ensure!(records["started"] == 1, "{records}");
    Ok(())
}

async fn cancels_stalled_stream(set: Set) -> Result<()> {
    let entry = set.entries[0].callers;
    let response = stream(entry, &chat_body("silent", 10, true)).await?;
    wait_for(&set, "calls_running", 1).await?;
    let start = Instant::now();
    drop(response);
    wait_for(&set, "calls_running", 0).await?;
    // The next token is 20 s away, so a failed write cannot be what reveals the disconnection.
    ensure!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    Ok(())
}

async fn reuses_connections(set: Set) -> Result<()> {
    for number in 0..20 {
        let answer = set.chat(0, "urgent", &format!("{number}"), 1).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
    }
    let name = "almondwell_side_connections_accepted_total";
    let opened = metrics::sum(set.upstreams[0].admin, name).await?;
    ensure!(
        (1..=2).contains(&opened),
        "expected 1 or 2 connections for 20 calls, got {opened}"
    );
    Ok(())
}

/// Waits until the metric `almondwell_side_{name}` of the first side is `value`.
async fn wait_for(set: &Set, name: &str, value: u64) -> Result<()> {
    metrics::wait_for(
        set.upstreams[0].admin,
        &format!("almondwell_side_{name}"),
        value,
    )
    .await
}

fn post(address: std::net::SocketAddr, body: &str) -> http_types::Request {
    let headers = [("Authorization", "Bearer retail-key")];
    request(
        Method::Post,
        address,
        "/v1/chat/completions",
        &headers,
        body,
    )
}

async fn stream(address: std::net::SocketAddr, body: &str) -> Result<Response> {
    open(address, post(address, body)).await
}
