//! Malformed, oversized and slow requests from callers.

use crate::raw::{Case, Connection};
use async_std::future::timeout;
use async_std::task;
use eyre::{Result, ensure};
use fakes::set::{Set, Settings};
use std::time::Duration;
use tests::cases;
use tests::metrics::sum;

const TIMEOUT: Duration = Duration::from_secs(10);

cases! {
    answers_each_raw_request(Settings::default()) = answers_raw;
    answers_a_request_sent_byte_by_byte(Settings::default()) = answers_byte_by_byte;
    refuses_a_slow_head(short_timeouts()) = refuses_slow_head;
    refuses_a_slow_body(short_timeouts()) = refuses_slow_body;
    refuses_connections_over_the_limit(two_connections()) = refuses_connections;
    refuses_bodies_over_the_memory_limit(small_body_memory()) = refuses_bodies;
    stays_within_its_memory_limit_under_a_flood(Settings::default()) = stays_within_memory;
    serves_an_idle_connection_while_draining(Settings::default()) = serves_while_draining;
}

fn entry_flags(flags: &[(&str, &str)]) -> Settings {
    Settings {
        entry_flags: pairs(flags),
        ..Settings::default()
    }
}

fn short_timeouts() -> Settings {
    entry_flags(&[("head-timeout", "300ms"), ("body-timeout", "300ms")])
}

fn small_body_memory() -> Settings {
    entry_flags(&[("body-memory", "16777216")])
}

fn two_connections() -> Settings {
    entry_flags(&[("connections", "2")])
}

fn pairs(flags: &[(&str, &str)]) -> Vec<(String, String)> {
    flags
        .iter()
        .map(|(key, value)| (key.to_string(), value.to_string()))
        .collect()
}

async fn answers_raw(set: Set) -> Result<()> {
    let cases = Case::read_all()?;
    let mut wrong = Vec::new();
    for case in &cases {
        if let Err(error) = timeout(TIMEOUT, case.check(set.entries[0].callers)).await? {
            wrong.push(format!("{}: {error}", case.name));
        }
    }
    ensure!(wrong.is_empty(), "{}", wrong.join("\n"));
    let rejected = sum(set.entries[0].admin, "almondwell_requests_rejected_total").await?;
    let expected = cases.iter().map(Case::rejections).sum::<usize>();
    ensure!(
        rejected == expected as u64,
        "expected {expected} rejected requests, got {rejected}"
    );
    ensure_serving(&set).await
}

async fn answers_byte_by_byte(set: Set) -> Result<()> {
    let mut connection = Connection::open(set.entries[0].callers).await?;
    for byte in b"GET /v1/models HTTP/1.1\r\nHost: almondwell\r\n\r\n" {
        connection.send(&[*byte]).await?;
        task::sleep(Duration::from_millis(1)).await;
    }
    ensure!(connection.answer().await?.status == 200);
    Ok(())
}

async fn refuses_slow_head(set: Set) -> Result<()> {
    let mut connection = Connection::open(set.entries[0].callers).await?;
    connection.send(b"GET /v1/models HTTP/1.1\r\nHost").await?;
    let answer = connection.answer().await?;
    ensure!(
        answer.status == 408 && answer.code() == "too_slow",
        "{answer:?}"
    );
    ensure!(connection.is_closed().await);
    Ok(())
}

async fn refuses_slow_body(set: Set) -> Result<()> {
    for framing in ["Content-Length: 10", "Transfer-Encoding: chunked"] {
        let mut connection = Connection::open(set.entries[0].callers).await?;
        let head =
            format!("POST /v1/chat/completions HTTP/1.1\r\nHost: almondwell\r\n{framing}\r\n\r\n1");
        connection.send(head.as_bytes()).await?;
        let answer = connection.answer().await?;
        ensure!(
            answer.status == 408 && answer.code() == "too_slow",
            "{answer:?}"
        );
        ensure!(connection.is_closed().await);
    }
    Ok(())
}

