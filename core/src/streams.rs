//! The version of which service began each stream, so that only this version continues it.
//!
//! What two versions of an upstream's software write does not fit together. A caller that resumes a stream names the attempt
//! that brought its first event, so that entries keep for each such attempt where it began. Records can be merged in
//! any order: entries that name different origins for an attempt make it ambiguous, and nothing continues it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Hash of the identifier of an attempt that began a stream.
pub type StreamId = u64;

/// Part of all streams, which is stored in one object.
pub type Shard = u32;

/// Least time between two searches of a full table for expired records.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// Limits on what is kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most records; further streams are not recorded, and are refused when they are resumed elsewhere.
    pub max_records: usize,
    /// Number of shards, at least 1; the same at all entries.
    pub shards: Shard,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_records: 20_000,
            shards: 1,
        }
    }
}

/// Where a stream began.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// Name of the service.
    pub service: Box<str>,
    /// Version of the software of the upstream that began it.
    pub version: Box<str>,
}

/// What is known of the origin of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Known {
    /// Entries name different origins.
    Ambiguous,
    /// All entries name this origin.
    Origin(Arc<Origin>),
    /// No record is left.
    Unknown,
}

/// Streams of one origin, each with the time until its record expires.
pub type Group = (Arc<Origin>, Vec<(StreamId, Duration)>);

/// How far a record has been stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// In the complete object of its shard.
    Complete,
    /// In the object of recent changes only.
    Recent,
    /// Nowhere since it changed at this time.
    Unwritten(Duration),
}

/// Which records of a shard an object holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extent {
    /// All.
    Complete,
    /// Those that have changed since the complete object was written.
    Recent,
}

#[derive(Clone, Debug)]
struct Record {
    /// Another origin of the same stream.
    conflict: Option<Arc<Origin>>,
    expires_at: Duration,
    origin: Arc<Origin>,
    stage: Stage,
}

impl Record {
    /// Adds an origin and an expiry; returns whether anything changed.
    fn merge(&mut self, origin: &Arc<Origin>, expires_at: Duration) -> bool {
        let is_later = expires_at > self.expires_at;
        self.expires_at = self.expires_at.max(expires_at);
        if *origin != self.origin && self.conflict.is_none() {
            self.conflict = Some(origin.clone());
            return true;
        }
        is_later
    }

    fn names(&self, origin: &Arc<Origin>) -> bool {
        self.origin == *origin || self.conflict.as_ref() == Some(origin)
    }
}

/// Origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    /// When a full table may look for expired records again.
    next_expiry: Duration,
    options: Options,
    /// One copy of each origin.
    origins: BTreeSet<Arc<Origin>>,
    records: BTreeMap<(Shard, StreamId), Record>,
}

impl Streams {
    /// No streams yet.
    pub fn new(options: Options) -> Self {
        let shards = options.shards.max(1);
        Self {
            options: Options { shards, ..options },
            ..Self::default()
        }
    }

    /// The shard that holds a stream.
    pub fn shard(&self, stream: StreamId) -> Shard {
        // The remainder is less than the number of shards.
        u32::try_from(stream % u64::from(self.options.shards)).unwrap_or(0)
    }

    /// Records that `stream` began at `origin`, or goes on there; forgotten after `lifetime`. `is_keeper` tells whether this
    /// entry has to store the record. Returns whether it is recorded.
    pub fn record(
        &mut self,
        now: Duration,
        stream: StreamId,
        origin: &Origin,
        lifetime: Duration,
        is_keeper: bool,
    ) -> bool {
        let interned = self.intern(origin);
        let is_recorded = self.add(now, stream, &interned, now + lifetime, is_keeper);
        self.release(&interned);
        is_recorded
    }

    /// Adds the streams of a stored shard.
    pub fn merge_stored(&mut self, now: Duration, groups: &[(Origin, Vec<(StreamId, Duration)>)]) {
        for (origin, streams) in groups {
            let origin = self.intern(origin);
            for (stream, left) in streams {
                let key = (self.shard(*stream), *stream);
                // An entry that reads what it has written itself must not prolong it.
                let is_known = self
                    .records
                    .get(&key)
                    .is_some_and(|record| record.names(&origin));
                if !is_known {
                    self.add(now, *stream, &origin, now + *left, false);
                }
            }
            self.release(&origin);
        }
    }

    fn add(
        &mut self,
        now: Duration,
        stream: StreamId,
        origin: &Arc<Origin>,
        expires_at: Duration,
        is_unwritten: bool,
    ) -> bool {
        let key = (self.shard(stream), stream);
        if let Some(record) = self.records.get_mut(&key) {
            let is_written = !matches!(record.stage, Stage::Unwritten(_));
            if record.merge(origin, expires_at) && is_unwritten && is_written {
                record.stage = Stage::Unwritten(now);
            }
            return true;
        }
        if self.records.len() >= self.options.max_records && now >= self.next_expiry {
            self.expire(now);
            self.next_expiry = now + EXPIRY_PERIOD;
        }
        if self.records.len() >= self.options.max_records {
            return false;
        }
        let record = Record {
            conflict: None,
            expires_at,
            origin: origin.clone(),
            stage: if is_unwritten {
                Stage::Unwritten(now)
            } else {
                Stage::Complete
            },
        };
        self.records.insert(key, record);
        true
    }

