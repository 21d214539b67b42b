//! Reads and validates callers' requests. A request is read completely before it is sent to an upstream.

use crate::body::Body;
use crate::buffer::Buffer;
use crate::client::Client;
use crate::clients::{Eviction, NoRoom};
use crate::dispatch::retry_after;
use crate::framing::{Decoder, Framing};
use crate::refusal::{Reason, Refusal};
use crate::request_head::{Head, Parsed, attempt_id, parse};
use crate::segments;
use almondwell_core::job::Job;
use almondwell_core::table::Limits;
use async_std::future::timeout;
use async_std::io::WriteExt;
use futures_lite::future::or;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most header fields of a request or response.
pub(crate) const MAX_HEADERS: usize = 100;
/// Time limit for reading a body after its head; slower callers would only occupy memory.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest body that is read and discarded after a refusal by the head, so that the connection can be used again.
pub(crate) const MAX_DISCARDED_BYTES: u64 = 256 << 10;
/// What counts for each byte outside of segments: the allocator keeps what one thread has freed for that thread, so that others
/// may take as much again.
pub(crate) const UNSEGMENTED_FACTOR: usize = 2;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A caller's request, read completely.
pub(crate) struct Request {
    /// When its first byte had arrived.
    pub(crate) received_at: Instant,
    pub(crate) body: Body,
    pub(crate) has_body: bool,
    /// The head as received, including the empty line.
    pub(crate) head: Vec<u8>,
    pub(crate) host: Box<str>,
    /// Whether the caller can decode a chunked response, that is, uses HTTP/1.1.
    pub(crate) supports_chunked: bool,
    pub(crate) job: Job,
    pub(crate) is_keep_alive: bool,
    pub(crate) method: Box<str>,
    /// Where the target lies in the head.
    pub(crate) target: Range<usize>,
}

impl Request {
    /// The target's path, without the query.
    pub(crate) fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub(crate) fn target(&self) -> &str {
        let bytes = self.head.get(self.target.clone()).unwrap_or_default();
        // `parse` took it for text.
        str::from_utf8(bytes).unwrap_or_default()
    }

    /// Whether the request has a `Content-Length` or `Transfer-Encoding` field, even if the body is empty.
    pub(crate) fn has_body_length(&self) -> bool {
        self.has_body
    }

    /// Bytes of memory that the parsed head takes beside its bytes.
    fn parsed_bytes(&self) -> usize {
        UNSEGMENTED_FACTOR * (self.host.len() + self.job.bytes() + self.method.len())
    }

    pub(crate) fn headers<'a>(
        &'a self,
        storage: &'a mut [httparse::Header<'a>],
    ) -> &'a [httparse::Header<'a>] {
        let mut request = httparse::Request::new(storage);
        // `parse` accepted the same bytes.
        let _ = request.parse(&self.head);
        request.headers
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        segments::put(std::iter::once(std::mem::take(&mut self.head)));
    }
}

/// Why reading a request failed.
pub(crate) enum ReadError {
    /// The caller closed the connection or it failed, or the connection closes for another one; there is nobody to
    /// respond to.
    Closed,
    /// The router refuses the request and closes the connection. Holds the caller's attempt identifier, if it
    /// was read.
    Refused(Refusal, Option<Box<str>>),
}

/// A request whose body has not been read.
pub(crate) struct Incoming {
    pub(crate) expects_continue: bool,
    pub(crate) framing: Framing,
    pub(crate) request: Request,
}

/// Reads the head of the next request, of which the buffer already holds the first byte.
pub(crate) async fn read_head(
    buffer: &mut Buffer,
    limits: &Limits,
    client: &Arc<Client>,
) -> Result<Incoming, ReadError> {
    let received_at = Instant::now();
    client.record_progress(buffer.bytes().len());
    if client.hold_buffer(buffer.capacity()).await.is_err() {
        return Err(no_room(client, attempt_id(buffer.bytes())));
    }
    let reading = wait_for_head(buffer, limits, received_at, client);
    let head = match timeout(limits.head_timeout, reading).await {
        Ok(head) => head?,
        Err(_) => return Err(refused(408, Reason::HeadTimeout)),
    };
    let Head {
        mut incoming,
        length,
    } = head;
    let attempt_id = incoming.request.job.attempt.clone();
    incoming.request.head = buffer.take(length);
    let head_bytes = incoming.request.head.capacity() + incoming.request.parsed_bytes();
    client.move_buffer(buffer.capacity(), head_bytes);
    if matches!(incoming.framing, Framing::Length(length) if length > limits.body as u64) {
        return Err(ReadError::Refused(
            Refusal::invalid(413, Reason::BodyTooLong),
            attempt_id,
        ));
    }
    Ok(incoming)
}

