//! Pool of idle connections to sides.

use almondwell_wire::Connection;
use futures_lite::future::poll_once;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Limit over all sides.
const MAX_IDLE: usize = 256;
const MAX_IDLE_PER_SIDE: usize = 8;
/// Shorter than a side's own limit, so that the entry closes an idle connection first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle connections by side, the most recently used last.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    since: Duration,
}

impl Pool {
    /// Takes an idle connection to `side` that is still open; `None` if there is none.
    pub(crate) async fn take(&self, side: SocketAddr, now: Duration) -> Option<Connection> {
        while let Some(connection) = self.pop(side, now) {
            if is_open(&connection).await {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose last answer was read completely; closes it if the pool is full.
    pub(crate) fn put(&self, side: SocketAddr, connection: Connection, now: Duration) {
        let mut idle = self.lock();
        expire(&mut idle, now);
        let total: usize = idle.values().map(Vec::len).sum();
        if total >= MAX_IDLE {
            return;
        }
        let connections = idle.entry(side).or_default();
        if connections.len() < MAX_IDLE_PER_SIDE {
            connections.push(Idle {
                connection,
                since: now,
            });
        }
    }

    fn pop(&self, side: SocketAddr, now: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        expire(&mut idle, now);
        let connections = idle.get_mut(&side)?;
        connections.pop().map(|idle| idle.connection)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn expire(idle: &mut BTreeMap<SocketAddr, Vec<Idle>>, now: Duration) {
    idle.retain(|_, connections| {
        connections.retain(|idle| now.saturating_sub(idle.since) < IDLE_TIMEOUT);
        !connections.is_empty()
    });
}

/// Whether the other end of an idle connection has neither closed it nor sent anything.
async fn is_open(connection: &Connection) -> bool {
    let mut byte = [0];
    let peek = connection.tcp().peek(&mut byte);
    poll_once(peek).await.is_none()
}
