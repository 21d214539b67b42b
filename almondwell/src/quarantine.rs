//! Requests that may crash upstreams: this entry's records, and their replication to sides and the
//! store.

use crate::entry::Entry;
use crate::job::Job;
use crate::refusal::Refusal;
use almondwell_core::quarantine::{Quarantine, Treatment};
use almondwell_platform::{Error, Expect, Object, Written};
use almondwell_schema::{Crash, Fingerprint, Role, Suspect, Suspects as Document, Verdict};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Store key of the object that holds all suspects.
const KEY: &str = "quarantine/current";
/// Updates that may wait to be replicated.
const MAX_QUEUED_UPDATES: usize = 256;
/// Interval at which the object is read, to learn of suspects whose datagrams were lost.
const READ_PERIOD: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Suspects known to this entry, and a queue of those not yet replicated.
pub(crate) struct Suspects {
    updates: (Sender<Fingerprint>, Receiver<Fingerprint>),
    quarantine: Mutex<Quarantine>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            updates: bounded(MAX_QUEUED_UPDATES),
            quarantine: Mutex::default(),
        }
    }
}

impl Suspects {
    /// Returns the crashes that the request with `fingerprint` may have caused.
    pub(crate) fn crashes(&self, now: Duration, fingerprint: Fingerprint) -> Vec<Crash> {
        self.quarantine()
            .suspect(now, fingerprint)
            .map(|suspect| suspect.crashes)
            .unwrap_or_default()
    }

    /// Merges the crashes that a side reports for a request.
    pub(crate) fn record_crashes(
        &self,
        now: Duration,
        fingerprint: Fingerprint,
        crashes: &[Crash],
    ) {
        let suspect = Suspect {
            fingerprint,
            crashes: crashes.to_vec(),
            left: Duration::MAX,
        };
        if self.quarantine().merge(now, &suspect) {
            self.queue_update(fingerprint);
        }
    }

    /// Records that the request ran to its end without a crash; a suspect runs alone.
    pub(crate) fn record_success(&self, now: Duration, fingerprint: Fingerprint) {
        if self.quarantine().record_success(now, fingerprint).is_some() {
            self.queue_update(fingerprint);
        }
    }

    /// Returns the refusal of a quarantined request. Non-idempotent requests are not refused here,
    /// since the ledger must be consulted first.
    pub(crate) fn refusal(&self, now: Duration, job: &Job) -> Option<Refusal> {
        if !job.class.idempotent {
            return None;
        }
        let treatment = self.quarantine().treatment(now, job.fingerprint);
        (treatment == Treatment::Refused).then(|| Refusal::quarantined(Verdict::NotRun))
    }

    fn queue_update(&self, fingerprint: Fingerprint) {
        // If the channel is full, the datagrams are skipped; the object is still written.
        let _ = self.updates.0.try_send(fingerprint);
    }

    fn merge(&self, now: Duration, document: &Document) -> bool {
        let age = unix_time().saturating_sub(document.written);
        let mut is_changed = false;
        for suspect in &document.suspects {
            let left = suspect.left.saturating_sub(age);
            let suspect = Suspect {
                left,
                ..suspect.clone()
            };
            is_changed |= self.quarantine().merge(now, &suspect);
        }
        is_changed
    }

    fn document(&self, now: Duration) -> Document {
        Document {
            written: unix_time(),
            suspects: self.quarantine().suspects(now),
        }
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends updates to the sides and writes them to the store, until the process ends.
pub(crate) async fn replicate(entry: &Entry) {
    let updates = &entry.suspects.updates.1;
    let mut is_dirty = false;
    read(entry).await;
    loop {
        let period = if is_dirty { RETRY_DELAY } else { READ_PERIOD };
        match timeout(period, updates.recv()).await {
            Ok(Ok(fingerprint)) => {
                notify_sides(entry, fingerprint).await;
                is_dirty = true;
            }
            Ok(Err(_)) => return,
            Err(_) if !is_dirty => read(entry).await,
            Err(_) => {}
        }
        if is_dirty && updates.is_empty() {
            is_dirty = write(entry).await.is_err();
        }
    }
}

async fn notify_sides(entry: &Entry, fingerprint: Fingerprint) {
    let now = entry.clock.now();
    let suspect = entry.suspects.quarantine().suspect(now, fingerprint);
    let Some(suspect) = suspect else { return };
    let instances = entry.members.instances();
    for side in instances
        .iter()
        .filter(|instance| instance.role == Role::Side)
    {
        entry.send(suspect.clone().into(), side.address).await;
    }
}

async fn read(entry: &Entry) {
    if let Ok(Some(object)) = entry.objects.get(KEY).await {
        merge_object(entry, &object);
    }
}

fn merge_object(entry: &Entry, object: &Object) {
    if let Ok(document) = serde_json::from_slice(&object.value) {
        entry.suspects.merge(entry.clock.now(), &document);
    }
}

/// Writes all suspects, after merging those that other entries wrote, so that none is lost.
///
/// Merging is commutative and idempotent, so a write whose response was lost can be repeated.
async fn write(entry: &Entry) -> Result<(), Error> {
    loop {
        let object = entry.objects.get(KEY).await?;
        if let Some(object) = &object {
            merge_object(entry, object);
        }
        let expect = object.map_or(Expect::Absent, |object| Expect::Version(object.version));
        let document = entry.suspects.document(entry.clock.now());
        let value = serde_json::to_vec(&document).unwrap_or_default();
        match entry.objects.put(KEY, &value, expect).await? {
            Written::Conflict => task::sleep(Duration::from_millis(50)).await,
            Written::Done(_) => return Ok(()),
        }
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
