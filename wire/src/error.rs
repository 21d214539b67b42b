//! Errors of reading and writing messages.

use std::fmt::{self, Display, Formatter};

/// Why a message could not be read or written.
#[derive(Debug)]
pub enum Error {
    /// The authentication tag does not match: the message was forged or damaged, or was sent with
    /// another secret.
    Forged,
    /// The socket failed.
    Io(std::io::Error),
    /// The message cannot be decoded as the expected type, or cannot be encoded.
    Malformed(postcard::Error),
    /// The message exceeds the maximum length; holds its length in bytes.
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

impl From<Error> for std::io::Error {
    fn from(error: Error) -> Self {
        match error {
            Error::Io(error) => error,
            other => Self::other(other),
        }
    }
}
