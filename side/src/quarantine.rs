//! Runs requests that are suspected of crashing the upstream alone or not at all.

use crate::side::Side;
use almondwell_core::quarantine::{Quarantine, Treatment};
use almondwell_schema::{Crash, Fault, Reason, Run, Suspect, Verdict};
use async_std::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};
use async_std::task;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which a suspect waits until nothing else runs.
const ALONE_TIMEOUT: Duration = Duration::from_secs(2);
const ALONE_PERIOD: Duration = Duration::from_millis(2);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Suspects, and who is at the upstream.
#[derive(Default)]
pub(crate) struct Suspects {
    /// Shared by requests that run beside others; held by one that runs alone.
    floor: RwLock<()>,
    quarantine: Mutex<Quarantine>,
}

impl Suspects {
    /// Takes over what an entry knows.
    pub(crate) fn merge(&self, now: Duration, suspect: &Suspect) {
        self.quarantine().merge(now, suspect);
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's stay at the upstream.
pub(crate) struct Stay<'a> {
    deaths: u64,
    fingerprint: u64,
    is_alone: bool,
    _floor: Floor<'a>,
    side: &'a Side,
}

/// Held for its drop.
enum Floor<'a> {
    Alone(#[expect(dead_code, reason = "held for its drop")] RwLockWriteGuard<'a, ()>),
    Shared(#[expect(dead_code, reason = "held for its drop")] RwLockReadGuard<'a, ()>),
}

/// Waits until `run` may go to the upstream, or refuses it as not run.
pub(crate) async fn admit<'a>(side: &'a Side, run: &Run) -> Result<Stay<'a>, Fault> {
    let suspects = &side.suspects;
    let known = Suspect {
        fingerprint: run.fingerprint,
        crashes: run.crashes.clone(),
        left: Duration::MAX,
    };
    suspects.merge(side.clock.now(), &known);
    loop {
        let floor = match treatment(side, run) {
            Treatment::Free => Floor::Shared(suspects.floor.read().await),
            Treatment::Alone => Floor::Alone(alone(side, run).await?),
            Treatment::Refused => return Err(refused(side, run)),
        };
        if !side.health.is_live().await {
            return Err(down());
        }
        let is_alone = matches!(floor, Floor::Alone(_));
        // A crash may have been noted while the request waited.
        if treatment(side, run) <= allowed(is_alone) {
            return Ok(Stay {
                deaths: side.health.deaths(),
                fingerprint: run.fingerprint,
                is_alone,
                _floor: floor,
                side,
            });
        }
    }
}

fn treatment(side: &Side, run: &Run) -> Treatment {
    let now = side.clock.now();
    side.suspects.quarantine().treatment(now, run.fingerprint)
}

const fn allowed(is_alone: bool) -> Treatment {
    if is_alone {
        Treatment::Alone
    } else {
        Treatment::Free
    }
}

/// Takes the upstream once nothing runs there; newcomers aren't held up meanwhile.
async fn alone<'a>(side: &'a Side, run: &Run) -> Result<RwLockWriteGuard<'a, ()>, Fault> {
    let limit = side.clock.now() + ALONE_TIMEOUT.min(run.left);
    while side.clock.now() < limit {
        if let Some(floor) = side.suspects.floor.try_write() {
            return Ok(floor);
        }
        task::sleep(ALONE_PERIOD).await;
    }
    Err(Fault {
        verdict: Verdict::NotRun,
        reason: Reason::Full,
        retry: RETRY_AFTER,
        detail: "the request may have crashed an upstream and found none to run on alone".into(),
        crashes: crashes(side, run.fingerprint),
    })
}

fn down() -> Fault {
    Fault {
        verdict: Verdict::NotRun,
        reason: Reason::Stalled,
        retry: RETRY_AFTER,
        detail: "the upstream takes no connection".into(),
        crashes: Vec::new(),
    }
}

fn refused(side: &Side, run: &Run) -> Fault {
    Fault {
        verdict: Verdict::NotRun,
        reason: Reason::Quarantined,
        retry: Duration::ZERO,
        detail: "the request crashed the upstreams that ran it".into(),
        crashes: crashes(side, run.fingerprint),
    }
}

fn crashes(side: &Side, fingerprint: u64) -> Vec<Crash> {
    let now = side.clock.now();
    side.suspects
        .quarantine()
        .suspect(now, fingerprint)
        .map(|suspect| suspect.crashes)
        .unwrap_or_default()
}

impl Stay<'_> {
    /// Notes that the upstream broke the call off; returns the crashes it may have caused.
    pub(crate) async fn broke(&self) -> Vec<Crash> {
        let side = self.side;
        if !side.health.has_died_since(self.deaths).await {
            return Vec::new();
        }
        let now = side.clock.now();
        let suspect = side.suspects.quarantine().crashed(
            now,
            self.fingerprint,
            rand::random(),
            self.is_alone,
        );
        spdlog::warn!("upstream crashed while it ran a request", kv: {
            fingerprint = self.fingerprint,
            alone = self.is_alone,
        });
        suspect.crashes
    }

    /// Notes that the answer came whole.
    pub(crate) fn passed(&self) {
        if self.is_alone {
            let now = self.side.clock.now();
            self.side
                .suspects
                .quarantine()
                .passed(now, self.fingerprint);
        }
    }
}
