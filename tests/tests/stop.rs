//! Graceful shutdown under traffic.

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use eyre::{Result, ensure, eyre};
use fakes::http::{self, request};
use fakes::replacement::Addresses;
use fakes::set::{Set, Settings, chat_body, wait_ready};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tests::balancer::Balancer;
use tests::cases;

const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// The setting `grace` of entries that have one.
const GRACE: Duration = Duration::from_secs(4);
/// Time for a process to handle a signal or a new connection.
const SETTLE_TIME: Duration = Duration::from_millis(300);

cases! {
    a_rolling_replacement_cuts_no_request(rolling()) = replaces_all_processes;
    a_request_waits_for_the_successor_of_the_last_side(one_entry()) = waits_for_successor;
    a_connection_accepted_before_the_shutdown_is_served(one_entry()) = serves_accepted_connection;
    a_keep_alive_connection_gets_its_last_answer_and_is_closed(one_entry()) = closes_keep_alive_connection;
    a_draining_entry_finishes_its_streams(one_entry()) = finishes_streams;
    // Guards against requests that a stopping entry begins although it will be killed before their answer.
    a_request_without_time_is_refused_within_the_grace_time(with_grace()) = refuses_late_request;
    a_body_that_does_not_end_within_the_grace_time_is_refused(with_grace()) = refuses_slow_body;
    // Guards against requests that are cut without an answer at the end of the grace time.
    a_request_that_runs_beyond_the_grace_time_is_answered(with_grace()) = answers_long_request;
    a_draining_side_finishes_its_streams_and_grants_no_slot(slow_engines()) = draining_side_finishes_streams;
}

fn rolling() -> Settings {
    Settings {
        engines: 3,
        order_services: 2,
        ..Settings::default()
    }
}

fn one_entry() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        order_services: 0,
        token: Duration::from_millis(50),
        ..Settings::default()
    }
}

fn with_grace() -> Settings {
    let grace = format!("{}s", GRACE.as_secs());
    Settings {
        entry_flags: vec![("grace".to_string(), grace)],
        ..one_entry()
    }
}

fn slow_engines() -> Settings {
    Settings {
        engines: 2,
        entries: 1,
        order_services: 0,
        token: Duration::from_millis(50),
        ..Settings::default()
    }
}

/// Replaces the sides and then the entries one after another under traffic. No request may fail after
/// its connection was accepted, and no booking may run twice.
async fn replaces_all_processes(mut set: Set) -> Result<()> {
    const CALLERS: usize = 12;
    let balancer = Balancer::start(&set, CALLERS);
    task::sleep(Duration::from_secs(1)).await;
    for index in 0..set.upstreams.len() {
        let id = set.upstreams[index].id.clone();
        let start = Instant::now();
        set.upstreams[index].side.signal("TERM")?;
        set.upstreams[index].side.wait(STOP_TIMEOUT)?;
        println!("{id} stopped after {:?}", start.elapsed());
        set.replace_side(index, &id, Addresses::New).await?;
        task::sleep(Duration::from_millis(1500)).await;
    }
    for index in 0..set.entries.len() {
        set.entries[index].process.signal("TERM")?;
        set.entries[index].process.wait(STOP_TIMEOUT)?;
        set.replace_entry(index, Addresses::New).await?;
        balancer.update_backends(&set);
        wait_ready(set.entries[index].admin, "/ready").await?;
        task::sleep(Duration::from_millis(300)).await;
    }
    let tally = balancer.stop().await;
    let failures = tally.failures();
    println!(
        "rolling replacement: {} answers, {} failed, {} connections refused, slowest {} ms",
        tally.answered(),
        failures.len(),
        tally.refused_connections.load(Ordering::Relaxed),
        tally.slowest_ms.load(Ordering::Relaxed),
    );
    ensure!(
        failures.is_empty(),
        "{} requests failed: {failures:#?}",
        failures.len()
    );
    ensure!(tally.answered() > 500, "only {} answers", tally.answered());
    let mut runs = 0;
    for upstream in set
        .upstreams
        .iter()
        .filter(|upstream| upstream.pool == "orders")
    {
        let records = set.read(upstream.address, "/records").await?;
        for (key, count) in records["runs"].as_object().into_iter().flatten() {
            ensure!(*count == 1, "`{key}` ran {count} times");
            runs += 1;
        }
    }
    ensure!(runs > 100, "only {runs} bookings");
    Ok(())
}

