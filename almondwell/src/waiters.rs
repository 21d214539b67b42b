//! Delivers datagrams to the requests that wait for them.

use almondwell_schema::{Datagram, RequestId};
use async_std::channel::{Receiver, Sender, bounded};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

const SHARD_COUNT: usize = 64;
/// Datagrams buffered for one request; more are dropped.
const INBOX_CAPACITY: usize = 32;

/// A datagram and its sender's address.
pub(crate) type Message = (Datagram, SocketAddr);

/// Inboxes by request id, in shards with a lock each.
pub(crate) struct Waiters {
    shards: Vec<Mutex<BTreeMap<RequestId, Sender<Message>>>>,
}

impl Default for Waiters {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Waiters {
    /// Opens the inbox of `request`, which closes when the returned waiter is dropped.
    pub(crate) fn open(&self, request: RequestId) -> Waiter<'_> {
        let (sender, inbox) = bounded(INBOX_CAPACITY);
        self.with_shard(request, |shard| shard.insert(request, sender));
        Waiter {
            inbox,
            request,
            waiters: self,
        }
    }

    /// Puts `message` into the inbox of `request`; `false` if no inbox is open or it is full.
    pub(crate) fn deliver(&self, request: RequestId, message: Message) -> bool {
        let sender = self.with_shard(request, |shard| shard.get(&request).cloned());
        sender.is_some_and(|sender| sender.try_send(message).is_ok())
    }

    fn with_shard<T>(
        &self,
        request: RequestId,
        access: impl FnOnce(&mut BTreeMap<RequestId, Sender<Message>>) -> T,
    ) -> T {
        let index = usize::try_from(request % SHARD_COUNT as u128).unwrap_or(0);
        access(
            &mut self.shards[index]
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}

/// An open inbox; closes on drop.
pub(crate) struct Waiter<'a> {
    pub(crate) inbox: Receiver<Message>,
    request: RequestId,
    waiters: &'a Waiters,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let request = self.request;
        self.waiters
            .with_shard(request, |shard| shard.remove(&request));
    }
}
