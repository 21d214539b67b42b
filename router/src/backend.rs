//! Load and failures of one upstream as this entry observes them, and a pool of idle connections to it.

use crate::connection::Connection;
use almondwell_core::backlog::{Backlog, Ticket};
use almondwell_core::hash;
use almondwell_core::job::PartId;
use almondwell_core::quota::Quota;
use almondwell_core::streams::{Recent, StreamId};
use almondwell_core::upstream::Upstream;
use almondwell_platform::headers::Load;
use async_std::io;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time limit for connecting to an upstream: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept per upstream. A load peak needs more, but only while it lasts.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Longest idle time of a connection that is reused for a request that must not run twice. The shorter it
/// is, the rarer such a request is sent on a connection that the upstream has just closed.
const MAX_IDLE_WITHOUT_RETRY: Duration = Duration::from_secs(1);

/// Shared prompt parts remembered per engine.
const MAX_PARTS: usize = 512;
/// Time after its last use for which a prompt part is assumed to be in the engine's cache. Engines evict
/// parts that are unused for longer.
const PART_TTL: Duration = Duration::from_secs(20);

/// Age up to which a load report tells whether there is a free slot.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time without a byte from a running upstream after which it may have crashed; longer than the pauses of most streams.
const SILENCE: Duration = Duration::from_millis(500);

/// Snapshot of one upstream as this entry observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Whether its cache is assumed to hold the requested prompt part and those before it.
    pub has_parts: bool,
    /// Number of recent failures, halved every [`FAILURE_HALF_LIFE`].
    pub failures: f64,
    /// Requests of this entry that are running there.
    pub inflight: u32,
    /// Its last load report and the report's age.
    pub load: Option<(Load, Duration)>,
    /// Estimated time that a new request would wait before its prefill.
    pub wait: Duration,
}

/// Time in which the weight of a failure halves; a crashed upstream is back after a few seconds.
pub const FAILURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Requests that an upstream takes from all entries together, as last named.
#[derive(Clone, Copy, Debug)]
struct Limit {
    named_at: Duration,
    per_second: f64,
}

#[derive(Debug, Default)]
struct State {
    backlog: Backlog,
    failures: f64,
    failures_at: Duration,
    /// Time of the last bytes from it.
    heard_at: Duration,
    limit: Option<Limit>,
    load: Option<(Load, Duration)>,
    /// When it may get requests while it names a limit.
    quota: Quota,
    /// Last time at which no process listened at its address.
    refused_at: Duration,
    /// End of the time for which it wants no request.
    rest_until: Duration,
    /// Shared prompt parts that it has prefilled for this entry, with the time of their last use.
    parts: BTreeMap<PartId, Duration>,
    /// Streams that it began or continued, with the time of their first event from it.
    streams: Recent,
}

/// A request that waits for its first token; dropping it removes it from the backlog.
pub(crate) struct Queued {
    backend: Arc<Backend>,
    ticket: Ticket,
}

impl Queued {
    /// Records the first token; returns how long the request waited and its prefill tokens.
    pub(crate) fn first_token(&self, now: Duration) -> Option<(Duration, u32)> {
        self.backend.lock().backlog.first_token(now, self.ticket)
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.backend.lock().backlog.remove(self.ticket);
    }
}

/// An upstream with its idle connections and observed state.
pub(crate) struct Backend {
    idle: Mutex<Vec<Connection>>,
    inflight: AtomicU32,
    /// Whether it has said that it is leaving, which holds for its lifetime.
    is_leaving: AtomicBool,
    /// Whether another upstream has responded at its address.
    is_replaced: AtomicBool,
    /// Hash of its identifier and start time, by which entries name it to each other.
    pub(crate) key: u32,
    state: Mutex<State>,
    pub(crate) upstream: Upstream,
}

/// Counts a request as running at an upstream until dropped.
pub(crate) struct Inflight(Arc<Backend>);

