//! Heads of upstreams' responses.

use crate::framing::Framing;
use crate::request::MAX_HEADERS;
use almondwell_platform::headers::{self, Metadata};
use almondwell_wire::{Status, fields};
use std::io::Write;
use std::time::Duration;

/// Longest response head, with the interim responses before it; upstreams send a few hundred bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 32 << 10;

/// Head of an upstream's response.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    bytes: Vec<u8>,
    pub(crate) framing: Framing,
    /// Idle timeout that the upstream states in `Keep-Alive`, if any.
    pub(crate) idle_timeout: Option<Duration>,
    /// Whether the body, if there is one, is a stream of events; without a `Content-Type`, the route decides.
    pub(crate) is_event_stream: bool,
    pub(crate) is_keep_alive: bool,
    /// Whether there is a `Content-Type`.
    pub(crate) is_typed: bool,
    pub(crate) length: usize,
    pub(crate) metadata: Metadata,
    pub(crate) status: u16,
}

/// The response head is not valid HTTP/1.1, or is too long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Malformed;

impl Head {
    /// Parses the head at the start of `bytes`; `None` while it is incomplete.
    ///
    /// `method` is the request's: the response to `HEAD` has no body.
    pub(crate) fn parse(bytes: &[u8], method: &str) -> Result<Option<Self>, Malformed> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut storage);
        let length = match response.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) | Err(_) => return Err(Malformed),
        };
        let status = response.code.ok_or(Malformed)?;
        let is_interim = Status::of(status).ok_or(Malformed)? == Status::Interim;
        let has_no_body = method == "HEAD" || is_interim || status == 204 || status == 304;
        let framing = if has_no_body {
            Framing::Length(0)
        } else {
            fields::framing(response.headers, Framing::Close).ok_or(Malformed)?
        };
        let is_closing = fields::has_option(response.headers, "close");
        let keep_alive = fields::values(response.headers, "Keep-Alive");
        let idle_timeout = keep_alive
            .first()
            .and_then(|value| keep_alive_timeout(value));
        let content_type = fields::values(response.headers, "Content-Type");
        Ok(Some(Self {
            bytes: bytes[..length].to_vec(),
            framing,
            idle_timeout,
            is_event_stream: !has_no_body
                && content_type
                    .first()
                    .is_none_or(|value| is_event_stream(value)),
            is_keep_alive: response.version == Some(1) && !is_closing && framing != Framing::Close,
            is_typed: !content_type.is_empty(),
            length,
            metadata: headers::metadata(response.headers),
            status,
        }))
    }

    /// Whether the final response follows.
    pub(crate) fn is_interim(&self) -> bool {
        Status::of(self.status) == Some(Status::Interim)
    }

    /// Encodes the head for the caller, with the given framing.
    pub(crate) fn write(&self, framing: Framing, is_closing: bool) -> Vec<u8> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut storage);
        // `Head::parse` accepted the same bytes.
        let _ = response.parse(&self.bytes);
        let mut head = Vec::with_capacity(self.bytes.len() + 64);
        let phrase = response.reason.unwrap_or_default();
        // Writing to a `Vec` cannot fail.
        let _ = write!(head, "HTTP/1.1 {} {phrase}\r\n", self.status);
        headers::write_answer(&mut head, response.headers);
        match framing {
            Framing::Chunked => head.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
            Framing::Close => {}
            Framing::Length(length) => {
                let _ = write!(head, "Content-Length: {length}\r\n");
            }
        }
        if is_closing || framing == Framing::Close {
            head.extend_from_slice(b"Connection: close\r\n");
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

fn is_event_stream(content_type: &str) -> bool {
    content_type
        .split(';')
        .next()
        .is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// The `timeout` parameter of a `Keep-Alive` header.
fn keep_alive_timeout(value: &str) -> Option<Duration> {
    value
        .split(',')
        .filter_map(|option| option.trim().split_once('='))
        .find(|(name, _)| name.eq_ignore_ascii_case("timeout"))
        .and_then(|(_, seconds)| seconds.trim().parse().ok())
        .map(Duration::from_secs)
}
