//! Datagrams through a proxy. Each client gets its own socket towards the target.

use super::direction::Direction;
use super::{Directions, tcp};
use crate::process::free_address;
use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const MAX_DATAGRAM_BYTES: usize = 64 << 10;
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Forwards datagrams until cancelled; replies are sent from the address of the proxy.
pub(super) async fn forward(socket: UdpSocket, target: SocketAddr, directions: Arc<Directions>) {
    let socket = Arc::new(socket);
    let mut sessions: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else {
            task::sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        let session = match sessions.get(&client) {
            Some(session) => session.clone(),
            None => match open_session(&socket, client, &directions).await {
                Ok(session) => {
                    sessions.insert(client, session.clone());
                    session
                }
                Err(_) => continue,
            },
        };
        forward_datagram(&directions.forward, &buffer[..length], session, target);
    }
}

async fn open_session(
    socket: &Arc<UdpSocket>,
    client: SocketAddr,
    directions: &Arc<Directions>,
) -> std::io::Result<Arc<UdpSocket>> {
    let address = free_address().map_err(std::io::Error::other)?;
    let session = Arc::new(UdpSocket::bind(address).await?);
    // The target sees this address as the client's and may open TCP connections to it.
    let listener = TcpListener::bind(address).await?;
    task::spawn(tcp::accept(
        listener,
        client,
        Arc::new(directions.reversed()),
    ));
    task::spawn(forward_replies(
        session.clone(),
        socket.clone(),
        client,
        directions.clone(),
    ));
    Ok(session)
}

async fn forward_replies(
    session: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    directions: Arc<Directions>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match session.recv_from(&mut buffer).await {
            Ok((length, _)) => forward_datagram(
                &directions.backward,
                &buffer[..length],
                socket.clone(),
                client,
            ),
            Err(_) => task::sleep(RECEIVE_RETRY_DELAY).await,
        }
    }
}

/// Sends a datagram at its time of arrival; later datagrams may overtake it.
fn forward_datagram(
    direction: &Arc<Direction>,
    bytes: &[u8],
    socket: Arc<UdpSocket>,
    to: SocketAddr,
) {
    if direction.draw_drop() {
        return;
    }
    let arrival_time = direction.arrival_time(bytes.len());
    let bytes = bytes.to_vec();
    let direction = direction.clone();
    task::spawn(async move {
        direction.wait_until_delivery(arrival_time).await;
        if socket.send_to(&bytes, to).await.is_ok() {
            direction.count_forwarded(bytes.len());
        }
    });
}
