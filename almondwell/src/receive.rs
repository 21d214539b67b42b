//! Reads one request from a caller's connection.

use crate::entry::Entry;
use crate::head::{self, Body, Head, MAX_BODY_BYTES};
use crate::inbound::Inbound;
use crate::memory::Permit;
use crate::refusal::Refusal;
use almondwell_wire::{Allowance, Inflow, Turn};
use async_h1::server::decode;
use async_std::future::timeout;
use async_std::io::{self, ReadExt, WriteExt};
use async_std::net::TcpStream;
use http_types::{Request, StatusCode};
use std::time::Duration;

/// Copies of a body that are in memory at once while it is decoded and forwarded.
const BODY_COPIES: usize = 4;
/// Bytes that a chunked body of the longest kind may take, with the sizes of its chunks.
const MAX_CHUNKED_BYTES: u64 = 4 * MAX_BODY_BYTES as u64;
const READ_BYTES: usize = 16 << 10;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request with its complete body.
pub(crate) struct Received<'a> {
    pub(crate) head: Head,
    /// Memory reserved for the body until the answer is sent.
    pub(crate) permit: Permit<'a>,
    pub(crate) request: Request,
}

/// Takes one request from the front of `bytes`, reading more from `tcp` as needed.
///
/// The outer error means that the connection failed; the inner one is the refusal to answer.
pub(crate) async fn receive<'a>(
    entry: &'a Entry,
    tcp: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> io::Result<Result<Received<'a>, Refusal>> {
    let head = match timeout(entry.settings.head_timeout, read_head(tcp, bytes)).await {
        Ok(head) => head?,
        Err(_) => Err(too_slow("head")),
    };
    let head = match head {
        Ok(head) => head,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let Some(permit) = entry.memory.acquire(head.body.limit() * BODY_COPIES) else {
        let message = "the bodies of other requests fill the memory";
        return Ok(Err(Refusal::busy(message, RETRY_AFTER)));
    };
    if head.expects_continue {
        tcp.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let request = match timeout(entry.settings.body_timeout, read_body(tcp, bytes, head)).await {
        Ok(request) => request?,
        Err(_) => Err(too_slow("body")),
    };
    Ok(request.map(|request| Received {
        head,
        permit,
        request,
    }))
}

async fn read_more(tcp: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let length = bytes.len();
    bytes.resize(length + READ_BYTES, 0);
    let read = tcp.read(&mut bytes[length..]).await;
    bytes.truncate(length + read.as_ref().copied().unwrap_or(0));
    read
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
        Body::Chunked => {
            let inflow = Inflow::new(tcp.clone(), Allowance::new(MAX_CHUNKED_BYTES));
            Inbound::new(std::mem::take(bytes), Some(inflow))
        }
        Body::Length(length) => {
            let end = head.length + length;
            bytes.reserve_exact(end.saturating_sub(bytes.len()) + READ_BYTES);
            let turn = Turn::default();
            while bytes.len() < end {
                turn.wait().await;
                if read_more(tcp, bytes).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            let rest = bytes.split_off(end);
            let request = std::mem::replace(bytes, rest);
            Inbound::new(request, None)
        }
    };
    let mut request = match decode(inbound).await {
        Ok(Some((request, _))) => request,
        Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
        Err(error) => return Ok(Err(malformed(&error))),
    };
    let mut body = Vec::new();
    let read = request.take_body().take(MAX_BODY_BYTES as u64 + 1);
    if let Err(error) = { read }.read_to_end(&mut body).await {
        return Ok(Err(malformed(&error.into())));
    }
    if body.len() > MAX_BODY_BYTES {
        return Ok(Err(head::body_too_long()));
    }
    request.set_body(body);
    Ok(Ok(request))
}

fn malformed(error: &http_types::Error) -> Refusal {
    let message = format!("the request is malformed: {error}");
    Refusal::invalid(StatusCode::BadRequest, "bad_request", message)
}

fn too_slow(part: &str) -> Refusal {
    let message = format!("the request's {part} came too slowly");
    Refusal::invalid(StatusCode::RequestTimeout, "too_slow", message)
}
