//! A caller behind a balancer: it uses ready entries, and repeats refused connections only.

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

/// What callers met.
#[derive(Debug, Default)]
pub struct Tally {
    /// Whole answers.
    pub answered: AtomicU64,
    /// Errors of requests whose connection was accepted.
    pub failures: Mutex<Vec<String>>,
    /// Longest time from a request to its whole answer, in milliseconds.
    pub slowest: AtomicU64,
    /// Connections that were refused, which a balancer tries elsewhere.
    pub unconnected: AtomicU64,
}

impl Tally {
    /// Whole answers.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Errors, which should be none.
    pub fn failures(&self) -> Vec<String> {
        self.failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Entries by address of their callers, with the address of their health page.
type Backends = BTreeMap<SocketAddr, SocketAddr>;

/// A balancer with callers that send one request after another.
pub struct Balancer {
    backends: Arc<Mutex<Backends>>,
    callers: Vec<JoinHandle<()>>,
    is_stopped: Arc<AtomicBool>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    /// What callers met.
    pub tally: Arc<Tally>,
}

impl Balancer {
    /// Starts `callers` callers, each of which sends the kinds of requests in turn.
    pub fn start(set: &Set, callers: usize) -> Self {
        let mut balancer = Self {
            backends: Arc::default(),
            callers: Vec::new(),
            is_stopped: Arc::default(),
            ready: Arc::default(),
            tally: Arc::default(),
        };
        balancer.follow(set);
        let ready = balancer.ready.clone();
        let backends = balancer.backends.clone();
        let is_stopped = balancer.is_stopped.clone();
        task::spawn(check(backends, ready, is_stopped));
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

    /// Takes over the set's entries.
    pub fn follow(&self, set: &Set) {
        let backends = set.entries.iter().map(|entry| (entry.callers, entry.admin));
        *lock(&self.backends) = backends.collect();
    }

    /// Ends the callers after their last answers.
    pub async fn stop(self) -> Arc<Tally> {
        self.is_stopped.store(true, Ordering::Release);
        for caller in self.callers {
            caller.await;
        }
        self.tally
    }
}

async fn check(
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

/// Why a request has no answer.
enum Miss {
    /// It failed after its connection was accepted.
    Cut(eyre::Report),
    /// Its connection was refused.
    Unconnected,
}

impl Caller {
    async fn run(mut self) {
        let mut turn = self.number;
        while !self.is_stopped.load(Ordering::Acquire) {
            let ready = lock(&self.ready).clone();
            if ready.is_empty() {
                task::sleep(NO_ENTRY_PAUSE).await;
                continue;
            }
            let address = ready[turn % ready.len()];
            let start = Instant::now();
            match self.call(address, turn).await {
                Ok(()) => {
                    self.tally.answered.fetch_add(1, Ordering::Relaxed);
                    let millis = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
                    self.tally.slowest.fetch_max(millis, Ordering::Relaxed);
                    turn += 1;
                }
                Err(Miss::Unconnected) => {
                    self.tally.unconnected.fetch_add(1, Ordering::Relaxed);
                    task::sleep(NO_ENTRY_PAUSE).await;
                }
                Err(Miss::Cut(error)) => {
                    self.connections.remove(&address);
                    let time = start.elapsed();
                    let failure = format!("{address}, turn {turn}, after {time:?}: {error:#}");
                    lock(&self.tally.failures).push(failure);
                    turn += 1;
                }
            }
        }
    }

    async fn call(&mut self, address: SocketAddr, turn: usize) -> Result<(), Miss> {
        let tcp = self.connection(address).await?;
        let exchange = exchange(tcp, address, self.number, turn);
        let is_closing = async_std::future::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| Miss::Cut(eyre!("no answer within {CALL_TIMEOUT:?}")))?
            .map_err(Miss::Cut)?;
        if is_closing {
            self.connections.remove(&address);
        }
        Ok(())
    }

    /// A kept connection that is still open, or a new one.
    async fn connection(&mut self, address: SocketAddr) -> Result<TcpStream, Miss> {
        if let Some(tcp) = self.connections.get(&address) {
            let mut byte = [0];
            let peek = tcp.peek(&mut byte);
            if futures_lite::future::poll_once(peek).await.is_none() {
                return Ok(tcp.clone());
            }
        }
        let tcp = TcpStream::connect(address)
            .await
            .map_err(|_| Miss::Unconnected)?;
        self.connections.insert(address, tcp.clone());
        Ok(tcp)
    }
}

/// Sends one request and checks its answer; returns whether the connection is to be closed.
async fn exchange(tcp: TcpStream, address: SocketAddr, caller: usize, turn: usize) -> Result<bool> {
    const TOKENS: u64 = 20;
    let prompt = format!("caller {caller} turn {turn}");
    let key = format!("{caller}-{turn}");
    let (path, body, headers) = match turn % 3 {
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
    ensure!(response.status() == 200, "{} {text}", response.status());
    match turn % 3 {
        0 if !text.ends_with("data: [DONE]\n\n") => bail!("cut stream: {text}"),
        1 if !text.contains("\"completion_tokens\":20") => bail!("cut answer: {text}"),
        2 if !text.contains(&prompt) => bail!("wrong answer: {text}"),
        _ => {}
    }
    let connection = response.header("Connection");
    Ok(connection.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close")))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
