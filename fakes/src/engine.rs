//! Fake engine with a batch limit, token streaming and cancellation.

use crate::server::{Flags, address, flag, json, listen, status};
use almondwell_daemon::{Piece, Pipe};
use async_std::channel::Sender;
use async_std::task;
use eyre::Result;
use http_types::{Body, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Command line of the engine.
#[derive(Clone)]
pub struct Settings {
    /// Listen address.
    pub address: SocketAddr,
    /// Maximum number of requests that run at once.
    pub batch: u64,
    /// Whether requests with a stale fencing token (`Almondwell-Order`) are rejected.
    pub fenced: bool,
    /// Time to the first token.
    pub prefill: Duration,
    /// Time per output token.
    pub token: Duration,
}

impl Settings {
    /// Parses the flags.
    pub fn read(flags: &Flags) -> Result<Self> {
        Ok(Self {
            address: address(flags, "address")?,
            batch: flag(flags, "batch", 16)?,
            fenced: flag(flags, "fenced", false)?,
            prefill: Duration::from_millis(flag(flags, "prefill-ms", 20)?),
            token: Duration::from_millis(flag(flags, "token-ms", 5)?),
        })
    }
}

/// Faults to inject, set by `POST /control`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Exits at the next request.
    crash: bool,
    /// Factor on all times; 0 and 1 both mean no slowdown.
    slow: u32,
    /// Generates no tokens.
    stall: bool,
}

struct Engine {
    cancelled: AtomicU64,
    faults: Mutex<Faults>,
    /// Number of requests rejected for a stale fencing token.
    fenced: AtomicU64,
    finished: AtomicU64,
    /// Highest fencing token received.
    highest_fencing_token: AtomicU64,
    running: AtomicU64,
    settings: Settings,
    started: AtomicU64,
}

impl Engine {
    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks that the request's fencing token is not lower than any earlier one, and counts
    /// rejections.
    fn accept_fencing_token(&self, request: &Request) -> bool {
        if !self.settings.fenced {
            return true;
        }
        let fencing_token = request
            .header("Almondwell-Order")
            .and_then(|values| values.as_str().parse().ok())
            .unwrap_or(0);
        let is_stale = self
            .highest_fencing_token
            .fetch_max(fencing_token, Ordering::AcqRel)
            > fencing_token;
        self.fenced
            .fetch_add(u64::from(is_stale), Ordering::Relaxed);
        !is_stale
    }

