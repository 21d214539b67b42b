//! What entries tell one another: the work that they send, which configuration they have, requests that
//! crash upstreams, and what the store holds where one of them can't reach it.

use crate::crash;
use crate::router::Router;
use almondwell_core::fleet::Source;
use almondwell_core::upstream::{State, Upstream};
use almondwell_platform::decode;
use almondwell_schema::{Ask, Datagram, Digest, Frame, Held, Registration, Suspect};
use almondwell_wire::{Connection, Seal};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two rounds.
const PERIOD: Duration = Duration::from_secs(1);
/// Addresses of other entries in one digest; a digest has to fit one datagram.
const HINTS: usize = 4;
/// Suspects in one digest.
const SUSPECTS: usize = 2;
/// Time for a whole exchange over a connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed receipt, which a full buffer or a malformed datagram may cause.
const RECEIVE_PAUSE: Duration = Duration::from_millis(5);

type Peers = almondwell_core::peers::Peers<Digest>;

/// Tells a few other entries what this one knows, again and again.
pub(crate) async fn tell(router: Arc<Router>) {
    loop {
        let digest = digest(&router);
        let round = lock(&router).round(router.now(), |below| rand::rng().random_range(0..below));
        for address in round {
            send(&router, digest.clone(), address).await;
        }
        study(&router);
        task::sleep(PERIOD).await;
    }
}

/// Tells all known entries at once of a request that may crash upstreams.
pub(crate) async fn warn(router: &Router, suspect: &Suspect) {
    let known: Vec<_> = lock(router).known().collect();
    for address in known {
        if let Err(error) = router.socket.send(&suspect.clone().into(), address).await {
            spdlog::debug!("datagram not sent", kv: { to = address.to_string(), error = error.to_string() });
        }
    }
}

/// Receives what other entries tell, for ever.
pub(crate) async fn receive(router: Arc<Router>) {
    loop {
        match router.socket.receive().await {
            Ok((Datagram::Digest(digest), _)) => heard(&router, digest).await,
            Ok((Datagram::Suspect(suspect), from)) => {
                if crash::lock(&router).merge(router.now(), &suspect) {
                    spdlog::warn!("told of a request that may crash upstreams", kv: {
                        from = from.to_string(), crashes = suspect.crashes.len()
                    });
                }
            }
            Ok((_, from)) => {
                spdlog::debug!("datagram of no use", kv: { from = from.to_string() });
            }
            Err(error) => {
                spdlog::debug!("datagram not received", kv: { error = error.to_string() });
                task::sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}

/// Answers entries that ask what the store holds, for ever.
pub(crate) async fn answer(router: Arc<Router>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let router = router.clone();
                task::spawn(async move {
                    // An entry that gets no answer asks another one.
                    let _ = timeout(EXCHANGE_TIMEOUT, answer_one(&router, stream)).await;
                });
            }
            Err(error) => {
                spdlog::warn!("accept failed", kv: { error = error.to_string() });
                task::sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}

fn digest(router: &Router) -> Digest {
    let now = router.now();
    let suspects = crash::lock(router).suspects(now);
    let start = rand::rng().random_range(0..suspects.len().max(1));
    Digest {
        entry: router.settings.id.clone(),
        control: router.settings.control,
        version: router.table().map_or(0, |table| table.version),
        revision: router.revision(),
        shares: router.figures.shares(now),
        peers: lock(router).known().take(HINTS).collect(),
        suspects: suspects
            .into_iter()
            .cycle()
            .skip(start)
            .take(SUSPECTS)
            .collect(),
    }
}

async fn send(router: &Router, digest: Digest, address: SocketAddr) {
    if let Err(error) = router.socket.send(&digest.into(), address).await {
        spdlog::debug!("datagram not sent", kv: { to = address.to_string(), error = error.to_string() });
    }
}

/// Takes over what the others said of their work, and counts them.
fn study(router: &Router) {
    let now = router.now();
    let mut peers = lock(router);
    router.figures.set_entries(peers.count(now));
    let others: Vec<_> = peers
        .words(now)
        .flat_map(|(age, digest)| digest.shares.iter().map(move |share| (age, share.clone())))
        .collect();
    drop(peers);
    router.figures.learn(&others);
}

async fn heard(router: &Arc<Router>, digest: Digest) {
    let now = router.now();
    for suspect in &digest.suspects {
        crash::lock(router).merge(now, suspect);
    }
    let own = router.table().map_or(0, |table| table.version);
    let (from, version, revision) = (digest.control, digest.version, digest.revision);
    let is_new = {
        let mut peers = lock(router);
        peers.hint(now, &digest.peers);
        peers.heard(now, from, digest)
    };
    if is_new {
        spdlog::info!("entry heard", kv: { from = from.to_string(), version });
        study(router);
    }
    if version < own {
        // It may not reach the store: it learns from this digest where to ask.
        send(router, self::digest(router), from).await;
    }
    let lacks_upstreams = !router.is_current() && revision > router.revision();
    if version > own || lacks_upstreams {
        let router = router.clone();
        task::spawn(async move { fetch(&router, from, own).await });
    }
}

/// Asks the entry at `from` for what the store holds.
async fn fetch(router: &Router, from: SocketAddr, version: u64) {
    let exchange = async {
        let mut connection = Connection::open(from, seal(router)).await?;
        connection.write(&Ask { version }.into()).await?;
        connection.read().await
    };
    let held = match timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(Ok(Some(Frame::Held(held)))) => held,
        Ok(Err(error)) => {
            spdlog::info!("entry gave no answer", kv: { from = from.to_string(), error = error.to_string() });
            return;
        }
        Ok(Ok(_)) | Err(_) => {
            spdlog::info!("entry gave no answer", kv: { from = from.to_string() });
            return;
        }
    };
    adopt(router, held, from);
}

fn adopt(router: &Router, held: Held, from: SocketAddr) {
    if !held.table.is_empty() {
        match decode::written_table(&held.table) {
            Ok(table) => router.adopt(table, held.table, "entry"),
            Err(fault) => spdlog::error!("configuration left out", kv: {
                from = from.to_string(), fault = fault.as_ref()
            }),
        }
    }
    if !router.is_current() && held.revision > router.revision() {
        router.set_revision(held.revision);
        let upstreams = held.upstreams.into_iter().map(upstream).collect();
        router.change(|fleet, now| fleet.replace(now, Source::Entry, upstreams));
    }
}

async fn answer_one(router: &Router, stream: TcpStream) -> Result<(), almondwell_wire::Error> {
    let mut connection = Connection::over(stream, seal(router))?;
    let Some(Frame::Ask(ask)) = connection.read().await? else {
        return Ok(());
    };
    let version = router.table().map_or(0, |table| table.version);
    let written = router.written().filter(|_| version > ask.version);
    let held = Held {
        version,
        table: written.map_or_else(Vec::new, |written| written.to_vec()),
        revision: router.revision(),
        upstreams: router.upstreams().into_iter().map(registration).collect(),
    };
    connection.write(&held.into()).await
}

fn registration(upstream: Upstream) -> Registration {
    Registration {
        id: upstream.id,
        address: upstream.address,
        service: upstream.service,
        slots: upstream.slots,
        started_ms: upstream.started_ms,
        draining: upstream.state == State::Draining,
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
        zone: registration.zone,
    }
}

fn seal(router: &Router) -> Seal {
    Seal::new(&router.settings.secret)
}

fn lock(router: &Router) -> MutexGuard<'_, Peers> {
    router.peers.lock().unwrap_or_else(PoisonError::into_inner)
}
