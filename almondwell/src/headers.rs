//! Reads and checks the headers of a caller's request.

use crate::refusal::Refusal;
use almondwell_schema::{Header, Setting};
use http_types::{Request, StatusCode};
use std::time::Duration;

/// Requested class.
pub(crate) const CLASS: &str = "Almondwell-Class";
/// How long the caller will wait, as a duration.
pub(crate) const DEADLINE: &str = "Almondwell-Deadline";
/// The caller's key for a call that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

const AUTHORIZATION: &str = "Authorization";
/// Headers that are forwarded to upstreams.
const FORWARDED: [&str; 3] = ["Content-Type", "Accept", IDEMPOTENCY_KEY];
const MAX_KEY_BYTES: usize = 255;
/// Headers that must not be repeated, because the entry acts on their value.
const UNREPEATABLE: [&str; 6] = [
    AUTHORIZATION,
    CLASS,
    "Content-Type",
    DEADLINE,
    IDEMPOTENCY_KEY,
    "Prefer",
];

/// Refuses a request with a repeated header of `UNREPEATABLE` or a malformed idempotency key.
pub(crate) fn check(request: &Request) -> Result<(), Refusal> {
    for name in UNREPEATABLE {
        if request
            .header(name)
            .is_some_and(|values| values.iter().count() > 1)
        {
            let message = format!("expected one `{name}` header");
            return Err(bad("duplicate_header", message));
        }
    }
    check_key(request)
}

/// The value of the header `name`.
pub(crate) fn value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.as_str())
}

/// The bearer token of `Authorization`; empty if there is none.
pub(crate) fn bearer(request: &Request) -> &str {
    let text = value(request, AUTHORIZATION).unwrap_or_default();
    match text.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => key.trim(),
        Some(_) | None => "",
    }
}

/// How long the caller will wait; `None` if it sets no deadline. Fails if the header is malformed
/// or zero.
pub(crate) fn deadline(request: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = value(request, DEADLINE) else {
        return Ok(None);
    };
    match Duration::read(text) {
        Some(limit) if !limit.is_zero() => Ok(Some(limit)),
        Some(_) | None => {
            let message = format!(
                "`{DEADLINE}: {text}`: expected a duration such as 500ms or 5s, above zero"
            );
            Err(bad("bad_deadline", message))
        }
    }
}

/// The headers to forward to an upstream.
pub(crate) fn forwarded(request: &Request) -> Vec<Header> {
    FORWARDED
        .into_iter()
        .filter_map(|name| {
            let value = value(request, name)?;
            Some(Header {
                name: name.into(),
                value: value.into(),
            })
        })
        .collect()
}

fn check_key(request: &Request) -> Result<(), Refusal> {
    let Some(key) = value(request, IDEMPOTENCY_KEY) else {
        return Ok(());
    };
    let is_printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_printable {
        let message = format!(
            "`{IDEMPOTENCY_KEY}`: expected 1 to {MAX_KEY_BYTES} printable characters, no spaces"
        );
        return Err(bad("bad_idempotency_key", message));
    }
    Ok(())
}

fn bad(code: &'static str, message: String) -> Refusal {
    Refusal::invalid(StatusCode::BadRequest, code, message)
}