impl Drop for Inflight {
    fn drop(&mut self) {
        self.0.inflight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Backend {
    pub(crate) fn new(upstream: Upstream) -> Self {
        Self {
            idle: Mutex::default(),
            inflight: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
            is_replaced: AtomicBool::new(false),
            key: key(&upstream),
            state: Mutex::default(),
            upstream,
        }
    }

    pub(crate) fn start_request(self: &Arc<Self>) -> Inflight {
        self.inflight.fetch_add(1, Ordering::AcqRel);
        Inflight(self.clone())
    }

    /// A connection and whether it is a reused idle one.
    ///
    /// `limit` bounds the time to connect.
    ///
    /// # Errors
    ///
    /// Fails when there is no usable idle connection and a new one cannot be opened.
    pub(crate) async fn connection(
        &self,
        is_retryable: bool,
        limit: Duration,
    ) -> io::Result<(Connection, bool)> {
        let max_idle = (!is_retryable).then_some(MAX_IDLE_WITHOUT_RETRY);
        while let Some(connection) = self.pop_idle() {
            if connection.is_usable(max_idle).await {
                return Ok((connection, true));
            }
        }
        let limit = limit.min(CONNECT_TIMEOUT);
        let connection = Connection::open(self.upstream.address, limit).await?;
        Ok((connection, false))
    }

    pub(crate) fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !connection.is_stale());
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Closes the idle connections, or only the stale ones.
    pub(crate) fn close_idle(&self, only_stale: bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| only_stale && !connection.is_stale());
    }

    /// The idle connection that was used last.
    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    /// Records that another upstream has taken over its address: it gets no requests until it registers with
    /// a new start time.
    pub(crate) fn mark_replaced(&self) {
        self.is_replaced.store(true, Ordering::Release);
    }

    /// Whether it takes no requests any more: it is leaving, or another upstream has its address.
    pub(crate) fn is_gone(&self) -> bool {
        self.is_replaced.load(Ordering::Acquire) || self.is_leaving.load(Ordering::Acquire)
    }

    /// Records that it is leaving. Running requests go on; a registration as ready does not undo it.
    pub(crate) fn mark_leaving(&self) {
        if !self.is_leaving.swap(true, Ordering::AcqRel) {
            spdlog::info!("upstream says that it is leaving", kv: {
                upstream = self.upstream.id.as_ref()
            });
        }
    }

    /// Records that it wants no request for `rest`. A shorter time does not end a longer one.
    pub(crate) fn record_rest(&self, now: Duration, rest: Duration) {
        let until = now + rest;
        let mut state = self.lock();
        if until <= state.rest_until {
            return;
        }
        let was_resting = std::mem::replace(&mut state.rest_until, until) > now;
        drop(state);
        if !was_resting {
            spdlog::info!("upstream wants no requests for a time", kv: {
                upstream = self.upstream.id.as_ref(), seconds = rest.as_secs_f64()
            });
        }
    }

    pub(crate) fn record_load(&self, now: Duration, load: Option<Load>) {
        if let Some(load) = load {
            self.lock().load = Some((load, now));
        }
    }

    /// Records a load that it reported to another entry at `at`, unless a newer one is known; returns whether it was
    /// recorded.
    pub(crate) fn merge_load(&self, at: Duration, running: u32, waiting: u32) -> bool {
        let mut state = self.lock();
        let is_newer = state.load.is_none_or(|(_, known_at)| known_at < at);
        if is_newer {
            let load = Load {
                slowdown_percent: None,
                running,
                slots: self.upstream.slots,
                waiting,
            };
            state.load = Some((load, at));
        }
        is_newer
    }

    /// Whether a request that is sent now will not wait for a slot, as far as is known.
    pub(crate) fn has_free_slot(&self, now: Duration) -> bool {
        let inflight = self.inflight.load(Ordering::Acquire);
        let reported = self.load(now).filter(|(_, age)| *age <= MAX_REPORT_AGE);
        let reported = reported.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        inflight.max(reported) < self.upstream.slots
    }

    /// Its last load report and the report's age.
    pub(crate) fn load(&self, now: Duration) -> Option<(Load, Duration)> {
        let load = self.lock().load;
        load.map(|(load, at)| (load, now.saturating_sub(at)))
    }

    pub(crate) fn record_bytes(&self, now: Duration) {
        self.lock().heard_at = now;
    }

    /// Whether nothing has arrived from it lately, nor since `sent_at`.
    pub(crate) fn is_silent(&self, now: Duration, sent_at: Duration) -> bool {
        let heard_at = self.lock().heard_at;
        heard_at <= sent_at || now.saturating_sub(heard_at) >= SILENCE
    }

