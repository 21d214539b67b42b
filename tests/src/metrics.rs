//! Reads the metrics of running processes.

use async_std::task;
use eyre::{Result, bail};
use fakes::http::{call, request};
use http_types::Method;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Sum of the metric `name` over all its label sets, read from the admin address `admin`.
pub async fn sum(admin: SocketAddr, name: &str) -> Result<u64> {
    let page = request(Method::Get, admin, "/metrics", &[], "");
    let text = call(admin, page, TIMEOUT).await?.text();
    let values = text.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        rest.starts_with([' ', '{'])
            .then(|| rest.rsplit(' ').next())?
    });
    let mut sum = 0;
    for value in values {
        sum += value.parse::<u64>()?;
    }
    Ok(sum)
}

/// Waits up to 10 s until the sum of the metric `name` at `admin` is `value`.
pub async fn wait_for(admin: SocketAddr, name: &str, value: u64) -> Result<()> {
    let start = Instant::now();
    let mut found = 0;
    while start.elapsed() < TIMEOUT {
        found = sum(admin, name).await?;
        if found == value {
            return Ok(());
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    bail!("`{name}` at {admin}: expected {value} within {TIMEOUT:?}, got {found}")
}