    /// What is known of the origin of `stream`.
    pub fn known(&self, now: Duration, stream: StreamId) -> Known {
        match self.live(now, stream) {
            None => Known::Unknown,
            Some(Record {
                conflict: Some(_), ..
            }) => Known::Ambiguous,
            Some(record) => Known::Origin(record.origin.clone()),
        }
    }

    /// All origins that entries name for `stream`, and the time until its record expires.
    pub fn origins(&self, now: Duration, stream: StreamId) -> (Vec<Arc<Origin>>, Duration) {
        let Some(record) = self.live(now, stream) else {
            return (Vec::new(), Duration::ZERO);
        };
        let origins = [Some(&record.origin), record.conflict.as_ref()];
        let origins = origins.into_iter().flatten().cloned().collect();
        (origins, record.expires_at.saturating_sub(now))
    }

    fn live(&self, now: Duration, stream: StreamId) -> Option<&Record> {
        self.records
            .get(&(self.shard(stream), stream))
            .filter(|record| record.expires_at > now)
    }

    /// Shards with records to store, each with the time since when its oldest one is unwritten.
    pub fn unwritten_shards(&self) -> BTreeMap<Shard, Duration> {
        let mut oldest: BTreeMap<Shard, Duration> = BTreeMap::new();
        for ((shard, _), record) in &self.records {
            if let Stage::Unwritten(since) = record.stage {
                let oldest = oldest.entry(*shard).or_insert(since);
                *oldest = since.min(*oldest);
            }
        }
        oldest
    }

    /// The live records of a shard, as they are stored.
    pub fn groups(&self, now: Duration, shard: Shard, extent: Extent) -> Vec<Group> {
        let mut groups: BTreeMap<Arc<Origin>, Vec<_>> = BTreeMap::new();
        for (stream, record) in self.shard_records(shard) {
            let is_left_out = extent == Extent::Recent && record.stage == Stage::Complete;
            if record.expires_at <= now || is_left_out {
                continue;
            }
            let left = record.expires_at.saturating_sub(now);
            for origin in [Some(&record.origin), record.conflict.as_ref()]
                .into_iter()
                .flatten()
            {
                groups
                    .entry(origin.clone())
                    .or_default()
                    .push((stream, left));
            }
        }
        groups.into_iter().collect()
    }

    /// The streams of a shard whose records are not stored yet.
    pub fn unwritten(&self, shard: Shard) -> Vec<StreamId> {
        self.shard_records(shard)
            .filter(|(_, record)| matches!(record.stage, Stage::Unwritten(_)))
            .map(|(stream, _)| stream)
            .collect()
    }

    fn shard_records(&self, shard: Shard) -> impl Iterator<Item = (StreamId, &Record)> {
        self.records
            .range((shard, StreamId::MIN)..=(shard, StreamId::MAX))
            .map(|((_, stream), record)| (*stream, record))
    }

    /// Records that `streams` have been stored as they were at `at`, by this entry or another one.
    pub fn mark_written(&mut self, at: Duration, streams: &[StreamId]) {
        for stream in streams {
            let key = (self.shard(*stream), *stream);
            if let Some(record) = self.records.get_mut(&key)
                && matches!(record.stage, Stage::Unwritten(since) if since <= at)
            {
                record.stage = Stage::Recent;
            }
        }
    }

    /// Records that the complete object of a shard has been written as it was at `at`.
    pub fn mark_complete(&mut self, at: Duration, shard: Shard) {
        let range = (shard, StreamId::MIN)..=(shard, StreamId::MAX);
        for (_, record) in self.records.range_mut(range) {
            if !matches!(record.stage, Stage::Unwritten(since) if since > at) {
                record.stage = Stage::Complete;
            }
        }
    }

    /// Forgets streams whose records have expired.
    pub fn expire(&mut self, now: Duration) {
        self.records.retain(|_, record| record.expires_at > now);
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
    }

    /// Number of origins that records name.
    pub fn origin_count(&self) -> usize {
        self.origins.len()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets an origin that no record has taken.
    fn release(&mut self, origin: &Arc<Origin>) {
        // This one and the copy in the set.
        if Arc::strong_count(origin) == 2 {
            self.origins.remove(origin);
        }
    }

    fn intern(&mut self, origin: &Origin) -> Arc<Origin> {
        if let Some(known) = self.origins.get(origin) {
            return known.clone();
        }
        let origin = Arc::new(origin.clone());
        self.origins.insert(origin.clone());
        origin
    }
}

/// Most streams that are remembered of one upstream: more than begin there in [`RECENT_TIME`].
const MAX_RECENT: usize = 512;
/// Time for which they are remembered: longer than a new registration of the upstream takes to arrive.
const RECENT_TIME: Duration = Duration::from_mins(1);

/// Streams that came from one upstream lately.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    streams: VecDeque<(Duration, StreamId)>,
}

impl Recent {
    /// Adds a stream whose first event arrived at `now`.
    pub fn push(&mut self, now: Duration, stream: StreamId) {
        let is_old = |(at, _): &(Duration, StreamId)| now.saturating_sub(*at) > RECENT_TIME;
        while self.streams.len() >= MAX_RECENT || self.streams.front().is_some_and(is_old) {
            self.streams.pop_front();
        }
        self.streams.push_back((now, stream));
    }

    /// Streams whose first event arrived at `since` or later.
    pub fn since(&self, since: Duration) -> Vec<StreamId> {
        let recent = self.streams.iter().filter(|(at, _)| *at >= since);
        recent.map(|(_, stream)| *stream).collect()
    }
}
