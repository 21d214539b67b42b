//! Callers behind a load balancer: they use ready entries, and retry refused connections only.

use async_std::net::TcpStream;
use async_std::task::{self, JoinHandle};
use eyre::{Result, bail, ensure, eyre};
use fakes::http;
use fakes::set::{Set, chat_body};
use futures_lite::AsyncReadExt;
use http_types::{Method, Response};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const CHECK_PERIOD: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const NO_ENTRY_PAUSE: Duration = Duration::from_millis(10);

/// Results of the requests of all callers.
#[derive(Debug, Default)]
pub struct Tally {
    /// Number of complete answers.
    pub answered: AtomicU64,
    /// Errors of requests that failed after their connection had been accepted.
    pub failures: Mutex<Vec<String>>,
    /// Longest time from a request to its complete answer, in milliseconds.
    pub slowest_ms: AtomicU64,
    /// Number of refused connections, after which a balancer tries another entry.
    pub refused_connections: AtomicU64,
}

impl Tally {
    /// Number of complete answers.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Errors of requests that failed after their connection had been accepted; none are expected.
    pub fn failures(&self) -> Vec<String> {
        self.failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Caller address of each entry, with the address of its health pages.
type Backends = BTreeMap<SocketAddr, SocketAddr>;

/// A load balancer with callers that each send one request after another.
pub struct Balancer {
    backends: Arc<Mutex<Backends>>,
    callers: Vec<JoinHandle<()>>,
    is_stopped: Arc<AtomicBool>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    /// Results of the requests of all callers.
    pub tally: Arc<Tally>,
}

impl Balancer {
    /// Starts `callers` callers. Each sends a streaming chat, a plain chat and a booking in sequence.
    pub fn start(set: &Set, callers: usize) -> Self {
        let mut balancer = Self {
            backends: Arc::default(),
            callers: Vec::new(),
            is_stopped: Arc::default(),
            ready: Arc::default(),
            tally: Arc::default(),
        };
        balancer.update_backends(set);
        let ready = balancer.ready.clone();
        let backends = balancer.backends.clone();
        let is_stopped = balancer.is_stopped.clone();
        task::spawn(check_health(backends, ready, is_stopped));
        for number in 0..callers {
            let caller = Caller {
                connections: BTreeMap::new(),
                is_stopped: balancer.is_stopped.clone(),
                number,
                ready: balancer.ready.clone(),
                tally: balancer.tally.clone(),
            };
            balancer.callers.push(task::spawn(caller.run()));
        }
        balancer
    }

    /// Replaces the backends by the current entries of the set.
    pub fn update_backends(&self, set: &Set) {
        let backends = set.entries.iter().map(|entry| (entry.callers, entry.admin));
        *lock(&self.backends) = backends.collect();
    }

    /// Stops each caller after its current request and returns the results.
    pub async fn stop(self) -> Arc<Tally> {
        self.is_stopped.store(true, Ordering::Release);
        for caller in self.callers {
            caller.await;
        }
        self.tally
    }
}

/// Polls the readiness of the backends until the callers are stopped.
async fn check_health(
    backends: Arc<Mutex<Backends>>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    is_stopped: Arc<AtomicBool>,
) {
    while !is_stopped.load(Ordering::Acquire) {
        let all = lock(&backends).clone();
        let mut found = Vec::new();
        for (callers, admin) in all {
            let request = http::request(Method::Get, admin, "/ready", &[], "");
            let answer = http::call(admin, request, Duration::from_secs(1)).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                found.push(callers);
            }
        }
        *lock(&ready) = found;
        task::sleep(CHECK_PERIOD).await;
    }
}

struct Caller {
    connections: BTreeMap<SocketAddr, TcpStream>,
    is_stopped: Arc<AtomicBool>,
    number: usize,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    tally: Arc<Tally>,
}

/// Reason why a request has no answer.
enum Failure {
    /// The request failed after its connection had been accepted.
    Broken(eyre::Report),
    /// The connection was refused.
    ConnectionRefused,
}

impl Caller {
    async fn run(mut self) {
        let mut sequence = self.number;
        while !self.is_stopped.load(Ordering::Acquire) {
            let ready = lock(&self.ready).clone();
            if ready.is_empty() {
                task::sleep(NO_ENTRY_PAUSE).await;
                continue;
            }
            let address = ready[sequence % ready.len()];
            let start = Instant::now();
            match self.call(address, sequence).await {
                Ok(()) => {
                    self.tally.answered.fetch_add(1, Ordering::Relaxed);
                    let millis = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
                    self.tally.slowest_ms.fetch_max(millis, Ordering::Relaxed);
                    sequence += 1;
                }
                Err(Failure::ConnectionRefused) => {
                    self.tally
                        .refused_connections
                        .fetch_add(1, Ordering::Relaxed);
                    task::sleep(NO_ENTRY_PAUSE).await;
                }
                Err(Failure::Broken(error)) => {
                    self.connections.remove(&address);
                    let time = start.elapsed();
                    let failure =
                        format!("request {sequence} to {address} failed after {time:?}: {error:#}");
                    lock(&self.tally.failures).push(failure);
                    sequence += 1;
                }
            }
        }
    }

