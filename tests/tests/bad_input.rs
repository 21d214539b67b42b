//! Malformed, oversized, slow and random input on every port.

use crate::raw::{Case, Connection};
use almondwell_schema::{Datagram, End, Frame, Withdraw};
use almondwell_wire::{MAX_DATAGRAM, MAX_FRAME, Seal, Socket};
use async_std::future::timeout;
use async_std::net::{TcpStream, UdpSocket};
use async_std::task;
use eyre::{Result, bail, ensure};
use fakes::http::{call, request};
use fakes::set::{SECRET, Set, Settings};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tests::cases;

const PATIENCE: Duration = Duration::from_secs(10);

cases! {
    answers_each_raw_request(Settings::default()) = answers_raw;
    answers_a_request_in_pieces(Settings::default()) = answers_pieces;
    refuses_a_slow_head(hasty()) = refuses_slow_head;
    refuses_a_slow_body(hasty()) = refuses_slow_body;
    refuses_connections_over_the_limit(two_connections()) = refuses_connections;
    refuses_bodies_that_memory_cannot_hold(little_memory()) = refuses_bodies;
    serves_an_idle_connection_while_it_leaves(Settings::default()) = serves_while_leaving;
    rejects_datagrams_of_strangers(Settings::default()) = rejects_datagrams;
    rejects_frames_of_strangers(Settings::default()) = rejects_frames;
    closes_a_silent_connection_to_a_side(Settings::default()) = closes_silent;
    refuses_a_side_s_connections_over_the_limit(narrow_side()) = refuses_side_connections;
    survives_random_bytes(Settings::default()) = survives_random;
}

fn entry_flags(flags: &[(&str, &str)]) -> Settings {
    Settings {
        entry_flags: pairs(flags),
        ..Settings::default()
    }
}

fn hasty() -> Settings {
    entry_flags(&[("head-timeout", "300ms"), ("body-timeout", "300ms")])
}

fn little_memory() -> Settings {
    entry_flags(&[("body-memory", "4194304")])
}

fn narrow_side() -> Settings {
    Settings {
        side_flags: pairs(&[("connections", "2")]),
        ..Settings::default()
    }
}

fn two_connections() -> Settings {
    entry_flags(&[("connections", "2")])
}

fn pairs(flags: &[(&str, &str)]) -> Vec<(String, String)> {
    flags
        .iter()
        .map(|(key, value)| (key.to_string(), value.to_string()))
        .collect()
}

async fn answers_raw(set: Set) -> Result<()> {
    let cases = Case::read_all()?;
    let mut wrong = Vec::new();
    for case in &cases {
        if let Err(error) = timeout(PATIENCE, case.check(set.entries[0].callers)).await? {
            wrong.push(format!("{}: {error}", case.name));
        }
    }
    ensure!(wrong.is_empty(), "{}", wrong.join("\n"));
    let rejected = metric_sum(set.entries[0].admin, "almondwell_requests_rejected_total").await?;
    let expected = cases.iter().map(Case::rejections).sum::<usize>();
    ensure!(
        rejected == expected as u64,
        "{rejected} of {expected} counted"
    );
    answers_well(&set).await
}

async fn answers_pieces(set: Set) -> Result<()> {
    let mut connection = Connection::open(set.entries[0].callers).await?;
    for byte in b"GET /v1/models HTTP/1.1\r\nHost: almondwell\r\n\r\n" {
        connection.send(&[*byte]).await?;
        task::sleep(Duration::from_millis(1)).await;
    }
    ensure!(connection.answer().await?.status == 200);
    Ok(())
}

async fn refuses_slow_head(set: Set) -> Result<()> {
    let mut connection = Connection::open(set.entries[0].callers).await?;
    connection.send(b"GET /v1/models HTTP/1.1\r\nHost").await?;
    let answer = connection.answer().await?;
    ensure!(
        answer.status == 408 && answer.code() == "too_slow",
        "{answer:?}"
    );
    ensure!(connection.is_closed().await);
    Ok(())
}

async fn refuses_slow_body(set: Set) -> Result<()> {
    for framing in ["Content-Length: 10", "Transfer-Encoding: chunked"] {
        let mut connection = Connection::open(set.entries[0].callers).await?;
        let head =
            format!("POST /v1/chat/completions HTTP/1.1\r\nHost: almondwell\r\n{framing}\r\n\r\n1");
        connection.send(head.as_bytes()).await?;
        let answer = connection.answer().await?;
        ensure!(
            answer.status == 408 && answer.code() == "too_slow",
            "{answer:?}"
        );
        ensure!(connection.is_closed().await);
    }
    Ok(())
}

async fn refuses_connections(set: Set) -> Result<()> {
    let entry = &set.entries[0];
    let held = [
        Connection::open(entry.callers).await?,
        Connection::open(entry.callers).await?,
    ];
    let mut over = Connection::open(entry.callers).await?;
    let answer = over.answer().await?;
    ensure!(
        answer.status == 503 && answer.code() == "overloaded",
        "{answer:?}"
    );
    ensure!(answer.header("retry-after") == Some("1"), "{answer:?}");
    drop((held, over));
    task::sleep(Duration::from_millis(100)).await;
    let refused = metric_sum(entry.admin, "almondwell_connections_refused_total").await?;
    ensure!(refused == 1, "{refused}");
    answers_well(&set).await
}

async fn refuses_bodies(set: Set) -> Result<()> {
    let entry = set.entries[0].callers;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: almondwell\r\n";
    let mut holder = Connection::open(entry).await?;
    let long = format!("{head}Content-Length: 4194304\r\n\r\n");
    holder.send(long.as_bytes()).await?;
    task::sleep(Duration::from_millis(100)).await;
    let mut over = Connection::open(entry).await?;
    let short = format!("{head}Content-Length: 1\r\n\r\n1");
    over.send(short.as_bytes()).await?;
    let answer = over.answer().await?;
    ensure!(
        answer.status == 503 && answer.code() == "overloaded",
        "{answer:?}"
    );
    drop(holder);
    task::sleep(Duration::from_millis(100)).await;
    answers_well(&set).await
}

