//! Errors of reading and writing messages.

use std::fmt::{self, Display, Formatter};

/// Why a message could not be read or written.
#[derive(Debug)]
pub enum Error {
    /// The seal does not match: forged, damaged, or another secret.
    Forged,
    /// The socket failed.
    Io(std::io::Error),
    /// The bytes are no message of the schema.
    Malformed(postcard::Error),
    /// The message is longer than allowed; holds its length in bytes.
    TooLong(usize),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Forged => write!(
                f,
                "message has a wrong seal; expected one made with `secret`"
            ),
            Self::Io(error) => write!(f, "socket failed: {error}"),
            Self::Malformed(error) => write!(f, "message does not decode: {error}"),
            Self::TooLong(length) => write!(f, "message of {length} bytes is too long"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