    async fn call(&mut self, address: SocketAddr, sequence: usize) -> Result<(), Failure> {
        let tcp = self.connection(address).await?;
        let exchange = exchange(tcp, address, self.number, sequence);
        let is_closing = async_std::future::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| Failure::Broken(eyre!("no complete answer within {CALL_TIMEOUT:?}")))?
            .map_err(Failure::Broken)?;
        if is_closing {
            self.connections.remove(&address);
        }
        Ok(())
    }

    /// Returns the idle connection to `address` if it is still open, or else a new one.
    async fn connection(&mut self, address: SocketAddr) -> Result<TcpStream, Failure> {
        if let Some(tcp) = self.connections.get(&address) {
            let mut byte = [0];
            let peek = tcp.peek(&mut byte);
            if futures_lite::future::poll_once(peek).await.is_none() {
                return Ok(tcp.clone());
            }
        }
        let tcp = TcpStream::connect(address)
            .await
            .map_err(|_| Failure::ConnectionRefused)?;
        self.connections.insert(address, tcp.clone());
        Ok(tcp)
    }
}

/// Sends one request and checks its answer; returns whether the answer closes the connection.
async fn exchange(
    tcp: TcpStream,
    address: SocketAddr,
    caller: usize,
    sequence: usize,
) -> Result<bool> {
    const TOKENS: u64 = 20;
    let prompt = format!("caller {caller} turn {sequence}");
    let key = format!("{caller}-{sequence}");
    let (path, body, headers) = match sequence % 3 {
        0 => (
            "/v1/chat/completions",
            chat_body(&prompt, TOKENS, true),
            vec![],
        ),
        1 => (
            "/v1/chat/completions",
            chat_body(&prompt, TOKENS, false),
            vec![],
        ),
        _ => (
            "/v1/services/orders/booking",
            prompt.clone(),
            vec![("Idempotency-Key", key.as_str())],
        ),
    };
    let mut all = vec![
        ("Authorization", "Bearer retail-key"),
        ("Content-Type", "application/json"),
    ];
    all.extend(headers);
    let request = http::request(Method::Post, address, path, &all, body);
    let mut response: Response = async_h1::connect(tcp, request)
        .await
        .map_err(|error| eyre!("{error}"))?;
    let mut bytes = Vec::new();
    response.read_to_end(&mut bytes).await?;
    let text = String::from_utf8_lossy(&bytes);
    ensure!(
        response.status() == 200,
        "expected status 200, got {}: {text}",
        response.status()
    );
    match sequence % 3 {
        0 if !text.ends_with("data: [DONE]\n\n") => bail!("truncated stream: {text}"),
        1 if !text.contains("\"completion_tokens\":20") => bail!("truncated answer: {text}"),
        2 if !text.contains(&prompt) => bail!("expected `{prompt}` in the answer, got {text}"),
        _ => {}
    }
    let connection = response.header("Connection");
    Ok(connection.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close")))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
