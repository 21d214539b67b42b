//! Bounds the connections that are served at once.

use async_std::future::timeout;
use async_std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time in which a new connection has to send its first byte.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds the connections that are served at once.
#[derive(Debug)]
pub struct Gate {
    limit: usize,
    open: Arc<AtomicUsize>,
}

impl Gate {
    /// A gate for up to `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: Arc::default(),
        }
    }

    /// Counts one more connection; `None` when too many are open.
    pub fn enter(&self) -> Option<Pass> {
        let open = self.open.fetch_add(1, Ordering::AcqRel);
        let pass = Pass(self.open.clone());
        (open < self.limit).then_some(pass)
    }
}

/// Counts a connection as open.
#[derive(Debug)]
pub struct Pass(Arc<AtomicUsize>);

impl Drop for Pass {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Whether the other end of a new connection sends anything in time.
pub async fn speaks(tcp: &TcpStream) -> bool {
    let mut byte = [0];
    let peek = timeout(SILENCE_TIMEOUT, tcp.peek(&mut byte)).await;
    matches!(peek, Ok(Ok(read)) if read > 0)
}
