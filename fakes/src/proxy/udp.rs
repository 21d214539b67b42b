//! Datagrams through a proxy: each client has its own socket towards the target.

use super::way::Way;
use super::{Ways, tcp};
use crate::process::free_address;
use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const LONGEST: usize = 64 << 10;
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Forwards datagrams until cancelled; answers come from the proxy's own address.
pub(super) async fn forward(socket: UdpSocket, target: SocketAddr, ways: Arc<Ways>) {
    let socket = Arc::new(socket);
    let mut sessions: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; LONGEST];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else {
            task::sleep(RECEIVE_PAUSE).await;
            continue;
        };
        let session = match sessions.get(&client) {
            Some(session) => session.clone(),
            None => match open(&socket, client, &ways).await {
                Ok(session) => {
                    sessions.insert(client, session.clone());
                    session
                }
                Err(_) => continue,
            },
        };
        pass(&ways.forward, &buffer[..length], session, target);
    }
}

async fn open(
    socket: &Arc<UdpSocket>,
    client: SocketAddr,
    ways: &Arc<Ways>,
) -> std::io::Result<Arc<UdpSocket>> {
    let address = free_address().map_err(std::io::Error::other)?;
    let session = Arc::new(UdpSocket::bind(address).await?);
    // The target knows the client by this address and may connect to it as well.
    let listener = TcpListener::bind(address).await?;
    task::spawn(tcp::accept(listener, client, Arc::new(ways.reversed())));
    task::spawn(answer(
        session.clone(),
        socket.clone(),
        client,
        ways.clone(),
    ));
    Ok(session)
}

async fn answer(
    session: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    ways: Arc<Ways>,
) {
    let mut buffer = vec![0; LONGEST];
    loop {
        match session.recv_from(&mut buffer).await {
            Ok((length, _)) => pass(&ways.backward, &buffer[..length], socket.clone(), client),
            Err(_) => task::sleep(RECEIVE_PAUSE).await,
        }
    }
}

/// Sends a datagram when it is due; later ones may overtake it.
fn pass(way: &Arc<Way>, bytes: &[u8], socket: Arc<UdpSocket>, to: SocketAddr) {
    if way.draw_drop() {
        return;
    }
    let due = way.due(bytes.len());
    let bytes = bytes.to_vec();
    let way = way.clone();
    task::spawn(async move {
        way.pass(due).await;
        if socket.send_to(&bytes, to).await.is_ok() {
            way.count(bytes.len());
        }
    });
}
