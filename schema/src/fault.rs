//! Errors in settings files.

use std::fmt::{self, Display, Formatter};

/// One error in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the file.
    pub file: Box<str>,
    /// Line number from 1; 0 when the error has no line.
    pub line: usize,
    /// Description of the error, with what was expected.
    pub message: Box<str>,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.message),
            line => write!(f, "{}:{line}: {}", self.file, self.message),
        }
    }
}
