//! Runs requests that are suspected of crashing the upstream in isolation, or refuses them.

use crate::side::Side;
use almondwell_core::quarantine::{Quarantine, Treatment};
use almondwell_schema::{Crash, Fault, Reason, Run, Suspect, Verdict};
use async_std::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};
use async_std::task;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which a suspected request waits until nothing else runs at the upstream.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(2);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Suspected requests, and a lock that isolates one from other requests at the upstream.
#[derive(Default)]
pub(crate) struct Suspects {
    /// Read-locked by requests that run alongside others; write-locked by one that runs alone.
    isolation: RwLock<()>,
    quarantine: Mutex<Quarantine>,
}

impl Suspects {
    /// Merges the crash evidence that an entry has on one request.
    pub(crate) fn merge(&self, now: Duration, suspect: &Suspect) {
        self.quarantine().merge(now, suspect);
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permission of a request to run at the upstream; held until it has ended.
pub(crate) struct Admission<'a> {
    connection_failures: u64,
    fingerprint: u64,
    is_alone: bool,
    _guard: Guard<'a>,
    side: &'a Side,
}

/// Guard of [`Suspects::isolation`]; released on drop.
enum Guard<'a> {
    Alone(#[expect(dead_code, reason = "released on drop")] RwLockWriteGuard<'a, ()>),
    Shared(#[expect(dead_code, reason = "released on drop")] RwLockReadGuard<'a, ()>),
}

/// Waits until `run` may be sent to the upstream, or returns a fault with the verdict `NotRun`.
pub(crate) async fn admit<'a>(side: &'a Side, run: &Run) -> Result<Admission<'a>, Fault> {
    let suspects = &side.suspects;
    let reported = Suspect {
        fingerprint: run.fingerprint,
        crashes: run.crashes.clone(),
        left: Duration::MAX,
    };
    suspects.merge(side.clock.now(), &reported);
    loop {
        let guard = match treatment(side, run) {
            Treatment::Free => Guard::Shared(suspects.isolation.read().await),
            Treatment::Alone => Guard::Alone(acquire_exclusive(side, run).await?),
            Treatment::Refused => return Err(quarantined(side, run)),
        };
        if !side.health.wait_until_connected().await {
            return Err(upstream_down());
        }
        let is_alone = matches!(guard, Guard::Alone(_));
        // A crash may have been recorded while the request waited.
        if treatment(side, run) <= strictest_allowed(is_alone) {
            return Ok(Admission {
                connection_failures: side.health.connection_failures(),
                fingerprint: run.fingerprint,
                is_alone,
                _guard: guard,
                side,
            });
        }
    }
}

fn treatment(side: &Side, run: &Run) -> Treatment {
    let now = side.clock.now();
    side.suspects.quarantine().treatment(now, run.fingerprint)
}

/// Strictest treatment that a request admitted in this way satisfies.
const fn strictest_allowed(is_alone: bool) -> Treatment {
    if is_alone {
        Treatment::Alone
    } else {
        Treatment::Free
    }
}

/// Polls for the write lock until nothing runs at the upstream. New requests are still admitted
/// meanwhile, since `try_write` does not queue.
async fn acquire_exclusive<'a>(
    side: &'a Side,
    run: &Run,
) -> Result<RwLockWriteGuard<'a, ()>, Fault> {
    let limit = side.clock.now() + ISOLATION_TIMEOUT.min(run.left);
    while side.clock.now() < limit {
        if let Some(guard) = side.suspects.isolation.try_write() {
            return Ok(guard);
        }
        task::sleep(ISOLATION_POLL_INTERVAL).await;
    }
    Err(Fault {
        verdict: Verdict::NotRun,
        reason: Reason::Full,
        retry: RETRY_AFTER,
        detail: "the request may have crashed an upstream and found none to run on alone".into(),
        crashes: known_crashes(side, run.fingerprint),
    })
}

fn upstream_down() -> Fault {
    Fault {
        verdict: Verdict::NotRun,
        reason: Reason::Stalled,
        retry: RETRY_AFTER,
        detail: "the upstream takes no connection".into(),
        crashes: Vec::new(),
    }
}

fn quarantined(side: &Side, run: &Run) -> Fault {
    Fault {
        verdict: Verdict::NotRun,
        reason: Reason::Quarantined,
        retry: Duration::ZERO,
        detail: "the request crashed the upstreams that ran it".into(),
        crashes: known_crashes(side, run.fingerprint),
    }
}

fn known_crashes(side: &Side, fingerprint: u64) -> Vec<Crash> {
    let now = side.clock.now();
    side.suspects
        .quarantine()
        .suspect(now, fingerprint)
        .map(|suspect| suspect.crashes)
        .unwrap_or_default()
}

impl Admission<'_> {
    /// Records that the upstream did not complete the response; returns the crashes that the request
    /// may have caused.
    pub(crate) async fn record_failure(&self) -> Vec<Crash> {
        let side = self.side;
        if !side
            .health
            .has_crashed_since(self.connection_failures)
            .await
        {
            return Vec::new();
        }
        let now = side.clock.now();
        let suspect = side.suspects.quarantine().record_crash(
            now,
            self.fingerprint,
            rand::random(),
            self.is_alone,
        );
        spdlog::warn!("upstream crashed while running a request", kv: {
            fingerprint = self.fingerprint,
            alone = self.is_alone,
        });
        suspect.crashes
    }

    /// Records that the response was complete.
    pub(crate) fn record_success(&self) {
        if self.is_alone {
            let now = self.side.clock.now();
            self.side
                .suspects
                .quarantine()
                .record_success(now, self.fingerprint);
        }
    }
}
