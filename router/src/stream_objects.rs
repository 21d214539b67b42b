//! Objects in the store that hold where recent streams began, for entries that start anew.

use crate::peers;
use crate::router::Router;
use crate::streams::{MAX_LIFETIME, keepers, rank};
use almondwell_core::streams::{Extent, Group, Origin, Shard, StreamId};
use almondwell_platform::{Error, Expect, Written};
use almondwell_schema::{
    StoredStream, StreamGroup, StreamMessage, StreamShard, StreamsWritten, Version,
};
use async_std::future::timeout;
use async_std::sync::Mutex;
use async_std::task;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Folder of the objects in the store.
pub(crate) const FOLDER: &str = "streams";
/// Time between two writes of a shard while upstreams of several versions serve. What an entry has not stored when all entries are
/// killed is lost.
const MIXED_PERIOD: Duration = Duration::from_millis(200);
/// Time between two writes otherwise: a stream without a record then mostly goes on, too.
const SINGLE_PERIOD: Duration = Duration::from_millis(500);
/// Time after which the complete object of a shard is written in place of that of recent changes, which grows meanwhile.
const COMPLETE_PERIOD: Duration = Duration::from_secs(2);
/// Further time after which the next keeper of a shard stores records, if the one before has not done so.
const BACKUP_DELAY: Duration = Duration::from_secs(1);
/// Least time between two reads of an object on behalf of callers, who may name any attempt.
const READ_PERIOD: Duration = Duration::from_millis(100);
/// Delay after another entry has changed an object in between.
pub(crate) const CONFLICT_DELAY: Duration = Duration::from_millis(50);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Streams in one datagram, of up to 10 bytes each.
const MAX_STREAMS: usize = 100;

/// Reads of objects, each by one request at a time on behalf of all that wait for it.
#[derive(Default)]
pub(crate) struct Reads {
    shards: std::sync::Mutex<BTreeMap<Shard, Arc<Read>>>,
    pub(crate) versions: Read,
}

/// When the last successful read of an object began.
pub(crate) type Read = Mutex<Option<Duration>>;

impl Reads {
    fn shard(&self, shard: Shard) -> Arc<Read> {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        shards.entry(shard).or_default().clone()
    }
}

