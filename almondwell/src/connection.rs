//! One caller's connection: requests one after another.

use crate::entry::Entry;
use crate::handler;
use crate::head::{self, Body, Head, MAX_BODY};
use crate::inbound::Inbound;
use crate::refusal::Refusal;
use almondwell_daemon::gone;
use async_h1::server::{Encoder, decode};
use async_std::future::timeout;
use async_std::io::{self, ReadExt, WriteExt};
use async_std::net::TcpStream;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use std::sync::atomic::Ordering;
use std::time::Duration;

const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const PIECE: usize = 16 << 10;

/// Serves requests until the caller leaves, asks to close or sends something malformed.
pub(crate) async fn serve(entry: &Entry, mut tcp: TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let mut bytes = Vec::new();
    loop {
        if bytes.is_empty() && !wait(&mut tcp, &mut bytes).await? {
            return Ok(());
        }
        let _open = Open::new(entry);
        let received = receive(&mut tcp, &mut bytes).await?;
        let (head, request) = match received {
            Ok(received) => received,
            Err(refusal) => return reject(entry, &mut tcp, &refusal).await,
        };
        let keep_alive = head.keep_alive && head.body != Body::Chunked;
        let is_whole = answer(entry, &mut tcp, request, keep_alive).await?;
        if !is_whole || !keep_alive || entry.leaving.load(Ordering::Acquire) {
            return Ok(());
        }
    }
}

/// Counts a request as open, so that a stop waits for it.
struct Open<'a>(&'a Entry);

impl<'a> Open<'a> {
    fn new(entry: &'a Entry) -> Self {
        entry.open.fetch_add(1, Ordering::AcqRel);
        Self(entry)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Waits for the first bytes of a request; `false` when there are none.
async fn wait(tcp: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<bool> {
    match timeout(IDLE_TIMEOUT, read_more(tcp, bytes)).await {
        Ok(read) => Ok(read? > 0),
        Err(_) => Ok(false),
    }
}

async fn read_more(tcp: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let length = bytes.len();
    bytes.resize(length + PIECE, 0);
    let read = tcp.read(&mut bytes[length..]).await;
    bytes.truncate(length + read.as_ref().copied().unwrap_or(0));
    read
}

/// Takes one request from the front of `bytes`, reading more as needed.
async fn receive(
    tcp: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> io::Result<Result<(Head, Request), Refusal>> {
    let head = match timeout(HEAD_TIMEOUT, read_head(tcp, bytes)).await {
        Ok(head) => head?,
        Err(_) => Err(too_slow("head")),
    };
    let head = match head {
        Ok(head) => head,
        Err(refusal) => return Ok(Err(refusal)),
    };
    if head.expects_continue {
        tcp.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    match timeout(BODY_TIMEOUT, read_body(tcp, bytes, head)).await {
        Ok(request) => Ok(request?.map(|request| (head, request))),
        Err(_) => Ok(Err(too_slow("body"))),
    }
}

async fn read_head(tcp: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Result<Head, Refusal>> {
    loop {
        match head::check(bytes) {
            Ok(Some(head)) => return Ok(Ok(head)),
            Ok(None) => {}
            Err(refusal) => return Ok(Err(refusal)),
        }
        if read_more(tcp, bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn read_body(
    tcp: &mut TcpStream,
    bytes: &mut Vec<u8>,
    head: Head,
) -> io::Result<Result<Request, Refusal>> {
    let inbound = match head.body {
        Body::Chunked => Inbound::new(&std::mem::take(bytes), Some(tcp.clone())),
        Body::Length(length) => {
            let end = head.length + length;
            while bytes.len() < end {
                if read_more(tcp, bytes).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            let rest = bytes.split_off(end);
            let request = std::mem::replace(bytes, rest);
            Inbound::new(&request, None)
        }
    };
    let malformed = |error: http_types::Error| {
        let message = format!("the request is malformed: {error}");
        Refusal::invalid(StatusCode::BadRequest, "bad_request", message)
    };
    let mut request = match decode(inbound).await {
        Ok(Some((request, _))) => request,
        Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
        Err(error) => return Ok(Err(malformed(error))),
    };
    let mut body = Vec::new();
    let read = request.take_body().take(MAX_BODY as u64 + 1);
    if let Err(error) = { read }.read_to_end(&mut body).await {
        return Ok(Err(malformed(error.into())));
    }
    if body.len() > MAX_BODY {
        return Ok(Err(head::body_too_long()));
    }
    request.set_body(body);
    Ok(Ok(request))
}

fn too_slow(part: &str) -> Refusal {
    let message = format!("the request's {part} came too slowly");
    Refusal::invalid(StatusCode::RequestTimeout, "too_slow", message)
}

/// Answers on the raw stream and closes.
async fn reject(entry: &Entry, tcp: &mut TcpStream, refusal: &Refusal) -> io::Result<()> {
    entry.metrics.requests_rejected.inc();
    let response = refusal.response(entry.next_request());
    write(tcp, response, Method::Post, false).await
}

/// Answers `request`; `false` when the caller left first.
async fn answer(
    entry: &Entry,
    tcp: &mut TcpStream,
    request: Request,
    keep_alive: bool,
) -> io::Result<bool> {
    let method = request.method();
    let watched = tcp.clone();
    let serve = async {
        let response = handler::handle(entry, request).await;
        write(tcp, response, method, keep_alive)
            .await
            .map(|()| true)
    };
    let left = async {
        gone(&watched).await;
        entry.metrics.callers_left.inc();
        Ok(false)
    };
    serve.or(left).await
}

async fn write(
    tcp: &mut TcpStream,
    mut response: Response,
    method: Method,
    keep_alive: bool,
) -> io::Result<()> {
    if !keep_alive {
        response.insert_header("Connection", "close");
    }
    let mut encoder = Encoder::new(response, method);
    io::copy(&mut encoder, &mut *tcp).await?;
    tcp.flush().await
}