    /// Records the requests a second that it takes from all entries, as named in the answer to a request sent at
    /// `sent_at`; `None` if the answer names no limit.
    pub(crate) fn record_limit(&self, now: Duration, sent_at: Duration, limit: Option<f64>) {
        let mut state = self.lock();
        let previous = state.limit;
        match (limit, previous) {
            (Some(per_second), _) => {
                let named_at = now;
                state.limit = Some(Limit {
                    named_at,
                    per_second,
                });
            }
            // Answers may overtake each other: this one may be older than the one that named the limit.
            (None, Some(previous)) if sent_at < previous.named_at => return,
            (None, _) => {
                state.limit = None;
                state.quota = Quota::default();
            }
        }
        drop(state);
        let previous = previous.map(|previous| previous.per_second);
        if previous != limit {
            spdlog::info!("limit of an upstream changed", kv: {
                upstream = self.upstream.id.as_ref(), per_second = limit.unwrap_or(-1.0),
                previous = previous.unwrap_or(-1.0)
            });
        }
    }

    /// Whether the upstream wants requests now, and its limit, shared by `entries`, allows one; `draw` is a random number
    /// below 1.
    pub(crate) fn is_open(&self, now: Duration, entries: usize, draw: f64) -> bool {
        let mut state = self.lock();
        if now < state.rest_until {
            return false;
        }
        let Some(limit) = state.limit else {
            return true;
        };
        state.quota.update(now, limit.per_second, entries, draw);
        state.quota.is_open(now)
    }

    /// Takes a request from this entry's share of the upstream's limit; `false` if none is left.
    pub(crate) fn take_quota(&self, now: Duration, entries: usize, draw: f64) -> bool {
        let mut state = self.lock();
        let Some(limit) = state.limit else {
            return true;
        };
        let is_open = state.quota.is_open(now);
        if is_open {
            state.quota.take(now, limit.per_second, entries, draw);
        }
        is_open
    }

    pub(crate) fn record_failure(&self, now: Duration) {
        let mut state = self.lock();
        state.failures = decayed_failures(&state, now) + 1.0;
        state.failures_at = now;
    }

    pub(crate) fn record_success(&self, now: Duration) {
        let mut state = self.lock();
        state.failures = decayed_failures(&state, now) / 2.0;
        state.failures_at = now;
    }

    /// Records that the first event of a stream has arrived from it.
    pub(crate) fn record_stream(&self, now: Duration, stream: StreamId) {
        self.lock().streams.push(now, stream);
    }

    /// Streams whose first event has arrived from it since `since`, and since it last refused a connection: earlier ones came
    /// from an earlier process.
    pub(crate) fn streams_since(&self, since: Duration) -> Vec<StreamId> {
        let state = self.lock();
        state.streams.since(since.max(state.refused_at))
    }

    /// Records that connecting to it failed.
    pub(crate) fn record_error(&self, now: Duration, error: &io::Error) {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            self.lock().refused_at = now;
        }
    }

    /// Adds a request with `tokens` of prefill to the backlog, and records the use of `part`, the last of its
    /// shared prompt parts.
    pub(crate) fn enqueue(
        self: &Arc<Self>,
        now: Duration,
        tokens: u32,
        part: Option<PartId>,
    ) -> Queued {
        let mut state = self.lock();
        if let Some(part) = part {
            state.parts.insert(part, now);
            if state.parts.len() > MAX_PARTS {
                state
                    .parts
                    .retain(|_, at| now.saturating_sub(*at) < PART_TTL);
            }
        }
        Queued {
            backend: self.clone(),
            ticket: state.backlog.push(now, tokens),
        }
    }

    /// Snapshot at `now` for a request with the shared prompt part `part`, where an engine prefills `rate`
    /// tokens per millisecond.
    pub(crate) fn view(&self, now: Duration, part: Option<PartId>, rate: f64) -> View {
        let state = self.lock();
        let used = part.and_then(|part| state.parts.get(&part));
        View {
            has_parts: used.is_some_and(|at| now.saturating_sub(*at) < PART_TTL),
            failures: decayed_failures(&state, now),
            inflight: self.inflight.load(Ordering::Acquire),
            load: state.load.map(|(load, at)| (load, now.saturating_sub(at))),
            wait: state.backlog.wait(now, rate),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hash of an upstream's identifier and start time.
pub(crate) fn key(upstream: &Upstream) -> u32 {
    let started = upstream.started_ms.unwrap_or(0).to_le_bytes();
    let hash = hash::number(&[upstream.id.as_bytes(), &started]);
    // The low half tells a few thousand engines apart.
    #[allow(clippy::cast_possible_truncation)]
    let key = hash as u32;
    key
}

fn decayed_failures(state: &State, now: Duration) -> f64 {
    let age = now.saturating_sub(state.failures_at).as_secs_f64();
    state.failures * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
}
