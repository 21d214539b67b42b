//! Upstream in place of a set's engine that answers each request with given bytes.

use async_std::channel::{Sender, bounded};
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use eyre::{Result, eyre};
use fakes::http::{open, request};
use fakes::set::{Set, chat_body};
use futures_lite::future::or;
use http_types::{Method, Response};
use socket2::SockRef;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Bytes written at once of those that have no end.
const BATCH_BYTES: usize = 32 << 10;
/// Time within which each answer has to end; longer than the deadline of the requests.
const TIMEOUT: Duration = Duration::from_secs(10);

/// How the upstream ends a connection after its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It closes the connection.
    Close,
    /// It sends these bytes again and again.
    Endless(&'static str),
    /// It closes its own direction of the connection, and resets the connection after this time.
    HalfClose(Duration),
    /// It stops listening and closes the connection, as the system of a killed process does.
    Kill,
    /// It resets the connection.
    Reset,
    /// It keeps the connection open.
    Silence,
}

/// What the upstream answers with.
#[derive(Clone, Debug)]
struct Answer {
    bytes: Vec<u8>,
    end: End,
}

/// Running upstream; it listens until it is killed by an answer or the test ends.
pub struct RawEngine {
    answer: Arc<Mutex<Answer>>,
}

impl RawEngine {
    /// Replaces the set's first engine by an upstream that answers with `bytes` and then does `end`.
    pub async fn replace(set: &mut Set, bytes: &[u8], end: End) -> Result<Self> {
        set.upstreams[0].upstream.kill();
        let listener = TcpListener::bind(set.upstreams[0].address).await?;
        let (open, killed) = bounded::<Infallible>(1);
        let bytes = bytes.to_vec();
        let engine = Self {
            answer: Arc::new(Mutex::new(Answer { bytes, end })),
        };
        let answer = engine.answer.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (answer, open) = (answer.clone(), open.clone());
                task::spawn(async move { serve(stream, &answer, &open).await });
            }
        };
        task::spawn(or(accept, async move {
            // Nothing is ever sent; this fails once the channel is closed.
            let _ = killed.recv().await;
        }));
        Ok(engine)
    }

    /// Replaces the answer.
    pub fn set_answer(&self, bytes: &[u8], end: End) {
        let bytes = bytes.to_vec();
        *lock(&self.answer) = Answer { bytes, end };
    }
}

fn lock(answer: &Mutex<Answer>) -> MutexGuard<'_, Answer> {
    answer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers the first request. Connections without a request, which watch the upstream, stay open.
async fn serve(
    mut stream: TcpStream,
    answer: &Mutex<Answer>,
    open: &Sender<Infallible>,
) -> std::io::Result<()> {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while !received.ends_with(b"}") {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buffer[..count]);
    }
    let Answer { bytes, end } = lock(answer).clone();
    stream.write_all(&bytes).await?;
    match end {
        End::Close => {}
        End::Endless(piece) => {
            let batch = piece.repeat(BATCH_BYTES / piece.len());
            loop {
                stream.write_all(batch.as_bytes()).await?;
            }
        }
        End::HalfClose(time) => {
            stream.shutdown(Shutdown::Write)?;
            task::sleep(time).await;
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        End::Kill => {
            open.close();
            // The listener is closed before the connection.
            task::sleep(Duration::from_millis(20)).await;
        }
        End::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO))?,
        End::Silence => task::sleep(TIMEOUT).await,
    }
    Ok(())
}

/// Sends a chat, as a stream or not, with a deadline of 2 s. Returns the response and its body, which is `None` if it is
/// incomplete.
pub async fn ask(set: &Set, stream: bool) -> Result<(Response, Option<String>)> {
    ask_at(set.entries[0].callers, stream).await
}

/// As [`ask`], of the entry at `address`.
pub async fn ask_at(address: SocketAddr, stream: bool) -> Result<(Response, Option<String>)> {
    let headers = [
        ("Authorization", "Bearer retail-key"),
        ("Almondwell-Class", "summary"),
        ("Almondwell-Deadline", "2s"),
        ("Content-Type", "application/json"),
    ];
    let chat = chat_body("raw", 3, stream);
    let path = "/v1/chat/completions";
    let request = request(Method::Post, address, path, &headers, chat);
    let exchange = async {
        let mut response = open(address, request).await?;
        let body = response.body_string().await.ok();
        Ok((response, body))
    };
    timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| eyre!("no answer within {TIMEOUT:?}"))?
}
