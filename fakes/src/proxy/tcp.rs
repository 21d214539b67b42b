//! TCP connections through a proxy.

use super::Directions;
use super::direction::Direction;
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

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Chunks queued in each direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Time of arrival and bytes; no bytes mark the end of the stream.
type Chunk = (Instant, Vec<u8>);

/// Forwards connections until cancelled.
pub(super) async fn accept(listener: TcpListener, target: SocketAddr, directions: Arc<Directions>) {
    loop {
        match listener.accept().await {
            Ok((inbound, _)) => {
                let directions = directions.clone();
                task::spawn(async move {
                    let _ = forward(&directions, inbound, target).await;
                });
            }
            Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn forward(
    directions: &Directions,
    inbound: TcpStream,
    target: SocketAddr,
) -> io::Result<()> {
    if directions.forward.fault().cut || directions.backward.fault().cut {
        return Ok(());
    }
    directions.forward.wait_until_delivery(Instant::now()).await;
    let outbound = TcpStream::connect(target).await?;
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    let forward = forward_direction(&directions.forward, &inbound, &outbound);
    let backward = forward_direction(&directions.backward, &outbound, &inbound);
    let both = async {
        zip(forward, backward).await;
    };
    both.or(directions.forward.wait_for_cut())
        .or(directions.backward.wait_for_cut())
        .await;
    close(&inbound, &outbound);
    Ok(())
}

/// Forwards one direction up to and including the end of the stream; an error closes both
/// directions.
async fn forward_direction(direction: &Direction, from: &TcpStream, to: &TcpStream) {
    let (sender, receiver) = bounded(MAX_QUEUED_CHUNKS);
    let reader = read(direction, from.clone(), sender);
    let writer = write(direction, receiver, to.clone());
    if try_zip(reader, writer).await.is_err() {
        close(from, to);
    }
}

async fn read(direction: &Direction, mut from: TcpStream, sender: Sender<Chunk>) -> io::Result<()> {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        let chunk = (direction.arrival_time(read), buffer[..read].to_vec());
        if sender.send(chunk).await.is_err() || read == 0 {
            return Ok(());
        }
    }
}

async fn write(
    direction: &Direction,
    receiver: Receiver<Chunk>,
    mut to: TcpStream,
) -> io::Result<()> {
    let mut written = 0;
    while let Ok((arrival_time, bytes)) = receiver.recv().await {
        direction.wait_until_delivery(arrival_time).await;
        if bytes.is_empty() {
            return to.shutdown(Shutdown::Write);
        }
        let limit = direction.fault().cut_after;
        let left = limit.saturating_sub(written);
        if limit > 0 && left < bytes.len() as u64 {
            let left = usize::try_from(left).unwrap_or(0);
            to.write_all(&bytes[..left]).await?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        to.write_all(&bytes).await?;
        written += bytes.len() as u64;
        direction.count_forwarded(bytes.len());
    }
    // The reader failed before the end of the stream.
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn close(one: &TcpStream, other: &TcpStream) {
    let _ = one.shutdown(Shutdown::Both);
    let _ = other.shutdown(Shutdown::Both);
}
