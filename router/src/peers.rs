//! Gossip between entries: the work that they send to engines, the version of their configuration and requests
//! that crash upstreams. An entry that cannot reach the store fetches its contents from another entry.

use crate::crash::{self, Merged};
use crate::router::Router;
use crate::usage;
use almondwell_core::causes::{Cause, is_known_widely};
use almondwell_core::fleet::Source;
use almondwell_core::upstream::{State, Upstream};
use almondwell_platform::decode;
use almondwell_schema::{Ask, Datagram, Digest, Frame, Held, Registration, Suspect, SuspectPart};
use almondwell_wire::{Connection, Seal, Turn};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// Most suspects, requests that may crash upstreams, in one digest.
const MAX_SUSPECTS: usize = 2;
/// Time limit for a complete exchange over a connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed receive, which a full buffer or a malformed datagram may cause, or a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(5);

type Peers = almondwell_core::peers::Peers<Digest>;

/// Sends this entry's digest to a few other entries in each round, forever.
pub(crate) async fn gossip(router: Arc<Router>) {
    loop {
        let digest = digest(&router);
        let parts: Vec<_> = sample(crash::fatal_parts(&router))
            .map(|suspect| SuspectPart { suspect })
            .collect();
        let (targets, period) = {
            let (now, mut peers) = (router.now(), lock_peers(&router));
            let targets = peers.gossip_targets(now, |below| rand::rng().random_range(0..below));
            (targets, peers.period(now))
        };
        for address in targets {
            send(&router, &digest.clone().into(), address).await;
            for part in &parts {
                send(&router, &part.clone().into(), address).await;
            }
        }
        update_shares(&router);
        task::sleep(period).await;
    }
}

/// Sends what is known of a suspected cause to its keepers, or to all known entries once all have to know it.
pub(crate) async fn report(router: &Router, cause: Cause, suspect: Suspect) {
    let addresses = {
        let peers = lock_peers(router);
        if is_known_widely(&suspect) {
            peers.addresses().collect()
        } else {
            peers.keepers(cause.id())
        }
    };
    let datagram = datagram(cause, suspect);
    for address in addresses {
        send(router, &datagram, address).await;
    }
}

fn datagram(cause: Cause, suspect: Suspect) -> Datagram {
    match cause {
        Cause::Part(_) => SuspectPart { suspect }.into(),
        Cause::Request(_) => suspect.into(),
    }
}

/// Whether no other entry has been heard of lately.
pub(crate) fn is_isolated(router: &Router) -> bool {
    lock_peers(router).addresses().next().is_none()
}

/// Number of live entries, including this one.
pub(crate) fn count(router: &Router) -> usize {
    lock_peers(router).count(router.now())
}

/// Addresses of the entries that keep what is known of `key`, without this one.
pub(crate) fn keepers(router: &Router, key: u64) -> Vec<SocketAddr> {
    lock_peers(router).keepers(key)
}

