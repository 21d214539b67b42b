//! Planned stops, with traffic.

use async_std::net::TcpStream;
use async_std::task;
use eyre::{Result, ensure};
use fakes::http::{self, request};
use fakes::replacement::Place;
use fakes::set::{Set, Settings, chat_body, wait_ready};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Method;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tests::balancer::Balancer;
use tests::cases;

const STOP_TIME: Duration = Duration::from_secs(20);
const SETTLE: Duration = Duration::from_millis(300);

cases! {
    a_rolling_replacement_cuts_no_request(rolling()) = rolls;
    a_connection_accepted_before_the_stop_is_served(one_entry()) = serves_accepted;
    a_kept_connection_gets_its_last_answer_and_is_closed(one_entry()) = closes_kept;
    an_entry_that_stops_finishes_its_streams(one_entry()) = finishes_streams;
    a_side_that_stops_finishes_its_streams_and_grants_nothing(slow_engines()) = side_finishes;
}

fn rolling() -> Settings {
    Settings {
        engines: 3,
        plains: 2,
        ..Settings::default()
    }
}

fn one_entry() -> Settings {
    Settings {
        engines: 1,
        entries: 1,
        plains: 0,
        token: Duration::from_millis(50),
        ..Settings::default()
    }
}

fn slow_engines() -> Settings {
    Settings {
        engines: 2,
        entries: 1,
        plains: 0,
        token: Duration::from_millis(50),
        ..Settings::default()
    }
}

/// Replaces every process but the platform and the upstreams, one after another.
async fn rolls(mut set: Set) -> Result<()> {
    const CALLERS: usize = 12;
    let balancer = Balancer::start(&set, CALLERS);
    task::sleep(Duration::from_secs(1)).await;
    for index in 0..set.upstreams.len() {
        let id = set.upstreams[index].id.clone();
        set.upstreams[index].side.signal("TERM")?;
        set.upstreams[index].side.wait(STOP_TIME)?;
        set.replace_side(index, &id, Place::New).await?;
        task::sleep(Duration::from_millis(1500)).await;
    }
    for index in 0..set.entries.len() {
        set.entries[index].process.signal("TERM")?;
        set.entries[index].process.wait(STOP_TIME)?;
        set.replace_entry(index, Place::New).await?;
        balancer.follow(&set);
        wait_ready(set.entries[index].admin, "/ready").await?;
        task::sleep(Duration::from_millis(300)).await;
    }
    let tally = balancer.stop().await;
    let failures = tally.failures();
    println!(
        "rolling replacement: {} answers, {} cut, {} connections refused, slowest {} ms",
        tally.answered(),
        failures.len(),
        tally.unconnected.load(Ordering::Relaxed),
        tally.slowest.load(Ordering::Relaxed),
    );
    ensure!(failures.is_empty(), "{} cut: {failures:#?}", failures.len());
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

/// The request is sent only after the entry has been told to stop.
async fn serves_accepted(mut set: Set) -> Result<()> {
    let address = set.entries[0].callers;
    let mut unread = TcpStream::connect(address).await?;
    task::sleep(SETTLE).await;
    set.entries[0].process.signal("TERM")?;
    task::sleep(Duration::from_secs(2)).await;
    let answer = send(&mut unread, address).await?;
    ensure!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    set.entries[0].process.wait(STOP_TIME)?;
    Ok(())
}

async fn closes_kept(mut set: Set) -> Result<()> {
    let address = set.entries[0].callers;
    let mut kept = TcpStream::connect(address).await?;
    let answer = send(&mut kept, address).await?;
    ensure!(
        !answer.to_lowercase().contains("connection: close"),
        "{answer}"
    );
    set.entries[0].process.signal("TERM")?;
    task::sleep(SETTLE).await;
    let answer = send(&mut kept, address).await?;
    ensure!(
        answer.to_lowercase().contains("connection: close"),
        "{answer}"
    );
    let mut rest = Vec::new();
    kept.read_to_end(&mut rest).await?;
    ensure!(rest.is_empty());
    set.entries[0].process.wait(STOP_TIME)?;
    Ok(())
}

async fn send(tcp: &mut TcpStream, address: std::net::SocketAddr) -> Result<String> {
    let body = chat_body("hammock", 2, false);
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer retail-key\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    tcp.write_all(text.as_bytes()).await?;
    async_std::future::timeout(STOP_TIME, read_answer(tcp)).await?
}

/// Reads one whole answer, which may arrive in several pieces.
async fn read_answer(tcp: &mut TcpStream) -> Result<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !is_whole(&bytes) {
        let read = tcp.read(&mut buffer).await?;
        let text = String::from_utf8_lossy(&bytes);
        ensure!(read > 0, "the connection was closed after `{text}`");
        bytes.extend_from_slice(&buffer[..read]);
    }
    Ok(String::from_utf8(bytes)?)
}

fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.trim().parse().ok()) == Some(body.len())
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
    ensure!(rest.ends_with(b"data: [DONE]\n\n"), "the stream was cut");
    ensure!(start.elapsed() > Duration::from_secs(2));
    set.entries[0].process.wait(STOP_TIME)?;
    let refused = TcpStream::connect(address).await;
    ensure!(refused.is_err(), "the entry still listens");
    Ok(())
}

async fn side_finishes(mut set: Set) -> Result<()> {
    const TOKENS: u64 = 60;
    let mut streams = Vec::new();
    for _ in 0..8 {
        streams.push(stream(&set, TOKENS).await?);
    }
    let engine = set.upstreams[0].address;
    let running = set.read(engine, "/records").await?["started"].as_u64();
    ensure!(running > Some(0), "no stream runs at the side that stops");
    set.upstreams[0].side.signal("TERM")?;
    task::sleep(SETTLE).await;
    let before = set.read(engine, "/records").await?["started"].as_u64();
    for _ in 0..10 {
        let answer = set.chat(0, "summary", "after the stop", 1).await?;
        ensure!(answer.status() == 200, "{}", answer.text());
    }
    let after = set.read(engine, "/records").await?["started"].as_u64();
    ensure!(before == after, "a leaving side took new work");
    for response in &mut streams {
        let mut body = Vec::new();
        response.read_to_end(&mut body).await?;
        ensure!(body.ends_with(b"data: [DONE]\n\n"), "a stream was cut");
    }
    set.upstreams[0].side.wait(STOP_TIME)?;
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