/// Reads the body of a request that the router accepts by its head.
pub(crate) async fn read_body(
    buffer: &mut Buffer,
    limits: &Limits,
    client: &Client,
    incoming: Incoming,
) -> Result<Request, ReadError> {
    let Incoming {
        expects_continue,
        framing,
        mut request,
    } = incoming;
    let attempt_id = request.job.attempt.clone();
    let refused = |failure| match failure {
        BodyError::Closed => ReadError::Closed,
        BodyError::NoRoom => no_room(client, attempt_id.clone()),
        BodyError::Refused(refusal) => ReadError::Refused(refusal, attempt_id.clone()),
    };
    let body = &mut request.body;
    let reading = async {
        body.reserve(expected_bytes(framing, limits)).await?;
        if expects_continue && buffer.bytes().is_empty() && framing != Framing::Length(0) {
            let mut stream = buffer.stream();
            stream
                .write_all(CONTINUE)
                .await
                .map_err(|_| BodyError::Closed)?;
        }
        decode_body(buffer, framing, limits, client, body).await?;
        client.finish_receiving()?;
        Ok(())
    };
    let timed_out = |_| BodyError::Refused(Refusal::invalid(408, Reason::BodyTimeout));
    let read = timeout(BODY_TIMEOUT, reading).await.map_err(timed_out);
    read.flatten().map_err(refused)?;
    Ok(request)
}

/// Reads and discards what a refused caller still sends, up to `limit` bytes, so that the caller can read the
/// response.
pub(crate) async fn discard_input(buffer: &mut Buffer, limit: usize) {
    let mut discarded = 0;
    while discarded < limit {
        match buffer.fill().await {
            Ok(0) | Err(_) => return,
            Ok(count) => discarded += count,
        }
        buffer.clear();
    }
}

/// Reads and discards the body of a refused request, which has up to [`MAX_DISCARDED_BYTES`]; returns whether it
/// was complete.
pub(crate) async fn discard_body(buffer: &mut Buffer, framing: Framing, client: &Client) -> bool {
    let discard = async {
        let mut decoder = Decoder::new(framing);
        loop {
            let used = decoder.decode(buffer.bytes(), &mut Vec::new()).ok()?;
            buffer.consume(used);
            if decoder.is_done() {
                return Some(());
            }
            fill(buffer, client).await.ok()?;
        }
    };
    matches!(timeout(BODY_TIMEOUT, discard).await, Ok(Some(())))
}

/// Why reading a body failed.
enum BodyError {
    Closed,
    NoRoom,
    Refused(Refusal),
}

impl From<NoRoom> for BodyError {
    fn from(NoRoom: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// Reads once, after taking memory for what may arrive.
async fn fill(buffer: &mut Buffer, client: &Client) -> Result<(), BodyError> {
    client.hold_buffer(buffer.next_capacity()).await?;
    let evicted = async {
        client.evicted().await;
        Err(BodyError::NoRoom)
    };
    let read = async {
        match buffer.fill().await {
            Ok(0) | Err(_) => Err(BodyError::Closed),
            Ok(count) => Ok(count),
        }
    };
    let count = or(evicted, read).await?;
    client.record_progress(count);
    client.hold_buffer(buffer.capacity()).await?;
    Ok(())
}

async fn wait_for_head(
    buffer: &mut Buffer,
    limits: &Limits,
    received_at: Instant,
    client: &Arc<Client>,
) -> Result<Head, ReadError> {
    let mut has_room = false;
    loop {
        let next = match parse(buffer.bytes(), limits, received_at, client, has_room)? {
            Parsed::Complete(head) => return Ok(*head),
            Parsed::NoRoom(bytes) => {
                has_room = true;
                client.hold(bytes).await.map_err(BodyError::from)
            }
            Parsed::Partial => fill(buffer, client).await,
        };
        next.map_err(|error| match error {
            BodyError::Closed => ReadError::Closed,
            BodyError::NoRoom => no_room(client, attempt_id(buffer.bytes())),
            BodyError::Refused(refusal) => ReadError::Refused(refusal, None),
        })?;
    }
}

/// The refusal of a request for lack of memory, which is freed.
fn no_room(client: &Client, attempt_id: Option<Box<str>>) -> ReadError {
    if client.eviction() == Some(Eviction::Connection) {
        return ReadError::Closed;
    }
    client.record_refusal();
    let refusal = Refusal::retryable(Reason::NoRoom, retry_after());
    ReadError::Refused(refusal, attempt_id)
}

/// Bytes that a body may still have at its start.
const fn expected_bytes(framing: Framing, limits: &Limits) -> u64 {
    match framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::Close => limits.body as u64,
    }
}

/// Reads and decodes the body.
async fn decode_body(
    buffer: &mut Buffer,
    framing: Framing,
    limits: &Limits,
    client: &Client,
    body: &mut Body,
) -> Result<(), BodyError> {
    let mut decoder = Decoder::new(framing);
    loop {
        {
            let mut bytes = Vec::new();
            let used = decoder
                .decode(buffer.bytes(), &mut bytes)
                .map_err(|_| BodyError::Refused(Refusal::invalid(400, Reason::Malformed)))?;
            buffer.consume(used);
            if body.len() + bytes.len() > limits.body {
                let refusal = Refusal::invalid(413, Reason::BodyTooLong);
                return Err(BodyError::Refused(refusal));
            }
            let sum = (body.len() + bytes.len()) as u64;
            let left = expected_bytes(framing, limits).saturating_sub(sum);
            body.append(&bytes, left).await?;
        }
        if decoder.is_done() {
            return Ok(());
        }
        fill(buffer, client).await?;
    }
}

pub(crate) const fn refused(status: u16, reason: Reason) -> ReadError {
    ReadError::Refused(Refusal::invalid(status, reason), None)
}