/// Receives and handles datagrams from other entries, forever.
pub(crate) async fn receive(router: Arc<Router>) {
    loop {
        match router.socket.receive().await {
            Ok((Datagram::Digest(digest), _)) => handle_digest(&router, digest).await,
            Ok((Datagram::Suspect(suspect), from)) => {
                let cause = Cause::Request(suspect.fingerprint);
                handle_suspect(&router, cause, &suspect, from).await;
            }
            Ok((Datagram::SuspectPart(part), from)) => {
                let cause = Cause::Part(part.suspect.fingerprint);
                handle_suspect(&router, cause, &part.suspect, from).await;
            }
            Ok((Datagram::Usage(counts), from)) => {
                let ack = router.usage.merge(router.boot_clock.now(), &counts);
                if let Some(ack) = ack {
                    send(&router, &ack.into(), from).await;
                }
            }
            Ok((Datagram::UsageAck(ack), from)) => usage::acknowledge(&router, from, &ack),
            Ok((_, from)) => {
                spdlog::debug!("unexpected datagram ignored", kv: { from = from.to_string() });
            }
            Err(error) => {
                spdlog::debug!("receiving datagram failed", kv: { error = error.to_string() });
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn handle_suspect(router: &Arc<Router>, cause: Cause, suspect: &Suspect, from: SocketAddr) {
    let Merged {
        is_newly_widely_known,
        reply,
    } = crash::merge(router, cause, suspect);
    if let Some(reply) = reply {
        send(router, &datagram(cause, reply), from).await;
    }
    // Another keeper may lack one of the crashes, and the entries that saw them know only their own.
    if is_newly_widely_known && !is_known_widely(suspect) {
        let known = crash::lock_causes(router).suspect(router.now(), cause);
        if let Some(known) = known {
            let router = router.clone();
            task::spawn(async move { report(&router, cause, known).await });
        }
    }
}

/// Serves other entries' requests for the contents of the store, forever.
pub(crate) async fn serve(router: Arc<Router>, listener: TcpListener) {
    let turn = Turn::default();
    loop {
        turn.wait().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let router = router.clone();
                task::spawn(async move {
                    // An entry that gets no response asks another one.
                    let _ = timeout(EXCHANGE_TIMEOUT, serve_one(&router, stream)).await;
                });
            }
            Err(error) => {
                spdlog::warn!("accept failed", kv: { error = error.to_string() });
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn digest(router: &Router) -> Digest {
    let now = router.now();
    let (holder, holder_number) = router.duties.holder().unzip();
    Digest {
        entry: router.settings.id.clone(),
        control: router.settings.control,
        version: router.table().map_or(0, |table| table.version),
        revision: router.revision(),
        shares: router.services.shares(now),
        peers: lock_peers(router).hints(|below| rand::rng().random_range(0..below)),
        suspects: sample(crash::fatal_requests(router)).collect(),
        holder,
        holder_number: holder_number.unwrap_or(0),
        wall_time: router.usage.wall_time(),
    }
}

/// Some of `suspects`, from a random one on.
fn sample(mut suspects: Vec<Suspect>) -> impl Iterator<Item = Suspect> {
    let start = rand::rng().random_range(0..suspects.len().max(1));
    suspects.rotate_left(start);
    suspects.into_iter().take(MAX_SUSPECTS)
}

/// Sends a datagram without a delivery guarantee.
pub(crate) async fn send(router: &Router, datagram: &Datagram, address: SocketAddr) {
    if let Err(error) = router.socket.send(datagram, address).await {
        spdlog::debug!("sending datagram failed", kv: {
            to = address.to_string(), error = error.to_string()
        });
    }
}

/// Updates the number of entries and the work that they report.
fn update_shares(router: &Router) {
    let now = router.now();
    let mut peers = lock_peers(router);
    router.services.record_entries(peers.count(now));
    let shares: Vec<_> = peers
        .messages(now)
        .flat_map(|(age, digest)| digest.shares.iter().map(move |share| (age, share.clone())))
        .collect();
    drop(peers);
    router.services.set_peer_shares(&shares);
}

async fn handle_digest(router: &Arc<Router>, digest: Digest) {
    let now = router.now();
    for suspect in &digest.suspects {
        crash::merge(router, Cause::Request(suspect.fingerprint), suspect);
    }
    router.usage.record_digest(router.boot_clock.now(), &digest);
    if let Some(holder) = digest.holder {
        router.duties.record_holder(holder, digest.holder_number);
    }
    let own_version = router.table().map_or(0, |table| table.version);
    let (from, version, revision) = (digest.control, digest.version, digest.revision);
    let (is_unknown, is_first) = {
        let mut peers = lock_peers(router);
        let is_unknown = !peers.knows(from);
        peers.add_hints(now, &digest.peers);
        (is_unknown, peers.record_message(now, from, digest))
    };
    if is_unknown {
        spdlog::info!("new peer discovered", kv: { from = from.to_string(), version });
        update_shares(router);
    }
    // The peer may know only the seeds, or be unable to reach the store. The reply names further entries, and shows
    // that this one has a newer configuration to fetch.
    if is_first || version < own_version {
        send(router, &self::digest(router).into(), from).await;
    }
    let has_newer_upstreams = !router.is_current() && revision > router.revision();
    if version > own_version || has_newer_upstreams {
        let router = router.clone();
        task::spawn(async move { fetch(&router, from, own_version).await });
    }
}

/// Fetches the contents of the store from the entry at `from`; `version` is the configuration that is already
/// known.
async fn fetch(router: &Router, from: SocketAddr, version: u64) {
    let exchange = async {
        let mut connection = Connection::open(from, seal(router)).await?;
        connection.write(&Ask { version }.into()).await?;
        connection.read().await
    };
    let held = match timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(Ok(Some(Frame::Held(held)))) => held,
        Ok(Err(error)) => {
            spdlog::info!("fetching configuration from peer failed", kv: {
                from = from.to_string(), error = error.to_string()
            });
            return;
        }
        Ok(Ok(_)) | Err(_) => {
            spdlog::info!("fetching configuration from peer failed", kv: { from = from.to_string() });
            return;
        }
    };
    adopt(router, held, from);
}

fn adopt(router: &Router, held: Held, from: SocketAddr) {
    if !held.table.is_empty() {
        match decode::parse_table(&held.table) {
            Ok(table) => router.adopt(table, held.table, "entry"),
            Err(fault) => spdlog::error!("invalid configuration ignored", kv: {
                from = from.to_string(), fault = fault.as_ref()
            }),
        }
    }
    if !router.is_current() && held.revision > router.revision() {
        router.set_revision(held.revision);
        let upstreams = held.upstreams.into_iter().map(upstream).collect();
        router.update_fleet(|fleet, now| fleet.replace(now, Source::Entry, upstreams));
    }
}

async fn serve_one(router: &Router, stream: TcpStream) -> Result<(), almondwell_wire::Error> {
    let mut connection = Connection::from_tcp(stream, seal(router))?;
    let Some(Frame::Ask(ask)) = connection.read().await? else {
        return Ok(());
    };
    let version = router.table().map_or(0, |table| table.version);
    let raw_table = router.raw_table().filter(|_| version > ask.version);
    let held = Held {
        version,
        table: raw_table.map_or_else(Vec::new, |table| table.to_vec()),
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

fn lock_peers(router: &Router) -> MutexGuard<'_, Peers> {
    router.peers.lock().unwrap_or_else(PoisonError::into_inner)
}
