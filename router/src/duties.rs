//! Duties: calls to the provider that one entry, the holder of a lease, makes on behalf of all.
//!
//! One task keeps the lease and writes each report into its object; another one sends the report that the object holds.

use crate::demand::Demand;
use crate::router::{Router, milliseconds};
use almondwell_core::hash;
use almondwell_core::lease::{Lease, Options, Step, Write};
use almondwell_platform::{Error, Expect, Object, Objects, Written};
use almondwell_schema::{LeaseRecord, LeaseReport, RouterSettings, Version};
use async_std::future::timeout;
use async_std::task;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Key of the lease object in the store.
const KEY: &str = "duties/lease";
/// Calls to the store that fit into a lease beside the time between two renewals: a renewal without a response, the read that
/// follows, and one more renewal.
const CALLS_PER_LEASE: u32 = 5;
/// Attempts to write the release; without it, others wait for the end of the lease.
const RELEASE_ATTEMPTS: usize = 3;

/// Time after a call without an answer for which the lease is not released: segments of the call may still be on their way, and
/// would arrive after a call of the next holder.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Interval between checks whether the lease has been released, and between attempts to release it.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(20);

/// What this entry knows of the lease, and its part in it.
pub(crate) struct Duties {
    /// Control address of the holder with the highest number known, and this number.
    holder: Mutex<Option<(SocketAddr, u64)>>,
    /// Whether this process keeps no lease any more, and never will.
    has_stopped: AtomicBool,
    /// Whether a call to the provider is running.
    is_calling: AtomicBool,
    is_stopping: AtomicBool,
    lease: Mutex<Lease>,
    /// Wakes the task that sends reports.
    report_due: Demand,
    /// Wakes the task that keeps the lease.
    step_due: Demand,
    /// Time of the last call to the provider that ended without an answer.
    unanswered_at: Mutex<Option<Duration>>,
}

impl Duties {
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        let options = Options::new(settings.lease);
        Self {
            holder: Mutex::default(),
            has_stopped: AtomicBool::new(false),
            is_calling: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            lease: Mutex::new(Lease::new(options, settings.id.clone(), settings.control)),
            report_due: Demand::default(),
            step_due: Demand::default(),
            unanswered_at: Mutex::default(),
        }
    }

    /// Control address and number of the holder that this entry knows of, from its own state, the store or digests.
    pub(crate) fn holder(&self) -> Option<(SocketAddr, u64)> {
        *self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this entry holds the lease: the object names it and nobody else has acquired it since, as far as is known.
    pub(crate) fn is_holder(&self) -> bool {
        self.lock().is_held()
    }

    /// Records a holder that the store or another entry's digest names; the highest number wins.
    pub(crate) fn record_holder(&self, address: SocketAddr, number: u64) {
        let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
        if holder.is_none_or(|(_, known)| known < number) {
            *holder = Some((address, number));
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a call to the provider as running until the result is dropped; `None` while this process stops.
    pub(crate) fn start_call(&self) -> Option<Running<'_>> {
        self.is_calling.store(true, Ordering::SeqCst);
        let running = Running(self);
        (!self.is_stopping.load(Ordering::SeqCst)).then_some(running)
    }

    /// Records that a call ended without an answer at `now`.
    pub(crate) fn record_unanswered(&self, now: Duration) {
        let mut unanswered_at = self
            .unanswered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *unanswered_at = Some(now);
    }

    /// Time from `now` on in which a call without an answer may still arrive.
    fn settle_time(&self, now: Duration) -> Duration {
        let unanswered_at = self
            .unanswered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unanswered_at.map_or(Duration::ZERO, |at| (at + SETTLE_TIME).saturating_sub(now))
    }

    /// Waits until a report may be due, at most for `limit`.
    pub(crate) async fn report_due(&self, limit: Duration) {
        self.report_due.wait_for(limit).await;
    }
}

/// A call to the provider that is running.
pub(crate) struct Running<'a>(&'a Duties);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.is_calling.store(false, Ordering::SeqCst);
        self.0.step_due.request();
    }
}

/// Whether this deployment has duties.
pub(crate) fn is_enabled(settings: &RouterSettings) -> bool {
    settings.provider.is_some() && !settings.duties.is_empty()
}

fn has_duty(settings: &RouterSettings, name: &str) -> bool {
    settings.duties.iter().any(|duty| **duty == *name)
}

