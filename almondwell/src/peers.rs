//! Serves the configuration to other almondwell processes over TCP.

use crate::entry::Entry;
use almondwell_configuration as configuration;
use almondwell_daemon::{Limiter, sends_first_byte};
use almondwell_schema::Frame;
use almondwell_wire::{Connection, Error, Turn};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Limit for the rest of a frame once its first byte has arrived.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Connections served at once. Few are open, since a peer fetches rarely and then closes.
const MAX_CONNECTIONS: usize = 256;

/// Accepts connections and answers fetches, until the process ends.
pub(crate) async fn accept(entry: Arc<Entry>, listener: TcpListener) {
    let limiter = Limiter::new(MAX_CONNECTIONS);
    let turn = Turn::default();
    loop {
        turn.wait().await;
        match listener.accept().await {
            Ok((tcp, _)) => admit(&entry, &limiter, tcp),
            Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn admit(entry: &Arc<Entry>, limiter: &Limiter, tcp: TcpStream) {
    let Some(permit) = limiter.acquire() else {
        entry.metrics.peers_refused.inc();
        return;
    };
    let entry = entry.clone();
    task::spawn(async move {
        let _permit = permit;
        if !sends_first_byte(&tcp).await {
            entry.metrics.peers_refused.inc();
            return;
        }
        if let Ok(connection) = Connection::from_tcp(tcp, entry.seal.clone()) {
            serve(&entry, connection).await;
        }
    });
}

async fn serve(entry: &Entry, mut connection: Connection) {
    loop {
        match connection.read_within(IDLE_TIMEOUT, FRAME_TIMEOUT).await {
            Ok(Some(Frame::Fetch(fetch))) => {
                let answer = configuration::answer(entry, &fetch);
                if connection.write(&answer).await.is_err() {
                    return;
                }
            }
            Ok(Some(
                Frame::Chunk(_)
                | Frame::End(_)
                | Frame::Fault(_)
                | Frame::Head(_)
                | Frame::Run(_)
                | Frame::Ask(_)
                | Frame::Held(_)
                | Frame::Snapshot(_),
            ))
            | Err(Error::Forged | Error::Malformed(_) | Error::TooLong(_)) => {
                entry.metrics.frames_rejected.inc();
                return;
            }
            Ok(None) | Err(Error::Io(_)) => return,
        }
    }
}
