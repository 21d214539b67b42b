//! Object API and instance list.

use crate::server::{Flags, address, flag, json, listen, status};
use almondwell_schema::{Instance, Version};
use async_std::task;
use eyre::Result;
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const MAX_VALUE: usize = 1 << 20;
const WATCH_PERIOD: Duration = Duration::from_millis(10);
/// How long the platform holds a call while it is down and not refusing.
const HANG: Duration = Duration::from_secs(30);

/// Command line of the platform stand-in.
pub struct Settings {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Time until a change shows in the instance list.
    pub lag: Duration,
}

impl Settings {
    /// Reads the flags.
    pub fn read(flags: &Flags) -> Result<Self> {
        Ok(Self {
            address: address(flags, "address")?,
            lag: Duration::from_millis(flag(flags, "lag-ms", 0)?),
        })
    }
}

/// Faults that the platform is told to make, `POST /control`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Delay of each call in milliseconds.
    delay_ms: u64,
    /// Answers 503 to everything.
    down: bool,
    /// Leaves calls without an answer.
    hang: bool,
    /// Number of writes whose answers are lost after they took effect.
    lose_replies: u64,
    /// Number of writes that take effect only after `delay_ms`, their answers lost.
    late_writes: u64,
}

#[derive(Default)]
struct Counts {
    /// Instance lists sent whole.
    lists: u64,
    reads: u64,
    /// Instance lists that were as the reader knew them.
    unchanged: u64,
    watches: u64,
    writes: u64,
}

struct Listing {
    instance: Option<Instance>,
    since: Instant,
}

#[derive(Default)]
struct State {
    counts: Counts,
    faults: Faults,
    instances: BTreeMap<String, Vec<Listing>>,
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    version: Version,
}