/// Key by which the entries that may acquire the lease are chosen.
pub(crate) fn candidates_key() -> u64 {
    hash::number(&[KEY.as_bytes()])
}

/// Lets the holder finish its call and release the lease; returns after at most `limit`.
pub(crate) async fn stop(router: &Router, limit: Duration) {
    if !is_enabled(&router.settings) {
        return;
    }
    let duties = &router.duties;
    duties.is_stopping.store(true, Ordering::SeqCst);
    duties.step_due.request();
    let released = async {
        while !duties.has_stopped.load(Ordering::Acquire) {
            task::sleep(STOP_POLL_PERIOD).await;
        }
    };
    let _ = timeout(limit, released).await;
}

/// Keeps the lease, or tries to acquire it, until this process has released it.
pub(crate) async fn keep(router: Arc<Router>) {
    let task = Task {
        duties: &router.duties,
        // The reports begin with the window in which this process was started.
        first_window: router.usage.window(router.boot_clock.now()),
        objects: &router.objects,
        router: &router,
    };
    let mut was_suspended = false;
    loop {
        let is_suspended = task.is_suspended();
        if is_suspended != was_suspended {
            was_suspended = is_suspended;
            spdlog::info!("duties suspended or resumed", kv: { is_suspended });
        }
        let is_stopping = router.duties.is_stopping.load(Ordering::SeqCst);
        if is_stopping && !router.duties.is_calling.load(Ordering::SeqCst) {
            let now = router.boot_clock.now();
            task::sleep(router.duties.settle_time(now)).await;
            task.release().await;
            router.duties.has_stopped.store(true, Ordering::Release);
            return;
        }
        task.step(is_stopping).await;
    }
}

/// The task that keeps the lease.
struct Task<'a> {
    duties: &'a Duties,
    first_window: u64,
    objects: &'a Objects,
    router: &'a Router,
}

