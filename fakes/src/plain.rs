//! Plain service that counts each run.

use crate::server::{Flags, address, flag, json, listen, status};
use async_std::task;
use eyre::Result;
use http_types::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Command line of the plain service.
pub struct Settings {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Time one call takes.
    pub work: Duration,
}

impl Settings {
    /// Reads the flags.
    pub fn read(flags: &Flags) -> Result<Self> {
        Ok(Self {
            address: address(flags, "address")?,
            work: Duration::from_millis(flag(flags, "work-ms", 5)?),
        })
    }
}

/// Faults that the service is told to make, `POST /control`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Leaves calls waiting before they run.
    stall: bool,
    /// Extra time of each call in milliseconds.
    slow_ms: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    runs: BTreeMap<String, u64>,
}

/// Serves until the process ends.
pub async fn serve(settings: Settings) -> Result<()> {
    let state = Arc::new(Mutex::new(State::default()));
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

/// Counts the run under its `Idempotency-Key`, before the work, as a service that charges a card would.
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
    let run = {
        let mut state = lock(state);
        let run = state.runs.entry(key.clone()).or_default();
        *run += 1;
        *run
    };
    let slow = Duration::from_millis(lock(state).faults.slow_ms);
    task::sleep(work + slow).await;
    Ok(json(&json!({"key": key, "run": run, "echo": body})))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
