//! Accepts connections from entries.

use crate::call;
use crate::side::Side;
use almondwell_daemon::{Gate, speaks};
use almondwell_wire::Connection;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts and serves connections until the process ends.
pub(crate) async fn accept(side: Arc<Side>, listener: TcpListener) {
    let gate = Gate::new(side.settings.connections as usize);
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => admit(&side, &gate, tcp),
            Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn admit(side: &Arc<Side>, gate: &Gate, tcp: TcpStream) {
    let Some(pass) = gate.enter() else {
        side.metrics.connections_refused.inc();
        return;
    };
    let side = side.clone();
    task::spawn(async move {
        let _pass = pass;
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
