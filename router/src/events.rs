//! Splits an event stream into complete events. Only complete events are relayed, so that a broken stream can
//! resume at another upstream after the last one.

/// Longest event that is held until it is complete; a longer one is relayed in pieces.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// Bytes of a longer event that are held back, so that its end is found when it arrives in pieces.
const HELD_BYTES: usize = b"\n\r\n".len();

/// Splits a stream of server-sent events, without changing its bytes.
#[derive(Debug, Default)]
pub struct Events {
    count: u32,
    last: Option<Box<str>>,
    /// Bytes of the incomplete event at the end that were not relayed.
    partial: Vec<u8>,
    /// Number of bytes of the incomplete event that were relayed, since it is longer than [`MAX_EVENT_BYTES`].
    relayed: usize,
}

impl Events {
    /// A stream that resumes after the event with the identifier `last`, or starts from the beginning for `None`.
    pub fn after(last: Option<&str>) -> Self {
        Self {
            last: last.map(Box::from),
            ..Self::default()
        }
    }

    /// Bytes of memory that are held.
    pub const fn capacity(&self) -> usize {
        self.partial.capacity()
    }

    /// Number of complete events relayed so far.
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Whether the caller has no event, neither of this request nor of an earlier one that it resumes.
    pub const fn is_empty(&self) -> bool {
        self.count == 0 && self.last.is_none()
    }

    /// Identifier of the last complete event that has one.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether the stream can resume at another upstream after [`Self::last`]: an event has an identifier, and the
    /// caller holds no part of a further one.
    pub const fn can_resume(&self) -> bool {
        self.last.is_some() && self.relayed == 0
    }

    /// Appends `bytes` and returns the events that are now complete.
    ///
    /// Events that the caller already has, by their identifier, are skipped.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut searched = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let mut pending = std::mem::take(&mut self.partial);
        let mut complete = Vec::new();
        let mut start = 0;
        while let Some(end) = event_end(&pending, start, searched) {
            self.complete(&pending[start..end], &mut complete);
            (start, searched) = (end, end);
        }
        pending.drain(..start);
        if pending.is_empty() {
            // Frees the memory, so that streams between two events hold none.
            pending = Vec::new();
        }
        self.partial = pending;
        if self.partial.len() > MAX_EVENT_BYTES {
            self.relay_part(&mut complete);
        }
        complete
    }

    /// Moves the incomplete event to `out`, but for its last bytes.
    fn relay_part(&mut self, out: &mut Vec<u8>) {
        if self.relayed == 0
            && let Some(id) = event_id(&self.partial)
        {
            self.last = Some(id);
        }
        let length = self.partial.len() - HELD_BYTES;
        self.relayed += length;
        out.extend(self.partial.drain(..length));
    }

    /// Appends `event` to `complete` unless the caller already has it.
    fn complete(&mut self, event: &[u8], complete: &mut Vec<u8>) {
        let is_rest = std::mem::take(&mut self.relayed) > 0;
        if !is_rest && let Some(id) = event_id(event) {
            if self.is_duplicate(&id) {
                return;
            }
            self.last = Some(id);
        }
        self.count += 1;
        complete.extend_from_slice(event);
    }

    /// Number of bytes of the incomplete event at the end.
    pub const fn incomplete_bytes(&self) -> usize {
        self.relayed + self.partial.len()
    }

    /// Drops the incomplete event of a broken stream, before the stream resumes at another upstream.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Whether the caller already has the event `id`. Numeric identifiers increase within a stream; others are
    /// never duplicates.
    fn is_duplicate(&self, id: &str) -> bool {
        let last = self.last.as_ref().and_then(|last| last.parse::<u64>().ok());
        match (id.parse::<u64>(), last) {
            (Ok(id), Some(last)) => id <= last,
            _ => false,
        }
    }
}

/// End of the event that begins at `start`, including the empty line that ends it; `None` if it is incomplete.
///
/// The bytes before `searched` hold no such end.
fn event_end(bytes: &[u8], start: usize, searched: usize) -> Option<usize> {
    let line_breaks = (searched..bytes.len()).filter(|index| bytes[*index] == b'\n');
    line_breaks.map(|index| index + 1).find(|end| {
        let event = &bytes[start..*end];
        matches!(event, b"\n" | b"\r\n") || event.ends_with(b"\n\n") || event.ends_with(b"\n\r\n")
    })
}

fn event_id(event: &[u8]) -> Option<Box<str>> {
    let id = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    Some(std::str::from_utf8(id).ok()?.trim().into())
}
