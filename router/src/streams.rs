//! Records at which version of a service each stream begins, and asks other entries for their records.

use crate::backend::{Backend, key};
use crate::delivery::Delivery;
use crate::demand::Demand;
use crate::peers;
use crate::router::Router;
use crate::stream_objects::Reads;
use almondwell_core::hash;
use almondwell_core::streams::{self, Options, Origin, Shard, StreamId};
use almondwell_core::table::Retry;
use almondwell_core::upstream::Upstream;
use almondwell_core::versions::Versions;
use almondwell_schema::{
    RouterSettings, StreamBegun, StreamMessage, StreamOrigin, StreamQuery, StreamReply,
};
use arc_swap::ArcSwap;
use async_std::channel::{self, Sender};
use async_std::future::timeout;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Writes a second to the store that one shard takes while it changes all the time.
const WRITES_PER_SHARD: u32 = 5;
/// Share of the store's write calls that all shards take together, as a divisor.
const WRITE_SHARE_DIVISOR: u32 = 300;
/// Time limits of a route for which a record is kept: a stream may last for one of them, and a caller may take some time
/// before it resumes.
const KEPT_TIMEOUTS: u32 = 2;
/// Longest time for which a record is kept, whatever the time limit of its route.
pub(crate) const MAX_LIFETIME: Duration = Duration::from_mins(10);
/// Difference of the wall clocks of an entry and an upstream that is allowed for.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(5);
/// Time for the reply of another entry: a round trip between regions, and its delay on a busy machine.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// What this entry knows of the origins of streams.
pub(crate) struct Streams {
    known: Mutex<streams::Streams>,
    /// Entries' replies to queries, by the stream that was asked for; each tells whether the other entry knows it.
    queries: Mutex<BTreeMap<StreamId, Vec<Sender<bool>>>>,
    pub(crate) reads: Reads,
    /// Versions of the registered upstreams.
    registered: ArcSwap<BTreeSet<Origin>>,
    versions: Mutex<Versions>,
    pub(crate) version_checks: Demand,
    /// Demand for a write of records to the store.
    pub(crate) writes: Demand,
}

