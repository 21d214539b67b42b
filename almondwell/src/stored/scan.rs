//! Scans the store periodically for work that has no holder or whose holder's lease has expired.

use super::claim::{Item, claim};
use super::{HOLDER_PREFIX, OPEN_PREFIX, decode, heartbeat, holder_key, ids, open_key, sweep};
use crate::entry::Entry;
use almondwell_core::stored::{Holders, LEASE_TIMEOUT};
use almondwell_platform::{Error, Expect, Mirror, Written};
use almondwell_schema::{Version, Work, WorkId};
use async_std::future::timeout;
use async_std::task;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of objects read in one scan.
const MAX_READS_PER_SCAN: usize = 16;
/// Number of lease durations without renewal after which a holder's heartbeat is removed.
const REMOVAL_LEASES: u32 = 6;

/// Starts the tasks that find, run and remove stored work.
pub(crate) fn serve(entry: &Arc<Entry>) {
    let scan_entry = entry.clone();
    task::spawn(async move { run(&scan_entry).await });
    let heartbeat_entry = entry.clone();
    task::spawn(async move { heartbeat::run(&heartbeat_entry).await });
    let sweep_entry = entry.clone();
    task::spawn(async move { sweep::run(&sweep_entry).await });
}

/// `period` with up to a quarter more or less, so that entries do not scan at the same time.
pub(super) fn jittered(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// Scans the store every `work_period`, and claims work accepted here in between, until the entry
/// is leaving.
async fn run(entry: &Arc<Entry>) {
    let mut scanner = Scanner::new(entry);
    while !entry.drain.is_leaving() {
        claim_accepted(entry, jittered(entry.settings.work_period)).await;
        scanner.scan(entry).await;
    }
}

/// Claims work as it is accepted by this entry, for the duration `period`.
async fn claim_accepted(entry: &Arc<Entry>, period: Duration) {
    let end = entry.clock.now() + period;
    loop {
        let left = end.saturating_sub(entry.clock.now());
        match timeout(left, entry.stored.accepted.recv()).await {
            Ok(Ok(item)) => claim(entry, item).await,
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// State of the store as known from earlier scans.
struct Scanner {
    heartbeats: Mirror<Version>,
    holders: Holders,
    claims: BTreeMap<WorkId, Claim>,
    open: Mirror<Version>,
}

/// Holder of open work, if any, and version of the work's object, as last read.
struct Claim {
    holder: Option<Box<str>>,
    version: Version,
}

impl Scanner {
    fn new(entry: &Entry) -> Self {
        Self {
            heartbeats: entry.objects.mirror(HOLDER_PREFIX),
            holders: Holders::default(),
            claims: BTreeMap::new(),
            open: entry.objects.mirror(OPEN_PREFIX),
        }
    }

    /// Refreshes the open work before the heartbeats: a holder writes its heartbeat before it claims
    /// work, so the heartbeat of every holder listed is then visible.
    async fn refresh(&mut self) -> Result<(), Error> {
        self.open.refresh().await?;
        self.heartbeats.refresh().await?;
        Ok(())
    }

    async fn scan(&mut self, entry: &Arc<Entry>) {
        // The watch on the configuration logs that the store is unavailable; the next scan retries.
        if self.refresh().await.is_err() {
            return;
        }
        let now = entry.clock.now();
        let heartbeats = self.heartbeats.objects().iter();
        self.holders
            .observe(now, heartbeats.map(|(name, version)| (&**name, *version)));
        let mut open: Vec<_> = ids(&self.open).collect();
        self.claims
            .retain(|id, _| open.iter().any(|(open, _)| open == id));
        open.shuffle(&mut rand::rng());
        let candidates = open
            .into_iter()
            .filter(|(id, version)| self.is_candidate(entry, *id, *version));
        let candidates: Vec<_> = candidates.take(MAX_READS_PER_SCAN).collect();
        for (id, _) in candidates {
            if !entry.stored.has_free_slot(entry.settings.work_places) {
                break;
            }
            self.read_and_claim(entry, id).await;
        }
        self.remove_expired_heartbeats(entry).await;
    }

    /// Whether the work may be claimable, as far as is known without reading it.
    fn is_candidate(&self, entry: &Entry, id: WorkId, version: Version) -> bool {
        if entry.stored.is_running(id) {
            return false;
        }
        match self.claims.get(&id) {
            Some(claim) if claim.version == version => {
                self.is_claimable(entry, claim.holder.as_deref())
            }
            Some(_) | None => true,
        }
    }

    /// Whether the work has no live holder. This entry holds only work that it runs, so work under
    /// its own name that does not run here is claimable.
    fn is_claimable(&self, entry: &Entry, holder: Option<&str>) -> bool {
        holder.is_none_or(|holder| {
            holder == &*entry.stored.name || self.holders.is_expired(entry.clock.now(), holder)
        })
    }

    async fn read_and_claim(&mut self, entry: &Arc<Entry>, id: WorkId) {
        let Ok(Some(object)) = entry.objects.get(&open_key(id)).await else {
            return;
        };
        let Some(work) = decode::<Work>(&object.value) else {
            return;
        };
        let last_read = Claim {
            holder: work.holder.clone(),
            version: object.version,
        };
        self.claims.insert(id, last_read);
        if self.is_claimable(entry, work.holder.as_deref()) {
            let version = object.version;
            claim(entry, Item { id, version, work }).await;
        }
    }

    async fn remove_expired_heartbeats(&self, entry: &Entry) {
        let expired = self
            .holders
            .stale(entry.clock.now(), LEASE_TIMEOUT * REMOVAL_LEASES);
        for (name, version) in expired {
            let key = holder_key(name);
            // Fails if another entry has removed the heartbeat or its holder has renewed it.
            let _ = entry.objects.delete(&key, version).await;
        }
    }
}

/// Clears the holder of claimed work, so that any entry may claim it; returns whether the write was
/// confirmed.
pub(super) async fn release(entry: &Entry, item: Item) -> bool {
    let work = Work {
        holder: None,
        ..item.work
    };
    let expect = Expect::Version(item.version);
    let value = super::encode(&work);
    let written = entry.objects.put(&open_key(item.id), &value, expect).await;
    matches!(written, Ok(Written::Done(_)))
}