async fn refuses_connections(set: Set) -> Result<()> {
    let entry = &set.entries[0];
    let held = [
        Connection::open(entry.callers).await?,
        Connection::open(entry.callers).await?,
    ];
    let mut over = Connection::open(entry.callers).await?;
    let answer = over.answer().await?;
    ensure!(
        answer.status == 503 && answer.code() == "overloaded",
        "{answer:?}"
    );
    ensure!(answer.header("retry-after") == Some("1"), "{answer:?}");
    drop((held, over));
    task::sleep(Duration::from_millis(100)).await;
    let refused = sum(entry.admin, "almondwell_connections_refused_total").await?;
    ensure!(refused == 1, "expected 1 refused connection, got {refused}");
    ensure_serving(&set).await
}

async fn refuses_bodies(set: Set) -> Result<()> {
    let entry = set.entries[0].callers;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: almondwell\r\n";
    let mut holder = Connection::open(entry).await?;
    let long = format!("{head}Content-Length: 4194304\r\n\r\n");
    holder.send(long.as_bytes()).await?;
    task::sleep(Duration::from_millis(100)).await;
    let mut over = Connection::open(entry).await?;
    let short = format!("{head}Content-Length: 1\r\n\r\n1");
    over.send(short.as_bytes()).await?;
    let answer = over.answer().await?;
    ensure!(
        answer.status == 503 && answer.code() == "overloaded",
        "{answer:?}"
    );
    drop(holder);
    task::sleep(Duration::from_millis(100)).await;
    ensure_serving(&set).await
}

/// Sends more long bodies at once than the memory limit allows; every second one lacks its last byte.
async fn stays_within_memory(set: Set) -> Result<()> {
    const LENGTH: usize = 4 << 20;
    const FLOOD: usize = 60;
    const LIMIT_KIB: u64 = 256 << 10;
    let entry = &set.entries[0];
    let head = format!(
        "POST /v1/services/orders/lookup HTTP/1.1\r\nHost: almondwell\r\n\
         Authorization: Bearer retail-key\r\nContent-Length: {LENGTH}\r\n\r\n"
    );
    let callers: Vec<_> = (0..FLOOD)
        .map(|number| {
            let body = vec![b'x'; LENGTH - number % 2];
            let bytes = [head.as_bytes(), &body].concat();
            async_std::task::spawn(flood(entry.callers, bytes))
        })
        .collect();
    task::sleep(Duration::from_secs(1)).await;
    let peak = set.entries[0].process.peak_memory()?;
    println!("peak of the entry's memory: {peak} KiB");
    ensure!(
        peak < LIMIT_KIB,
        "expected a peak below {LIMIT_KIB} KiB, got {peak} KiB"
    );
    for caller in callers {
        caller.cancel().await;
    }
    task::sleep(Duration::from_millis(300)).await;
    ensure_serving(&set).await
}

async fn flood(entry: std::net::SocketAddr, bytes: Vec<u8>) -> Result<()> {
    let mut connection = Connection::open(entry).await?;
    // The entry does not read a refused body to its end, so the write may fail.
    let _ = connection.send(&bytes).await;
    connection.answer().await?;
    Ok(())
}

async fn serves_while_draining(mut set: Set) -> Result<()> {
    let mut idle = Connection::open(set.entries[0].callers).await?;
    set.entries[0].process.signal("TERM")?;
    task::sleep(Duration::from_millis(700)).await;
    let request = b"GET /v1/models HTTP/1.1\r\nHost: almondwell\r\n\r\n";
    idle.send(request).await?;
    let answer = idle.answer().await?;
    ensure!(answer.status == 200, "{answer:?}");
    ensure!(answer.header("connection") == Some("close"), "{answer:?}");
    let status = set.entries[0].process.wait(TIMEOUT)?;
    ensure!(status.success(), "{status}");
    Ok(())
}

/// Checks that a valid chat completion and a valid booking are answered.
pub(crate) async fn ensure_serving(set: &Set) -> Result<()> {
    let answer = set.chat(0, "urgent", "hammock", 1).await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    let answer = set.order(0, "booking", "after", "fukuoka").await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    Ok(())
}