    /// Sleeps for `time` with the faults applied.
    async fn simulate(&self, time: Duration) {
        task::sleep(time * self.faults().slow.max(1)).await;
        while self.faults().stall {
            task::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A completion request. `metadata.tokens` sets the output length, which a real engine does not
/// know in advance.
#[derive(Deserialize)]
struct Prompt {
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    metadata: Metadata,
    model: String,
    #[serde(default)]
    stream: bool,
}

#[derive(Default, Deserialize)]
struct Metadata {
    #[serde(default)]
    crash: bool,
    tokens: Option<u64>,
}

const DEFAULT_TOKENS: u64 = 16;
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Serves requests until the process ends.
pub async fn serve(settings: Settings) -> Result<()> {
    let address = settings.address;
    let engine = Arc::new(Engine {
        cancelled: AtomicU64::new(0),
        faults: Mutex::default(),
        fenced: AtomicU64::new(0),
        finished: AtomicU64::new(0),
        highest_fencing_token: AtomicU64::new(0),
        running: AtomicU64::new(0),
        settings,
        started: AtomicU64::new(0),
    });
    listen(address, move |request| {
        let engine = engine.clone();
        async move { handle(engine, request).await }
    })
    .await
}

async fn handle(engine: Arc<Engine>, mut request: Request) -> http_types::Result<Response> {
    match request.url().path() {
        "/control" => {
            let faults = request.body_json().await?;
            *engine.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
            Ok(status(StatusCode::Ok))
        }
        "/health" => Ok(status(StatusCode::Ok)),
        "/records" => Ok(json(&json!({
            "cancelled": engine.cancelled.load(Ordering::Relaxed),
            "fenced": engine.fenced.load(Ordering::Relaxed),
            "finished": engine.finished.load(Ordering::Relaxed),
            "running": engine.running.load(Ordering::Relaxed),
            "started": engine.started.load(Ordering::Relaxed),
        }))),
        "/v1/chat/completions" => complete(engine, request).await,
        _ => Ok(status(StatusCode::NotFound)),
    }
}

async fn complete(engine: Arc<Engine>, mut request: Request) -> http_types::Result<Response> {
    let prompt: Prompt = request.body_json().await?;
    if !engine.accept_fencing_token(&request) {
        return Ok(status(StatusCode::PreconditionFailed));
    }
    if engine.faults().crash || prompt.metadata.crash {
        std::process::exit(86);
    }
    if prompt.stream {
        let (sender, pipe) = Pipe::new();
        let tokens = output_tokens(&prompt);
        let model = prompt.model.clone();
        task::spawn(async move {
            let _ = stream(&engine, &sender, &model, &tokens, &prompt).await;
        });
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(pipe, None));
        response.insert_header("Content-Type", "text/event-stream");
        return Ok(response);
    }
    let run = Run::start(&engine).await;
    engine.simulate(engine.settings.prefill).await;
    let tokens = output_tokens(&prompt);
    for _ in &tokens {
        engine.simulate(engine.settings.token).await;
    }
    run.finish();
    Ok(json(&completion(&prompt.model, &tokens)))
}

/// Body that the engine returns for the chat completion request `body`: JSON or an event stream.
pub fn expected_answer(body: &[u8]) -> Result<Vec<u8>> {
    let prompt: Prompt = serde_json::from_slice(body)?;
    let tokens = output_tokens(&prompt);
    if !prompt.stream {
        return Ok(completion(&prompt.model, &tokens).to_string().into_bytes());
    }
    let events: String = tokens
        .iter()
        .map(|token| event(&prompt.model, token))
        .collect();
    Ok(format!("{events}{DONE_EVENT}").into_bytes())
}

fn completion(model: &str, tokens: &[String]) -> Value {
    json!({
        "id": "chatcmpl",
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "finish_reason": "stop",
            "message": {"role": "assistant", "content": tokens.concat()}}],
        "usage": {"completion_tokens": tokens.len()},
    })
}

fn event(model: &str, token: &str) -> String {
    let event = json!({"object": "chat.completion.chunk", "model": model,
        "choices": [{"index": 0, "delta": {"content": token}}]});
    format!("data: {event}\n\n")
}

/// Tokens that are a function of the prompt alone, so that answers can be compared.
fn output_tokens(prompt: &Prompt) -> Vec<String> {
    let seed = json!(prompt.messages).to_string();
    let hash = seed.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let count = prompt.metadata.tokens.unwrap_or(DEFAULT_TOKENS);
    (0..count)
        .map(|index| format!("{:08x}-{index} ", hash >> 32))
        .collect()
}

async fn stream(
    engine: &Engine,
    sender: &Sender<Piece>,
    model: &str,
    tokens: &[String],
    prompt: &Prompt,
) -> Result<()> {
    let run = Run::start(engine).await;
    debug_assert!(prompt.stream);
    engine.simulate(engine.settings.prefill).await;
    for token in tokens {
        engine.simulate(engine.settings.token).await;
        sender.send(Ok(event(model, token).into_bytes())).await?;
    }
    sender.send(Ok(DONE_EVENT.into())).await?;
    run.finish();
    sender.send(Ok(Vec::new())).await?;
    Ok(())
}

/// A request in the batch. Dropping it before `finish` counts it as cancelled.
struct Run<'a> {
    engine: &'a Engine,
    is_finished: bool,
}

impl<'a> Run<'a> {
    async fn start(engine: &'a Engine) -> Self {
        while !engine.try_join_batch() {
            task::sleep(Duration::from_millis(2)).await;
        }
        engine.started.fetch_add(1, Ordering::Relaxed);
        Self {
            engine,
            is_finished: false,
        }
    }

    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Engine {
    fn try_join_batch(&self) -> bool {
        self.running
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |running| {
                (running < self.settings.batch).then_some(running + 1)
            })
            .is_ok()
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.engine.running.fetch_sub(1, Ordering::AcqRel);
        let counter = if self.is_finished {
            &self.engine.finished
        } else {
            &self.engine.cancelled
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
