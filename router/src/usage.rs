//! Usage: counts the requests of each workspace that began in each window, and exchanges the counts with the entries
//! that keep them and with the holder of the lease.

mod begin;
mod stored;

pub(crate) use almondwell_core::usage::{Counts, Window};
pub(crate) use begin::{Mark, record_end, record_not_run, record_send, record_token};
pub(crate) use stored::{look_up, write};

use crate::router::Router;
use crate::{duties, peers};
use almondwell_core::time_offset::TimeOffset;
use almondwell_core::usage::{Collector, Options, Receiver, Recorder};
use almondwell_daemon::BootClock;
use almondwell_schema::{Digest, RouterSettings, UsageAck};
use almondwell_wire::MAX_DATAGRAM_BYTES;
use async_std::task;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Name of the duty for which usage is counted.
const DUTY: &str = "metering";
/// Time between two sends: what a process counted since the last one is lost when it is killed.
const PERIOD: Duration = Duration::from_millis(250);
/// Time between two sends for each entry of the deployment, where that is longer: bounds what a keeper receives to 400
/// messages a second, since the smallest machines have 0.068 of a core.
const PERIOD_PER_ENTRY: Duration = Duration::from_micros(2500);
/// Maximum length of a snapshot in the lease object, which is written every second.
const MAX_SNAPSHOT_BYTES: usize = 64 << 10;
/// Sends of the final counts at the end of a process, and the time between them; together less than what is left of
/// the grace time by then.
const LAST_SENDS: u32 = 3;
const LAST_PERIOD: Duration = Duration::from_millis(60);
/// Difference between the wall clock and true time from which on it is logged.
const MAX_CLOCK_ERROR: Duration = Duration::from_millis(500);

/// What the holder knows of its lease.
#[derive(Default)]
struct Term {
    /// Boot time at which this process learned that it holds the lease.
    since: Duration,
    /// The last window that was logged as incomplete.
    logged: Window,
}

/// Counts of recent windows and the clock that divides them.
pub(crate) struct Usage {
    collector: Mutex<Collector>,
    is_counting: bool,
    /// Nanoseconds from the boot-time clock to true time.
    offset_ns: AtomicU64,
    options: Options,
    recorder: Mutex<Recorder>,
    term: Mutex<Term>,
    time: Mutex<TimeOffset>,
}

impl Usage {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        let options = Options {
            delay: settings.usage_delay,
            window: settings.usage_window,
        };
        let start = rand::rng().random();
        let mut time = TimeOffset::default();
        let offset = time.update(BootClock.now(), wall_time());
        let has_duty = settings.duties.iter().any(|duty| **duty == *DUTY);
        Self {
            collector: Mutex::new(Collector::new(options)),
            is_counting: settings.provider.is_some() && has_duty,
            offset_ns: AtomicU64::new(nanoseconds(offset)),
            options,
            recorder: Mutex::new(Recorder::new(options, settings.id.clone(), start)),
            term: Mutex::default(),
            time: Mutex::new(time),
        }
    }

    /// Whether the deployment has usage reported.
    pub(crate) const fn is_counting(&self) -> bool {
        self.is_counting
    }

    /// The window that true time is in at boot time `now`.
    pub(crate) fn window(&self, now: Duration) -> Window {
        self.options.window_at(self.true_time(now))
    }

    /// The counts of `window` if its report can be sent now: all entries that are known to have been alive reported
    /// their final counts, or the deadline has come.
    pub(crate) fn report(&self, router: &Router, window: Window) -> Option<Counts> {
        let now = router.boot_clock.now();
        let mut term = lock(&self.term);
        let (now, since) = (self.true_time(now), self.true_time(term.since));
        let collector = lock(&self.collector);
        let counts = collector.report(now, window, since)?;
        let incomplete = collector.incomplete_count(window);
        drop(collector);
        if incomplete > 0 && term.logged != window {
            term.logged = window;
            router.metrics.usage_incomplete.inc();
            spdlog::warn!("usage report lacks final counts", kv: { window, entries = incomplete });
        }
        Some(counts)
    }

    /// Counts of the windows after `reported`, for the lease object; empty if they are too many.
    pub(crate) fn snapshot(&self, reported: Window) -> Vec<u8> {
        lock(&self.collector).snapshot(reported, MAX_SNAPSHOT_BYTES)
    }

    /// Merges the snapshot that the lease object contained when this process acquired the lease.
    pub(crate) fn merge_snapshot(&self, bytes: &[u8]) {
        lock(&self.term).since = BootClock.now();
        if !lock(&self.collector).merge_snapshot(bytes) {
            spdlog::warn!("invalid snapshot of usage ignored", kv: { bytes = bytes.len() });
        }
    }

    /// Forgets the windows up to `reported`.
    pub(crate) fn forget(&self, reported: Window) {
        lock(&self.collector).forget(reported);
    }

    /// Time of this machine's wall clock for digests.
    pub(crate) fn wall_time(&self) -> Option<Duration> {
        self.is_counting.then(wall_time)
    }

    /// Records a message from another entry, with its wall clock, received at boot time `now`.
    pub(crate) fn record_digest(&self, now: Duration, digest: &Digest) {
        let Some(time) = digest.wall_time.filter(|_| self.is_counting) else {
            return;
        };
        lock(&self.time).record(now, digest.control, time);
        let window = self.window(now);
        lock(&self.collector).record_contact(window, &digest.entry);
    }

    /// Merges another process's counts, received at boot time `now`; returns the acknowledgement of final ones.
    pub(crate) fn merge(
        &self,
        now: Duration,
        usage: &almondwell_schema::Usage,
    ) -> Option<UsageAck> {
        if !self.is_counting {
            return None;
        }
        let window = self.window(now);
        let ack = lock(&self.collector).merge(window, usage);
        let is_needed = !ack.complete.is_empty() || !ack.missing.is_empty();
        is_needed.then_some(ack)
    }

    /// Updates true time at boot time `now`; returns it.
    fn update_time(&self, router: &Router, now: Duration) -> Duration {
        let wall_time = wall_time();
        let offset = lock(&self.time).update(now, wall_time);
        self.offset_ns.store(nanoseconds(offset), Ordering::Release);
        let time = now.saturating_add(offset);
        let error_ms = i64::try_from(wall_time.abs_diff(time).as_millis()).unwrap_or(i64::MAX);
        let gauge = &router.metrics.usage_clock_error;
        let previous = gauge.set(error_ms);
        let limit_ms = i64::try_from(MAX_CLOCK_ERROR.as_millis()).unwrap_or(i64::MAX);
        if (previous >= limit_ms) != (error_ms >= limit_ms) {
            spdlog::warn!("difference of the wall clock from the other entries' changed", kv: { error_ms });
        }
        time
    }

    fn true_time(&self, now: Duration) -> Duration {
        now + Duration::from_nanos(self.offset_ns.load(Ordering::Acquire))
    }
}

