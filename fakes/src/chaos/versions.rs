//! Configuration versions that instances report.

use crate::http;
use crate::set::Set;
use async_std::task;
use eyre::{Result, bail};
use http_types::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const READ_INTERVAL: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the measurement of the propagation fails. It exceeds the target of 5 s, so that a
/// missed target is still measured.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Versions that instances reported as being in force.
pub(super) struct Versions {
    admins: Vec<SocketAddr>,
    highest: Mutex<BTreeMap<SocketAddr, u64>>,
    reverted: Mutex<Vec<String>>,
}

impl Versions {
    pub(super) fn of(set: &Set) -> Self {
        let entries = set.entries.iter().map(|entry| entry.admin);
        let sides = set.upstreams.iter().map(|upstream| upstream.admin);
        Self {
            admins: entries.chain(sides).collect(),
            highest: Mutex::default(),
            reverted: Mutex::default(),
        }
    }

    /// Polls the versions until cancelled. An instance that has just started reports 0.
    pub(super) async fn watch(self: Arc<Self>) {
        loop {
            for admin in &self.admins {
                if let Some(version) = read(*admin).await {
                    self.record(*admin, version);
                }
            }
            task::sleep(READ_INTERVAL).await;
        }
    }

    fn record(&self, admin: SocketAddr, version: u64) {
        let mut highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
        let highest = highest.entry(admin).or_default();
        if version != 0 && version < *highest {
            let line = format!("{admin} reverted from version {highest} to {version}");
            self.reverted
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(line);
        }
        *highest = version.max(*highest);
    }

    pub(super) fn reverted(&self) -> Vec<String> {
        self.reverted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Publishes again and measures the time until all instances report that version or a later one.
    pub(super) async fn measure_propagation(&self, set: &Set) -> Result<Duration> {
        set.publish(&set.settings.services).await?;
        let start = Instant::now();
        let target = set.published_version().await?;
        while start.elapsed() < PROPAGATION_TIMEOUT {
            let mut is_everywhere = true;
            for admin in &self.admins {
                is_everywhere &= read(*admin).await.is_some_and(|version| version >= target);
            }
            if is_everywhere {
                return Ok(start.elapsed());
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        let mut reported = Vec::new();
        for admin in &self.admins {
            reported.push(read(*admin).await);
        }
        bail!(
            "version {target} was not in force at all instances within {PROPAGATION_TIMEOUT:?}; reported versions: {reported:?}"
        )
    }
}

async fn read(admin: SocketAddr) -> Option<u64> {
    let request = http::request(Method::Get, admin, "/status", &[], "");
    let answer = http::call(admin, request, READ_TIMEOUT).await.ok()?;
    let status: Value = answer.json().ok()?;
    status["version"].as_u64()
}
