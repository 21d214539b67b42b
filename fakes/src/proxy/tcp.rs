//! TCP connections through a proxy.

use super::Ways;
use super::way::Way;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use futures_lite::FutureExt;
use futures_lite::future::{try_zip, zip};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const PIECE: usize = 16 << 10;
/// Pieces on their way at once.
const PIECES: usize = 64;

/// Bytes with the time at which they arrive; none for the end.
type Piece = (Instant, Vec<u8>);

/// Forwards connections until cancelled.
pub(super) async fn accept(listener: TcpListener, target: SocketAddr, ways: Arc<Ways>) {
    loop {
        match listener.accept().await {
            Ok((inbound, _)) => {
                let ways = ways.clone();
                task::spawn(async move {
                    let _ = forward(&ways, inbound, target).await;
                });
            }
            Err(_) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn forward(ways: &Ways, inbound: TcpStream, target: SocketAddr) -> io::Result<()> {
    if ways.forward.fault().cut || ways.backward.fault().cut {
        return Ok(());
    }
    ways.forward.pass(Instant::now()).await;
    let outbound = TcpStream::connect(target).await?;
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    let there = pump(&ways.forward, &inbound, &outbound);
    let back = pump(&ways.backward, &outbound, &inbound);
    let both = async {
        zip(there, back).await;
    };
    both.or(ways.forward.cut()).or(ways.backward.cut()).await;
    close(&inbound, &outbound);
    Ok(())
}

/// Passes one way on until its end, which it passes on too; an error closes both ways.
async fn pump(way: &Way, from: &TcpStream, to: &TcpStream) {
    let (sender, receiver) = bounded(PIECES);
    let reader = read(way, from.clone(), sender);
    let writer = write(way, receiver, to.clone());
    if try_zip(reader, writer).await.is_err() {
        close(from, to);
    }
}

async fn read(way: &Way, mut from: TcpStream, sender: Sender<Piece>) -> io::Result<()> {
    let mut buffer = vec![0; PIECE];
    loop {
        let read = from.read(&mut buffer).await?;
        let piece = (way.due(read), buffer[..read].to_vec());
        if sender.send(piece).await.is_err() || read == 0 {
            return Ok(());
        }
    }
}

async fn write(way: &Way, receiver: Receiver<Piece>, mut to: TcpStream) -> io::Result<()> {
    let mut passed = 0;
    while let Ok((due, bytes)) = receiver.recv().await {
        way.pass(due).await;
        if bytes.is_empty() {
            return to.shutdown(Shutdown::Write);
        }
        let limit = way.fault().cut_after;
        let left = limit.saturating_sub(passed);
        if limit > 0 && left < bytes.len() as u64 {
            let left = usize::try_from(left).unwrap_or(0);
            to.write_all(&bytes[..left]).await?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        to.write_all(&bytes).await?;
        passed += bytes.len() as u64;
        way.count(bytes.len());
    }
    // The reader failed before the end.
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn close(one: &TcpStream, other: &TcpStream) {
    let _ = one.shutdown(Shutdown::Both);
    let _ = other.shutdown(Shutdown::Both);
}
