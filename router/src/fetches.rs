//! Fetches of the store's contents between entries: by this entry one at a time, by others a few at a time.

use crate::metrics::Fetch;
use crate::peers::{RETRY_DELAY, lock_peers};
use crate::router::Router;
use crate::slots::Slots;
use almondwell_core::fetches::{Contents, Fetches, Next, Options, Outcome, Reach};
use almondwell_core::fleet::Source;
use almondwell_core::position::Position;
use almondwell_core::progress::CHECK_PERIOD;
use almondwell_core::upstream::{State, Upstream};
use almondwell_platform::decode::Rejection;
use almondwell_platform::{decode, limit_send_buffer, set_up_socket};
use almondwell_schema::{Ask, Frame, Held, Registration};
use almondwell_wire::{Connection, Error, Seal, Turn};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for connecting to another entry: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which an answer has to begin. Encoding a large configuration takes a fraction of it on a small machine, and
/// after an entry that went silent there is time for another one within `contact`.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time in which another entry has to send what it wants.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for each 64 KiB of a transfer.
const STEP_TIMEOUT: Duration = CHECK_PERIOD;
/// Fetches served at the same time. Two of 0.9 MB take 1.5 s on a link of 10 Mbit/s, more would take longer than others
/// wait; a single one would let an entry that went silent keep all others waiting.
const MAX_SERVED: usize = 2;
/// Connections that have not sent yet what they want; all entries of a large fleet may ask at once.
const MAX_CONNECTIONS: usize = 64;
/// Bytes that the system may buffer for a connection that is served: what is buffered is still on its way when the next
/// fetch is served. Enough for 40 Mbit/s between regions.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Fetches the contents of the store when another entry announces newer ones, forever.
pub(crate) async fn run(router: Arc<Router>) {
    let mut fetches = Fetches::new(Options::default());
    loop {
        match next(&router, &mut fetches) {
            Next::At(time) => {
                let delay = time.saturating_sub(router.now());
                // A newer version may be announced before.
                let _ = timeout(delay, router.fetches.wait()).await;
            }
            Next::Fetch(from, offer) => {
                let outcome = fetch(&router, &mut fetches, from, offer).await;
                fetches.record(router.now(), from, outcome);
                let outcome = match outcome {
                    Outcome::Busy => "busy",
                    Outcome::Failed => "failed",
                    Outcome::Fetched => "fetched",
                };
                router
                    .metrics
                    .fetches
                    .get_or_create(&Fetch { outcome })
                    .inc();
            }
            Next::Idle => router.fetches.wait().await,
        }
    }
}

fn next(router: &Router, fetches: &mut Fetches) -> Next {
    let (now, own) = (router.now(), contents(router));
    let reach = Reach {
        configuration: router.follows_store(),
        upstreams: router.is_list_current(),
    };
    let peers = lock_peers(router);
    let offers = peers.contents(now).map(|(from, digest)| {
        let position = Position::unpack(digest.revision);
        let version = digest.version;
        (from, Contents { version, position })
    });
    fetches.next(now, own, reach, offers, |below| {
        rand::rng().random_range(0..below)
    })
}

fn contents(router: &Router) -> Contents {
    Contents {
        version: router.table().map_or(0, |table| table.version),
        position: router.position(),
    }
}

/// Fetches and applies what the entry at `from` has announced as `offer`.
async fn fetch(
    router: &Router,
    fetches: &mut Fetches,
    from: SocketAddr,
    offer: Contents,
) -> Outcome {
    let version = fetches.known_version(contents(router), offer);
    let start = router.now();
    let held = match exchange(router, from, version).await {
        Ok(Some(Frame::Held(held))) => held,
        Ok(None) => return Outcome::Busy,
        Ok(Some(_)) => {
            spdlog::info!("fetching configuration from peer failed", kv: { from = from.to_string() });
            return Outcome::Failed;
        }
        Err(error) => {
            spdlog::info!("fetching configuration from peer failed", kv: {
                from = from.to_string(), error = error.to_string()
            });
            return Outcome::Failed;
        }
    };
    let held_version = held.version;
    if !adopt(router, held, from, start) {
        fetches.reject(held_version);
        return Outcome::Fetched;
    }
    let own = contents(router);
    // The entry may have restarted since its digest, and would be asked for the same again.
    let is_behind =
        own.version < offer.version || !router.is_list_current() && own.position < offer.position;
    if is_behind {
        Outcome::Failed
    } else {
        Outcome::Fetched
    }
}

