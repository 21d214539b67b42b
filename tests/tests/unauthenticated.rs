//! Input from unauthenticated peers on the ports between almondwell's processes, and random bytes on
//! all ports.

use crate::bad_input::ensure_serving;
use almondwell_schema::{Datagram, End, Frame, Withdraw};
use almondwell_wire::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Seal, Socket};
use async_std::future::timeout;
use async_std::net::{TcpStream, UdpSocket};
use async_std::task;
use eyre::{Result, ensure};
use fakes::set::{SECRET, Set, Settings};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tests::cases;
use tests::metrics::wait_for;

const TIMEOUT: Duration = Duration::from_secs(10);

cases! {
    rejects_unauthenticated_datagrams(Settings::default()) = rejects_datagrams;
    rejects_unauthenticated_frames(Settings::default()) = rejects_frames;
    closes_connections_that_send_nothing(Settings::default()) = closes_idle;
    a_side_refuses_connections_over_the_limit(two_connections()) = refuses_side_connections;
    survives_random_bytes(Settings::default()) = survives_random;
}

fn two_connections() -> Settings {
    Settings {
        side_flags: vec![("connections".to_string(), "2".to_string())],
        ..Settings::default()
    }
}

async fn rejects_datagrams(set: Set) -> Result<()> {
    let ports = [
        (set.entries[0].control, set.entries[0].admin, "almondwell"),
        (
            set.upstreams[0].control,
            set.upstreams[0].admin,
            "almondwell_side",
        ),
    ];
    for (control, admin, prefix) in ports {
        let udp = UdpSocket::bind("127.0.0.1:0").await?;
        let good: Datagram = Withdraw { request: 7 }.into();
        let sealed = sealed(&good)?;
        let mut forged = sealed.clone();
        forged[0] ^= 1;
        let unauthenticated =
            Socket::bind(SocketAddr::from(([127, 0, 0, 1], 0)), Seal::new("other")).await?;
        unauthenticated.send(&good, control).await?;
        let bad: [&[u8]; 6] = [
            &[],
            &[0; 15],
            &sealed[..sealed.len() - 1],
            &forged,
            &[7; MAX_DATAGRAM_BYTES],
            &vec![7; 60_000],
        ];
        for bytes in bad {
            udp.send_to(bytes, control).await?;
        }
        let name = format!("{prefix}_datagrams_rejected_total");
        wait_for(admin, &name, bad.len() as u64 + 1).await?;
    }
    ensure_serving(&set).await
}

async fn rejects_frames(set: Set) -> Result<()> {
    let (entry, side) = (&set.entries[0], &set.upstreams[0]);
    reject_all(
        entry.control,
        entry.admin,
        "almondwell_frames_rejected_total",
    )
    .await?;
    reject_all(
        side.control,
        side.admin,
        "almondwell_side_frames_rejected_total",
    )
    .await?;
    ensure_serving(&set).await
}

/// Sends invalid or unexpected frames, each on its own connection, and waits until the metric
/// `counter` has counted them.
async fn reject_all(control: SocketAddr, admin: SocketAddr, counter: &str) -> Result<()> {
    let unexpected: Frame = End { length: 0 }.into();
    let sealed = sealed(&unexpected)?;
    let mut forged = sealed.clone();
    forged[0] ^= 1;
    let too_long = u32::try_from(MAX_FRAME_BYTES + 1)?;
    let frames = [
        framed(&sealed)?,
        framed(&forged)?,
        framed(&[])?,
        too_long.to_le_bytes().to_vec(),
        u32::MAX.to_le_bytes().to_vec(),
    ];
    for frame in &frames {
        let mut tcp = TcpStream::connect(control).await?;
        tcp.write_all(frame).await?;
        ensure!(
            is_closed(&mut tcp).await,
            "the connection stays open after an invalid frame"
        );
    }
    let mut cut = TcpStream::connect(control).await?;
    cut.write_all(&framed(&sealed)?[..8]).await?;
    drop(cut);
    wait_for(admin, counter, frames.len() as u64).await
}