impl Task<'_> {
    async fn step(&self, is_stopping: bool) {
        let now = self.router.boot_clock.now();
        let is_candidate = !is_stopping && self.is_candidate();
        let next = self.duties.lock().next(now, is_candidate);
        match next {
            Step::Acquire => {
                let known = self.duties.holder().map_or(0, |(_, number)| number);
                let reported = self.first_window.saturating_sub(1);
                let write = self
                    .duties
                    .lock()
                    .acquire(now, rand::random(), known, reported);
                self.write(write).await;
            }
            Step::Read => self.read(false).await,
            Step::ReadStale => self.read(true).await,
            Step::Renew => {
                if let Some(write) = self.renewal(now) {
                    self.write(write).await;
                }
            }
            Step::Wait(wait) => self.duties.step_due.wait_for(wait).await,
        }
    }

    /// Whether this entry is still named as the holder and its lease is over, since it could not be renewed.
    fn is_suspended(&self) -> bool {
        let now = self.router.boot_clock.now();
        let lease = self.duties.lock();
        lease.is_held() && lease.number(now).is_none()
    }

    fn is_candidate(&self) -> bool {
        let peers = self.router.peers.lock();
        peers
            .unwrap_or_else(PoisonError::into_inner)
            .keeps(candidates_key())
    }

    /// The write that renews the lease, with the next report if its counts are complete.
    fn renewal(&self, now: Duration) -> Option<Write> {
        let (next, reported) = {
            let lease = self.duties.lock();
            (lease.next_window(), lease.reported().unwrap_or(0))
        };
        let usage = &self.router.usage;
        usage.forget(reported);
        let reports_usage = has_duty(&self.router.settings, "metering");
        let has_ended = |window: &u64| reports_usage && *window < usage.window(now);
        let report = next.filter(has_ended).and_then(|window| {
            let counts = usage.report(self.router, window)?;
            Some(LeaseReport { window, counts })
        });
        let snapshot = usage.snapshot(reported);
        let mut lease = self.duties.lock();
        lease.renew(now, rand::random(), report, snapshot)
    }

    async fn read(&self, is_stale: bool) {
        let sent_at = self.router.boot_clock.now();
        self.duties.lock().record_read_sent(sent_at);
        let read = async {
            if is_stale {
                self.objects.get_stale(KEY).await
            } else {
                self.objects.get(KEY).await
            }
        };
        let result = match timeout(self.call_limit(), read).await {
            Ok(Ok(object)) => Ok(object.as_ref().map(decode)),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(Error::Lost("no answer in time".into())),
        };
        match result {
            Ok(found) => self.update(|lease, now| {
                if is_stale {
                    lease.record_stale_read(now, found);
                } else {
                    lease.record_read(now, found);
                }
            }),
            Err(error) => report_failure("read", &error),
        }
    }

    async fn write(&self, write: Write) {
        let value = serde_json::to_vec(&write.record).unwrap_or_default();
        let expect = write.expected.map_or(Expect::Absent, Expect::Version);
        let put = self.objects.put(KEY, &value, expect);
        let result = timeout(self.call_limit(), put).await;
        let result = result.unwrap_or_else(|_| Err(Error::Lost("no answer in time".into())));
        self.update(|lease, now| match &result {
            Ok(Written::Done(version)) => lease.record_written(now, write, *version),
            Ok(Written::Conflict) => lease.record_conflict(&write),
            Err(Error::Down(_)) => lease.record_unsent(&write),
            Err(Error::Answer(_) | Error::Lost(_) | Error::TooLong(_)) => lease.record_lost(),
        });
        if let Err(error) = result {
            report_failure("write", &error);
        }
    }

    async fn release(&self) {
        for _ in 0..RELEASE_ATTEMPTS {
            let now = self.router.boot_clock.now();
            let reported = self.duties.lock().reported().unwrap_or(0);
            let snapshot = self.router.usage.snapshot(reported);
            let write = self.duties.lock().release(now, rand::random(), snapshot);
            let Some(write) = write else {
                return;
            };
            let number = write.record.number;
            self.write(write).await;
            if !self.duties.is_holder() {
                spdlog::info!("duties released", kv: { number });
                return;
            }
            task::sleep(STOP_POLL_PERIOD).await;
            self.read(false).await;
        }
    }

    /// Longest time of a call to the store.
    fn call_limit(&self) -> Duration {
        self.router.settings.lease / CALLS_PER_LEASE
    }

    /// Applies a response of the store, and logs if this entry gains or loses the lease.
    fn update(&self, apply: impl FnOnce(&mut Lease, Duration)) {
        let now = self.router.boot_clock.now();
        let (before, after, record, end, is_due) = {
            let mut lease = self.duties.lock();
            let before = (lease.is_held(), lease.record().cloned());
            apply(&mut lease, now);
            let record = lease.record().cloned();
            let is_due = lease.report(now).is_some();
            (before, lease.is_held(), record, lease.end(), is_due)
        };
        if is_due {
            self.duties.report_due.request();
        }
        let Some(record) = record else {
            return;
        };
        self.duties.record_holder(record.address, record.number);
        let (was_held, previous) = before;
        let previous_number = previous.as_ref().map_or(0, |previous| previous.number);
        if after && (!was_held || previous_number != record.number) {
            self.router.usage.merge_snapshot(&record.snapshot);
            let left = end.unwrap_or_default().saturating_sub(now);
            spdlog::info!("duties acquired", kv: {
                number = record.number, reason = reason(previous.as_ref()),
                previous = previous.as_ref().map_or("", |previous| &*previous.holder),
                reported = record.reported, left_ms = milliseconds(left)
            });
        } else if was_held && !after && !(record.released && previous_number == record.number) {
            spdlog::warn!("duties lost", kv: {
                number = previous_number, holder = record.holder.as_ref(),
                holder_number = record.number, released = record.released
            });
        } else if previous_number != record.number {
            spdlog::info!("duties are held by another entry", kv: {
                number = record.number, holder = record.holder.as_ref()
            });
        }
        let number = if after { record.number } else { 0 };
        let number = i64::try_from(number).unwrap_or(i64::MAX);
        self.router.metrics.duty_number.set(number);
    }
}

fn report_failure(call: &'static str, error: &Error) {
    match error {
        Error::Answer(_) | Error::TooLong(_) => spdlog::warn!("lease call failed", kv: {
            call, error = error.to_string()
        }),
        Error::Down(_) | Error::Lost(_) => spdlog::debug!("lease call failed", kv: {
            call, error = error.to_string()
        }),
    }
}

/// Why the lease that `previous` describes could be acquired.
fn reason(previous: Option<&LeaseRecord>) -> &'static str {
    match previous {
        None => "created",
        Some(previous) if previous.released => "released",
        Some(_) => "expired",
    }
}

/// The lease's version, and its record if it can be decoded.
fn decode(object: &Object) -> (Version, Option<LeaseRecord>) {
    (object.version, serde_json::from_slice(&object.value).ok())
}