/// The only side of the pool has stopped, and its successor starts half a second after the request.
async fn waits_for_successor(mut set: Set) -> Result<()> {
    set.upstreams[0].side.signal("TERM")?;
    set.upstreams[0].side.wait(STOP_TIMEOUT)?;
    let address = set.entries[0].callers;
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body("hammock", 2, false);
    let request = request(
        Method::Post,
        address,
        "/v1/chat/completions",
        &headers,
        body,
    );
    let waiting = task::spawn(http::call(address, request, STOP_TIMEOUT));
    task::sleep(Duration::from_millis(500)).await;
    let id = set.upstreams[0].id.clone();
    set.replace_side(0, &id, Addresses::New).await?;
    let answer = waiting.await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    Ok(())
}

/// The connection is accepted before SIGTERM, and the request is sent 2 s after it.
async fn serves_accepted_connection(mut set: Set) -> Result<()> {
    let address = set.entries[0].callers;
    let tcp = TcpStream::connect(address).await?;
    task::sleep(SETTLE_TIME).await;
    set.entries[0].process.signal("TERM")?;
    task::sleep(Duration::from_secs(2)).await;
    ensure!(send(&tcp, address).await? == "close");
    set.entries[0].process.wait(STOP_TIMEOUT)?;
    Ok(())
}

async fn closes_keep_alive_connection(mut set: Set) -> Result<()> {
    let address = set.entries[0].callers;
    let mut tcp = TcpStream::connect(address).await?;
    let connection = send(&tcp, address).await?;
    ensure!(
        connection.is_empty(),
        "expected no header `Connection`, got `{connection}`"
    );
    set.entries[0].process.signal("TERM")?;
    task::sleep(SETTLE_TIME).await;
    let connection = send(&tcp, address).await?;
    ensure!(
        connection == "close",
        "expected `Connection: close`, got `{connection}`"
    );
    let mut rest = Vec::new();
    tcp.read_to_end(&mut rest).await?;
    ensure!(rest.is_empty());
    set.entries[0].process.wait(STOP_TIMEOUT)?;
    Ok(())
}

/// A chat that takes the engine longer than the grace time.
fn long_chat(address: SocketAddr) -> Request {
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body("hammock", 200, false);
    request(
        Method::Post,
        address,
        "/v1/chat/completions",
        &headers,
        body,
    )
}

async fn started(set: &Set) -> Result<Option<u64>> {
    let records = set.read(set.upstreams[0].address, "/records").await?;
    Ok(records["started"].as_u64())
}

fn ends_in_time(set: &mut Set, start: Instant) -> Result<()> {
    set.entries[0].process.wait(STOP_TIMEOUT)?;
    let time = start.elapsed();
    ensure!(time < GRACE, "it ended after {time:?}");
    Ok(())
}

/// The connection is accepted before SIGTERM; the request is sent when half of the grace time has passed.
async fn refuses_late_request(mut set: Set) -> Result<()> {
    let address = set.entries[0].callers;
    let tcp = TcpStream::connect(address).await?;
    task::sleep(SETTLE_TIME).await;
    let start = Instant::now();
    set.entries[0].process.signal("TERM")?;
    task::sleep(GRACE / 2).await;
    let exchange = async_h1::connect(tcp, long_chat(address));
    let response = timeout(STOP_TIMEOUT, exchange).await?;
    let response = response.map_err(|error| eyre!("{error}"))?;
    ensure!(response.status() == 503, "{}", response.status());
    let header = |name| response.header(name).map(|values| values.as_str());
    ensure!(header("Almondwell-Verdict") == Some("not-run"));
    ensure!(header("Retry-After").is_some());
    ensure!(started(&set).await? == Some(0), "it was run");
    ends_in_time(&mut set, start)
}

