//! Mixed traffic of callers.

use super::Settings;
use super::book::{Book, Told};
use crate::engine;
use crate::http::{self, Answer};
use crate::set::{Set, chat_body};
use async_std::task;
use eyre::Result;
use http_types::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Deadline that callers ask for.
const DEADLINE: &str = "3s";
/// Time after which a caller gives an attempt up.
const PATIENCE: Duration = Duration::from_secs(5);
/// Attempts under one key while faults are made.
const ATTEMPTS: usize = 4;
/// Attempts under one key once all is healed.
const LAST_ATTEMPTS: usize = 10;
/// Share of callers that leave a booking after its first refusal, in thousandths.
const LEAVERS: u32 = 200;

/// Longest pause of a caller between bookings in milliseconds, so that a run lasts through many faults.
const LONGEST_PAUSE: u64 = 700;

const CHAT: &str = "/v1/chat/completions";

/// Callers and the entries that they know.
pub(super) struct Clients {
    book: Arc<Book>,
    entries: Vec<SocketAddr>,
    next: AtomicU64,
    settings: Settings,
}

impl Clients {
    pub(super) fn new(set: &Set, settings: Settings, book: Arc<Book>) -> Arc<Self> {
        Arc::new(Self {
            book,
            entries: set.entries.iter().map(|entry| entry.callers).collect(),
            next: AtomicU64::new(0),
            settings,
        })
    }

    /// Sends until all bookings have been made.
    pub(super) async fn run(self: Arc<Self>) {
        let callers: Vec<_> = (0..self.settings.callers)
            .map(|caller| task::spawn(self.clone().call_in_turn(caller)))
            .collect();
        for caller in callers {
            caller.await;
        }
    }

    async fn call_in_turn(self: Arc<Self>, caller: u64) {
        let mut random = StdRng::seed_from_u64(self.settings.seed ^ (caller << 32));
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.settings.calls {
                return;
            }
            self.book_in(&mut random, number).await;
            match random.random_range(0..10) {
                0..2 => self.chat(&mut random, number, false).await,
                2 => self.chat(&mut random, number, true).await,
                3 => self.look_up(&mut random, number).await,
                _ => {}
            }
            let pause = random.random_range(0..LONGEST_PAUSE);
            task::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Makes a booking, again under the same key while it is not known to have run.
    async fn book_in(&self, random: &mut StdRng, number: u64) {
        let key = format!("booking-{number}");
        let is_left = random.random_range(0..1000) < LEAVERS;
        for _ in 0..ATTEMPTS {
            let told = attempt(&self.book, self.entry(random), &key, is_left).await;
            if told == Told::Ran || (is_left && told == Told::NotRun) {
                return;
            }
            let pause = random.random_range(20..300);
            task::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn chat(&self, random: &mut StdRng, number: u64, is_stream: bool) {
        let body = chat_body(&format!("prompt {number}"), number % 40, is_stream);
        let class = if is_stream { "urgent" } else { "summary" };
        let headers = [("Almondwell-Class", class)];
        let start = Instant::now();
        let answer = post(self.entry(random), CHAT, &headers, &body).await;
        let expected = engine::answer(body.as_bytes()).unwrap_or_default();
        let told = judge(&self.book, answer, &expected);
        self.book.call(class, told, start.elapsed());
    }

    async fn look_up(&self, random: &mut StdRng, number: u64) {
        let body = format!("stock {number}");
        let start = Instant::now();
        let path = "/v1/services/orders/lookup";
        let told = match post(self.entry(random), path, &[], &body).await {
            Ok(answer) if answer.status() == 200 => {
                let echo = answer.json().unwrap_or_default()["echo"] == *body;
                if !echo {
                    self.book.wrong(format!("{path}: {}", answer.text()));
                }
                Told::Ran
            }
            answer => told(answer.as_ref().ok()),
        };
        self.book.call("lookup", told, start.elapsed());
    }

    fn entry(&self, random: &mut StdRng) -> SocketAddr {
        self.entries[random.random_range(0..self.entries.len())]
    }
}

/// Sends bookings again whose callers still want to know, now that all is healed.
pub(super) async fn settle(set: &Set, book: &Book) {
    for (key, entry) in book.keys() {
        let last = entry.attempts.last().copied().unwrap_or(Told::Nothing);
        if last == Told::Ran || (entry.is_left && last == Told::NotRun) {
            continue;
        }
        for attempt_number in 0..LAST_ATTEMPTS {
            let address = set.entries[attempt_number % set.entries.len()].callers;
            let told = attempt(book, address, &key, false).await;
            if matches!(told, Told::MayHaveRun | Told::Ran) {
                break;
            }
            task::sleep(Duration::from_millis(200)).await;
        }
    }
}

async fn attempt(book: &Book, entry: SocketAddr, key: &str, is_left: bool) -> Told {
    let start = Instant::now();
    let body = format!("order {key}");
    let path = "/v1/services/orders/booking";
    let answer = post(entry, path, &[("Idempotency-Key", key)], &body).await;
    let expected = json!({"key": key, "run": 1, "echo": body}).to_string();
    let told = judge(book, answer, expected.as_bytes());
    book.attempt(key, told, is_left);
    book.call("booking", told, start.elapsed());
    told
}

/// Compares an answer that came whole with what the upstream answers.
fn judge(book: &Book, answer: Result<Answer>, expected: &[u8]) -> Told {
    let Ok(answer) = answer else {
        return Told::Nothing;
    };
    if answer.status() == 200 && answer.body != expected {
        let expected = String::from_utf8_lossy(expected);
        book.wrong(format!("{} in place of {expected}", answer.text()));
    }
    told(Some(&answer))
}

fn told(answer: Option<&Answer>) -> Told {
    let Some(answer) = answer else {
        return Told::Nothing;
    };
    match (answer.status(), &*answer.header("Almondwell-Verdict")) {
        (200, _) => Told::Ran,
        (_, "not-run") => Told::NotRun,
        _ => Told::MayHaveRun,
    }
}

async fn post(
    entry: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Answer> {
    let mut all = vec![
        ("Almondwell-Deadline", DEADLINE),
        ("Authorization", "Bearer retail-key"),
        ("Content-Type", "application/json"),
    ];
    all.extend(headers);
    let request = http::request(Method::Post, entry, path, &all, body);
    http::call(entry, request, PATIENCE).await
}
