//! Framing of HTTP/1.1 bodies, and the chunked encoding.

pub use almondwell_wire::Framing;

use almondwell_wire::fields;
use std::fmt::{self, Display, Formatter};

/// Longest chunk-size line or trailer section.
const MAX_LINE_BYTES: usize = 4 << 10;

/// The body violates the chunked encoding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl Display for Malformed {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("malformed chunk")
    }
}

impl std::error::Error for Malformed {}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Before a chunk-size line.
    Size,
    /// Within a chunk or a body of known length; holds the number of bytes left.
    Data(u64),
    /// Before the line break after a chunk.
    LineBreak,
    /// Within the trailer section; holds the number of its bytes so far.
    Trailer(usize),
    /// Until the connection closes.
    Close,
    Done,
}

/// Incremental decoder of one body.
#[derive(Clone, Copy, Debug)]
pub struct Decoder {
    is_chunked: bool,
    state: State,
}

impl Decoder {
    /// A decoder at the start of a body.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Chunked => State::Size,
            Framing::Close => State::Close,
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
        };
        Self {
            is_chunked: matches!(framing, Framing::Chunked),
            state,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body is complete when the connection closes.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::Close
    }

    /// Decodes `input` and appends the decoded bytes to `body`; returns the number of bytes of `input` that were
    /// consumed. The caller passes the rest again with more input.
    ///
    /// # Errors
    ///
    /// Fails when the chunked encoding is malformed or a line of it is too long.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, Malformed> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            let step = match self.state {
                State::Done => return Ok(used),
                State::Close => {
                    body.extend_from_slice(rest);
                    return Ok(input.len());
                }
                State::Data(left) => self.data(rest, left, body),
                State::Size => self.size(rest)?,
                State::LineBreak => self.line_break(rest)?,
                State::Trailer(length) => self.trailer(rest, length)?,
            };
            if step == 0 {
                return Ok(used);
            }
            used += step;
        }
    }

    fn data(&mut self, input: &[u8], left: u64, body: &mut Vec<u8>) -> usize {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
        body.extend_from_slice(&input[..count]);
        let left = left - count as u64;
        self.state = match left {
            0 if self.is_chunked => State::LineBreak,
            0 => State::Done,
            left => State::Data(left),
        };
        count
    }

    fn size(&mut self, input: &[u8]) -> Result<usize, Malformed> {
        // The parser takes a line without a digit for a size of zero.
        if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(Malformed);
        }
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((used, size))) => {
                self.state = if size == 0 {
                    State::Trailer(0)
                } else {
                    State::Data(size)
                };
                Ok(used)
            }
            Ok(httparse::Status::Partial) if input.len() < MAX_LINE_BYTES => Ok(0),
            Ok(httparse::Status::Partial) | Err(_) => Err(Malformed),
        }
    }

    fn line_break(&mut self, input: &[u8]) -> Result<usize, Malformed> {
        match input {
            [b'\r', b'\n', ..] => {
                self.state = State::Size;
                Ok(2)
            }
            [] | [b'\r'] => Ok(0),
            _ => Err(Malformed),
        }
    }

    fn trailer(&mut self, input: &[u8], length: usize) -> Result<usize, Malformed> {
        let line = input.windows(2).position(|pair| pair == b"\r\n");
        if length + line.unwrap_or(input.len()) >= MAX_LINE_BYTES {
            return Err(Malformed);
        }
        let Some(end) = line else {
            return Ok(0);
        };
        self.state = match &input[..end] {
            [] => State::Done,
            line if fields::is_field(line) => State::Trailer(length + end + 2),
            // Probably a chunk: the size before it was spoiled.
            _ => return Err(Malformed),
        };
        Ok(end + 2)
    }
}

/// Appends `data` to `out` as one chunk; nothing if `data` is empty, since an empty chunk ends the body.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Last chunk and empty trailer section, which end a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
