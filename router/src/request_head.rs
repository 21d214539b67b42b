//! Parses the heads of callers' requests.

use crate::body::Body;
use crate::client::Client;
use crate::framing::Framing;
use crate::refusal::Reason;
use crate::request::{Incoming, MAX_HEADERS, ReadError, Request, UNSEGMENTED_FACTOR, refused};
use almondwell_core::table::Limits;
use almondwell_platform::headers;
use almondwell_wire::fields;
use std::sync::Arc;
use std::time::Instant;

/// A complete head.
pub(crate) struct Head {
    pub(crate) incoming: Incoming,
    pub(crate) length: usize,
}

/// What the bytes of a head amount to so far.
// Each value lives for a single match.
#[allow(clippy::large_enum_variant)]
pub(crate) enum Parsed {
    Complete(Head),
    /// The head is complete, and parsed it takes as many bytes of memory.
    NoRoom(usize),
    Partial,
}

/// The attempt identifier of a request, if its head is complete.
pub(crate) fn attempt_id(bytes: &[u8]) -> Option<Box<str>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes).ok()?;
    status
        .is_complete()
        .then(|| headers::attempt(parsed.headers))
        .flatten()
}

/// Parses the head, once the client holds memory for what is kept of it: `has_room` is whether it does.
pub(crate) fn parse(
    bytes: &[u8],
    limits: &Limits,
    received_at: Instant,
    client: &Arc<Client>,
    has_room: bool,
) -> Result<Parsed, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head => length,
        Ok(httparse::Status::Partial) if bytes.len() <= limits.head => {
            return Ok(Parsed::Partial);
        }
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
    let start = target.as_ptr().addr() - bytes.as_ptr().addr();
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
    // Beside its parts, each text is kept once at most.
    let most_bytes = UNSEGMENTED_FACTOR * (length + headers::parts_bytes(parsed.headers));
    if !has_room && !client.try_hold(most_bytes) {
        return Ok(Parsed::NoRoom(most_bytes));
    }
    let request = Request {
        received_at,
        body: Body::new(client.clone()),
        has_body,
        head: Vec::new(),
        host: host_name(host),
        supports_chunked: is_http_11,
        job: headers::job(parsed.headers),
        is_keep_alive,
        method: parsed.method.unwrap_or_default().into(),
        target: start..start + target.len(),
    };
    let incoming = Incoming {
        expects_continue,
        framing,
        request,
    };
    Ok(Parsed::Complete(Head { incoming, length }))
}

/// The host without its port, in lower case.
fn host_name(host: &str) -> Box<str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase().into()
}
