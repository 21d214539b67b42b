//! Splits an event stream into complete events. Only complete events are relayed, so that a broken stream can
//! resume at another upstream after the last one.

/// Longest event that is held until it is complete; a longer one is relayed in pieces.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream of server-sent events, without changing its bytes.
#[derive(Debug, Default)]
pub struct Events {
    count: u32,
    /// Bytes of the incomplete event at the end.
    partial: Vec<u8>,
    last: Option<Box<str>>,
}

impl Events {
    /// A stream that resumes after the event with the identifier `last`, or starts from the beginning for `None`.
    pub fn after(last: Option<&str>) -> Self {
        Self {
            count: 0,
            partial: Vec::new(),
            last: last.map(Box::from),
        }
    }

    /// Number of complete events relayed so far.
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Identifier of the last complete event that has one.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Appends `bytes` and returns the events that are now complete.
    ///
    /// Events that the caller already has, by their identifier, are skipped.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(bytes);
        let mut complete = Vec::new();
        while let Some(length) = event_length(&self.partial) {
            let rest = self.partial.split_off(length);
            let event = std::mem::replace(&mut self.partial, rest);
            let id = event_id(&event);
            if let Some(id) = id {
                if self.is_duplicate(&id) {
                    continue;
                }
                self.last = Some(id);
            }
            self.count += 1;
            complete.extend_from_slice(&event);
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            complete.append(&mut self.partial);
        }
        complete
    }

    /// Returns the remaining bytes at the end of the stream.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
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

/// Length in bytes of the first event, including the empty line that ends it; `None` if it is incomplete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<Box<str>> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("id:"))
        .map(|id| id.trim().into())
}