struct Platform {
    lag: Duration,
    state: Mutex<State>,
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves until the process ends.
pub async fn serve(settings: Settings) -> Result<()> {
    let platform = Arc::new(Platform {
        lag: settings.lag,
        state: Mutex::default(),
    });
    listen(settings.address, move |request| {
        let platform = platform.clone();
        async move { handle(&platform, request).await }
    })
    .await
}

async fn handle(platform: &Arc<Platform>, mut request: Request) -> http_types::Result<Response> {
    let url = request.url().clone();
    let path = url.path().to_string();
    if path == "/control" {
        platform.state().faults = request.body_json().await?;
        return Ok(status(StatusCode::Ok));
    }
    if path == "/counts" {
        let state = platform.state();
        let counts = &state.counts;
        return Ok(json(
            &json!({"lists": counts.lists, "reads": counts.reads, "unchanged": counts.unchanged,
                "watches": counts.watches, "writes": counts.writes}),
        ));
    }
    if request.method() != Method::Get && path.starts_with("/instances/") {
        return register(platform, &path, &mut request).await;
    }
    let faults = platform.state().faults;
    if faults.hang {
        task::sleep(HANG).await;
    }
    if faults.down {
        return Ok(status(StatusCode::ServiceUnavailable));
    }
    if faults.late_writes == 0 {
        task::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if path == "/instances" {
        return Ok(instances(platform, &request));
    }
    if path == "/objects" {
        return Ok(list(platform, &url));
    }
    let Some(key) = path.strip_prefix("/objects/") else {
        return Ok(status(StatusCode::NotFound));
    };
    match request.method() {
        Method::Get => Ok(read(platform, key, &url).await),
        Method::Put | Method::Delete => write(platform, key, request).await,
        _ => Ok(status(StatusCode::MethodNotAllowed)),
    }
}

async fn register(
    platform: &Platform,
    path: &str,
    request: &mut Request,
) -> http_types::Result<Response> {
    let id = path.trim_start_matches("/instances/").to_string();
    let instance = match request.method() {
        Method::Delete => None,
        _ => Some(request.body_json().await?),
    };
    let listing = Listing {
        instance,
        since: Instant::now(),
    };
    platform
        .state()
        .instances
        .entry(id)
        .or_default()
        .push(listing);
    Ok(status(StatusCode::Ok))
}

fn instances(platform: &Platform, request: &Request) -> Response {
    platform.state().counts.reads += 1;
    let list = json!(shown(platform)).to_string();
    let tag = format!("\"{}\"", blake3::hash(list.as_bytes()).to_hex());
    let held = request.header("If-None-Match");
    let mut state = platform.state();
    let mut response = if held.is_some_and(|held| held.as_str() == tag) {
        state.counts.unchanged += 1;
        status(StatusCode::NotModified)
    } else {
        state.counts.lists += 1;
        let mut response = status(StatusCode::Ok);
        response.set_body(list);
        response
    };
    response.insert_header("ETag", tag);
    response
}

fn shown(platform: &Platform) -> Vec<Instance> {
    let state = platform.state();
    state
        .instances
        .values()
        .filter_map(|listings| {
            let shown = |listing: &&Listing| listing.since.elapsed() >= platform.lag;
            listings.iter().rev().find(shown)?.instance.clone()
        })
        .collect()
}

fn list(platform: &Platform, url: &Url) -> Response {
    let prefix = query(url, "prefix").unwrap_or_default();
    let mut state = platform.state();
    state.counts.reads += 1;
    let keys: Vec<_> = state
        .objects
        .range(prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&prefix))
        .map(|(key, (version, _))| json!({"key": key, "version": version}))
        .collect();
    json(&json!(keys))
}

async fn read(platform: &Platform, key: &str, url: &Url) -> Response {
    let after: Version = query(url, "after")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let wait = query(url, "wait")
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    match wait {
        Some(_) => platform.state().counts.watches += 1,
        None => platform.state().counts.reads += 1,
    }
    let start = Instant::now();
    loop {
        let faults = platform.state().faults;
        if faults.down {
            return status(StatusCode::ServiceUnavailable);
        }
        if faults.hang {
            task::sleep(HANG).await;
        }
        let found = platform.state().objects.get(key).cloned();
        match (found, wait) {
            (Some((version, value)), _) if version > after => return object(version, value),
            (_, Some(wait)) if start.elapsed() < wait => task::sleep(WATCH_PERIOD).await,
            (_, Some(_)) => return status(StatusCode::NotModified),
            (Some((version, value)), None) => return object(version, value),
            (None, None) => return status(StatusCode::NotFound),
        }
    }
}

async fn write(
    platform: &Arc<Platform>,
    key: &str,
    mut request: Request,
) -> http_types::Result<Response> {
    let value = request.body_bytes().await?;
    if value.len() > MAX_VALUE {
        return Ok(status(StatusCode::PayloadTooLarge));
    }
    let (is_late, is_lost, delay) = draw_faults(platform);
    if is_late {
        // It takes effect also when its caller has left or died.
        task::spawn(apply_late(
            platform.clone(),
            key.into(),
            request,
            value,
            delay,
        ));
        task::sleep(HANG).await;
        return Ok(status(StatusCode::GatewayTimeout));
    }
    let response = apply(platform, key, &request, value);
    if is_lost {
        task::sleep(HANG).await;
    }
    Ok(response)
}

async fn apply_late(
    platform: Arc<Platform>,
    key: Box<str>,
    request: Request,
    value: Vec<u8>,
    delay: Duration,
) {
    task::sleep(delay).await;
    apply(&platform, &key, &request, value);
}

/// Counts a write and says whether it is late, whether its answer is lost, and the delay.
fn draw_faults(platform: &Platform) -> (bool, bool, Duration) {
    let mut state = platform.state();
    state.counts.writes += 1;
    let faults = &mut state.faults;
    let is_late = faults.late_writes > 0;
    let is_lost = !is_late && faults.lose_replies > 0;
    faults.late_writes -= u64::from(is_late);
    faults.lose_replies -= u64::from(is_lost);
    (is_late, is_lost, Duration::from_millis(faults.delay_ms))
}

fn apply(platform: &Platform, key: &str, request: &Request, value: Vec<u8>) -> Response {
    let mut state = platform.state();
    let current = state.objects.get(key).map(|(version, _)| *version);
    let wanted = request
        .header("If-Match")
        .and_then(|values| values.as_str().trim_matches('"').parse::<Version>().ok());
    let is_create = request.header("If-None-Match").is_some();
    if (is_create && current.is_some()) || (!is_create && current != wanted) {
        return status(StatusCode::PreconditionFailed);
    }
    state.version += 1;
    let version = state.version;
    if request.method() == Method::Delete {
        state.objects.remove(key);
    } else {
        state.objects.insert(key.to_string(), (version, value));
    }
    tagged(version)
}

fn object(version: Version, value: Vec<u8>) -> Response {
    let mut response = tagged(version);
    response.set_body(value);
    response
}

fn tagged(version: Version) -> Response {
    let mut response = status(StatusCode::Ok);
    response.insert_header("ETag", format!("\"{version}\""));
    response
}

fn query(url: &Url, name: &str) -> Option<String> {
    url.query_pairs()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