/// Sends what has changed to the entries that keep counts and to the holder, forever.
pub(crate) async fn exchange(router: Arc<Router>) {
    loop {
        let now = router.boot_clock.now();
        let time = router.usage.update_time(&router, now);
        let is_settled = lock(&router.usage.time).is_settled(now);
        if is_settled {
            let end = router.usage.options.first_open(time);
            lock(&router.usage.recorder).close(now, end);
        }
        send(&router).await;
        let entries = u32::try_from(peers::count(&router)).unwrap_or(u32::MAX);
        task::sleep(PERIOD.max(PERIOD_PER_ENTRY.saturating_mul(entries))).await;
    }
}

/// Closes all windows and sends their counts before the end of the process.
pub(crate) async fn finish(router: &Router) {
    if !router.usage.is_counting {
        return;
    }
    let now = router.boot_clock.now();
    let window = router.usage.window(now);
    lock(&router.usage.recorder).close(now, window + 1);
    for _ in 0..LAST_SENDS {
        send(router).await;
        task::sleep(LAST_PERIOD).await;
        let own = router.settings.control;
        let holder = router
            .duties
            .holder()
            .filter(|(address, _)| *address != own);
        if holder.is_some_and(|holder| lock(&router.usage.recorder).is_acknowledged(holder)) {
            return;
        }
    }
}

/// Records what the process at `from` has of this one's counts.
pub(crate) fn acknowledge(router: &Router, from: SocketAddr, ack: &UsageAck) {
    let receiver = receiver(router, from);
    lock(&router.usage.recorder).acknowledge(receiver, ack);
}

async fn send(router: &Router) {
    let own = router.settings.control;
    let mut receivers: Vec<_> = peers::keepers(router, duties::candidates_key())
        .into_iter()
        .chain(router.duties.holder().map(|(address, _)| address))
        .chain([own])
        .map(|address| receiver(router, address))
        .collect();
    receivers.sort_unstable();
    receivers.dedup();
    let messages = lock(&router.usage.recorder).messages(&receivers, MAX_DATAGRAM_BYTES);
    for (address, usage) in messages {
        if address == own {
            if let Some(ack) = router.usage.merge(router.boot_clock.now(), &usage) {
                acknowledge(router, own, &ack);
            }
        } else {
            peers::send(router, &usage.into(), address).await;
        }
    }
}

/// The process at `address`, with the number of its lease if it is the holder.
fn receiver(router: &Router, address: SocketAddr) -> Receiver {
    let holder = router.duties.holder();
    holder
        .filter(|(holder, _)| *holder == address)
        .unwrap_or((address, 0))
}

fn nanoseconds(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
