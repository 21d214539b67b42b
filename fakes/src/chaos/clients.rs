//! Mixed traffic of concurrent callers.

use super::Settings;
use super::history::{History, Outcome};
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

/// Deadline that callers request.
const DEADLINE: &str = "3s";
/// Time after which a caller gives up an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts per key under faults.
const MAX_ATTEMPTS: usize = 4;
/// Further attempts per key after all faults have ended.
const MAX_FINAL_ATTEMPTS: usize = 10;
/// Bookings per thousand whose callers give up at the first refusal.
const ABANDONED_PER_THOUSAND: u32 = 200;

/// Maximum pause of a caller between bookings; it makes a run last through many faults.
const MAX_PAUSE_MS: u64 = 700;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Callers and the entries to which they send.
pub(super) struct Clients {
    history: Arc<History>,
    entries: Vec<SocketAddr>,
    next: AtomicU64,
    settings: Settings,
}

impl Clients {
    pub(super) fn new(set: &Set, settings: Settings, history: Arc<History>) -> Arc<Self> {
        Arc::new(Self {
            history,
            entries: set.entries.iter().map(|entry| entry.callers).collect(),
            next: AtomicU64::new(0),
            settings,
        })
    }

    /// Runs the callers until all bookings have been sent.
    pub(super) async fn run(self: Arc<Self>) {
        let callers: Vec<_> = (0..self.settings.callers)
            .map(|caller| task::spawn(self.clone().run_caller(caller)))
            .collect();
        for caller in callers {
            caller.await;
        }
    }

    async fn run_caller(self: Arc<Self>, caller: u64) {
        let mut random = StdRng::seed_from_u64(self.settings.seed ^ (caller << 32));
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.settings.calls {
                return;
            }
            self.send_booking(&mut random, number).await;
            match random.random_range(0..10) {
                0..2 => self.chat(&mut random, number, false).await,
                2 => self.chat(&mut random, number, true).await,
                3 => self.look_up(&mut random, number).await,
                _ => {}
            }
            let pause = random.random_range(0..MAX_PAUSE_MS);
            task::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends a booking, and resends it under the same key until it is answered as run.
    async fn send_booking(&self, random: &mut StdRng, number: u64) {
        let key = format!("booking-{number}");
        let is_abandoned = random.random_range(0..1000) < ABANDONED_PER_THOUSAND;
        for _ in 0..MAX_ATTEMPTS {
            let outcome = attempt(&self.history, self.entry(random), &key, is_abandoned).await;
            if outcome == Outcome::Ran || (is_abandoned && outcome == Outcome::NotRun) {
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
        let answer = post(self.entry(random), CHAT_PATH, &headers, &body).await;
        let expected = engine::expected_answer(body.as_bytes()).unwrap_or_default();
        let outcome = check_answer(&self.history, answer, &expected);
        self.history.record_call(class, outcome, start.elapsed());
    }

    async fn look_up(&self, random: &mut StdRng, number: u64) {
        let body = format!("stock {number}");
        let start = Instant::now();
        let path = "/v1/services/orders/lookup";
        let outcome = match post(self.entry(random), path, &[], &body).await {
            Ok(answer) if answer.status() == 200 => {
                let is_echoed = answer.json().unwrap_or_default()["echo"] == *body;
                if !is_echoed {
                    self.history.record_wrong_answer(format!(
                        "{path}: expected the body echoed, got {}",
                        answer.text()
                    ));
                }
                Outcome::Ran
            }
            answer => outcome_of(answer.as_ref().ok()),
        };
        self.history.record_call("lookup", outcome, start.elapsed());
    }

    fn entry(&self, random: &mut StdRng) -> SocketAddr {
        self.entries[random.random_range(0..self.entries.len())]
    }
}

/// Resends each booking without a final outcome; called after all faults have ended.
pub(super) async fn resend_unsettled(set: &Set, history: &History) {
    for (key, booking) in history.bookings() {
        let last = booking.attempts.last().copied().unwrap_or(Outcome::Nothing);
        if last == Outcome::Ran || (booking.is_abandoned && last == Outcome::NotRun) {
            continue;
        }
        for attempt_number in 0..MAX_FINAL_ATTEMPTS {
            let address = set.entries[attempt_number % set.entries.len()].callers;
            let outcome = attempt(history, address, &key, false).await;
            if matches!(outcome, Outcome::MayHaveRun | Outcome::Ran) {
                break;
            }
            task::sleep(Duration::from_millis(200)).await;
        }
    }
}

async fn attempt(history: &History, entry: SocketAddr, key: &str, is_abandoned: bool) -> Outcome {
    let start = Instant::now();
    let body = format!("order {key}");
    let path = "/v1/services/orders/booking";
    let answer = post(entry, path, &[("Idempotency-Key", key)], &body).await;
    let expected = json!({"key": key, "run": 1, "echo": body}).to_string();
    let outcome = check_answer(history, answer, expected.as_bytes());
    history.record_attempt(key, outcome, is_abandoned);
    history.record_call("booking", outcome, start.elapsed());
    outcome
}

/// Compares a successful answer with that of the upstream, and records a difference.
fn check_answer(history: &History, answer: Result<Answer>, expected: &[u8]) -> Outcome {
    let Ok(answer) = answer else {
        return Outcome::Nothing;
    };
    if answer.status() == 200 && answer.body != expected {
        let expected = String::from_utf8_lossy(expected);
        history.record_wrong_answer(format!("expected {expected}, got {}", answer.text()));
    }
    outcome_of(Some(&answer))
}

fn outcome_of(answer: Option<&Answer>) -> Outcome {
    let Some(answer) = answer else {
        return Outcome::Nothing;
    };
    match (answer.status(), &*answer.header("Almondwell-Verdict")) {
        (200, _) => Outcome::Ran,
        (_, "not-run") => Outcome::NotRun,
        _ => Outcome::MayHaveRun,
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
    http::call(entry, request, ATTEMPT_TIMEOUT).await
}