/// Asks the entry at `from` for what it holds; `None` if it is busy.
async fn exchange(router: &Router, from: SocketAddr, version: u64) -> Result<Option<Frame>, Error> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(from))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_up_socket(&tcp)?;
    let mut connection = Connection::from_tcp(tcp, seal(router))?;
    connection
        .write_steadily(&Ask { version }.into(), STEP_TIMEOUT)
        .await?;
    connection.read_steadily(ANSWER_TIMEOUT, STEP_TIMEOUT).await
}

/// Applies what another entry, asked at `start`, holds; returns whether its configuration could be decoded.
fn adopt(router: &Router, held: Held, from: SocketAddr, start: Duration) -> bool {
    let mut is_valid = true;
    if !held.table.is_empty() {
        match decode::parse_table(&held.table) {
            Ok(table) => router.adopt(table, held.table, "entry", None),
            Err(rejection) => {
                is_valid = false;
                let version = rejection.version.or(Some(held.version));
                let rejection = Rejection {
                    version,
                    ..rejection
                };
                router.reject(&rejection, &format!("entry {from}"), None);
            }
        }
    }
    let position = Position::unpack(held.revision);
    if !router.is_list_current() && position > router.position() {
        // Late answers of the store in an earlier era must not bring its list back.
        router.store.record_era(position.era);
        router.set_position(position);
        let upstreams = held.upstreams.into_iter().map(upstream).collect();
        router.update_fleet(|fleet, _| fleet.replace(start, Source::Entry, upstreams));
    }
    is_valid
}

/// Serves other entries' fetches, forever.
pub(crate) async fn serve(router: Arc<Router>, listener: Arc<TcpListener>) {
    let (turn, connections, served) = (
        Turn::default(),
        Slots::new(MAX_CONNECTIONS),
        Slots::new(MAX_SERVED),
    );
    loop {
        turn.wait().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                // Closing the connection makes the other entry ask another one.
                let Some(connection) = connections.take() else {
                    continue;
                };
                let (router, served) = (router.clone(), served.clone());
                task::spawn(async move {
                    let result = serve_one(&router, stream, &served).await;
                    drop(connection);
                    let outcome = result.unwrap_or("failed");
                    let counter = router
                        .metrics
                        .fetches_served
                        .get_or_create(&Fetch { outcome });
                    counter.inc();
                });
            }
            Err(error) => {
                spdlog::warn!("accept failed", kv: { error = error.to_string() });
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Answers one fetch unless as many are served as may be; returns how it ended.
async fn serve_one(
    router: &Router,
    stream: TcpStream,
    served: &Slots,
) -> Result<&'static str, Error> {
    set_up_socket(&stream)?;
    limit_send_buffer(&stream, SEND_BUFFER_BYTES)?;
    let mut connection = Connection::from_tcp(stream, seal(router))?;
    let asked = connection.read_within(ASK_TIMEOUT, ASK_TIMEOUT).await?;
    let Some(Frame::Ask(ask)) = asked else {
        return Ok("failed");
    };
    let Some(_slot) = served.take() else {
        return Ok("busy");
    };
    let active = router.active();
    let version = active.as_ref().map_or(0, |active| active.table.version);
    let newer = active.filter(|_| version > ask.version);
    let held = Held {
        version,
        table: newer.map_or_else(Vec::new, |active| active.raw.clone()),
        revision: router.offered_position().pack(),
        upstreams: router.upstreams().into_iter().map(registration).collect(),
    };
    connection
        .write_steadily(&held.into(), STEP_TIMEOUT)
        .await?;
    Ok("fetched")
}

fn registration(upstream: Upstream) -> Registration {
    Registration {
        id: upstream.id,
        address: upstream.address,
        service: upstream.service,
        slots: upstream.slots,
        started_ms: upstream.started_ms,
        draining: upstream.state == State::Draining,
        version: upstream.version,
        zone: upstream.zone,
    }
}

fn upstream(registration: Registration) -> Upstream {
    Upstream {
        address: registration.address,
        id: registration.id,
        service: registration.service,
        slots: registration.slots,
        started_ms: registration.started_ms,
        state: if registration.draining {
            State::Draining
        } else {
            State::Ready
        },
        version: registration.version,
        zone: registration.zone,
    }
}

fn seal(router: &Router) -> Seal {
    Seal::new(&router.settings.secret)
}
