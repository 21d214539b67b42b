//! Gossip between entries: the work that they send to engines, the version of their configuration and requests
//! that crash upstreams. An entry that learns of a newer configuration so may fetch it: see [`crate::fetches`].

use crate::crash::{self, Merged};
use crate::loads;
use crate::router::Router;
use crate::streams;
use crate::usage;
use almondwell_core::causes::{Cause, is_known_widely};
use almondwell_core::position::Position;
use almondwell_schema::{Datagram, Digest, Suspect, SuspectPart};
use async_std::task;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// Most suspects, requests that may crash upstreams, in one digest.
const MAX_SUSPECTS: usize = 2;
/// Delay after a failed receive, which a full buffer or a malformed datagram may cause, or a failed accept.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(5);

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

/// Whether this entry is one of those that keep what is known of `key`.
pub(crate) fn keeps(router: &Router, key: u64) -> bool {
    lock_peers(router).keeps(key)
}

/// Place of this entry among those that keep what is known of `key`.
pub(crate) fn rank(router: &Router, key: u64) -> u32 {
    u32::try_from(lock_peers(router).rank(key)).unwrap_or(u32::MAX)
}

/// Receives and handles datagrams from other entries, forever.
pub(crate) async fn receive(router: Arc<Router>) {
    loop {
        match router.socket.receive().await {
            Ok((Datagram::Digest(digest), _)) => handle_digest(&router, digest).await,
            Ok((Datagram::EngineLoads(received), _)) => loads::merge(&router, &received),
            Ok((Datagram::StreamMessage(message), from)) => {
                streams::handle(&router, message, from).await;
            }
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

fn digest(router: &Router) -> Digest {
    let now = router.now();
    let (holder, holder_number) = router.duties.holder().unzip();
    Digest {
        entry: router.settings.id.clone(),
        control: router.settings.control,
        version: router.table().map_or(0, |table| table.version),
        revision: router.offered_position().pack(),
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

async fn handle_digest(router: &Router, digest: Digest) {
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
    if version > own_version || Position::unpack(revision) > router.position() {
        router.fetches.request();
    }
}

pub(crate) fn lock_peers(router: &Router) -> MutexGuard<'_, Peers> {
    router.peers.lock().unwrap_or_else(PoisonError::into_inner)
}
