//! Limits the connections to a page for the platform or for operators.

use async_std::future::timeout;
use async_std::net::{Shutdown, TcpStream};
use event_listener::Event;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most connections to a page. With those of other entries they stay within the descriptors that are not for clients.
const MAX_CONNECTIONS: usize = 12;
/// Time after which a further connection gives way. One closes within a millisecond unless its machine is overloaded.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

type Id = u64;

/// Open connections of one page.
#[derive(Default)]
pub(crate) struct Limit {
    closed: Event,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    next_id: Id,
    /// The connections and when each last had a request; those that give way have none.
    open: BTreeMap<Id, (TcpStream, Option<Instant>)>,
}

/// Place of one connection, free again once this is dropped.
pub(crate) struct Slot {
    id: Id,
    limit: Arc<Limit>,
}

impl Limit {
    /// Adds a connection, in place of the one without a request for longest if there are as many as allowed.
    pub(crate) async fn admit(self: &Arc<Self>, stream: TcpStream) -> Slot {
        loop {
            let closed = self.closed.listen();
            if let Some(id) = self.insert(&stream) {
                let limit = self.clone();
                return Slot { id, limit };
            }
            self.evict();
            // If none closes in time, another one gives way.
            let _ = timeout(CLOSE_TIMEOUT, closed).await;
        }
    }

    fn insert(&self, stream: &TcpStream) -> Option<Id> {
        let mut state = self.lock();
        if state.open.len() >= MAX_CONNECTIONS {
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        let entry = (stream.clone(), Some(Instant::now()));
        state.open.insert(id, entry);
        Some(id)
    }

    fn evict(&self) {
        let mut state = self.lock();
        let waiting = state.open.values_mut();
        let waiting = waiting.filter(|(_, since)| since.is_some());
        if let Some((stream, since)) = waiting.min_by_key(|(_, since)| *since) {
            *since = None;
            // An error means that the connection is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Records a request.
    pub(crate) fn touch(&self) {
        let mut state = self.limit.lock();
        if let Some((_, Some(since))) = state.open.get_mut(&self.id) {
            *since = Instant::now();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.limit.lock().open.remove(&self.id);
        self.limit.closed.notify(usize::MAX);
    }
}