impl Streams {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        let shards = settings.store_writes / WRITE_SHARE_DIVISOR / WRITES_PER_SHARD;
        let shards = shards.max(1);
        let options = Options {
            shards,
            ..Options::default()
        };
        Self {
            known: Mutex::new(streams::Streams::new(options)),
            queries: Mutex::default(),
            reads: Reads::default(),
            registered: ArcSwap::default(),
            versions: Mutex::default(),
            version_checks: Demand::default(),
            writes: Demand::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, streams::Streams> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn lock_versions(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_queries(&self) -> MutexGuard<'_, BTreeMap<StreamId, Vec<Sender<bool>>>> {
        self.queries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Versions of the registered upstreams.
    pub(crate) fn registered(&self) -> Arc<BTreeSet<Origin>> {
        self.registered.load_full()
    }

    /// Replaces the versions of the registered upstreams.
    pub(crate) fn set_registered(&self, registered: BTreeSet<Origin>) {
        if **self.registered.load() != registered {
            self.registered.store(Arc::new(registered));
            self.version_checks.request();
        }
    }

    /// The only version of `service` that can have begun a stream without a record.
    pub(crate) fn sole_version(&self, service: &str) -> Option<Box<str>> {
        let versions = self.lock_versions();
        versions
            .sole(service, &self.registered.load())
            .map(Box::from)
    }
}

/// Hash of the identifier of an attempt.
pub(crate) fn id(attempt: &str) -> StreamId {
    hash::number(&[attempt.as_bytes()])
}

/// Key by which entries agree on those that keep the records of a shard.
fn shard_key(shard: Shard) -> u64 {
    hash::number(&[b"stream shard", &shard.to_le_bytes()])
}

/// Addresses of the other entries that keep the records of a shard.
pub(crate) fn keepers(router: &Router, shard: Shard) -> Vec<SocketAddr> {
    peers::keepers(router, shard_key(shard))
}

/// Place of this entry among those that keep the records of a shard; the first one stores them.
pub(crate) fn rank(router: &Router, shard: Shard) -> u32 {
    peers::rank(router, shard_key(shard))
}

/// Records that the caller is about to get the first event of a stream from `backend`.
pub(crate) fn record(delivery: Delivery<'_>, backend: &Backend) {
    let Delivery {
        admitted,
        request,
        router,
        ..
    } = delivery;
    if admitted.route.retry != Retry::Resumable {
        return;
    }
    let origin = Origin {
        service: admitted.service.clone(),
        version: backend.upstream.version.clone(),
    };
    let lifetime = (admitted.route.timeout * KEPT_TIMEOUTS).min(MAX_LIFETIME);
    // The attempt that began the stream is named again when the stream breaks off once more.
    let attempts = [request.job.attempt.as_ref(), request.job.resumes.as_ref()];
    for attempt in attempts.into_iter().flatten() {
        let stream = id(attempt);
        backend.record_stream(router.now(), stream);
        record_origin(router, stream, &origin, backend.key, lifetime);
    }
}

/// Records that a stream began at `origin`, at the upstream with the key `upstream`, here and at the other entries that keep
/// the record.
fn record_origin(
    router: &Router,
    stream: StreamId,
    origin: &Origin,
    upstream: u32,
    lifetime: Duration,
) {
    let shard = router.streams.lock().shard(stream);
    let is_keeper = peers::keeps(router, shard_key(shard));
    let now = router.now();
    let is_recorded = router
        .streams
        .lock()
        .record(now, stream, origin, lifetime, is_keeper);
    if !is_recorded {
        router.metrics.streams_unrecorded.inc();
    }
    if is_keeper {
        router.streams.writes.request();
    }
    let begun = StreamBegun {
        service: origin.service.clone(),
        version: origin.version.clone(),
        upstream,
        streams: vec![stream],
        lifetime,
    };
    let message = StreamMessage::from(begun).into();
    for keeper in keepers(router, shard) {
        router.socket.send_now(&message, keeper);
    }
}

/// Makes the streams ambiguous that may have begun at the new version of an upstream, which has started anew under its
/// identifier. Until its new registration arrived, they were recorded with the version of `previous`.
pub(crate) fn record_restart(router: &Router, previous: &Backend, restarted: &Upstream) {
    if previous.upstream.version == restarted.version {
        return;
    }
    let since = restarted.started_ms.map_or(Duration::ZERO, |started_ms| {
        let wall_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let age = wall_time.saturating_sub(Duration::from_millis(started_ms));
        router.now().saturating_sub(age + MAX_CLOCK_ERROR)
    });
    let origin = Origin {
        service: restarted.service.clone(),
        version: restarted.version.clone(),
    };
    let streams = previous.streams_since(since);
    spdlog::info!("upstream started anew at another version", kv: {
        upstream = restarted.id.as_ref(), version = restarted.version.as_ref(),
        previous = previous.upstream.version.as_ref(), streams = streams.len()
    });
    for stream in streams {
        record_origin(router, stream, &origin, key(restarted), MAX_LIFETIME);
    }
}

/// Asks the entries that keep the record of a stream, until one knows it, all have replied or the time is up.
pub(crate) async fn ask(router: &Router, stream: StreamId) {
    let shard = router.streams.lock().shard(stream);
    let keepers = keepers(router, shard);
    if keepers.is_empty() {
        return;
    }
    let (sender, replies) = channel::bounded(keepers.len());
    router
        .streams
        .lock_queries()
        .entry(stream)
        .or_default()
        .push(sender);
    let query = StreamMessage::from(StreamQuery { stream }).into();
    for keeper in &keepers {
        router.socket.send_now(&query, *keeper);
    }
    let complete = async {
        for _ in &keepers {
            if replies.recv().await.unwrap_or(true) {
                break;
            }
        }
    };
    let _ = timeout(REPLY_TIMEOUT, complete).await;
    drop(replies);
    let mut queries = router.streams.lock_queries();
    if let Some(senders) = queries.get_mut(&stream) {
        senders.retain(|sender| !sender.is_closed());
        if senders.is_empty() {
            queries.remove(&stream);
        }
    }
}

/// Handles a message from the entry at `from`.
pub(crate) async fn handle(router: &Router, message: StreamMessage, from: SocketAddr) {
    let now = router.now();
    match message {
        StreamMessage::StreamBegun(begun) => {
            let (service, version) = (begun.service, begun.version);
            let origin = Origin { service, version };
            let lifetime = begun.lifetime.min(MAX_LIFETIME);
            // The entry that relays the streams may be gone when the upstream turns out to have started anew.
            if let Some(backend) = router.backend(begun.upstream) {
                for stream in &begun.streams {
                    backend.record_stream(now, *stream);
                }
            }
            let mut known = router.streams.lock();
            for stream in begun.streams {
                known.record(now, stream, &origin, lifetime, true);
            }
            drop(known);
            router.streams.writes.request();
        }
        StreamMessage::StreamQuery(query) => {
            let (origins, left) = router.streams.lock().origins(now, query.stream);
            let origin = |origin: Arc<Origin>| StreamOrigin {
                service: origin.service.clone(),
                version: origin.version.clone(),
            };
            let reply = StreamReply {
                stream: query.stream,
                origins: origins.into_iter().map(origin).collect(),
                left,
            };
            peers::send(router, &StreamMessage::from(reply).into(), from).await;
        }
        StreamMessage::StreamReply(reply) => handle_reply(router, reply),
        StreamMessage::StreamsWritten(written) => {
            let mut known = router.streams.lock();
            known.mark_written(now, &written.streams);
        }
    }
}

fn handle_reply(router: &Router, reply: StreamReply) {
    if !router.streams.lock_queries().contains_key(&reply.stream) {
        return;
    }
    let is_known = !reply.origins.is_empty();
    let left = reply.left.min(MAX_LIFETIME);
    let groups: Vec<_> = reply
        .origins
        .into_iter()
        .map(|StreamOrigin { service, version }| {
            (Origin { service, version }, vec![(reply.stream, left)])
        })
        .collect();
    router.streams.lock().merge_stored(router.now(), &groups);
    let queries = router.streams.lock_queries();
    for sender in queries.get(&reply.stream).into_iter().flatten() {
        // If the channel is full, enough entries have replied.
        let _ = sender.try_send(is_known);
    }
}
