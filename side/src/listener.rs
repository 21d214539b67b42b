//! Accepts connections from entries.

use crate::call;
use crate::side::Side;
use almondwell_wire::Connection;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time in which a new connection has to send its first byte.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves connections until the process ends.
pub(crate) async fn accept(side: Arc<Side>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => admit(&side, &open, tcp),
            Err(_) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn admit(side: &Arc<Side>, open: &Arc<AtomicUsize>, tcp: TcpStream) {
    let limit = side.settings.connections as usize;
    let before = open.fetch_add(1, Ordering::AcqRel);
    let guard = Open(open.clone());
    if before >= limit {
        side.metrics.connections_refused.inc();
        return;
    }
    let side = side.clone();
    task::spawn(async move {
        let _guard = guard;
        serve(&side, tcp).await;
    });
}

async fn serve(side: &Arc<Side>, tcp: TcpStream) {
    if !speaks(&tcp).await {
        side.metrics.connections_refused.inc();
        return;
    }
    side.metrics.connections_accepted.inc();
    if let Ok(connection) = Connection::over(tcp, side.seal.clone()) {
        call::serve(side, connection).await;
    }
}

/// Whether the other end sends anything in time.
async fn speaks(tcp: &TcpStream) -> bool {
    let mut byte = [0];
    let peek = timeout(SILENCE_TIMEOUT, tcp.peek(&mut byte)).await;
    matches!(peek, Ok(Ok(read)) if read > 0)
}

/// Counts a connection as open.
struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
