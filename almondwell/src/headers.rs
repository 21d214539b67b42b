//! Headers of a caller's request.

use crate::refusal::Refusal;
use almondwell_schema::{Header, Setting};
use http_types::{Request, StatusCode};
use std::time::Duration;

/// Class that the caller asks for.
pub(crate) const CLASS: &str = "Almondwell-Class";
/// Time that the caller will wait.
pub(crate) const DEADLINE: &str = "Almondwell-Deadline";
/// The caller's key of a call that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

const AUTHORIZATION: &str = "Authorization";
/// Headers that upstreams see.
const FORWARDED: [&str; 3] = ["Content-Type", "Accept", IDEMPOTENCY_KEY];
/// Longest idempotency key in bytes.
const MAX_KEY: usize = 255;
/// Headers that may stand once only, since the entry acts on them.
const SINGLE: [&str; 6] = [
    AUTHORIZATION,
    CLASS,
    "Content-Type",
    DEADLINE,
    IDEMPOTENCY_KEY,
    "Prefer",
];

/// Refuses a request that states a header twice or states a malformed one.
pub(crate) fn check(request: &Request) -> Result<(), Refusal> {
    for name in SINGLE {
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

/// The value of `name`.
pub(crate) fn value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.as_str())
}

/// The caller's bearer key; empty when there is none.
pub(crate) fn bearer(request: &Request) -> &str {
    let text = value(request, AUTHORIZATION).unwrap_or_default();
    match text.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => key.trim(),
        Some(_) | None => "",
    }
}

/// Time that the caller will wait.
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

/// Headers that upstreams see.
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
    if key.is_empty() || key.len() > MAX_KEY || !is_printable {
        let message =
            format!("`{IDEMPOTENCY_KEY}`: expected 1 to {MAX_KEY} printable characters, no spaces");
        return Err(bad("bad_idempotency_key", message));
    }
    Ok(())
}

fn bad(code: &'static str, message: String) -> Refusal {
    Refusal::invalid(StatusCode::BadRequest, code, message)
}
