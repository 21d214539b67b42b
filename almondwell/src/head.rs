//! Checks a request's head before the HTTP decoder reads it.
//!
//! `async-h1` closes the connection without an answer on a malformed head, and accepts two
//! different lengths and any `Transfer-Encoding` that ends in `chunked`. A load balancer in front
//! may then see the request end at another byte, which allows request smuggling.

use crate::refusal::Refusal;
use http_types::StatusCode;

pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;

const MAX_HEADERS: usize = 64;
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// The parts of a request's head that decide how the connection is read and kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Head {
    pub(crate) body: Body,
    pub(crate) expects_continue: bool,
    pub(crate) keep_alive: bool,
    /// Length of the head in bytes, including the empty line.
    pub(crate) length: usize,
}

/// Length of a request's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Body {
    Chunked,
    Length(usize),
}

impl Body {
    /// Upper bound on the body in bytes.
    pub(crate) const fn limit(self) -> usize {
        match self {
            Self::Chunked => MAX_BODY_BYTES,
            Self::Length(length) => length,
        }
    }
}

/// Checks the head at the start of `bytes`; `None` if it is incomplete.
pub(crate) fn check(bytes: &[u8]) -> Result<Option<Head>, Refusal> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(too_long());
        }
        Err(error) => return Err(bad(format!("the request's head is malformed: {error}"))),
    };
    if length > MAX_HEAD_BYTES {
        return Err(too_long());
    }
    if request.version != Some(1) {
        let message = "expected HTTP/1.1";
        return Err(Refusal::invalid(
            StatusCode::HttpVersionNotSupported,
            "version",
            message,
        ));
    }
    let method = request.method.unwrap_or_default();
    if !METHODS.contains(&method) {
        let expected = METHODS.join(", ");
        let message = format!("unknown method `{method}`; expected one of {expected}");
        return Err(Refusal::invalid(
            StatusCode::NotImplemented,
            "method",
            message,
        ));
    }
    let values = |name: &str| -> Vec<&[u8]> {
        request
            .headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value)
            .collect()
    };
    if values("Host").len() != 1 {
        return Err(bad("expected one `Host` header"));
    }
    Ok(Some(Head {
        body: body(&values("Content-Length"), &values("Transfer-Encoding"))?,
        expects_continue: expects_continue(&values("Expect"))?,
        keep_alive: !closes(&values("Connection")),
        length,
    }))
}

fn expects_continue(expectations: &[&[u8]]) -> Result<bool, Refusal> {
    match expectations {
        [] => Ok(false),
        [one] if one.eq_ignore_ascii_case(b"100-continue") => Ok(true),
        _ => Err(Refusal::invalid(
            StatusCode::ExpectationFailed,
            "expectation",
            "expected `Expect: 100-continue` or none",
        )),
    }
}

/// Whether one of the `Connection` options is `close`.
fn closes(options: &[&[u8]]) -> bool {
    options
        .iter()
        .flat_map(|value| value.split(|byte| *byte == b','))
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

fn body(lengths: &[&[u8]], encodings: &[&[u8]]) -> Result<Body, Refusal> {
    match (lengths, encodings) {
        ([], []) => Ok(Body::Length(0)),
        ([], [encoding]) if encoding.eq_ignore_ascii_case(b"chunked") => Ok(Body::Chunked),
        ([], _) => Err(Refusal::invalid(
            StatusCode::NotImplemented,
            "transfer_encoding",
            "expected `Transfer-Encoding: chunked` or none",
        )),
        ([length], []) => parse_length(length),
        _ => Err(bad(
            "expected one `Content-Length` or `Transfer-Encoding: chunked`, not both",
        )),
    }
}

fn parse_length(value: &[u8]) -> Result<Body, Refusal> {
    let text = std::str::from_utf8(value).unwrap_or_default();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(bad("`Content-Length` is not a number"));
    }
    match text.parse() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(Body::Length(length)),
        Ok(_) | Err(_) => Err(body_too_long()),
    }
}

pub(crate) fn body_too_long() -> Refusal {
    let message = format!("the body is longer than {MAX_BODY_BYTES} bytes");
    Refusal::invalid(StatusCode::PayloadTooLarge, "body_too_long", message)
}

fn bad(message: impl Into<Box<str>>) -> Refusal {
    Refusal::invalid(StatusCode::BadRequest, "bad_request", message)
}

fn too_long() -> Refusal {
    let message =
        format!("the head is longer than {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} headers");
    Refusal::invalid(
        StatusCode::RequestHeaderFieldsTooLarge,
        "head_too_long",
        message,
    )
}
