//! One client's connection, and the memory that it makes the process hold.

use crate::clients::{Clients, Eviction, Id, NoRoom, Phase, Shared};
use crate::segments;
use almondwell_core::eviction::Progress;
use futures_lite::future::or;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// One client's connection, and the memory that it makes the process hold.
pub(crate) struct Client {
    clients: Arc<Clients>,
    id: Id,
    shared: Arc<Shared>,
}

impl Client {
    pub(crate) const fn new(clients: Arc<Clients>, id: Id, shared: Arc<Shared>) -> Self {
        Self {
            clients,
            id,
            shared,
        }
    }

    /// Takes memory for a segment of a body of `size` bytes, from clients without progress if necessary.
    ///
    /// # Errors
    ///
    /// Fails when there is none left, or the client was evicted.
    pub(crate) async fn take_segment(&self, size: usize) -> Result<Vec<u8>, NoRoom> {
        if let Some(segment) = segments::take(size) {
            self.hold_anyway(size);
            return Ok(segment);
        }
        self.hold(size).await?;
        Ok(Vec::with_capacity(size))
    }

    /// Returns the memory of a body's segments.
    pub(crate) fn return_segments(&self, segments: Vec<Vec<u8>>) {
        let bytes = segments.iter().map(Vec::capacity).sum();
        segments::put(segments.into_iter());
        self.release(bytes);
    }

    /// Records that a request begins.
    pub(crate) fn start_request(&self) {
        let mut state = self.shared.lock();
        state.phase = Phase::Receiving;
        state.progress = Progress::default();
    }

    /// Records that the request is complete, so that the client is not evicted any more.
    ///
    /// # Errors
    ///
    /// Fails when it has been evicted.
    pub(crate) fn finish_receiving(&self) -> Result<(), NoRoom> {
        let mut state = self.shared.lock();
        if state.eviction.is_some() {
            return Err(NoRoom);
        }
        state.phase = Phase::Running;
        Ok(())
    }

    /// Records that the request has ended. Only the read buffer of `buffer` bytes is still held.
    pub(crate) fn finish_request(&self, buffer: usize) {
        {
            let mut state = self.shared.lock();
            state.phase = Phase::Idle(self.clients.clock.now());
        }
        self.free();
        if buffer > 0 {
            self.set_buffer(buffer);
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_progress(&self, bytes: usize) {
        let now = self.clients.clock.now();
        self.shared.lock().progress.record(now, bytes);
    }

    /// Takes memory for the read buffer, which has a capacity of `bytes` now.
    ///
    /// # Errors
    ///
    /// Fails when there is none left, or the client was evicted.
    pub(crate) async fn hold_buffer(&self, bytes: usize) -> Result<(), NoRoom> {
        let buffer = self.shared.lock().buffer;
        if bytes > buffer {
            self.hold(bytes - buffer).await?;
            self.shared.lock().buffer = bytes;
        } else {
            self.set_buffer(bytes);
        }
        Ok(())
    }

    /// Records that a head of `head` bytes has moved out of the read buffer, whose capacity is `buffer` now.
    pub(crate) fn move_buffer(&self, buffer: usize, head: usize) {
        let mut state = self.shared.lock();
        let unused = state.held.saturating_sub(buffer + head);
        state.held -= unused;
        state.buffer = buffer;
        drop(state);
        self.clients.held.fetch_sub(unused, Ordering::AcqRel);
    }

    /// Sets the capacity of the read buffer without regard to the limit.
    fn set_buffer(&self, bytes: usize) {
        let mut state = self.shared.lock();
        let clients = &self.clients;
        if bytes > state.buffer {
            clients
                .held
                .fetch_add(bytes - state.buffer, Ordering::AcqRel);
        } else {
            clients
                .held
                .fetch_sub(state.buffer - bytes, Ordering::AcqRel);
        }
        state.held = state.held - state.buffer + bytes;
        state.buffer = bytes;
        drop(state);
        clients.freed.notify(usize::MAX);
    }

    /// Takes `bytes` of memory until the request ends, from clients without progress if necessary.
    ///
    /// # Errors
    ///
    /// Fails when there is none left, or the client was evicted.
    pub(crate) async fn hold(&self, bytes: usize) -> Result<(), NoRoom> {
        let clients = &self.clients;
        let share = {
            let state = self.shared.lock();
            state.progress.share(clients.clock.now(), state.held)
        };
        loop {
            let freed = clients.freed.listen();
            if self.eviction().is_some() {
                return Err(NoRoom);
            }
            if self.try_hold(bytes) {
                return Ok(());
            }
            // Evicted clients free their memory when their tasks run next.
            let is_freeing = clients.freeing.load(Ordering::Acquire) >= bytes;
            if !is_freeing && !clients.evict_stalled(share) {
                return Err(NoRoom);
            }
            or(freed, self.evicted()).await;
        }
    }

    /// Takes `bytes` of memory until the request ends, if as much is left.
    pub(crate) fn try_hold(&self, bytes: usize) -> bool {
        let is_held = self.clients.try_hold(bytes);
        if is_held {
            self.shared.lock().held += bytes;
        }
        is_held
    }

    /// Takes `bytes` of memory until the request ends, also beyond the limit: a request that has been forwarded is not given up
    /// for memory, but others are refused meanwhile.
    pub(crate) fn hold_anyway(&self, bytes: usize) {
        self.shared.lock().held += bytes;
        self.clients.held.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Replaces `before` bytes of memory by `after` bytes, also beyond the limit.
    pub(crate) fn resize(&self, before: usize, after: usize) {
        if after >= before {
            self.hold_anyway(after - before);
        } else {
            self.release(before - after);
        }
    }

    /// Returns `bytes` of memory before the request ends.
    pub(crate) fn release(&self, bytes: usize) {
        let bytes = {
            let mut state = self.shared.lock();
            let bytes = bytes.min(state.held);
            state.held -= bytes;
            bytes
        };
        self.clients.held.fetch_sub(bytes, Ordering::AcqRel);
        self.clients.freed.notify(usize::MAX);
    }

    /// Returns all memory.
    pub(crate) fn free(&self) {
        let (held, evicted_bytes) = {
            let mut state = self.shared.lock();
            state.buffer = 0;
            let held = std::mem::take(&mut state.held);
            (held, std::mem::take(&mut state.evicted_bytes))
        };
        if held > 0 || evicted_bytes > 0 {
            self.clients.held.fetch_sub(held, Ordering::AcqRel);
            self.clients
                .freeing
                .fetch_sub(evicted_bytes, Ordering::AcqRel);
            self.clients.freed.notify(usize::MAX);
        }
    }

    /// What the client was evicted for, if it was.
    pub(crate) fn eviction(&self) -> Option<Eviction> {
        self.shared.lock().eviction
    }

    /// Returns once the client is evicted.
    pub(crate) async fn evicted(&self) {
        loop {
            let evicted = self.shared.evicted.listen();
            if self.eviction().is_some() {
                return;
            }
            evicted.await;
        }
    }

    /// Counts a request that is refused for lack of memory.
    pub(crate) fn record_refusal(&self) {
        self.clients.metrics.no_room.inc();
        self.clients.log();
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let eviction = {
            let mut state = self.shared.lock();
            // From now on it cannot be evicted, which nothing would undo.
            state.phase = Phase::Running;
            state.eviction
        };
        self.free();
        self.clients.lock().remove(&self.id);
        if eviction == Some(Eviction::Connection) {
            self.clients.closing.fetch_sub(1, Ordering::AcqRel);
        }
        self.clients.closed.notify(usize::MAX);
    }
}
