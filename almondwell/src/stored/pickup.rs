//! Finds stored work whose turn has come or whose holder has died.

use super::claim::{Found, claim};
use super::{HOLDER, OPEN, decode, heartbeat, holder_key, ids, open_key, sweep};
use crate::entry::Entry;
use almondwell_core::stored::{Holders, LEASE};
use almondwell_platform::{Error, Expect, Mirror, Written};
use almondwell_schema::{Version, Work, WorkId};
use async_std::future::timeout;
use async_std::task;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Objects read in one look at most.
const MAX_READS: usize = 16;
/// Leases after which the heartbeat of a dead holder is removed.
const REMOVAL_LEASES: u32 = 6;

/// Starts the tasks that find, run and remove stored work.
pub(crate) fn serve(entry: &Arc<Entry>) {
    let looker = entry.clone();
    task::spawn(async move { look_again(&looker).await });
    let beater = entry.clone();
    task::spawn(async move { heartbeat::beat(&beater).await });
    let sweeper = entry.clone();
    task::spawn(async move { sweep::sweep_again(&sweeper).await });
}

/// `period` with up to a quarter more or less, so that entries do not look together.
pub(super) fn jittered(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.75..1.25))
}

async fn look_again(entry: &Arc<Entry>) {
    let mut view = View::new(entry);
    while !entry.drain.is_leaving() {
        claim_fresh(entry, jittered(entry.settings.work_period)).await;
        view.look(entry).await;
    }
}

/// Claims what is accepted here for `period`.
async fn claim_fresh(entry: &Arc<Entry>, period: Duration) {
    let end = entry.clock.now() + period;
    loop {
        let left = end.saturating_sub(entry.clock.now());
        match timeout(left, entry.stored.fresh.recv()).await {
            Ok(Ok(found)) => claim(entry, found).await,
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// What this entry knows of stored work from earlier looks.
struct View {
    heartbeats: Mirror<Version>,
    holders: Holders,
    known: BTreeMap<WorkId, Known>,
    open: Mirror<Version>,
}

struct Known {
    holder: Option<Box<str>>,
    version: Version,
}

impl View {
    fn new(entry: &Entry) -> Self {
        Self {
            heartbeats: entry.objects.mirror(HOLDER),
            holders: Holders::default(),
            known: BTreeMap::new(),
            open: entry.objects.mirror(OPEN),
        }
    }

    /// Reads the work first, so that the heartbeat of whoever holds some shows.
    async fn refresh(&mut self) -> Result<(), Error> {
        self.open.refresh().await?;
        self.heartbeats.refresh().await?;
        Ok(())
    }

    async fn look(&mut self, entry: &Arc<Entry>) {
        // A store that is lost is logged by the configuration's watch; the next look tries again.
        if self.refresh().await.is_err() {
            return;
        }
        let now = entry.clock.now();
        let heartbeats = self.heartbeats.images().iter();
        self.holders
            .look(now, heartbeats.map(|(name, version)| (&**name, *version)));
        let mut open: Vec<_> = ids(&self.open).collect();
        self.known
            .retain(|id, _| open.iter().any(|(open, _)| open == id));
        open.shuffle(&mut rand::rng());
        let candidates = open
            .into_iter()
            .filter(|(id, version)| self.is_candidate(entry, *id, *version));
        let candidates: Vec<_> = candidates.take(MAX_READS).collect();
        for (id, _) in candidates {
            if !entry.stored.has_place(entry.settings.work_places) {
                break;
            }
            self.read(entry, id).await;
        }
        self.remove_dead(entry).await;
    }

    /// Whether the work may be free to claim, as far as is known without reading it.
    fn is_candidate(&self, entry: &Entry, id: WorkId, version: Version) -> bool {
        if entry.stored.is_running(id) {
            return false;
        }
        match self.known.get(&id) {
            Some(known) if known.version == version => self.is_free(entry, known.holder.as_deref()),
            Some(_) | None => true,
        }
    }

    /// Whether nobody alive holds it; this entry holds nothing that it does not run.
    fn is_free(&self, entry: &Entry, holder: Option<&str>) -> bool {
        holder.is_none_or(|holder| {
            holder == &*entry.stored.name || self.holders.is_dead(entry.clock.now(), holder)
        })
    }

    async fn read(&mut self, entry: &Arc<Entry>, id: WorkId) {
        let Ok(Some(object)) = entry.objects.get(&open_key(id)).await else {
            return;
        };
        let Some(work) = decode::<Work>(&object.value) else {
            return;
        };
        let known = Known {
            holder: work.holder.clone(),
            version: object.version,
        };
        self.known.insert(id, known);
        if self.is_free(entry, work.holder.as_deref()) {
            let version = object.version;
            claim(entry, Found { id, version, work }).await;
        }
    }

    async fn remove_dead(&self, entry: &Entry) {
        let dead = self
            .holders
            .older(entry.clock.now(), LEASE * REMOVAL_LEASES);
        for (name, version) in dead {
            let key = holder_key(name);
            // Another entry may have removed it, or its holder come back.
            let _ = entry.objects.delete(&key, version).await;
        }
    }
}

/// Gives work back, so that any entry may claim it.
pub(super) async fn give_back(entry: &Entry, found: Found) -> bool {
    let work = Work {
        holder: None,
        ..found.work
    };
    let expect = Expect::Version(found.version);
    let value = super::encode(&work);
    let written = entry.objects.put(&open_key(found.id), &value, expect).await;
    matches!(written, Ok(Written::Done(_)))
}
