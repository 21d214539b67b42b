//! Runs non-idempotent calls that have an idempotency key through the ledger, at most once per key.

mod attempt;
mod call;
mod driver;
mod handle;
mod run;

pub(crate) use call::call;

use attempt::Attempt;
use handle::Handle;

use almondwell_core::ledger::{Holder, Options, SHARDS, shard_of};
use almondwell_daemon::Clock;
use almondwell_platform::Objects;
use almondwell_schema::{CallKey, Run, SideSettings};
use async_std::task;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest time that a shutdown waits for outcomes to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Service and number of a shard.
type ShardId = (Box<str>, u16);

/// The ledger shards that this side holds or has held.
pub(crate) struct Ledger {
    clock: handle::WallClock,
    holder: Holder,
    objects: Objects,
    options: Options,
    shards: Mutex<BTreeMap<ShardId, Arc<Handle>>>,
}

impl Ledger {
    pub(crate) fn new(settings: &SideSettings, clock: Clock) -> Self {
        let interval = Duration::from_secs(SHARDS.into()) / settings.ledger_writes.max(1);
        let options = Options::default();
        Self {
            clock: handle::WallClock::new(clock),
            holder: rand::random(),
            objects: Objects::new(settings.platform),
            options: Options {
                // Each round of the ring of segments also writes two checkpoints, which count against
                // the write budget.
                min_write_interval: interval + interval * 2 / u32::from(options.segments),
                ..options
            },
            shards: Mutex::default(),
        }
    }

    /// Returns the shard that holds `key`; it is loaded when first used.
    fn shard(&self, service: &str, key: CallKey) -> Arc<Handle> {
        let id = (service.into(), shard_of(key));
        let mut shards = self.shards();
        if let Some(handle) = shards.get(&id) {
            return handle.clone();
        }
        let handle = Arc::new(Handle::new(self, &id));
        task::spawn(driver::drive(handle.clone()));
        shards.insert(id, handle.clone());
        handle
    }

    /// Writes all pending records, for at most [`FLUSH_TIMEOUT`].
    pub(crate) async fn flush(&self) {
        let shards: Vec<_> = self.shards().values().cloned().collect();
        let flush = async {
            for handle in shards {
                handle.flush().await;
            }
        };
        let _ = async_std::future::timeout(FLUSH_TIMEOUT, flush).await;
    }

    fn shards(&self) -> MutexGuard<'_, BTreeMap<ShardId, Arc<Handle>>> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether `run` has to go through the ledger.
pub(crate) fn applies(run: &Run) -> bool {
    !run.idempotent && run.key.is_some()
}
