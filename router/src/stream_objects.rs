//! Objects in the store that hold where recent streams began, for entries that start anew, and the versions in use.

use crate::peers;
use crate::router::Router;
use crate::streams::{keepers, rank};
use almondwell_core::streams::{Origin, Shard, StreamId};
use almondwell_platform::{Error, Expect, Written};
use almondwell_schema::{
    StoredStream, StreamGroup, StreamMessage, StreamOrigin, StreamShard, StreamVersions,
    StreamsWritten, Version,
};
use async_std::future::timeout;
use async_std::sync::Mutex;
use async_std::task;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Folder of the objects in the store.
const FOLDER: &str = "streams";
/// Interval between checks for records that are due to be stored.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Time for which records are collected while upstreams of several versions serve. What an entry has not stored when all
/// entries are killed is lost.
const MIXED_PERIOD: Duration = Duration::from_millis(500);
/// Time for which records are collected otherwise: a stream without a record then mostly goes on, too.
const SINGLE_PERIOD: Duration = Duration::from_secs(2);
/// Further time after which the next keeper of a shard stores records, if the one before has not done so.
const BACKUP_DELAY: Duration = Duration::from_secs(1);
/// Least time between two reads of an object on behalf of callers, who may name any attempt.
const READ_PERIOD: Duration = Duration::from_millis(100);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval between checks whether a version has been unused for long.
const VERSIONS_PERIOD: Duration = Duration::from_mins(1);
/// Share of the read calls of entries that learn of a new version at the same moment: one call a millisecond.
const SPREAD: Duration = Duration::from_millis(1);
/// Streams in one datagram, of up to 10 bytes each.
const MAX_STREAMS: usize = 100;

/// Reads of objects, each by one request at a time on behalf of all that wait for it.
#[derive(Default)]
pub(crate) struct Reads {
    shards: std::sync::Mutex<BTreeMap<Shard, Arc<Read>>>,
    versions: Read,
}

/// When the last successful read of an object began.
type Read = Mutex<Option<Duration>>;

impl Reads {
    fn shard(&self, shard: Shard) -> Arc<Read> {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        shards.entry(shard).or_default().clone()
    }
}

fn shard_key(shard: Shard) -> String {
    format!("{FOLDER}/shard-{shard}")
}

fn versions_key() -> String {
    format!("{FOLDER}/versions")
}

/// Reads a shard, unless that has been done since `since`.
pub(crate) async fn refresh_shard(
    router: &Router,
    shard: Shard,
    since: Duration,
) -> Result<(), Error> {
    let read = router.streams.reads.shard(shard);
    let mut read_at = read.lock().await;
    if read_at.is_none_or(|at| at < since) {
        let start = next_read(router, *read_at).await;
        read_shard(router, shard).await?;
        *read_at = Some(start);
    }
    Ok(())
}

/// Waits until an object that was last read at `read_at` may be read again; returns the time.
async fn next_read(router: &Router, read_at: Option<Duration>) -> Duration {
    if let Some(read_at) = read_at {
        task::sleep((read_at + READ_PERIOD).saturating_sub(router.now())).await;
    }
    router.now()
}

/// Reads the versions in use, unless that has been done since `since`.
pub(crate) async fn refresh_versions(router: &Router, since: Duration) -> Result<(), Error> {
    let mut read_at = router.streams.reads.versions.lock().await;
    if read_at.is_none_or(|at| at < since) {
        let start = next_read(router, *read_at).await;
        read_versions(router).await?;
        *read_at = Some(start);
        if is_list_due(router) {
            router.streams.version_checks.request();
        }
    }
    Ok(())
}

/// Merges a stored shard; returns its version, `None` if it does not exist.
async fn read_shard(router: &Router, shard: Shard) -> Result<Option<Version>, Error> {
    let Some(stored) = router.objects.get(&shard_key(shard)).await? else {
        return Ok(None);
    };
    // Content that cannot be decoded, such as that of another writer, is replaced by the next write.
    if let Ok(content) = postcard::from_bytes::<StreamShard>(&stored.value) {
        let groups: Vec<_> = content.groups.into_iter().map(group).collect();
        let mut known = router.streams.lock();
        known.merge_stored(router.now(), &groups);
    }
    Ok(Some(stored.version))
}

fn group(group: StreamGroup) -> (Origin, Vec<(StreamId, Duration)>) {
    let StreamGroup {
        service,
        streams,
        version,
    } = group;
    let streams = streams
        .into_iter()
        .map(|stored| (stored.stream, Duration::from_secs(stored.left_s.into())));
    (Origin { service, version }, streams.collect())
}

/// Stores the records for which this entry is responsible, forever.
pub(crate) async fn write(router: Arc<Router>) {
    let mut versions = BTreeMap::new();
    loop {
        task::sleep(CHECK_PERIOD).await;
        let period = if router.streams.lock_versions().is_mixed() {
            MIXED_PERIOD
        } else {
            SINGLE_PERIOD
        };
        let now = router.now();
        let due = {
            let mut known = router.streams.lock();
            known.expire(now);
            known.due(now, |shard| period + BACKUP_DELAY * rank(&router, shard))
        };
        write_shards(&router, &due, &mut versions).await;
    }
}

/// Stores all records that are not stored yet, before the process ends; takes up to `limit`.
pub(crate) async fn flush(router: &Router, limit: Duration) {
    let due = router.streams.lock().due(router.now(), |_| Duration::ZERO);
    let _ = timeout(limit, write_shards(router, &due, &mut BTreeMap::new())).await;
}

