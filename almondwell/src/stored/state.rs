//! Stored work that this entry runs.

use super::claim::Found;
use almondwell_schema::{Version, WorkId};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const IDLE_PERIOD: Duration = Duration::from_millis(20);
/// Work accepted here that waits to be claimed; what does not fit is found by a look.
const FRESH: usize = 64;

/// Ids of the work that this entry runs.
type Running = Arc<Mutex<BTreeSet<WorkId>>>;

/// Stored work that this entry runs.
pub(crate) struct State {
    pub(super) fresh: Receiver<Found>,
    pub(super) heartbeat: AsyncMutex<Option<Heartbeat>>,
    pub(super) name: Box<str>,
    running: Running,
    sender: Sender<Found>,
}

/// The last heartbeat that was written.
#[derive(Clone, Copy)]
pub(super) struct Heartbeat {
    pub(super) time: Duration,
    pub(super) version: Version,
}

/// A place for one piece of work, free again when it is dropped.
pub(super) struct Place {
    id: WorkId,
    running: Running,
}

impl State {
    /// The state of the holder `name`, which no other process uses.
    pub(crate) fn new(name: &str) -> Self {
        let (sender, fresh) = bounded(FRESH);
        Self {
            fresh,
            heartbeat: AsyncMutex::new(None),
            name: name.into(),
            running: Running::default(),
            sender,
        }
    }

    /// Whether no work runs here.
    pub(super) fn is_idle(&self) -> bool {
        lock(&self.running).is_empty()
    }

    /// Waits until no work runs here.
    pub(crate) async fn finish(&self) {
        while !self.is_idle() {
            task::sleep(IDLE_PERIOD).await;
        }
    }

    pub(super) fn has_place(&self, limit: u16) -> bool {
        lock(&self.running).len() < limit.into()
    }

    pub(super) fn is_running(&self, id: WorkId) -> bool {
        lock(&self.running).contains(&id)
    }

    /// Passes work that was accepted here to the task that claims it.
    pub(super) fn offer(&self, found: Found) {
        // What does not fit is found by the next look.
        let _ = self.sender.try_send(found);
    }

    pub(super) fn take_place(&self, id: WorkId, limit: u16) -> Option<Place> {
        let mut running = lock(&self.running);
        if running.len() >= limit.into() || !running.insert(id) {
            return None;
        }
        Some(Place {
            id,
            running: self.running.clone(),
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.running).remove(&self.id);
    }
}

fn lock(running: &Running) -> MutexGuard<'_, BTreeSet<WorkId>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}
