//! Requests that wait for datagrams.

use almondwell_schema::{Datagram, RequestId};
use async_std::channel::{Receiver, Sender, bounded};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

const SHARDS: usize = 64;
const INBOX: usize = 32;

/// A datagram and its sender.
pub(crate) type Message = (Datagram, SocketAddr);

/// Inboxes of requests, in shards that lock on their own.
pub(crate) struct Waiters {
    shards: Vec<Mutex<BTreeMap<RequestId, Sender<Message>>>>,
}

impl Default for Waiters {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Waiters {
    /// Opens the inbox of `request`; it closes when the waiter is dropped.
    pub(crate) fn open(&self, request: RequestId) -> Waiter<'_> {
        let (sender, inbox) = bounded(INBOX);
        self.with(request, |shard| shard.insert(request, sender));
        Waiter {
            inbox,
            request,
            waiters: self,
        }
    }

    /// Passes a message on; `false` when no one waits for it.
    pub(crate) fn deliver(&self, request: RequestId, message: Message) -> bool {
        let sender = self.with(request, |shard| shard.get(&request).cloned());
        sender.is_some_and(|sender| sender.try_send(message).is_ok())
    }

    fn with<T>(
        &self,
        request: RequestId,
        job: impl FnOnce(&mut BTreeMap<RequestId, Sender<Message>>) -> T,
    ) -> T {
        let index = usize::try_from(request % SHARDS as u128).unwrap_or(0);
        job(&mut self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }
}

/// An open inbox.
pub(crate) struct Waiter<'a> {
    pub(crate) inbox: Receiver<Message>,
    request: RequestId,
    waiters: &'a Waiters,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let request = self.request;
        self.waiters.with(request, |shard| shard.remove(&request));
    }
}
