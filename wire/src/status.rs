//! Status codes of HTTP responses.

/// Role of a response, by its status code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It answers the request.
    Final,
    /// The final response follows it.
    Interim,
}

impl Status {
    /// The role of a response with the status `code`; `None` if the code is invalid (RFC 9110, 15) or announces another
    /// protocol (101), for which no request here asks.
    pub const fn of(code: u16) -> Option<Self> {
        match code {
            100 | 102..=199 => Some(Self::Interim),
            200..=599 => Some(Self::Final),
            _ => None,
        }
    }
}
