//! Measures the time from a kill until all probes are answered again.

use super::injector;
use crate::http;
use crate::set::{Set, chat_body};
use async_std::task;
use eyre::{Result, bail};
use http_types::Method;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PROBES_PER_BATCH: usize = 8;
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Recovery after one kind of kill, without a restart of the killed process.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Kind of the killed process.
    pub kill: &'static str,
    /// Time from the kill until a batch of concurrent probes through the remaining entries was
    /// answered completely.
    pub time: Duration,
}

/// Kills one process of each kind in turn, measures the recovery and restarts the process.
pub(super) async fn measure(set: &mut Set) -> Result<Vec<Recovery>> {
    let mut recoveries = Vec::new();
    // Names for the report, and the pool of the killed process.
    let kills: [(&str, &str); 5] = [
        ("engine", "drafting"),
        ("entry", ""),
        ("order desk", "orders"),
        ("side of an engine", "drafting"),
        ("side of an order desk", "orders"),
    ];
    for (round, (kill, pool)) in kills.into_iter().enumerate() {
        let index = set
            .upstreams
            .iter()
            .position(|upstream| upstream.pool == pool);
        match (kill, index) {
            ("entry", _) => set.entries[0].process.kill(),
            ("engine" | "order desk", Some(index)) => set.upstreams[index].upstream.kill(),
            (_, Some(index)) => set.upstreams[index].side.kill(),
            (_, None) => bail!("the set has no upstream in the pool `{pool}`"),
        }
        let time = until_answered(set, round).await?;
        recoveries.push(Recovery { kill, time });
        injector::heal_all(set).await?;
        task::sleep(Duration::from_secs(1)).await;
    }
    Ok(recoveries)
}

async fn until_answered(set: &Set, round: usize) -> Result<Duration> {
    let start = Instant::now();
    for batch in 0.. {
        if start.elapsed() > RECOVERY_TIMEOUT {
            bail!(
                "no batch of {PROBES_PER_BATCH} probes was answered completely within {RECOVERY_TIMEOUT:?}"
            );
        }
        if all_answered(set, round, batch).await {
            return Ok(start.elapsed());
        }
    }
    Ok(start.elapsed())
}

/// Sends a batch of concurrent probes through the entries other than the first, which may be the
/// killed one.
async fn all_answered(set: &Set, round: usize, batch: usize) -> bool {
    let probes: Vec<_> = (0..PROBES_PER_BATCH)
        .map(|probe| {
            let entry = set.entries[1 + probe % (set.entries.len() - 1)].callers;
            let name = format!("recovery-{round}-{batch}-{probe}");
            task::spawn(is_answered(entry, name))
        })
        .collect();
    let mut is_complete = true;
    for probe in probes {
        is_complete &= probe.await;
    }
    is_complete
}

async fn is_answered(entry: SocketAddr, name: String) -> bool {
    let body = chat_body(&name, 1, false);
    post(entry, "/v1/chat/completions", &name, body).await
        && post(entry, "/v1/services/orders/booking", &name, name.clone()).await
}

async fn post(entry: SocketAddr, path: &str, key: &str, body: String) -> bool {
    let headers = [
        ("Almondwell-Deadline", "1s"),
        ("Authorization", "Bearer retail-key"),
        ("Idempotency-Key", key),
    ];
    let request = http::request(Method::Post, entry, path, &headers, body);
    let answer = http::call(entry, request, PROBE_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status() == 200)
}
