//! Tracks the stored work that this entry runs.

use super::claim::Item;
use almondwell_schema::{Version, WorkId};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const IDLE_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Work accepted by this entry that may wait to be claimed; a scan finds what does not fit.
const ACCEPTED_QUEUE_CAPACITY: usize = 64;

/// Ids of the work that this entry runs.
type Running = Arc<Mutex<BTreeSet<WorkId>>>;

/// Work that this entry runs or is about to claim, and its heartbeat.
pub(crate) struct State {
    pub(super) accepted: Receiver<Item>,
    pub(super) heartbeat: AsyncMutex<Option<Heartbeat>>,
    /// Name under which this entry holds work.
    pub(super) name: Box<str>,
    running: Running,
    sender: Sender<Item>,
}

/// The last heartbeat that was written.
#[derive(Clone, Copy)]
pub(super) struct Heartbeat {
    /// Time of the write on the entry's clock.
    pub(super) time: Duration,
    pub(super) version: Version,
}

/// A slot for one piece of running work; freed on drop.
pub(super) struct Slot {
    id: WorkId,
    running: Running,
}

impl State {
    /// `name` identifies this entry as a holder of work; it must be unique among processes, across
    /// restarts too.
    pub(crate) fn new(name: &str) -> Self {
        let (sender, accepted) = bounded(ACCEPTED_QUEUE_CAPACITY);
        Self {
            accepted,
            heartbeat: AsyncMutex::new(None),
            name: name.into(),
            running: Running::default(),
            sender,
        }
    }

    /// Whether this entry runs no stored work.
    pub(super) fn is_idle(&self) -> bool {
        lock(&self.running).is_empty()
    }

    /// Waits until this entry runs no stored work.
    pub(crate) async fn wait_until_idle(&self) {
        while !self.is_idle() {
            task::sleep(IDLE_POLL_PERIOD).await;
        }
    }

    pub(super) fn has_free_slot(&self, limit: u16) -> bool {
        lock(&self.running).len() < limit.into()
    }

    pub(super) fn is_running(&self, id: WorkId) -> bool {
        lock(&self.running).contains(&id)
    }

    /// Queues work accepted by this entry for the task that claims it.
    pub(super) fn enqueue(&self, item: Item) {
        // If the queue is full, the next scan finds the work.
        let _ = self.sender.try_send(item);
    }

    /// Acquires a slot for the work `id`; `None` if `limit` slots are in use or the work runs here
    /// already.
    pub(super) fn acquire_slot(&self, id: WorkId, limit: u16) -> Option<Slot> {
        let mut running = lock(&self.running);
        if running.len() >= limit.into() || !running.insert(id) {
            return None;
        }
        Some(Slot {
            id,
            running: self.running.clone(),
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.running).remove(&self.id);
    }
}

fn lock(running: &Running) -> MutexGuard<'_, BTreeSet<WorkId>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}
