//! Ends of HTTP/1.1 bodies.

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By the last chunk of the chunked encoding.
    Chunked,
    /// By the close of the connection.
    Close,
    /// By its length in bytes.
    Length(u64),
}