async fn closes_idle(set: Set) -> Result<()> {
    let (entry, side) = (&set.entries[0], &set.upstreams[0]);
    let mut silent = [
        TcpStream::connect(entry.control).await?,
        TcpStream::connect(side.control).await?,
    ];
    for tcp in &mut silent {
        ensure!(
            is_closed(tcp).await,
            "a connection that sent nothing stays open"
        );
    }
    wait_for(entry.admin, "almondwell_peers_refused_total", 1).await?;
    wait_for(side.admin, "almondwell_side_connections_refused_total", 1).await
}

async fn refuses_side_connections(set: Set) -> Result<()> {
    let side = &set.upstreams[0];
    let held = [
        TcpStream::connect(side.control).await?,
        TcpStream::connect(side.control).await?,
    ];
    task::sleep(Duration::from_millis(100)).await;
    let mut over = TcpStream::connect(side.control).await?;
    let start = Instant::now();
    ensure!(is_closed(&mut over).await);
    ensure!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    drop(held);
    task::sleep(Duration::from_millis(100)).await;
    ensure_serving(&set).await
}

/// Sends random bytes and corrupted messages to all ports, then checks that the processes still serve.
async fn survives_random(mut set: Set) -> Result<()> {
    const ROUNDS: usize = 400;
    let seed = match std::env::var("ALMONDWELL_SEED") {
        Ok(text) => text.parse()?,
        Err(_) => 20_261_204,
    };
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let udp = UdpSocket::bind("127.0.0.1:0").await?;
    let (entry, side) = (&set.entries[0], &set.upstreams[0]);
    let tcp = [
        entry.callers,
        entry.control,
        entry.admin,
        side.control,
        side.admin,
    ];
    for _ in 0..ROUNDS {
        let bytes = random_input(&mut random)?;
        if random.random_bool(0.3) {
            let ports = [entry.control, side.control];
            let port = ports[random.random_range(0..ports.len())];
            udp.send_to(&bytes, port).await?;
            continue;
        }
        let mut stream = TcpStream::connect(tcp[random.random_range(0..tcp.len())]).await?;
        // The peer may close the connection before all bytes are written.
        let _ = stream.write_all(&bytes).await;
        if random.random_bool(0.5) {
            let _ = timeout(Duration::from_millis(5), stream.read(&mut [0; 512])).await;
        }
    }
    ensure_serving(&set).await?;
    for process in [&mut set.entries[0].process, &mut set.upstreams[0].side] {
        ensure!(
            process.exit_status().is_none(),
            "a process ended; seed {seed}"
        );
    }
    Ok(())
}

/// Random bytes, or a message with flipped bits that is truncated.
fn random_input(random: &mut StdRng) -> Result<Vec<u8>> {
    let request = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\
                   Transfer-Encoding: chunked\r\n\r\n4\r\n{\"a\"\r\n0\r\n\r\n";
    let end: Frame = End { length: 3 }.into();
    let withdraw: Datagram = Withdraw { request: 7 }.into();
    let mut bytes = match random.random_range(0..4) {
        0 => request.as_bytes().to_vec(),
        1 => framed(&sealed(&end)?)?,
        2 => sealed(&withdraw)?,
        _ => {
            let length = random.random_range(0..2000);
            (0..length).map(|_| random.random()).collect()
        }
    };
    for _ in 0..random.random_range(0..4) {
        if !bytes.is_empty() {
            let index = random.random_range(0..bytes.len());
            bytes[index] ^= 1 << random.random_range(0..8);
        }
    }
    bytes.truncate(random.random_range(0..=bytes.len()));
    Ok(bytes)
}

fn sealed<T: serde::Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(message)?;
    Seal::new(SECRET).append_tag(&mut bytes);
    Ok(bytes)
}

fn framed(sealed: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = u32::try_from(sealed.len())?.to_le_bytes().to_vec();
    bytes.extend_from_slice(sealed);
    Ok(bytes)
}

async fn is_closed(tcp: &mut TcpStream) -> bool {
    let read = timeout(TIMEOUT, tcp.read(&mut [0; 1])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}