async fn refuses_slow_body(mut set: Set) -> Result<()> {
    let mut tcp = TcpStream::connect(set.entries[0].callers).await?;
    let part = "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 100\r\n\r\n{";
    tcp.write_all(part.as_bytes()).await?;
    task::sleep(SETTLE_TIME).await;
    let start = Instant::now();
    set.entries[0].process.signal("TERM")?;
    let mut answer = String::new();
    timeout(STOP_TIMEOUT, tcp.read_to_string(&mut answer)).await??;
    ensure!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    ensure!(answer.contains("stopping"), "{answer}");
    ends_in_time(&mut set, start)
}

async fn answers_long_request(mut set: Set) -> Result<()> {
    let address = set.entries[0].callers;
    let running = task::spawn(http::call(address, long_chat(address), STOP_TIMEOUT));
    task::sleep(SETTLE_TIME).await;
    let start = Instant::now();
    set.entries[0].process.signal("TERM")?;
    let answer = running.await?;
    ensure!(answer.status() == 502, "{}", answer.text());
    ensure!(answer.header("Almondwell-Verdict") == "may-have-run");
    ends_in_time(&mut set, start)
}

/// Sends a request and reads its complete answer; returns the value of its header `Connection`.
async fn send(tcp: &TcpStream, address: SocketAddr) -> Result<String> {
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body("hammock", 2, false);
    let request = request(
        Method::Post,
        address,
        "/v1/chat/completions",
        &headers,
        body,
    );
    let exchange = async_h1::connect(tcp.clone(), request);
    let mut response = timeout(STOP_TIMEOUT, exchange)
        .await?
        .map_err(|error| eyre!("{error}"))?;
    let text = response
        .body_string()
        .await
        .map_err(|error| eyre!("{error}"))?;
    ensure!(response.status() == 200, "{text}");
    ensure!(text.contains("completion_tokens"), "{text}");
    let connection = response.header("Connection");
    Ok(connection.map_or_else(String::new, |values| values.as_str().to_string()))
}

async fn finishes_streams(mut set: Set) -> Result<()> {
    const TOKENS: u64 = 60;
    let address = set.entries[0].callers;
    let mut response = stream(&set, TOKENS).await?;
    let mut first = [0; 16];
    response.read_exact(&mut first).await?;
    let start = Instant::now();
    set.entries[0].process.signal("TERM")?;
    let mut rest = Vec::new();
    response.read_to_end(&mut rest).await?;
    ensure!(
        rest.ends_with(b"data: [DONE]\n\n"),
        "the stream was truncated"
    );
    ensure!(start.elapsed() > Duration::from_secs(2));
    set.entries[0].process.wait(STOP_TIMEOUT)?;
    let refused = TcpStream::connect(address).await;
    ensure!(refused.is_err(), "the entry still listens");
    Ok(())
}

async fn draining_side_finishes_streams(mut set: Set) -> Result<()> {
    const TOKENS: u64 = 60;
    let mut streams = Vec::new();
    for _ in 0..8 {
        streams.push(stream(&set, TOKENS).await?);
    }
    let engine = set.upstreams[0].address;
    let started = set.read(engine, "/records").await?["started"].as_u64();
    ensure!(
        started > Some(0),
        "no stream started at the side that is going to drain"
    );
    set.upstreams[0].side.signal("TERM")?;
    task::sleep(SETTLE_TIME).await;
    let before = set.read(engine, "/records").await?["started"].as_u64();
    for _ in 0..10 {
        let answer = set.chat(0, "summary", "after the stop", 1).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
    }
    let after = set.read(engine, "/records").await?["started"].as_u64();
    ensure!(before == after, "the draining side got new work");
    for response in &mut streams {
        let mut body = Vec::new();
        response.read_to_end(&mut body).await?;
        ensure!(
            body.ends_with(b"data: [DONE]\n\n"),
            "a stream was truncated"
        );
    }
    set.upstreams[0].side.wait(STOP_TIMEOUT)?;
    Ok(())
}

async fn stream(set: &Set, tokens: u64) -> Result<http_types::Response> {
    let address = set.entries[0].callers;
    let headers = [("Authorization", "Bearer retail-key")];
    let body = chat_body("hammock", tokens, true);
    let request = request(
        Method::Post,
        address,
        "/v1/chat/completions",
        &headers,
        body,
    );
    http::open(address, request).await
}
