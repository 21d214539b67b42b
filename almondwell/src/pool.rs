//! Idle connections to sides.

use almondwell_wire::Connection;
use futures_lite::future::poll_once;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Idle connections kept to all sides together.
const MAX_IDLE: usize = 256;
/// Idle connections kept to one side.
const MAX_IDLE_PER_SIDE: usize = 8;
/// Shorter than a side's own limit, so that an entry closes first.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Idle connections by side, the latest last.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    since: Duration,
}

impl Pool {
    /// An open connection to `side`, if one is idle at `now`.
    pub(crate) async fn take(&self, side: SocketAddr, now: Duration) -> Option<Connection> {
        while let Some(connection) = self.pop(side, now) {
            if is_open(&connection).await {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read whole.
    pub(crate) fn keep(&self, side: SocketAddr, connection: Connection, now: Duration) {
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
        connections.retain(|idle| now.saturating_sub(idle.since) < IDLE_TIME);
        !connections.is_empty()
    });
}

/// Whether an idle connection has neither been closed nor sent anything.
async fn is_open(connection: &Connection) -> bool {
    let mut byte = [0];
    let peek = connection.tcp().peek(&mut byte);
    poll_once(peek).await.is_none()
}