fn shard_key(shard: Shard, extent: Extent) -> String {
    match extent {
        Extent::Complete => format!("{FOLDER}/shard-{shard}"),
        Extent::Recent => format!("{FOLDER}/shard-{shard}-recent"),
    }
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
pub(crate) async fn next_read(router: &Router, read_at: Option<Duration>) -> Duration {
    if let Some(read_at) = read_at {
        task::sleep((read_at + READ_PERIOD).saturating_sub(router.now())).await;
    }
    router.now()
}

/// Merges the stored objects of a shard; returns their versions, `None` for those that do not exist.
async fn read_shard(router: &Router, shard: Shard) -> Result<Versions, Error> {
    Ok(Versions {
        complete: read_object(router, shard, Extent::Complete).await?,
        recent: read_object(router, shard, Extent::Recent).await?,
    })
}

async fn read_object(
    router: &Router,
    shard: Shard,
    extent: Extent,
) -> Result<Option<Version>, Error> {
    let Some(stored) = router.objects.get(&shard_key(shard, extent)).await? else {
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
    let streams = streams.into_iter().map(|stored| {
        let left = Duration::from_secs(stored.left_s.into());
        (stored.stream, left.min(MAX_LIFETIME))
    });
    (Origin { service, version }, streams.collect())
}

/// Stores the records for which this entry is responsible, forever.
pub(crate) async fn write(router: Arc<Router>) {
    let mut writers = BTreeMap::new();
    loop {
        let Some((due, shard)) = next(&router, &writers) else {
            router.streams.writes.wait().await;
            continue;
        };
        let now = router.now();
        if due > now {
            router
                .streams
                .writes
                .wait_for(due.saturating_sub(now))
                .await;
            continue;
        }
        router.streams.lock().expire(now);
        let writer: &mut Writer = writers.entry(shard).or_default();
        if let Err(error) = writer.write(&router, shard).await {
            spdlog::debug!("storing the origins of streams failed", kv: {
                shard, error = error.to_string()
            });
            *writer = Writer::default();
            task::sleep(retry_delay()).await;
        }
    }
}

/// The shard to store next, and when.
fn next(router: &Router, writers: &BTreeMap<Shard, Writer>) -> Option<(Duration, Shard)> {
    let period = if router.streams.lock_versions().is_mixed() {
        MIXED_PERIOD
    } else {
        SINGLE_PERIOD
    };
    let unwritten = router.streams.lock().unwritten_shards();
    let due = |(shard, since): (Shard, Duration)| {
        let due = match rank(router, shard) {
            0 => {
                let written_at = writers.get(&shard).and_then(|writer| writer.written_at);
                written_at.map_or(since, |at| since.max(at + period))
            }
            rank => since + period + BACKUP_DELAY * rank,
        };
        (due, shard)
    };
    unwritten.into_iter().map(due).min()
}

/// Stores all records that are not stored yet, before the process ends; takes up to `limit`.
pub(crate) async fn flush(router: &Router, limit: Duration) {
    let shards = router.streams.lock().unwritten_shards();
    let write = async {
        for shard in shards.into_keys() {
            // The other keepers store what this entry cannot.
            let _ = Writer::default().write(router, shard).await;
        }
    };
    let _ = timeout(limit, write).await;
}

/// Versions of the stored objects of a shard.
#[derive(Clone, Copy)]
struct Versions {
    complete: Option<Version>,
    recent: Option<Version>,
}

impl Versions {
    const fn of(&mut self, extent: Extent) -> &mut Option<Version> {
        match extent {
            Extent::Complete => &mut self.complete,
            Extent::Recent => &mut self.recent,
        }
    }
}

/// Writes of one shard by this entry.
#[derive(Default)]
struct Writer {
    /// Time of the last write of the complete object, if no other entry has written the shard since.
    completed_at: Option<Duration>,
    versions: Option<Versions>,
    /// Time of the last write of either object.
    written_at: Option<Duration>,
}

impl Writer {
    /// Stores a shard and tells the other keepers.
    async fn write(&mut self, router: &Router, shard: Shard) -> Result<(), Error> {
        loop {
            let mut versions = match self.versions {
                Some(versions) => versions,
                None => read_shard(router, shard).await?,
            };
            let at = router.now();
            let is_recent = |completed_at| at.saturating_sub(completed_at) < COMPLETE_PERIOD;
            let extent = if self.completed_at.is_some_and(is_recent) {
                Extent::Recent
            } else {
                Extent::Complete
            };
            let (content, unwritten) = {
                let known = router.streams.lock();
                let groups = known.groups(at, shard, extent);
                (content(&groups), known.unwritten(shard))
            };
            let value = postcard::to_stdvec(&content).unwrap_or_default();
            let key = shard_key(shard, extent);
            let expect = versions.of(extent).map_or(Expect::Absent, Expect::Version);
            let Written::Done(version) = router.objects.put(&key, &value, expect).await? else {
                // Another keeper has written the shard.
                *self = Self::default();
                task::sleep(CONFLICT_DELAY).await;
                continue;
            };
            *versions.of(extent) = Some(version);
            self.versions = Some(versions);
            self.written_at = Some(at);
            {
                let mut known = router.streams.lock();
                known.mark_written(at, &unwritten);
                if extent == Extent::Complete {
                    self.completed_at = Some(at);
                    known.mark_complete(at, shard);
                }
            }
            router.metrics.stream_writes.inc();
            announce(router, shard, &unwritten).await;
            return Ok(());
        }
    }
}

fn content(groups: &[Group]) -> StreamShard {
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

/// Delay after a failed call, with jitter so that entries do not call at the same moment.
pub(crate) fn retry_delay() -> Duration {
    RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.0))
}
