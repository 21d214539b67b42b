//! Accepts connections from entries.

use crate::call;
use crate::side::Side;
use almondwell_daemon::{Limiter, sends_first_byte};
use almondwell_wire::{Connection, Turn};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts and serves connections until the process ends.
pub(crate) async fn accept(side: Arc<Side>, listener: TcpListener) {
    let limiter = Limiter::new(side.settings.connections as usize);
    let turn = Turn::default();
    loop {
        turn.wait().await;
        match listener.accept().await {
            Ok((tcp, _)) => admit(&side, &limiter, tcp),
            Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn admit(side: &Arc<Side>, limiter: &Limiter, tcp: TcpStream) {
    let Some(permit) = limiter.acquire() else {
        side.metrics.connections_refused.inc();
        return;
    };
    let side = side.clone();
    task::spawn(async move {
        let _permit = permit;
        serve(&side, tcp).await;
    });
}

async fn serve(side: &Arc<Side>, tcp: TcpStream) {
    if !sends_first_byte(&tcp).await {
        side.metrics.connections_refused.inc();
        return;
    }
    side.metrics.connections_accepted.inc();
    if let Ok(connection) = Connection::from_tcp(tcp, side.seal.clone()) {
        call::serve(side, connection).await;
    }
}
