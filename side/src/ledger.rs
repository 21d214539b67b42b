//! Runs calls that may not be repeated through the ledger.

mod attempt;
mod call;
mod driver;
mod held;
mod run;

pub(crate) use call::call;

use attempt::Attempt;
use held::Held;

use almondwell_core::ledger::{Holder, Options, SHARDS, shard_of};
use almondwell_daemon::Clock;
use almondwell_platform::Objects;
use almondwell_schema::{CallKey, Run, SideSettings};
use async_std::task;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest time that a stop waits for outcomes to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Service and number of a shard.
type Name = (Box<str>, u16);

/// The shards of the ledger that this side holds or has held.
pub(crate) struct Ledger {
    clock: held::WallClock,
    holder: Holder,
    objects: Objects,
    options: Options,
    shards: Mutex<BTreeMap<Name, Arc<Held>>>,
}

impl Ledger {
    pub(crate) fn new(settings: &SideSettings, clock: Clock) -> Self {
        let pace = Duration::from_secs(SHARDS.into()) / settings.ledger_writes.max(1);
        let options = Options::default();
        Self {
            clock: held::WallClock::new(clock),
            holder: rand::random(),
            objects: Objects::new(settings.platform),
            options: Options {
                // Two checkpoints a round of the ring are part of the budget.
                pace: pace + pace * 2 / u32::from(options.slots),
                ..options
            },
            shards: Mutex::default(),
        }
    }

    /// The shard of `key`, loaded once it is asked for something.
    fn shard(&self, service: &str, key: CallKey) -> Arc<Held> {
        let name = (service.into(), shard_of(key));
        let mut shards = self.shards();
        if let Some(held) = shards.get(&name) {
            return held.clone();
        }
        let held = Arc::new(Held::new(self, &name));
        task::spawn(driver::drive(held.clone()));
        shards.insert(name, held.clone());
        held
    }

    /// Writes what is still to be written, within a limit.
    pub(crate) async fn flush(&self) {
        let shards: Vec<_> = self.shards().values().cloned().collect();
        let flush = async {
            for held in shards {
                held.flush().await;
            }
        };
        let _ = async_std::future::timeout(FLUSH_TIMEOUT, flush).await;
    }

    fn shards(&self) -> MutexGuard<'_, BTreeMap<Name, Arc<Held>>> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether `run` must go through the ledger.
pub(crate) fn applies(run: &Run) -> bool {
    !run.idempotent && run.key.is_some()
}
