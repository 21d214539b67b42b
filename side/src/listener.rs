//! Accepts connections from entries.

use crate::call;
use crate::side::Side;
use almondwell_wire::Connection;
use async_std::net::TcpListener;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves connections until the process ends.
pub(crate) async fn accept(side: Arc<Side>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let side = side.clone();
                task::spawn(async move {
                    if let Ok(connection) = Connection::over(tcp, side.seal.clone()) {
                        call::serve(&side, connection).await;
                    }
                });
            }
            Err(_) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
}
