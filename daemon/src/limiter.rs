//! Limits the number of connections that are open at once.

use async_std::future::timeout;
use async_std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time within which the client of a new connection has to send its first byte.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits the number of connections that are open at once.
#[derive(Debug)]
pub struct Limiter {
    limit: usize,
    open: Arc<AtomicUsize>,
}

impl Limiter {
    /// Allows up to `limit` open connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: Arc::default(),
        }
    }

    /// Counts one more open connection until the result is dropped; `None` at the limit.
    pub fn acquire(&self) -> Option<Permit> {
        let open = self.open.fetch_add(1, Ordering::AcqRel);
        let permit = Permit(self.open.clone());
        (open < self.limit).then_some(permit)
    }
}

/// Permit for one open connection; returned to the limiter when dropped.
#[derive(Debug)]
pub struct Permit(Arc<AtomicUsize>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Whether the client of a new connection sends its first byte within 5 s; the byte stays unread.
pub async fn sends_first_byte(tcp: &TcpStream) -> bool {
    let mut byte = [0];
    let peek = timeout(FIRST_BYTE_TIMEOUT, tcp.peek(&mut byte)).await;
    matches!(peek, Ok(Ok(read)) if read > 0)
}