async fn serves_while_leaving(mut set: Set) -> Result<()> {
    let mut idle = Connection::open(set.entries[0].callers).await?;
    set.entries[0].process.signal("TERM")?;
    task::sleep(Duration::from_millis(700)).await;
    let request = b"GET /v1/models HTTP/1.1\r\nHost: almondwell\r\n\r\n";
    idle.send(request).await?;
    let answer = idle.answer().await?;
    ensure!(answer.status == 200, "{answer:?}");
    ensure!(answer.header("connection") == Some("close"), "{answer:?}");
    let status = set.entries[0].process.wait(PATIENCE)?;
    ensure!(status.success(), "{status}");
    Ok(())
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
        let stranger =
            Socket::bind(SocketAddr::from(([127, 0, 0, 1], 0)), Seal::new("other")).await?;
        stranger.send(&good, control).await?;
        let bad: [&[u8]; 6] = [
            &[],
            &[0; 15],
            &sealed[..sealed.len() - 1],
            &forged,
            &[7; MAX_DATAGRAM],
            &vec![7; 60_000],
        ];
        for bytes in bad {
            udp.send_to(bytes, control).await?;
        }
        let name = format!("{prefix}_datagrams_rejected_total");
        wait_for(admin, &name, bad.len() as u64 + 1).await?;
    }
    answers_well(&set).await
}

async fn rejects_frames(set: Set) -> Result<()> {
    let side = &set.upstreams[0];
    let unexpected: Frame = End { length: 0 }.into();
    let sealed = sealed(&unexpected)?;
    let mut forged = sealed.clone();
    forged[0] ^= 1;
    let too_long = u32::try_from(MAX_FRAME + 1)?;
    let frames = [
        framed(&sealed)?,
        framed(&forged)?,
        framed(&[])?,
        too_long.to_le_bytes().to_vec(),
        u32::MAX.to_le_bytes().to_vec(),
    ];
    for frame in &frames {
        let mut tcp = TcpStream::connect(side.control).await?;
        tcp.write_all(frame).await?;
        ensure!(is_closed(&mut tcp).await, "the side keeps a bad connection");
    }
    let mut cut = TcpStream::connect(side.control).await?;
    cut.write_all(&framed(&sealed)?[..8]).await?;
    drop(cut);
    let name = "almondwell_side_frames_rejected_total";
    wait_for(side.admin, name, frames.len() as u64).await?;
    answers_well(&set).await
}

async fn closes_silent(set: Set) -> Result<()> {
    let side = &set.upstreams[0];
    let mut tcp = TcpStream::connect(side.control).await?;
    ensure!(
        is_closed(&mut tcp).await,
        "the side keeps a silent connection"
    );
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
    answers_well(&set).await
}

/// Sends random bytes and damaged messages to every port, then a good request.
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
    let tcp = [entry.callers, entry.admin, side.control, side.admin];
    for _ in 0..ROUNDS {
        let bytes = noise(&mut random)?;
        if random.random_bool(0.3) {
            let ports = [entry.control, side.control];
            let port = ports[random.random_range(0..ports.len())];
            udp.send_to(&bytes, port).await?;
            continue;
        }
        let mut stream = TcpStream::connect(tcp[random.random_range(0..tcp.len())]).await?;
        // The other end may close before all is written.
        let _ = stream.write_all(&bytes).await;
        if random.random_bool(0.5) {
            let _ = timeout(Duration::from_millis(5), stream.read(&mut [0; 512])).await;
        }
    }
    answers_well(&set).await?;
    for process in [&mut set.entries[0].process, &mut set.upstreams[0].side] {
        ensure!(process.exited().is_none(), "a process ended; seed {seed}");
    }
    Ok(())
}

/// Random bytes, or a message that is cut and has some bits changed.
fn noise(random: &mut StdRng) -> Result<Vec<u8>> {
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
    Seal::new(SECRET).close(&mut bytes);
    Ok(bytes)
}

fn framed(sealed: &[u8]) -> Result<Vec<u8>> {
    let mut bytes = u32::try_from(sealed.len())?.to_le_bytes().to_vec();
    bytes.extend_from_slice(sealed);
    Ok(bytes)
}

async fn is_closed(tcp: &mut TcpStream) -> bool {
    let read = timeout(PATIENCE, tcp.read(&mut [0; 1])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

async fn answers_well(set: &Set) -> Result<()> {
    let answer = set.chat(0, "urgent", "hammock", 1).await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    let answer = set.order(0, "booking", "after", "fukuoka").await?;
    ensure!(answer.status() == 200, "{}", answer.text());
    Ok(())
}

async fn wait_for(admin: SocketAddr, name: &str, value: u64) -> Result<()> {
    let start = Instant::now();
    let mut found = 0;
    while start.elapsed() < PATIENCE {
        found = metric_sum(admin, name).await?;
        if found == value {
            return Ok(());
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    bail!("`{name}` is {found}, not {value}")
}

/// Sum of the metric `name` over all its labels.
async fn metric_sum(admin: SocketAddr, name: &str) -> Result<u64> {
    let page = request(Method::Get, admin, "/metrics", &[], "");
    let text = call(admin, page, PATIENCE).await?.text();
    let values = text.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        rest.starts_with([' ', '{'])
            .then(|| rest.rsplit(' ').next())?
    });
    let mut sum = 0;
    for value in values {
        sum += value.parse::<u64>()?;
    }
    Ok(sum)
}
