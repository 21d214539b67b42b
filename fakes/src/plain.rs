//! Fake plain service that counts the runs of each idempotency key.

use crate::server::{Flags, address, flag, json, listen, status};
use async_std::task;
use eyre::Result;
use http_types::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Command line of the plain service.
pub struct Settings {
    /// Listen address.
    pub address: SocketAddr,
    /// File that keeps the runs across restarts, one key per line; `None` keeps them in memory.
    pub records: Option<PathBuf>,
    /// Time that one call takes.
    pub work: Duration,
}

impl Settings {
    /// Parses the flags.
    pub fn read(flags: &Flags) -> Result<Self> {
        Ok(Self {
            address: address(flags, "address")?,
            records: flags.get("records").map(PathBuf::from),
            work: Duration::from_millis(flag(flags, "work-ms", 5)?),
        })
    }
}

/// Faults to inject, set by `POST /control`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Blocks calls before they run.
    stall: bool,
    /// Extra time of each call in milliseconds.
    slow_ms: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    records: Option<File>,
    runs: BTreeMap<String, u64>,
}

impl State {
    /// Loads the runs that an earlier process recorded.
    fn load(path: &Path) -> Result<Self> {
        let mut file = File::options()
            .append(true)
            .create(true)
            .read(true)
            .open(path)?;
        let mut text = String::new();
        file.read_to_string(&mut text)?;
        let mut runs = BTreeMap::new();
        for key in text.lines() {
            *runs.entry(key.to_string()).or_default() += 1;
        }
        Ok(Self {
            faults: Faults::default(),
            records: Some(file),
            runs,
        })
    }

    /// Records a run of `key` and returns how often the key has run.
    fn record_run(&mut self, key: &str) -> std::io::Result<u64> {
        if let Some(file) = &mut self.records {
            file.write_all(format!("{key}\n").as_bytes())?;
        }
        let run = self.runs.entry(key.to_string()).or_default();
        *run += 1;
        Ok(*run)
    }
}

/// Serves requests until the process ends.
pub async fn serve(settings: Settings) -> Result<()> {
    let state = match &settings.records {
        Some(path) => State::load(path)?,
        None => State::default(),
    };
    let state = Arc::new(Mutex::new(state));
    let work = settings.work;
    listen(settings.address, move |request| {
        let state = state.clone();
        async move { handle(&state, work, request).await }
    })
    .await
}

async fn handle(
    state: &Mutex<State>,
    work: Duration,
    mut request: Request,
) -> http_types::Result<Response> {
    match request.url().path() {
        "/control" => {
            lock(state).faults = request.body_json().await?;
            Ok(status(StatusCode::Ok))
        }
        "/records" => Ok(json(&json!({ "runs": lock(state).runs }))),
        "/health" => Ok(status(StatusCode::Ok)),
        _ => run(state, work, request).await,
    }
}

/// Records the run under its `Idempotency-Key` before the work, so that a run that is cut off
/// counts too, as it would in a service that charges a card.
async fn run(
    state: &Mutex<State>,
    work: Duration,
    mut request: Request,
) -> http_types::Result<Response> {
    let body = request.body_string().await?;
    while lock(state).faults.stall {
        task::sleep(Duration::from_millis(10)).await;
    }
    let key = request
        .header("Idempotency-Key")
        .map(|values| values.as_str().to_string())
        .unwrap_or_default();
    let run = lock(state).record_run(&key)?;
    let slow = Duration::from_millis(lock(state).faults.slow_ms);
    task::sleep(work + slow).await;
    Ok(json(&json!({"key": key, "run": run, "echo": body})))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
