//! Header fields: their syntax, and those that determine a message's framing and whether its connection persists.

use crate::Framing;
use httparse::Header;

/// Values of all fields called `name`, trimmed. A value that is not UTF-8 becomes U+FFFD, which matches
/// nothing.
pub fn values<'a>(headers: &'a [Header<'_>], name: &str) -> Vec<&'a str> {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| {
            std::str::from_utf8(header.value)
                .unwrap_or("\u{fffd}")
                .trim()
        })
        .collect()
}

/// Framing of a body; `default` if no field states it. `None` if the fields are invalid or ambiguous, so that
/// two parties might disagree on where the body ends (request smuggling).
pub fn framing(headers: &[Header<'_>], default: Framing) -> Option<Framing> {
    let lengths = values(headers, "Content-Length");
    let encodings = values(headers, "Transfer-Encoding");
    match (&lengths[..], &encodings[..]) {
        ([], []) => Some(default),
        ([], [encoding]) if encoding.eq_ignore_ascii_case("chunked") => Some(Framing::Chunked),
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            length.parse().ok().map(Framing::Length)
        }
        _ => None,
    }
}

/// Whether a `Connection` field has the given option.
pub fn has_option(headers: &[Header<'_>], option: &str) -> bool {
    values(headers, "Connection")
        .iter()
        .flat_map(|value| value.split(','))
        .any(|value| value.trim().eq_ignore_ascii_case(option))
}

/// Whether `line`, without its line break, is a field with a valid name and value (RFC 9112, 5).
pub fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    let is_value = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    !name.is_empty() && name.iter().all(is_name) && value.iter().all(is_value)
}