async fn write_shards(
    router: &Router,
    due: &[Shard],
    versions: &mut BTreeMap<Shard, Option<Version>>,
) {
    for shard in due {
        if let Err(error) = write_shard(router, *shard, versions).await {
            spdlog::debug!("storing the origins of streams failed", kv: {
                shard = *shard, error = error.to_string()
            });
            versions.remove(shard);
            task::sleep(retry_delay()).await;
        }
    }
}

/// Stores a shard and tells the other keepers. `versions` holds what is known of the stored objects.
async fn write_shard(
    router: &Router,
    shard: Shard,
    versions: &mut BTreeMap<Shard, Option<Version>>,
) -> Result<(), Error> {
    loop {
        let version = match versions.get(&shard) {
            Some(version) => *version,
            None => read_shard(router, shard).await?,
        };
        let at = router.now();
        let (content, unwritten) = {
            let known = router.streams.lock();
            (content(&known.groups(at, shard)), known.unwritten(shard))
        };
        let value = postcard::to_stdvec(&content).unwrap_or_default();
        let expect = version.map_or(Expect::Absent, Expect::Version);
        match router
            .objects
            .put(&shard_key(shard), &value, expect)
            .await?
        {
            // Another keeper has written the shard.
            Written::Conflict => {
                versions.remove(&shard);
            }
            Written::Done(version) => {
                versions.insert(shard, Some(version));
                router.streams.lock().mark_written(at, &unwritten);
                router.metrics.stream_writes.inc();
                announce(router, shard, &unwritten).await;
                return Ok(());
            }
        }
    }
}

fn content(groups: &[almondwell_core::streams::Group]) -> StreamShard {
    let stored = |(stream, left): &(StreamId, Duration)| StoredStream {
        stream: *stream,
        left_s: u32::try_from(left.as_secs()).unwrap_or(u32::MAX),
    };
    let groups = groups.iter().map(|(origin, streams)| StreamGroup {
        service: origin.service.clone(),
        streams: streams.iter().map(stored).collect(),
        version: origin.version.clone(),
    });
    StreamShard {
        groups: groups.collect(),
    }
}

async fn announce(router: &Router, shard: Shard, written: &[StreamId]) {
    let keepers = keepers(router, shard);
    for streams in written.chunks(MAX_STREAMS) {
        let streams = streams.to_vec();
        let message = StreamMessage::from(StreamsWritten { streams }).into();
        for keeper in &keepers {
            peers::send(router, &message, *keeper).await;
        }
    }
}

/// Keeps the stored list of versions complete, forever.
pub(crate) async fn keep_versions(router: Arc<Router>) {
    loop {
        router
            .streams
            .version_checks
            .wait_for(VERSIONS_PERIOD)
            .await;
        if !is_list_due(&router) {
            continue;
        }
        let spread = SPREAD * u32::try_from(peers::count(&router)).unwrap_or(u32::MAX);
        let delay = spread.mul_f64(rand::rng().random_range(0.0..1.0));
        task::sleep(delay).await;
        while let Err(error) = update_versions(&router).await {
            spdlog::debug!("storing the versions in use failed", kv: {
                error = error.to_string()
            });
            task::sleep(retry_delay()).await;
        }
    }
}

/// Delay after a failed call, with jitter so that entries do not call at the same moment.
fn retry_delay() -> Duration {
    RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn is_list_due(router: &Router) -> bool {
    let registered = router.streams.registered();
    let mut versions = router.streams.lock_versions();
    versions.observe(router.now(), &registered)
}

/// Adds the registered versions to the stored list, and removes those that have been unused for long.
async fn update_versions(router: &Router) -> Result<(), Error> {
    loop {
        let stored = read_versions(router).await?;
        let now = router.now();
        let target = {
            let registered = router.streams.registered();
            let mut versions = router.streams.lock_versions();
            if !versions.observe(now, &registered) {
                return Ok(());
            }
            versions.target(now, &registered)
        };
        let listed = target.iter().map(|origin| StreamOrigin {
            service: origin.service.clone(),
            version: origin.version.clone(),
        });
        let value = serde_json::to_vec(&StreamVersions {
            versions: listed.collect(),
        })
        .unwrap_or_default();
        let expect = stored.map_or(Expect::Absent, Expect::Version);
        if let Written::Done(_) = router.objects.put(&versions_key(), &value, expect).await? {
            log_versions(&target);
            router.streams.lock_versions().replace(now, target);
            return Ok(());
        }
    }
}

fn log_versions(listed: &BTreeSet<Origin>) {
    let listed: Vec<_> = listed
        .iter()
        .map(|origin| format!("{} {}", origin.service, origin.version))
        .collect();
    spdlog::info!("versions in use changed", kv: { versions = listed.join(", ") });
}

/// Reads the stored list of versions; returns the object's version, `None` if it does not exist.
async fn read_versions(router: &Router) -> Result<Option<Version>, Error> {
    let Some(stored) = router.objects.get(&versions_key()).await? else {
        return Ok(None);
    };
    // Content that cannot be decoded, such as that of another writer, is replaced by what this entry knows.
    if let Ok(StreamVersions { versions }) = serde_json::from_slice(&stored.value) {
        let listed = versions
            .into_iter()
            .map(|StreamOrigin { service, version }| Origin { service, version });
        let mut versions = router.streams.lock_versions();
        versions.replace(router.now(), listed);
    }
    Ok(Some(stored.version))
}
