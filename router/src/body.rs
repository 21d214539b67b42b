//! Bodies of requests, held in segments.

use crate::client::Client;
use crate::clients::NoRoom;
use crate::segments::SEGMENT_BYTES;
use std::sync::Arc;

/// A body of a request, whose memory the client holds.
pub(crate) struct Body {
    client: Arc<Client>,
    length: usize,
    segments: Vec<Vec<u8>>,
}

impl Body {
    pub(crate) const fn new(client: Arc<Client>) -> Self {
        Self {
            client,
            length: 0,
            segments: Vec::new(),
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// One of its pieces.
    pub(crate) fn piece(&self, index: usize) -> Option<&[u8]> {
        self.segments.get(index).map(Vec::as_slice)
    }

    /// Its bytes, in pieces.
    pub(crate) fn pieces(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.segments.iter().map(Vec::as_slice)
    }

    /// Takes memory for the first of `left` bytes that are expected, unless there is some.
    ///
    /// # Errors
    ///
    /// Fails when there is no memory left, or the client was evicted.
    pub(crate) async fn reserve(&mut self, left: u64) -> Result<(), NoRoom> {
        if self.spare() == 0 && left > 0 {
            let left = usize::try_from(left).unwrap_or(usize::MAX);
            let size = left.min(SEGMENT_BYTES);
            self.segments.push(self.client.take_segment(size).await?);
        }
        Ok(())
    }

    /// Appends `bytes`, after which up to `left` more are expected.
    ///
    /// # Errors
    ///
    /// Fails when there is no memory left, or the client was evicted.
    pub(crate) async fn append(&mut self, mut bytes: &[u8], left: u64) -> Result<(), NoRoom> {
        while !bytes.is_empty() {
            self.reserve(left.saturating_add(bytes.len() as u64))
                .await?;
            let count = bytes.len().min(self.spare());
            let (now, later) = bytes.split_at(count);
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            self.length += count;
            bytes = later;
        }
        Ok(())
    }

    /// Bytes that fit into the last segment.
    fn spare(&self) -> usize {
        self.segments
            .last()
            .map_or(0, |last| last.capacity() - last.len())
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.client
            .return_segments(std::mem::take(&mut self.segments));
    }
}
