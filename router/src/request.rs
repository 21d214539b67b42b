//! Reads and validates callers' requests. A request is read completely before it is sent to an upstream.

use crate::buffer::Buffer;
use crate::fields;
use crate::framing::{Decoder, Framing};
use crate::refusal::{Reason, Refusal};
use almondwell_core::job::Job;
use almondwell_core::table::Limits;
use almondwell_platform::headers;
use async_std::future::timeout;
use async_std::io::WriteExt;
use std::time::{Duration, Instant};

/// Most header fields of a request or response.
pub(crate) const MAX_HEADERS: usize = 100;
/// Time limit for reading a body after its head; slower callers would only occupy memory.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a body that are read and discarded after a refusal, so that the caller can read the response before
/// the connection is reset.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A caller's request, read completely.
pub(crate) struct Request {
    /// When its first byte had arrived.
    pub(crate) received_at: Instant,
    pub(crate) body: Vec<u8>,
    has_body: bool,
    /// The head as received, including the empty line.
    pub(crate) head: Vec<u8>,
    pub(crate) host: Box<str>,
    /// Whether the caller can decode a chunked response, that is, uses HTTP/1.1.
    pub(crate) supports_chunked: bool,
    pub(crate) job: Job,
    pub(crate) is_keep_alive: bool,
    pub(crate) method: Box<str>,
    pub(crate) target: Box<str>,
}

impl Request {
    /// The target's path, without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the request has a `Content-Length` or `Transfer-Encoding` field, even if the body is empty.
    pub(crate) fn has_body_length(&self) -> bool {
        self.has_body
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

/// Why reading a request failed.
pub(crate) enum ReadError {
    /// The caller closed the connection or it failed; there is nobody to respond to.
    Closed,
    /// The router refuses the request and closes the connection. Holds the caller's attempt identifier, if it
    /// was read.
    Refused(Refusal, Option<Box<str>>),
}

struct Head {
    expects_continue: bool,
    framing: Framing,
    length: usize,
    request: Request,
}

/// Reads the next request, of which the buffer already holds the first byte.
pub(crate) async fn read(buffer: &mut Buffer, limits: &Limits) -> Result<Request, ReadError> {
    let received_at = Instant::now();
    let head = match timeout(limits.head_timeout, read_head(buffer, limits, received_at)).await {
        Ok(head) => head?,
        Err(_) => return Err(refused(408, Reason::HeadTimeout)),
    };
    let Head {
        expects_continue,
        framing,
        length,
        mut request,
    } = head;
    request.head = buffer.take(length);
    let attempt_id = request.job.attempt.clone();
    if matches!(framing, Framing::Length(length) if length > limits.body as u64) {
        return Err(body_too_long(attempt_id));
    }
    if expects_continue && buffer.bytes().is_empty() && framing != Framing::Length(0) {
        let mut stream = buffer.stream();
        stream
            .write_all(CONTINUE)
            .await
            .map_err(|_| ReadError::Closed)?;
    }
    request.body = match timeout(BODY_TIMEOUT, read_body(buffer, framing, limits)).await {
        Ok(Ok(body)) => body,
        Ok(Err(None)) => return Err(ReadError::Closed),
        Ok(Err(Some(refusal))) => return Err(ReadError::Refused(refusal, attempt_id)),
        Err(_) => {
            let refusal = Refusal::invalid(408, Reason::BodyTimeout);
            return Err(ReadError::Refused(refusal, attempt_id));
        }
    };
    Ok(request)
}

/// Reads and discards what a refused caller still sends, up to [`MAX_DISCARDED_BYTES`], so that the caller can
/// read the response.
pub(crate) async fn discard_input(buffer: &mut Buffer) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        buffer.consume(buffer.bytes().len());
        match buffer.fill().await {
            Ok(0) | Err(_) => return,
            Ok(count) => discarded += count,
        }
    }
}

async fn read_head(
    buffer: &mut Buffer,
    limits: &Limits,
    received_at: Instant,
) -> Result<Head, ReadError> {
    loop {
        if let Some(head) = parse(buffer.bytes(), limits, received_at)? {
            return Ok(head);
        }
        match buffer.fill().await {
            Ok(0) | Err(_) => return Err(ReadError::Closed),
            Ok(_) => {}
        }
    }
}

fn parse(bytes: &[u8], limits: &Limits, received_at: Instant) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head => length,
        Ok(httparse::Status::Partial) if bytes.len() <= limits.head => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(refused(431, Reason::HeadTooLong));
        }
        Err(_) => return Err(refused(400, Reason::Malformed)),
    };
    let malformed = || refused(400, Reason::Malformed);
    let target = parsed.path.unwrap_or_default();
    if !target.starts_with('/') || target.contains('#') {
        return Err(malformed());
    }
    let values = |name: &str| fields::values(parsed.headers, name);
    let [host] = values("Host")[..] else {
        return Err(malformed());
    };
    let is_http_11 = parsed.version == Some(1);
    let framing = fields::framing(parsed.headers, Framing::Length(0))
        .filter(|framing| is_http_11 || *framing != Framing::Chunked)
        .ok_or_else(malformed)?;
    let has_body = ["Content-Length", "Transfer-Encoding"]
        .iter()
        .any(|name| !values(name).is_empty());
    let expectation = values("Expect");
    let expects_continue = match expectation[..] {
        [] => false,
        [one] if one.eq_ignore_ascii_case("100-continue") => true,
        _ => return Err(refused(417, Reason::Malformed)),
    };
    let is_keep_alive = if is_http_11 {
        !fields::has_option(parsed.headers, "close")
    } else {
        fields::has_option(parsed.headers, "keep-alive")
    };
    let request = Request {
        received_at,
        body: Vec::new(),
        has_body,
        head: Vec::new(),
        host: host_name(host),
        supports_chunked: is_http_11,
        job: headers::job(parsed.headers),
        is_keep_alive,
        method: parsed.method.unwrap_or_default().into(),
        target: target.into(),
    };
    Ok(Some(Head {
        expects_continue,
        framing,
        length,
        request,
    }))
}

/// The host without its port, in lower case.
fn host_name(host: &str) -> Box<str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase().into()
}

/// Reads and decodes the body. Fails with `None` if the connection closes before its end.
async fn read_body(
    buffer: &mut Buffer,
    framing: Framing,
    limits: &Limits,
) -> Result<Vec<u8>, Option<Refusal>> {
    let mut decoder = Decoder::new(framing);
    let mut body = Vec::new();
    loop {
        let used = decoder
            .decode(buffer.bytes(), &mut body)
            .map_err(|_| Some(Refusal::invalid(400, Reason::Malformed)))?;
        buffer.consume(used);
        if body.len() > limits.body {
            return Err(Some(Refusal::invalid(413, Reason::BodyTooLong)));
        }
        if decoder.is_done() {
            return Ok(body);
        }
        match buffer.fill().await {
            Ok(0) | Err(_) => return Err(None),
            Ok(_) => {}
        }
    }
}

const fn refused(status: u16, reason: Reason) -> ReadError {
    ReadError::Refused(Refusal::invalid(status, reason), None)
}

fn body_too_long(attempt_id: Option<Box<str>>) -> ReadError {
    ReadError::Refused(Refusal::invalid(413, Reason::BodyTooLong), attempt_id)
}
