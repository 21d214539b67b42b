//! Whether the end of a response's body can be the end of the answer.

use http_types::Response;

/// Line breaks that may end an event.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];
/// Longest of [`EVENT_ENDS`].
const MAX_END_BYTES: usize = b"\n\r\n".len();

/// Last bytes of a body. A stream that ends inside an event, or before its first one, has been broken off.
#[derive(Debug, Default)]
pub(crate) struct Ending {
    is_event_stream: bool,
    last: Vec<u8>,
}

impl Ending {
    /// The ending of the body of `response`, of which nothing has been read.
    pub(crate) fn of(response: &Response) -> Self {
        let content_type = response.header("Content-Type");
        Self {
            is_event_stream: content_type
                .is_some_and(|values| values.as_str().starts_with("text/event-stream")),
            last: Vec::new(),
        }
    }

    /// Adds bytes of the body.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let bytes = &bytes[bytes.len().saturating_sub(MAX_END_BYTES)..];
        self.last.extend_from_slice(bytes);
        let excess = self.last.len().saturating_sub(MAX_END_BYTES);
        self.last.drain(..excess);
    }

    /// Whether the answer is complete if the body ends here.
    pub(crate) fn is_complete(&self) -> bool {
        !self.is_event_stream || EVENT_ENDS.iter().any(|end| self.last.ends_with(end))
    }
}
