//! Requests that may crash upstreams: what this entry knows, and how others learn of it.

use crate::entry::Entry;
use crate::job::Job;
use crate::refusal::Refusal;
use almondwell_core::quarantine::{Quarantine, Treatment};
use almondwell_platform::{Error, Expect, Object, Written};
use almondwell_schema::{Crash, Fingerprint, Role, Suspect, Suspects as Page, Verdict};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Key of the suspects in the store.
const KEY: &str = "quarantine/current";
const NEWS: usize = 256;
/// Period at which the object is read, for news that got lost as datagrams.
const READ_PERIOD: Duration = Duration::from_secs(10);
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Suspects that this entry knows, and those among them that it has yet to share.
pub(crate) struct Suspects {
    news: (Sender<Fingerprint>, Receiver<Fingerprint>),
    quarantine: Mutex<Quarantine>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            news: bounded(NEWS),
            quarantine: Mutex::default(),
        }
    }
}

impl Suspects {
    /// Crashes that the request with `fingerprint` may have caused.
    pub(crate) fn crashes(&self, now: Duration, fingerprint: Fingerprint) -> Vec<Crash> {
        self.quarantine()
            .suspect(now, fingerprint)
            .map(|suspect| suspect.crashes)
            .unwrap_or_default()
    }

    /// Takes over what a side tells of a request.
    pub(crate) fn learn(&self, now: Duration, fingerprint: Fingerprint, crashes: &[Crash]) {
        let suspect = Suspect {
            fingerprint,
            crashes: crashes.to_vec(),
            left: Duration::MAX,
        };
        if self.quarantine().merge(now, &suspect) {
            self.announce(fingerprint);
        }
    }

    /// Notes that the request was answered whole, alone if it was a suspect.
    pub(crate) fn passed(&self, now: Duration, fingerprint: Fingerprint) {
        if self.quarantine().passed(now, fingerprint).is_some() {
            self.announce(fingerprint);
        }
    }

    /// The refusal of a request that must not run, unless the ledger has to speak first.
    pub(crate) fn refusal(&self, now: Duration, job: &Job) -> Option<Refusal> {
        if !job.class.idempotent {
            return None;
        }
        let treatment = self.quarantine().treatment(now, job.fingerprint);
        (treatment == Treatment::Refused).then(|| Refusal::quarantined(Verdict::NotRun))
    }

    fn announce(&self, fingerprint: Fingerprint) {
        // A full channel loses the datagrams; the object is written all the same.
        let _ = self.news.0.try_send(fingerprint);
    }

    fn merge(&self, now: Duration, page: &Page) -> bool {
        let age = unix_time().saturating_sub(page.written);
        let mut is_news = false;
        for suspect in &page.suspects {
            let left = suspect.left.saturating_sub(age);
            let suspect = Suspect {
                left,
                ..suspect.clone()
            };
            is_news |= self.quarantine().merge(now, &suspect);
        }
        is_news
    }

    fn page(&self, now: Duration) -> Page {
        Page {
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

/// Tells sides and the store what is new, until the process ends.
pub(crate) async fn share(entry: &Entry) {
    let news = &entry.suspects.news.1;
    let mut is_dirty = false;
    read(entry).await;
    loop {
        let pause = if is_dirty { RETRY_PAUSE } else { READ_PERIOD };
        match timeout(pause, news.recv()).await {
            Ok(Ok(fingerprint)) => {
                tell_sides(entry, fingerprint).await;
                is_dirty = true;
            }
            Ok(Err(_)) => return,
            Err(_) if !is_dirty => read(entry).await,
            Err(_) => {}
        }
        if is_dirty && news.is_empty() {
            is_dirty = write(entry).await.is_err();
        }
    }
}

async fn tell_sides(entry: &Entry, fingerprint: Fingerprint) {
    let now = entry.clock.now();
    let suspect = entry.suspects.quarantine().suspect(now, fingerprint);
    let Some(suspect) = suspect else { return };
    let instances = entry.members.instances();
    for side in instances.iter().filter(|one| one.role == Role::Side) {
        entry.send(suspect.clone().into(), side.address).await;
    }
}

async fn read(entry: &Entry) {
    if let Ok(Some(object)) = entry.objects.get(KEY).await {
        adopt(entry, &object);
    }
}

fn adopt(entry: &Entry, object: &Object) {
    if let Ok(page) = serde_json::from_slice(&object.value) {
        entry.suspects.merge(entry.clock.now(), &page);
    }
}

/// Writes all suspects; others' are read first, so that none is lost.
///
/// Merging has no order, so that a write whose answer was lost is simply made again.
async fn write(entry: &Entry) -> Result<(), Error> {
    loop {
        let object = entry.objects.get(KEY).await?;
        if let Some(object) = &object {
            adopt(entry, object);
        }
        let expect = object.map_or(Expect::Absent, |object| Expect::Version(object.version));
        let page = entry.suspects.page(entry.clock.now());
        let value = serde_json::to_vec(&page).unwrap_or_default();
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
